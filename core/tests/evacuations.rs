//! Orders to empty failure domains, through restores of the store.

use redwingfold_core::{EvacuationChange, Evacuations, FailureDomain, Millis};

/// Longest time between two reads of a gateway.
const READ_EVERY: u64 = 1_350;

/// Time in which the operator writes again what a store from an older copy lacks.
const WRITES_AGAIN: u64 = 3_000;

/// Time for which what is played goes on, and in which gateways settle afterwards.
const SPAN: u64 = 40_000;
const SETTLE: u64 = 15_000;

/// The operator's topic: orders by time, and the copy from which it may come back.
#[derive(Clone, Default)]
struct Topic {
    records: Vec<(FailureDomain, bool)>,
    era: u32,
}

impl Topic {
    fn standing(&self) -> Vec<FailureDomain> {
        let mut standing: Vec<FailureDomain> = Vec::new();
        for (domain, is_ordered) in &self.records {
            standing.retain(|d| d != domain);
            standing.extend(is_ordered.then(|| domain.clone()));
        }
        standing
    }
}

struct Gateway {
    believes: Evacuations,
    next: Option<(u32, usize)>,
    reads_at: u64,
    cut_until: u64,
    /// Orders that it could read.
    read: Vec<(FailureDomain, u64)>,
}

impl Gateway {
    fn new(reads_at: u64) -> Self {
        Self {
            believes: Evacuations::default(),
            next: None,
            reads_at,
            cut_until: 0,
            read: Vec::new(),
        }
    }

    fn read(&mut self, topic: &Topic, is_whole: bool, now: Millis) {
        let (era, next) = (topic.era, topic.records.len());
        match self.next {
            Some((known, from)) if known == era && !is_whole => {
                for (domain, is_ordered) in &topic.records[from..] {
                    match is_ordered {
                        true => self.believes.add_order(domain, now),
                        false => self.believes.end_order(domain, now),
                    };
                }
            }
            Some((known, _)) if known < era => {
                self.believes.replace_by_copy(&topic.standing(), now);
            }
            _ => {
                self.believes.replace(&topic.standing(), now);
            }
        }
        self.next = Some((era, next));
    }
}

/// What gateways may believe wrongly.
#[derive(Clone, Copy)]
struct Faults {
    /// Whether the store comes back from copies.
    restores: bool,
    /// Whether a copy's whole list is taken as any other: the planted fault.
    forgets: bool,
}

/// Lets an operator order and end evacuations before gateways that read late, are cut off and start anew.
///
/// Returns how often a gateway sent to a domain that had been emptied for as long as a gateway needs to hear of it.
fn play(n: usize, faults: Faults, seed: u64) -> usize {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut gateways: Vec<_> = (0..n).map(|_| Gateway::new(rng.u64(..READ_EVERY))).collect();
    let (mut topic, mut copy) = (Topic::default(), Topic::default());
    // What the operator wants, since when, and what it has to write again.
    let mut wanted: Vec<(FailureDomain, u64)> = Vec::new();
    let mut rewrite_at: Option<u64> = None;
    let mut wrong = 0;
    for at in (0..SPAN + SETTLE).step_by(10) {
        let now = Millis(at);
        let is_calm = at >= SPAN;
        if !is_calm && rng.u32(..150) == 0 && rewrite_at.is_none() {
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
        if faults.restores && !is_calm && rng.u32(..800) == 0 && rewrite_at.is_none() {
            topic = Topic { records: copy.records.clone(), era: topic.era + 1 };
            rewrite_at = Some(at + rng.u64(..WRITES_AGAIN));
        }
        if rewrite_at.is_some_and(|due| at >= due) {
            rewrite_at = None;
            for n in 0..4 {
                let is_ordered = wanted.iter().any(|(d, _)| *d == domain(n));
                topic.records.push((domain(n), is_ordered));
            }
        }
        for gateway in &mut gateways {
            if !is_calm && rng.u32(..3_000) == 0 {
                *gateway = Gateway::new(at);
            }
            if !is_calm && rng.u32(..3_000) == 0 {
                gateway.cut_until = at + rng.u64(..6_000);
            }
            gateway.believes.expire(now);
            if at < gateway.reads_at || at < gateway.cut_until {
                continue;
            }
            gateway.reads_at = at + rng.u64(..READ_EVERY);
            let is_new_era = gateway.next.is_some_and(|(era, _)| era < topic.era);
            if faults.forgets && is_new_era {
                gateway.next = None;
            }
            gateway.read(&topic, rng.u32(..4) == 0, now);
            // Between a restore and the operator's next write, only what was read before can be known.
            if rewrite_at.is_none() {
                gateway.read.clone_from(&wanted);
            }
            let due = wanted.iter().filter(|order| gateway.read.contains(order));
            wrong += due.filter(|(domain, _)| !gateway.believes.is_emptied(domain)).count();
        }
    }
    let standing = topic.standing();
    for gateway in &gateways {
        (0..4).for_each(|n| {
            let is_emptied = gateway.believes.is_emptied(&domain(n));
            assert_eq!(is_emptied, standing.contains(&domain(n)), "{n}, seed {seed}");
        });
    }
    wrong
}

/// Gateways read late, in pieces and whole, are cut off and start anew, and the store comes back from copies and is written
/// again. None that has read sends to a domain that is emptied, and in the end all believe what the store has.
#[test]
fn orders_hold_through_cuts_restarts_and_restores() {
    for (n, seeds) in [(3, 30), (27, 10), (103, 3), (330, 1)] {
        for seed in 0..seeds {
            for restores in [false, true] {
                let wrong = play(n, Faults { restores, forgets: false }, seed);
                assert_eq!(wrong, 0, "{n} gateways, seed {seed}, restores: {restores}");
            }
        }
    }
}

/// The check above finds what it should: gateways that take a copy's list for the present lose orders.
#[test]
fn order_that_is_lost_with_a_copy_is_caught() {
    let wrong = |seed| play(27, Faults { restores: true, forgets: true }, seed);
    assert!((0..20).map(wrong).sum::<usize>() > 0);
}

fn domain(n: u8) -> FailureDomain {
    format!("hall-{n}").parse().unwrap()
}

/// An order that a copy lacks is in force until the operator had time to write it again, and for good if it was written.
#[test]
fn order_that_a_copy_lacks_stays_for_a_while() {
    let mut lost = Evacuations::default();
    lost.add_order(&domain(1), Millis(0));
    let mut written_again = lost.clone();
    for evacuations in [&mut lost, &mut written_again] {
        assert!(evacuations.replace_by_copy(&[], Millis(1_000)).is_empty());
        assert!(evacuations.expire(Millis(5_000)).is_empty());
    }
    written_again.add_order(&domain(1), Millis(5_000));
    assert!(written_again.expire(Millis(60_000)).is_empty());
    assert_eq!(lost.expire(Millis(60_000)), [EvacuationChange::Returned(domain(1))]);
}

/// A copy lacks an order, and other gateways pass the copy on before the operator has written again. Taken for the present,
/// the list of the second one ended the order at once, and a domain that was worked on got requests.
#[test]
fn copy_that_is_passed_on_ends_no_order() {
    let mut evacuations = Evacuations::default();
    evacuations.add_order(&domain(1), Millis(0));
    evacuations.replace_by_copy(&[], Millis(1_000));
    assert!(evacuations.replace(&[], Millis(1_200)).is_empty());
    assert!(evacuations.is_emptied(&domain(1)));
    assert_eq!(evacuations.replace(&[], Millis(12_000)), [EvacuationChange::Returned(domain(1))]);
}

/// A copy has an order that has ended here: it may be one that was given once more, and stands.
#[test]
fn order_of_a_copy_stands() {
    let mut evacuations = Evacuations::default();
    evacuations.add_order(&domain(1), Millis(0));
    evacuations.end_order(&domain(1), Millis(1_000));
    evacuations.replace_by_copy(&[domain(1)], Millis(2_000));
    assert!(evacuations.is_emptied(&domain(1)));
}

/// Whatever orders come one by one, lost and found in whole reads, a gateway that read all of them in the end believes
/// what the store has, and has said so by changes that fit each other.
#[test]
fn whole_read_settles_what_is_emptied() {
    bolero::check!().with_type::<(Vec<(u8, bool)>, Vec<u8>)>().for_each(|(steps, last)| {
        let mut evacuations = Evacuations::default();
        let mut told = std::collections::HashSet::new();
        let mut take = |changes: Vec<EvacuationChange>| {
            for change in changes {
                match change {
                    EvacuationChange::Emptied(domain) => assert!(told.insert(domain)),
                    EvacuationChange::Returned(domain) => assert!(told.remove(&domain)),
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
            assert_eq!(evacuations.is_emptied(&domain(n)), last.contains(&domain(n)));
            assert_eq!(told.contains(&domain(n)), last.contains(&domain(n)));
        }
    });
}
