//! Evacuation orders under partitions, restarts and restores of the store.

use redwingfold_core::{EvacuationChange, Evacuations, FailureDomain, Millis};

/// Longest time in ms between two reads of a gateway.
const READ_INTERVAL: u64 = 1_350;

/// Longest time in ms until the operator writes orders again which a restored store lacks.
const REWRITE_DELAY: u64 = 3_000;

/// Time in ms during which faults occur, and time afterwards in which gateways converge.
const FAULT_PHASE: u64 = 40_000;
const SETTLE_TIME: u64 = 15_000;

/// The operator's topic: records of orders, and the number of restores so far.
#[derive(Clone, Default)]
struct Topic {
    records: Vec<(FailureDomain, bool)>,
    era: u32,
}

impl Topic {
    fn orders_in_force(&self) -> Vec<FailureDomain> {
        let mut orders_in_force: Vec<FailureDomain> = Vec::new();
        for (domain, is_ordered) in &self.records {
            orders_in_force.retain(|d| d != domain);
            orders_in_force.extend(is_ordered.then(|| domain.clone()));
        }
        orders_in_force
    }
}

struct Gateway {
    orders: Evacuations,
    next: Option<(u32, usize)>,
    reads_at: u64,
    partitioned_until: u64,
    /// Orders that the gateway could read, with the time of each.
    orders_read: Vec<(FailureDomain, u64)>,
}

impl Gateway {
    fn new(reads_at: u64) -> Self {
        Self {
            orders: Evacuations::default(),
            next: None,
            reads_at,
            partitioned_until: 0,
            orders_read: Vec::new(),
        }
    }

    fn read(&mut self, topic: &Topic, is_full_read: bool, now: Millis) {
        let (era, next) = (topic.era, topic.records.len());
        match self.next {
            Some((known, from)) if known == era && !is_full_read => {
                for (domain, is_ordered) in &topic.records[from..] {
                    match is_ordered {
                        true => self.orders.add_order(domain, now),
                        false => self.orders.end_order(domain, now),
                    };
                }
            }
            Some((known, _)) if known < era => {
                self.orders.replace_by_restored(&topic.orders_in_force(), now);
            }
            _ => {
                self.orders.replace(&topic.orders_in_force(), now);
            }
        }
        self.next = Some((era, next));
    }
}

/// Faults that are injected.
#[derive(Clone, Copy)]
struct Faults {
    /// Whether the store is restored from older copies.
    restores: bool,
    /// Injected bug: whether the complete list of a copy is treated like any other.
    treats_copy_as_current: bool,
}

/// Simulates an operator who orders and ends evacuations, and gateways that read late, are
/// partitioned and restart.
///
/// Returns how often a gateway sent requests to a domain whose evacuation it had been able to read.
fn simulate(n: usize, faults: Faults, seed: u64) -> usize {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut gateways: Vec<_> = (0..n).map(|_| Gateway::new(rng.u64(..READ_INTERVAL))).collect();
    let (mut topic, mut copy) = (Topic::default(), Topic::default());
    // The orders that the operator wants in force, since when, and when it writes them again.
    let mut wanted: Vec<(FailureDomain, u64)> = Vec::new();
    let mut rewrite_at: Option<u64> = None;
    let mut violations = 0;
    for at in (0..FAULT_PHASE + SETTLE_TIME).step_by(10) {
        let now = Millis(at);
        let is_settling = at >= FAULT_PHASE;
        if !is_settling && rng.u32(..150) == 0 && rewrite_at.is_none() {
            let domain = domain(rng.u8(..4));
            let before = wanted.len();
            wanted.retain(|(d, _)| *d != domain);
            let is_ordered = wanted.len() == before;
            wanted.extend(is_ordered.then(|| (domain.clone(), at)));
            topic.records.push((domain, is_ordered));
        }
        if rng.u32(..300) == 0 {
            copy = topic.clone();
        }
        if faults.restores && !is_settling && rng.u32(..800) == 0 && rewrite_at.is_none() {
            topic = Topic { records: copy.records.clone(), era: topic.era + 1 };
            rewrite_at = Some(at + rng.u64(..REWRITE_DELAY));
        }
        if rewrite_at.is_some_and(|due| at >= due) {
            rewrite_at = None;
            for n in 0..4 {
                let is_ordered = wanted.iter().any(|(d, _)| *d == domain(n));
                topic.records.push((domain(n), is_ordered));
            }
        }
        for gateway in &mut gateways {
            if !is_settling && rng.u32(..3_000) == 0 {
                *gateway = Gateway::new(at);
            }
            if !is_settling && rng.u32(..3_000) == 0 {
                gateway.partitioned_until = at + rng.u64(..6_000);
            }
            gateway.orders.expire(now);
            if at < gateway.reads_at || at < gateway.partitioned_until {
                continue;
            }
            gateway.reads_at = at + rng.u64(..READ_INTERVAL);
            let is_new_era = gateway.next.is_some_and(|(era, _)| era < topic.era);
            if faults.treats_copy_as_current && is_new_era {
                gateway.next = None;
            }
            gateway.read(&topic, rng.u32(..4) == 0, now);
            // Between a restore and the operator's next write, a gateway has only what it read before.
            if rewrite_at.is_none() {
                gateway.orders_read.clone_from(&wanted);
            }
            let due = wanted.iter().filter(|order| gateway.orders_read.contains(order));
            violations += due.filter(|(domain, _)| !gateway.orders.is_evacuated(domain)).count();
        }
    }
    let orders_in_force = topic.orders_in_force();
    for gateway in &gateways {
        (0..4).for_each(|n| {
            let is_evacuated = gateway.orders.is_evacuated(&domain(n));
            assert_eq!(is_evacuated, orders_in_force.contains(&domain(n)), "{n}, seed {seed}");
        });
    }
    violations
}

/// Gateways read late, in parts or the complete list, are partitioned and restart, while the store
/// is restored from copies and written again. No gateway that has read an order sends requests to
/// the evacuated domain, and in the end all gateways have the store's orders.
#[test]
fn orders_hold_through_cuts_restarts_and_restores() {
    for (n, seeds) in [(3, 30), (27, 10), (103, 3), (330, 1)] {
        for seed in 0..seeds {
            for restores in [false, true] {
                let violations =
                    simulate(n, Faults { restores, treats_copy_as_current: false }, seed);
                assert_eq!(violations, 0, "{n} gateways, seed {seed}, restores: {restores}");
            }
        }
    }
}

/// Confirms that the check above detects lost orders, with gateways that treat a copy's list as
/// current.
#[test]
fn order_that_is_lost_with_a_copy_is_caught() {
    let violations =
        |seed| simulate(27, Faults { restores: true, treats_copy_as_current: true }, seed);
    assert!((0..20).map(violations).sum::<usize>() > 0);
}

fn domain(n: u8) -> FailureDomain {
    format!("hall-{n}").parse().unwrap()
}

/// An order that a copy lacks stays in force until the operator had time to write it again, and
/// indefinitely if it was written.
#[test]
fn order_that_a_copy_lacks_stays_for_a_while() {
    let mut lost = Evacuations::default();
    lost.add_order(&domain(1), Millis(0));
    let mut written_again = lost.clone();
    for evacuations in [&mut lost, &mut written_again] {
        assert!(evacuations.replace_by_restored(&[], Millis(1_000)).is_empty());
        assert!(evacuations.expire(Millis(5_000)).is_empty());
    }
    written_again.add_order(&domain(1), Millis(5_000));
    assert!(written_again.expire(Millis(60_000)).is_empty());
    assert_eq!(lost.expire(Millis(60_000)), [EvacuationChange::Returned(domain(1))]);
}

/// Guards against an order that ends too early. A copy lacks it, and other gateways send the copy's
/// list before the operator writes again; when the second list was treated as current, the order
/// ended at once, and a domain under maintenance got requests.
#[test]
fn copy_that_is_passed_on_ends_no_order() {
    let mut evacuations = Evacuations::default();
    evacuations.add_order(&domain(1), Millis(0));
    evacuations.replace_by_restored(&[], Millis(1_000));
    assert!(evacuations.replace(&[], Millis(1_200)).is_empty());
    assert!(evacuations.is_evacuated(&domain(1)));
    assert_eq!(evacuations.replace(&[], Millis(12_000)), [EvacuationChange::Returned(domain(1))]);
}

/// A copy has an order that has already ended here. It counts as in force, as it may have been
/// given again.
#[test]
fn order_of_a_copy_stands() {
    let mut evacuations = Evacuations::default();
    evacuations.add_order(&domain(1), Millis(0));
    evacuations.end_order(&domain(1), Millis(1_000));
    evacuations.replace_by_restored(&[domain(1)], Millis(2_000));
    assert!(evacuations.is_evacuated(&domain(1)));
}

/// After any sequence of single orders, a read of the complete list leaves a gateway with the
/// store's orders, and the reported changes are consistent.
#[test]
fn whole_read_settles_what_is_emptied() {
    bolero::check!().with_type::<(Vec<(u8, bool)>, Vec<u8>)>().for_each(|(steps, last)| {
        let mut evacuations = Evacuations::default();
        let mut reported = std::collections::HashSet::new();
        let mut take = |changes: Vec<EvacuationChange>| {
            for change in changes {
                match change {
                    EvacuationChange::Evacuated(domain) => assert!(reported.insert(domain)),
                    EvacuationChange::Returned(domain) => assert!(reported.remove(&domain)),
                }
            }
        };
        for (at, (n, is_ordered)) in (0..).zip(steps) {
            let (domain, now) = (domain(n % 5), Millis(at * 100));
            let change = match is_ordered {
                true => evacuations.add_order(&domain, now),
                false => evacuations.end_order(&domain, now),
            };
            take(change.into_iter().collect());
        }
        let last: Vec<_> = last.iter().map(|n| domain(n % 5)).collect();
        take(evacuations.replace(&last, Millis(1_000_000)));
        for n in 0..5 {
            assert_eq!(evacuations.is_evacuated(&domain(n)), last.contains(&domain(n)));
            assert_eq!(reported.contains(&domain(n)), last.contains(&domain(n)));
        }
    });
}
