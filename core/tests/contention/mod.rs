//! Simulation, in virtual time, of callers that compete for too few slots at one gateway.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use redwingfold_core::{
    AdmissionDecision, AdmissionPolicy, Capacity, Demand, Millis, Priority, WaitQueue, Waiting,
};

/// Slots of all servers.
pub const SLOTS: usize = 120;

/// Tokens that a server reads per millisecond with the largest model of a common engine.
const TOKENS_PER_MS: f64 = 28.0;

/// Time in ms over which requests arrive.
const END: u64 = 60_000;

/// Time in ms during which capacity is short; callers that arrive in it are counted.
pub const SHORTAGE: std::ops::Range<u64> = 15_000..45_000;

/// Number of customers, each with requests of all kinds.
const CUSTOMERS: u32 = 12;

/// Half-life of the recorded use of a customer in ms.
const USAGE_HALF_LIFE: f64 = 5_000.0;

/// Time in ms until a caller that was refused or gave up sends again, and its number of sends.
const RESEND_DELAY: u64 = 200;
const MAX_SENDS: u32 = 3;

/// Time in ms for which all gateways are gone, and over which callers then return.
const OUTAGE: u64 = 5_000;
const WAVE: u64 = 200;

#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub rank: u8,
    /// Share of all requests.
    share: f64,
    /// Minimum tokens, and the most as a multiple of them.
    tokens: (f64, f64),
    target: u64,
    patience: u64,
    deadline: u64,
    /// Shortest and longest time from the first event to the end.
    duration: (u64, u64),
}

/// Short requests of the first rank, long ones of the second, and short ones of the third with a short deadline.
/// Callers of the first two read streams and give up after the longer of 2 s and four times the target.
pub const KINDS: [Kind; 3] = [
    Kind {
        rank: 0,
        share: 0.35,
        tokens: (200.0, 5.0),
        target: 500,
        patience: 2_000,
        deadline: 10_000,
        duration: (500, 1_500),
    },
    Kind {
        rank: 1,
        share: 0.25,
        tokens: (4_000.0, 12.0),
        target: 1_500,
        patience: 6_000,
        deadline: 20_000,
        duration: (1_000, 2_500),
    },
    Kind {
        rank: 2,
        share: 0.4,
        tokens: (200.0, 5.0),
        target: 500,
        patience: 3_000,
        deadline: 3_000,
        duration: (400, 1_200),
    },
];

/// Who decides the order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Order {
    /// Admission control with the wait queue.
    Queue,
    /// Admission control that treats callers that return at a promised time as new ones.
    QueueWithoutPromises,
    /// Requests start in order of arrival, unless the caller has given up.
    Arrival,
}

/// Why capacity is short.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Shortage {
    /// All kinds arrive at a multiple of the capacity.
    Burst(f64),
    /// One kind arrives at 2.5 times its rate, with the others at 0.85 of the capacity.
    OneKind(usize),
    /// Callers that were refused or gave up send up to three times, at 1.5 times the capacity.
    Retries,
    /// Half of the servers are gone.
    HalfOfServers,
    /// All gateways are gone for 5 s; their callers come back within 200 ms.
    Wave,
}

impl Shortage {
    /// Returns the load of a kind as a multiple of its part of the capacity.
    fn load(self, kind: usize, at: u64) -> f64 {
        match self {
            Self::Wave => 0.9,
            _ if !SHORTAGE.contains(&at) => 0.7,
            Self::Burst(load) => load,
            Self::OneKind(more) if more == kind => 0.85 * 2.5,
            Self::OneKind(_) => 0.85,
            Self::Retries => 1.5,
            Self::HalfOfServers => 0.9,
        }
    }

    fn slots(self, at: u64) -> usize {
        match self {
            Self::HalfOfServers if SHORTAGE.contains(&at) => SLOTS / 2,
            _ => SLOTS,
        }
    }
}

#[derive(Clone, Debug)]
pub struct Caller {
    pub kind: usize,
    pub customer: u32,
    pub tokens: u64,
    pub first_sent_at: u64,
    prefill: u64,
    duration: u64,
    sends: u32,
    /// Whether an answer began in time.
    pub is_served: bool,
    /// Whether it began within the latency target.
    pub is_on_target: bool,
    /// Whether it returned at a promised time.
    pub has_returned: bool,
}

impl Caller {
    fn demand(&self, now: u64) -> Demand {
        let kind = KINDS[self.kind];
        Demand {
            rank: Priority(kind.rank),
            tokens: self.tokens,
            arrived_at: Millis(now),
            latency_target: Millis(kind.target),
            patience: Millis(kind.patience),
            deadline: Millis(self.first_sent_at + kind.deadline),
            prefill: Millis(self.prefill),
            duration: Millis(self.duration),
        }
    }

    fn time_in_slot(&self) -> u64 {
        self.prefill + self.duration
    }
}

fn draw_caller(rng: &mut fastrand::Rng, kind: usize, at: u64) -> Caller {
    let Kind { tokens: (min, ratio), duration: (shortest, longest), .. } = KINDS[kind];
    let tokens = min * ratio.powf(rng.f64());
    Caller {
        kind,
        customer: rng.u32(..CUSTOMERS),
        tokens: tokens as u64,
        first_sent_at: at,
        prefill: (tokens / TOKENS_PER_MS) as u64,
        duration: rng.u64(shortest..longest),
        sends: 0,
        is_served: false,
        is_on_target: false,
        has_returned: false,
    }
}

/// Returns the mean time in a slot of all kinds, in ms.
fn mean_time_in_slot(rng: &mut fastrand::Rng) -> f64 {
    let mut mean = |kind| {
        (0..2_000).map(|_| draw_caller(rng, kind, 0).time_in_slot() as f64).sum::<f64>() / 2_000.0
    };
    (0..KINDS.len()).map(|kind| KINDS[kind].share * mean(kind)).sum()
}

fn draw_callers(shortage: Shortage, rng: &mut fastrand::Rng) -> Vec<Caller> {
    let capacity_per_ms = SLOTS as f64 / mean_time_in_slot(rng);
    let mut callers = Vec::new();
    for at in 0..END {
        for (kind, Kind { share, .. }) in KINDS.iter().enumerate() {
            if rng.f64() < capacity_per_ms * share * shortage.load(kind, at) {
                callers.push(draw_caller(rng, kind, at));
            }
        }
    }
    if shortage == Shortage::Wave {
        let back_at = SHORTAGE.start;
        let is_lost = |at: u64| (back_at - OUTAGE..back_at).contains(&at);
        for caller in callers.iter_mut().filter(|c| is_lost(c.first_sent_at)) {
            caller.first_sent_at = back_at + rng.u64(..WAVE);
        }
    }
    callers
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    End { run: u64 },
    ServersChange,
    Arrive { caller: usize, has_promise: bool },
    GiveUp { caller: usize, send: u32 },
}

/// Work of each customer, decayed.
#[derive(Default)]
struct Usage(BTreeMap<u32, (f64, u64)>);

impl Usage {
    fn get(&self, customer: u32, now: u64) -> f64 {
        self.0
            .get(&customer)
            .map_or(0.0, |(work, at)| work * 0.5_f64.powf((now - at) as f64 / USAGE_HALF_LIFE))
    }

    fn add(&mut self, customer: u32, work: u64, now: u64) {
        let sum = self.get(customer, now) + work as f64;
        self.0.insert(customer, (sum, now));
    }
}

struct Simulation {
    order: Order,
    shortage: Shortage,
    callers: Vec<Caller>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    queue: WaitQueue,
    arrivals: VecDeque<(usize, Demand)>,
    /// Running requests by number of the run.
    running: BTreeMap<u64, usize>,
    next_run: u64,
    usage: Usage,
    /// Mean time in a slot of recent runs, in ms.
    mean_time: f64,
    outcome: Outcome,
}

#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub callers: Vec<Caller>,
    /// Requests that waited although a slot was free.
    pub held_back: usize,
    pub max_waiting: usize,
}

/// Simulates a shortage and returns what became of each caller.
pub fn simulate(order: Order, shortage: Shortage, seed: u64) -> Outcome {
    let mut rng = fastrand::Rng::with_seed(seed);
    let callers = draw_callers(shortage, &mut rng);
    let arrive = |(caller, c): (usize, &Caller)| {
        Reverse((c.first_sent_at, Event::Arrive { caller, has_promise: false }))
    };
    let mut events: BinaryHeap<_> = callers.iter().enumerate().map(arrive).collect();
    events.push(Reverse((SHORTAGE.start, Event::ServersChange)));
    let simulation = Simulation {
        order,
        shortage,
        callers,
        events,
        queue: WaitQueue::default(),
        arrivals: VecDeque::new(),
        running: BTreeMap::new(),
        next_run: 0,
        usage: Usage::default(),
        mean_time: 1_000.0,
        outcome: Outcome::default(),
    };
    simulation.run()
}

impl Simulation {
    fn run(mut self) -> Outcome {
        while let Some(Reverse((now, event))) = self.events.pop() {
            match event {
                Event::End { run } => {
                    self.running.remove(&run);
                }
                Event::ServersChange => self.lose_runs(now),
                Event::Arrive { caller, has_promise } => self.arrive(caller, has_promise, now),
                Event::GiveUp { caller, send } => self.give_up(caller, send, now),
            }
            self.fill_slots(now);
            self.outcome.max_waiting = self.outcome.max_waiting.max(self.queue.len());
        }
        Outcome { callers: self.callers, ..self.outcome }
    }

    fn free_slots(&self, now: u64) -> usize {
        self.shortage.slots(now).saturating_sub(self.running.len())
    }

    /// The callers of runs that are lost with their servers or gateways send again at once.
    fn lose_runs(&mut self, now: u64) {
        let kept = match self.shortage {
            Shortage::HalfOfServers => SLOTS / 2,
            Shortage::Wave => 0,
            _ => SLOTS,
        };
        while self.running.len() > kept {
            let (_, caller) = self.running.pop_last().unwrap();
            self.callers[caller].is_served = false;
            self.callers[caller].first_sent_at = now;
            self.events.push(Reverse((now, Event::Arrive { caller, has_promise: false })));
        }
    }

    fn arrive(&mut self, caller: usize, has_promise: bool, now: u64) {
        self.callers[caller].sends += 1;
        let demand = self.callers[caller].demand(now);
        if self.order == Order::Arrival {
            self.arrivals.push_back((caller, demand));
            let give_up = Event::GiveUp { caller, send: self.callers[caller].sends };
            self.events.push(Reverse((now + demand.patience.0, give_up)));
            return;
        }
        let free = self.free_slots(now);
        let next_slot = if free > 0 { 0.0 } else { self.mean_time / SLOTS as f64 };
        let capacity = Capacity {
            free_slots: free as f64,
            next_slot: Millis(next_slot as u64),
            prefill_wait: Millis(0),
        };
        let rate = self.shortage.slots(now) as f64 * 1_000.0 / self.mean_time;
        let has_promise = has_promise && self.order == Order::Queue;
        let ahead = match has_promise {
            true => self.queue.ahead_of_return(&demand, Millis(now)),
            false => self.queue.ahead_of(&demand, Millis(now)),
        };
        match AdmissionPolicy.decide(&capacity, ahead, rate, &demand, Millis(now)) {
            AdmissionDecision::Send => self.start(caller, demand, now),
            AdmissionDecision::Wait => self.wait(caller, demand, has_promise, now),
            AdmissionDecision::Refuse { ready_in } => self.refuse(caller, Some(ready_in), now),
        }
    }

    fn wait(&mut self, caller: usize, demand: Demand, has_promise: bool, now: u64) {
        let customer = self.callers[caller].customer;
        let waiting = Waiting { id: caller as u64, customer, demand, has_promise };
        let usage = |customer| self.usage.get(customer, now);
        match self.queue.push(waiting, Millis(now), usage) {
            Ok(None) => {}
            Ok(Some(replaced)) => self.refuse(replaced.id as usize, None, now),
            Err(_) => self.refuse(caller, None, now),
        }
    }

    /// A caller returns at a promised time of up to a third of its time left, once. Others send again blindly if the
    /// shortage is one of retries.
    fn refuse(&mut self, caller: usize, ready_in: Option<Millis>, now: u64) {
        let c = &mut self.callers[caller];
        let left = (c.first_sent_at + KINDS[c.kind].deadline).saturating_sub(now);
        match ready_in {
            Some(Millis(ready_in)) if c.sends == 1 && ready_in <= left / 3 => {
                c.has_returned = true;
                let event = Event::Arrive { caller, has_promise: true };
                self.events.push(Reverse((now + ready_in, event)));
            }
            _ => self.resend(caller, now),
        }
    }

    fn resend(&mut self, caller: usize, now: u64) {
        let c = &self.callers[caller];
        if self.shortage == Shortage::Retries && c.sends < MAX_SENDS {
            let event = Event::Arrive { caller, has_promise: false };
            self.events.push(Reverse((now + RESEND_DELAY, event)));
        }
    }

    fn give_up(&mut self, caller: usize, send: u32, now: u64) {
        let waiting = self.arrivals.iter().position(|(waiting, _)| *waiting == caller);
        if let Some(i) = waiting
            && self.callers[caller].sends == send
        {
            self.arrivals.remove(i);
            self.resend(caller, now);
        }
    }

    fn fill_slots(&mut self, now: u64) {
        for hopeless in self.queue.take_hopeless(Millis(now)) {
            self.refuse(hopeless.id as usize, None, now);
        }
        while self.free_slots(now) > 0 {
            let usage = |customer| self.usage.get(customer, now);
            let next = match self.order {
                Order::Arrival => self.arrivals.pop_front(),
                _ => self.queue.pop(Millis(now), usage).map(|w| (w.id as usize, w.demand)),
            };
            match next {
                Some((caller, demand)) => self.start(caller, demand, now),
                None => break,
            }
        }
        if self.free_slots(now) > 0 {
            self.outcome.held_back += self.queue.len();
        }
    }

    fn start(&mut self, caller: usize, demand: Demand, now: u64) {
        let c = &mut self.callers[caller];
        c.is_served = Millis(now) <= demand.latest_start();
        c.is_on_target = now + c.prefill <= c.first_sent_at + KINDS[c.kind].target;
        let time = c.time_in_slot();
        self.usage.add(c.customer, time, now);
        self.mean_time += (time as f64 - self.mean_time) / 100.0;
        self.running.insert(self.next_run, caller);
        self.events.push(Reverse((now + time, Event::End { run: self.next_run })));
        self.next_run += 1;
    }
}

impl Outcome {
    /// Returns the share of the callers selected by `is_counted` that were served in time.
    pub fn share(&self, is_counted: impl Fn(&Caller) -> bool) -> f64 {
        self.share_with(is_counted, |c| c.is_served)
    }

    /// Returns the share of the callers selected by `is_counted` for which `is_good` holds.
    fn share_with(
        &self,
        is_counted: impl Fn(&Caller) -> bool,
        is_good: impl Fn(&Caller) -> bool,
    ) -> f64 {
        let in_shortage = |c: &&Caller| SHORTAGE.contains(&c.first_sent_at);
        let counted: Vec<_> =
            self.callers.iter().filter(in_shortage).filter(|c| is_counted(c)).collect();
        counted.iter().filter(|c| is_good(c)).count() as f64 / counted.len().max(1) as f64
    }

    /// Returns the share of each kind.
    pub fn shares(&self) -> [f64; 3] {
        [0, 1, 2].map(|kind| self.share(|c| c.kind == kind))
    }

    /// Returns the share of each kind that began within the latency target.
    pub fn shares_on_target(&self) -> [f64; 3] {
        [0, 1, 2].map(|kind| self.share_with(|c| c.kind == kind, |c| c.is_on_target))
    }

    /// Returns the share of the largest tenth of a kind by tokens.
    pub fn share_of_largest(&self, kind: usize) -> f64 {
        let mut tokens: Vec<_> =
            self.callers.iter().filter(|c| c.kind == kind).map(|c| c.tokens).collect();
        tokens.sort_unstable();
        let min = tokens[tokens.len() * 9 / 10];
        self.share(|c| c.kind == kind && c.tokens >= min)
    }
}
