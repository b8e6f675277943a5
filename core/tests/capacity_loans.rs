//! Loans of capacity between gateways, in virtual time: messages are lost and late, gateways start anew.

use redwingfold_core::{CapacityLoans, Millis, Part};

const FLEETS: [usize; 4] = [3, 23, 103, 330];

const SERVICE: u32 = 7;

/// Slots of all servers of the service, for each gateway.
const SLOTS_PER_GATEWAY: u32 = 20;

const STEP: u64 = 20;

type Loans = CapacityLoans<usize>;

/// A message under way.
#[derive(Clone, Copy, Debug)]
enum Message {
    Request { number: u16 },
    Loan { number: u16, share: f64 },
}

#[derive(Clone, Copy, Debug)]
struct Sent {
    arrives_at: u64,
    from: usize,
    to: usize,
    message: Message,
}

/// How messages are delivered.
#[derive(Clone, Copy, Debug)]
struct Network {
    lost: f64,
    max_delay: u64,
}

struct Fleet {
    gateways: Vec<Loans>,
    under_way: Vec<Sent>,
    network: Network,
    rng: fastrand::Rng,
}

impl Fleet {
    fn new(size: usize, network: Network, seed: u64) -> Self {
        Self {
            gateways: vec![Loans::default(); size],
            under_way: Vec::new(),
            network,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    fn slots(&self) -> u32 {
        SLOTS_PER_GATEWAY * self.gateways.len() as u32
    }

    fn send(&mut self, now: u64, from: usize, to: usize, message: Message) {
        if self.rng.f64() >= self.network.lost {
            let arrives_at = now + self.rng.u64(..=self.network.max_delay);
            self.under_way.push(Sent { arrives_at, from, to, message });
        }
    }

    /// Lets gateways ask all others, and delivers the messages that are due.
    fn step(&mut self, now: u64, borrowers: &[usize]) {
        let size = self.gateways.len();
        for &from in borrowers {
            if let Some(number) = self.gateways[from].request(SERVICE, Millis(now)) {
                let others = (0..size).filter(|to| *to != from);
                others.for_each(|to| self.send(now, from, to, Message::Request { number }));
            }
        }
        let (due, later) = self.under_way.drain(..).partition(|sent| sent.arrives_at <= now);
        self.under_way = later;
        let due: Vec<Sent> = due;
        for Sent { from, to, message, .. } in due {
            match message {
                Message::Request { number } => {
                    let share = self.gateways[to].lend(&from, SERVICE, size, Millis(now));
                    self.send(now, to, from, Message::Loan { number, share });
                }
                Message::Loan { number, share } => {
                    self.gateways[to].accept(&from, number, SERVICE, share, Millis(now));
                }
            }
        }
    }

    fn part(&self, gateway: usize, now: u64) -> Part {
        self.gateways[gateway].part(SERVICE, self.gateways.len(), Millis(now))
    }

    fn sum(&self, now: u64) -> f64 {
        (0..self.gateways.len()).map(|n| self.part(n, now).share()).sum()
    }
}

/// Guards against gateways that together have more than the whole capacity, as two of them count the same part as theirs:
/// while callers move from one gateway to another, all ask at once, and messages are lost or late.
#[test]
fn parts_of_all_gateways_are_never_more_than_the_whole() {
    let networks = [
        Network { lost: 0.0, max_delay: 2 },
        Network { lost: 0.5, max_delay: 400 },
        Network { lost: 0.1, max_delay: 3_000 },
        Network { lost: 1.0, max_delay: 0 },
    ];
    for size in FLEETS {
        let seeds = if size > 100 { 0..2 } else { 0..20 };
        for (network, seed) in networks.iter().flat_map(|n| seeds.clone().map(move |s| (*n, s))) {
            let mut fleet = Fleet::new(size, network, seed);
            let mut borrowers = vec![0];
            for now in (0..6_000).step_by(STEP as usize) {
                if fleet.rng.u32(..25) == 0 {
                    let count = fleet.rng.usize(0..=size.min(5));
                    borrowers = (0..count).map(|_| fleet.rng.usize(..size)).collect();
                }
                let busy = fleet.rng.usize(..size);
                let (running, slots) = (fleet.rng.u32(..2 * SLOTS_PER_GATEWAY), fleet.slots());
                fleet.gateways[busy].record_use(SERVICE, running, slots, Millis(now));
                fleet.step(now, &borrowers);
                let sum = fleet.sum(now);
                assert!(sum <= 1.0 + 1e-9, "{size} gateways, {network:?}, seed {seed}: {sum}");
            }
        }
    }
}

/// Guards against a gateway with nearly all callers that has no more than an equal part while the others need little.
#[test]
fn gateway_with_most_callers_has_most_of_the_capacity() {
    for size in FLEETS {
        let mut fleet = Fleet::new(size, Network { lost: 0.02, max_delay: 5 }, 1);
        let mut least = 1.0_f64;
        for now in (0..4_000).step_by(STEP as usize) {
            let slots = fleet.slots();
            for n in 1..size {
                fleet.gateways[n].record_use(SERVICE, 1, slots, Millis(now));
            }
            fleet.step(now, &[0]);
            if now >= 500 {
                least = least.min(fleet.part(0, now).share());
            }
        }
        // Of its 20 slots, each other gateway keeps 5.
        assert!(least >= 0.65, "{size} gateways: {least}");
    }
}

/// Guards against a second gateway with many callers that gets nothing because the first one has borrowed all.
#[test]
fn two_gateways_with_many_callers_get_as_much() {
    let mut fleet = Fleet::new(23, Network { lost: 0.0, max_delay: 5 }, 1);
    for now in (0..3_000).step_by(STEP as usize) {
        fleet.step(now, if now < 1_000 { &[0] } else { &[0, 1] });
    }
    let shares = [0, 1].map(|n| fleet.part(n, 2_990).share());
    assert!(shares.iter().all(|share| *share > 0.3), "{shares:?}");
}

/// Guards against capacity that stays lent after the borrower has stopped asking, or was lost.
#[test]
fn loans_end_by_themselves() {
    let mut fleet = Fleet::new(23, Network { lost: 0.0, max_delay: 5 }, 1);
    for now in (0..2_000).step_by(STEP as usize) {
        fleet.step(now, &[0]);
    }
    assert!(fleet.part(0, 1_990).share() > 0.5);
    assert!((0..23).all(|n| (fleet.part(n, 2_800).share() - 1.0 / 23.0).abs() < 1e-9));
}

/// Guards against a part that grows by loans that were not asked for, that come too late or that are not shares; and by
/// any at a gateway that does not know the size of the fleet.
#[test]
fn absurd_and_unknown_loans_are_ignored() {
    let mut loans = Loans::default();
    let number = loans.request(SERVICE, Millis(0)).expect("the first request");
    loans.accept(&1, number, SERVICE, 1.5, Millis(1));
    loans.accept(&1, number, SERVICE, f64::NAN, Millis(1));
    loans.accept(&1, number, SERVICE + 1, 0.5, Millis(1));
    loans.accept(&1, number.wrapping_add(1), SERVICE, 0.5, Millis(1));
    loans.accept(&1, number, SERVICE, 0.5, Millis(600));
    assert_eq!(loans.part(SERVICE, 4, Millis(600)).share(), 0.25);
    assert_eq!(loans.part(SERVICE, 0, Millis(600)).of(48), 1);
}

/// Guards against a lender that uses a slot at each of many servers, more than it has left.
#[test]
fn lender_is_bounded_over_all_servers() {
    let mut loans = Loans::default();
    assert_eq!(loans.part(SERVICE, 100, Millis(0)).of_lent_service(400), None);
    assert!(loans.lend(&1, SERVICE, 100, Millis(0)) > 0.0);
    let part = loans.part(SERVICE, 100, Millis(1));
    assert_eq!((part.of(8), part.of_lent_service(400)), (1, Some(1)));
}
