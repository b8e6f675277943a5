//! Connections and requests that share their memory, in virtual time.

use redwingfold_core::{
    ByteCount, CallerConnections, ConnectionAdmission, ConnectionPhase, HolderNumber, MemoryBudget,
    MemoryOwner, MemoryPhase, MemoryPolicy, Millis, RequestMemory,
};

const MB: usize = 1024 * 1024;

/// A gateway of 110 MB.
const BUDGET: MemoryBudget = MemoryBudget {
    total: ByteCount(82 * MB),
    per_connection: ByteCount(48 * 1024),
    min_connections: 146,
    max_connections: 880,
};

/// Connections and requests of one gateway.
struct Callers {
    connections: CallerConnections,
    memory: RequestMemory,
}

impl Callers {
    fn new() -> Self {
        Self {
            connections: CallerConnections::new(BUDGET.max_connections),
            memory: RequestMemory::new(MemoryPolicy::default()),
        }
    }

    /// Opens a connection whose request is in progress; returns `false` if there is no place for it.
    fn connect(&mut self, now: Millis) -> bool {
        self.memory.set_total(BUDGET.for_requests(self.connections.count() + 1), now);
        self.connections.set_max(BUDGET.connections(self.memory.in_use()));
        match self.connections.open(now) {
            ConnectionAdmission::Admitted(number) | ConnectionAdmission::InsteadOf(number, _) => {
                self.connections.set_phase(number, ConnectionPhase::Busy, now);
                true
            }
            ConnectionAdmission::Full => false,
        }
    }

    fn request(&mut self, bytes: usize, now: Millis) -> Option<HolderNumber> {
        self.memory.set_total(BUDGET.for_requests(self.connections.count()), now);
        let (number, _) = self.memory.open(MemoryOwner::Customer(1), now).ok()?;
        if self.memory.resize(number, bytes, now).is_err() {
            self.memory.close(number);
            return None;
        }
        Some(number)
    }

    fn sum(&self) -> usize {
        self.connections.count() * BUDGET.per_connection.0 + self.memory.in_use().0
    }
}

/// Guards against a sum of connections and requests above the budget, in whichever order they come.
#[test]
fn the_sum_stays_within_the_budget() {
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (mut callers, mut held) = (Callers::new(), Vec::new());
        for now in (0..3_000).map(|step| Millis(step * 3)) {
            match rng.usize(..5) {
                0 | 1 => {
                    callers.connect(now);
                }
                2 | 3 => {
                    let bytes = rng.usize(..4 * MB);
                    if let Some(number) = callers.request(bytes, now) {
                        let phases = [MemoryPhase::Receiving, MemoryPhase::Working];
                        callers.memory.set_phase(number, phases[rng.usize(..2)], now);
                        held.push(number);
                    }
                }
                _ if !held.is_empty() => {
                    let number = held.swap_remove(rng.usize(..held.len()));
                    callers.memory.close(number);
                }
                _ => {}
            }
            assert!(callers.sum() <= BUDGET.total.0, "seed {seed}, {now}: {}", callers.sum());
        }
    }
}

/// Guards against uploads that are refused while connections leave their memory free, and against uploads that leave no
/// place for new callers.
#[test]
fn uploads_beside_few_connections_get_what_is_free() {
    let mut callers = Callers::new();
    (0..40).for_each(|_| assert!(callers.connect(Millis(0))));
    let uploads = std::iter::from_fn(|| callers.request(4 * MB, Millis(0))).count();
    assert!(uploads >= 15, "{uploads} uploads");
    let connected = (0..1_000).take_while(|_| callers.connect(Millis(10))).count();
    assert!(40 + connected >= BUDGET.min_connections, "{connected} connections");
    assert!(callers.sum() <= BUDGET.total.0);
}

/// Guards against stalled bodies that keep new connections out.
#[test]
fn stalled_bodies_give_way_to_connections() {
    let mut callers = Callers::new();
    while callers.request(4 * MB, Millis(0)).is_some() {}
    let connected = (0..2_000).take_while(|_| callers.connect(Millis(2_000))).count();
    assert_eq!(connected, BUDGET.max_connections);
    assert!(callers.sum() <= BUDGET.total.0);
}
