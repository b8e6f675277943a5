//! Subsets of peers, holders of sessions, readers of the log, and the failure detector.

use std::collections::BTreeSet;

use redwingfold_core::{
    Detector, Health, Member, Millis, Pin, PinKey, PinTable, Policy, is_log_reader, pin_holders,
    subset,
};

const DOMAINS: usize = 8;

fn fleet(hosts: usize) -> Vec<Member> {
    let member = |n: usize| Member {
        host: format!("gpu-{n}").parse().unwrap(),
        domain: format!("domain-{}", n % DOMAINS).parse().unwrap(),
    };
    (0..hosts).map(member).collect()
}

fn names(members: &[&Member]) -> BTreeSet<String> {
    members.iter().map(|m| m.host.to_string()).collect()
}

/// An entry keeps almost all of its peers when one of 300 hosts goes: at most one is replaced, and
/// that one only if the host was among them.
#[test]
fn a_subset_moves_little() {
    let all = fleet(300);
    for entry in 0..20 {
        let own = format!("entry-{entry}").parse().unwrap();
        let before = names(&subset(&own, &all, 24));
        for gone in [0, 17, 299] {
            let mut left = all.clone();
            left.remove(gone);
            let after = names(&subset(&own, &left, 24));
            let moved = before.difference(&after).count();
            // In its failure domain the next one moves up; the others stay.
            assert!(moved <= 1, "{moved} of 24 moved");
        }
    }
}

#[test]
fn a_subset_is_spread_over_failure_domains() {
    let all = fleet(300);
    let own = "entry-1".parse().unwrap();
    let mut by_domain = std::collections::BTreeMap::new();
    for member in subset(&own, &all, 24) {
        *by_domain.entry(member.domain.clone()).or_insert(0) += 1;
    }
    assert_eq!(by_domain.len(), DOMAINS);
    assert!(by_domain.values().all(|n| *n == 3), "{by_domain:?}");
}

#[test]
fn holders_of_a_session_are_in_different_failure_domains() {
    let all = fleet(12);
    for session in 0..50 {
        let key = PinKey {
            customer: "ani".parse().unwrap(),
            session: format!("batch-{session}").parse().unwrap(),
            name: "slip".to_owned(),
        };
        let domains: BTreeSet<_> = pin_holders(&key, &all, 3).iter().map(|m| &m.domain).collect();
        assert_eq!(domains.len(), 3);
    }
}

#[test]
fn each_failure_domain_has_its_readers() {
    let all = fleet(300);
    let readers = all.iter().filter(|m| is_log_reader(m, &all, 2)).count();
    assert_eq!(readers, 2 * DOMAINS);
}

/// Holders that got pins in different orders agree in the end.
#[test]
fn pins_that_crossed_end_up_equal() {
    bolero::check!().for_each(|bytes: &[u8]| {
        let key = PinKey {
            customer: "ani".parse().unwrap(),
            session: "batch".parse().unwrap(),
            name: "slip".to_owned(),
        };
        let pin = |byte: &u8| Pin {
            moves: u32::from(byte >> 6),
            since: Millis(u64::from(byte >> 3 & 7)),
            version: format!("v{}", byte & 7).parse().unwrap(),
        };
        let pins: Vec<_> = bytes.iter().take(8).map(pin).collect();
        let (mut one, mut other) = (PinTable::new(4), PinTable::new(4));
        for pin in &pins {
            one.merge(&key, pin.clone(), Millis(0));
        }
        for pin in pins.iter().rev() {
            other.merge(&key, pin.clone(), Millis(0));
        }
        assert_eq!(one.get(&key, Millis(0)), other.get(&key, Millis(0)));
    });
}

#[test]
fn a_full_table_forgets_what_was_used_longest_ago() {
    let key = |n: u64| PinKey {
        customer: "ani".parse().unwrap(),
        session: format!("batch-{n}").parse().unwrap(),
        name: "slip".to_owned(),
    };
    let pin = Pin { moves: 0, since: Millis(0), version: "v".parse().unwrap() };
    let mut table = PinTable::new(2);
    table.get_or_set(&key(1), pin.clone(), Millis(1));
    table.get_or_set(&key(2), pin.clone(), Millis(2));
    assert!(table.get(&key(1), Millis(3)).is_some());
    table.get_or_set(&key(3), pin, Millis(4));
    assert!(table.get(&key(2), Millis(5)).is_none());
    assert!(table.get(&key(1), Millis(6)).is_some());
}

/// A process that was frozen itself, and wakes long after, does not take its peers for dead: it has
/// asked nothing in the meantime.
#[test]
fn a_sleeper_suspects_nobody() {
    let policy = Policy { interval: Millis(100), misses: 1, dead_misses: 5 };
    let detector = Detector::new(policy, Millis(0));
    assert_eq!(detector.health(Millis(60_000)), Health::Live);
    assert!(detector.should_ask(Millis(60_000)));
}

#[test]
fn a_silent_peer_is_suspected_and_then_dead() {
    let policy = Policy { interval: Millis(100), misses: 3, dead_misses: 5 };
    let mut detector = Detector::new(policy, Millis(0));
    detector.asked(Millis(100));
    assert_eq!(detector.health(Millis(399)), Health::Live);
    assert_eq!(detector.health(Millis(400)), Health::Suspect);
    assert_eq!(detector.health(Millis(600)), Health::Dead);
    detector.heard(Millis(601));
    assert_eq!(detector.health(Millis(601)), Health::Live);
}
