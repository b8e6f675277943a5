//! Subsets of peers, holders of session pins, readers of the log, and the failure detector.

use std::collections::BTreeSet;

use redwingfold_core::{
    FailureDetector, HeartbeatPolicy, HostId, Member, Millis, PeerHealth, Pin, PinKey, PinTable,
    PooledSide, is_log_reader, pin_holders, sides_of_entry,
};

const DOMAINS: usize = 8;

fn fleet(hosts: usize) -> Vec<Member> {
    let member = |n: usize| Member {
        host: format!("gpu-{n}").parse().unwrap(),
        domain: format!("domain-{}", n % DOMAINS).parse().unwrap(),
    };
    (0..hosts).map(member).collect()
}

const POOLS: usize = 14;
const FAN_IN: usize = 2;
const PER_POOL: usize = 2;

fn entries(n: usize) -> Vec<Member> {
    let member = |n: usize| Member {
        host: format!("entry-{n}").parse().unwrap(),
        domain: format!("domain-{}", n % DOMAINS).parse().unwrap(),
    };
    (0..n).map(member).collect()
}

fn sides(hosts: usize) -> Vec<PooledSide> {
    let pooled = |(n, member)| PooledSide { member, pool: format!("pool-{}", n % POOLS) };
    fleet(hosts).into_iter().enumerate().map(pooled).collect()
}

fn sides_of(own: usize, entries: &[Member], sides: &[PooledSide]) -> BTreeSet<HostId> {
    let own = format!("entry-{own}").parse().unwrap();
    sides_of_entry(&own, entries, sides, FAN_IN, PER_POOL)
}

/// At the target size of 24 entries and 306 sides, every side has connections, every entry reaches
/// every pool, and no entry has more than 65 connections.
#[test]
fn every_side_has_entries_and_every_entry_all_pools() {
    let (entries, sides) = (entries(24), sides(306));
    let connected: Vec<_> = (0..24).map(|n| sides_of(n, &entries, &sides)).collect();
    for side in &sides {
        let fan_in = connected.iter().filter(|t| t.contains(&side.member.host)).count();
        assert!(fan_in >= FAN_IN, "{} has {fan_in}", side.member.host);
    }
    for connected in &connected {
        let of_pool = |pool: usize| {
            let pool = format!("pool-{pool}");
            sides.iter().filter(|s| s.pool == pool && connected.contains(&s.member.host)).count()
        };
        assert!((0..POOLS).all(|pool| of_pool(pool) >= PER_POOL));
        assert!(connected.len() <= 65, "{}", connected.len());
    }
}

/// An entry keeps almost all of its connections when a side or another entry is removed.
#[test]
fn connections_move_little() {
    let (all_entries, all_sides) = (entries(24), sides(306));
    for own in 0..6 {
        let before = sides_of(own, &all_entries, &all_sides);
        for gone in [0, 17, 299] {
            let mut left = all_sides.clone();
            let gone = left.remove(gone).member.host;
            let mut lost: BTreeSet<_> = &before - &sides_of(own, &all_entries, &left);
            lost.remove(&gone);
            assert!(lost.is_empty(), "{lost:?}");
        }
        let mut left = all_entries.clone();
        left.remove(23);
        let after = sides_of(own, &left, &all_sides);
        assert!((&before - &after).len() <= 2, "{:?}", &before - &after);
        assert!((&after - &before).len() <= 8, "{:?}", &after - &before);
    }
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

/// Holders that merge the same pins in different orders converge.
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

fn policy(misses: u32) -> HeartbeatPolicy {
    HeartbeatPolicy { interval: Millis(100), idle_interval: Millis(300), misses, dead_misses: 5 }
}

#[test]
fn an_idle_peer_is_asked_less_often() {
    let detector = FailureDetector::new(policy(1), Millis(0));
    assert!(!detector.is_heartbeat_due(Millis(200), false));
    assert!(detector.is_heartbeat_due(Millis(200), true));
    assert!(detector.is_heartbeat_due(Millis(300), false));
}

/// A process that was itself paused for a long time does not suspect its peers when it resumes, as
/// it has sent no heartbeat in the meantime.
#[test]
fn a_sleeper_suspects_nobody() {
    let policy = policy(1);
    let detector = FailureDetector::new(policy, Millis(0));
    assert_eq!(detector.health(Millis(60_000)), PeerHealth::Live);
    assert!(detector.is_heartbeat_due(Millis(60_000), false));
}

#[test]
fn a_silent_peer_is_suspected_and_then_dead() {
    let policy = policy(3);
    let mut detector = FailureDetector::new(policy, Millis(0));
    detector.record_heartbeat(Millis(100));
    assert_eq!(detector.health(Millis(399)), PeerHealth::Live);
    assert_eq!(detector.health(Millis(400)), PeerHealth::Suspect);
    assert_eq!(detector.health(Millis(600)), PeerHealth::Dead);
    detector.record_receipt(Millis(601));
    assert_eq!(detector.health(Millis(601)), PeerHealth::Live);
}
