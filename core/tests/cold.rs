//! What all gateways together send to backend servers that have just started.

mod turn_fleet;

use redwingfold_core::{ColdLimit, ColdPolicy, Millis};
use turn_fleet::{Belief, Load, Way, worst};

/// What a cold server bears.
const LIMIT: ColdLimit = ColdLimit { duration: Millis(3_000), requests_per_s: 12.0 };

const SEEDS: u64 = 3;

/// How near all gateways come to it.
fn policy() -> ColdPolicy {
    ColdPolicy { peak_factor: 1.5, peak_slack: 5.0, ..ColdPolicy::default() }
}

/// A third of the servers come back cold, and are chosen before the loaded ones.
fn third_cold(gateways: usize) -> Load {
    let of = |servers: usize| (servers * gateways / 27).max(2);
    Load {
        gateways,
        cold: of(16),
        warm: of(33),
        per_s: 14.0 * gateways as f64,
        limit: LIMIT.requests_per_s,
        target_rate: |_, _| policy().rate(LIMIT),
        duration: LIMIT.duration,
        window: Millis(1_000),
        burst_at: None,
    }
}

fn max_per_second() -> usize {
    policy().max_per_second(LIMIT) as usize
}

/// Servers come back together while gateways know all others, or a half, or nobody as they have just started: none gets
/// more than it bears in any second. Each ended under the herd.
#[test]
fn herd_does_not_end_cold_servers() {
    for gateways in [3, 27, 103] {
        for belief in [Belief::Right, Belief::Half, Belief::Anew, Belief::Clocks, Belief::Dead] {
            let seeds = if gateways > 100 { 1 } else { SEEDS };
            let played = worst(Way::Turns, belief, third_cold(gateways), seeds);
            assert!(
                played.most <= max_per_second(),
                "{gateways} gateways, {belief:?}: {}",
                played.most
            );
        }
    }
    let played = worst(Way::Turns, Belief::Half, third_cold(330), 1);
    assert!(played.most <= max_per_second(), "330 gateways: {}", played.most);
}

/// A burst comes after gateways had no use for their turns. Turns that are saved up would all be used at once.
#[test]
fn unused_turns_are_lost() {
    for gateways in [27, 103] {
        let base = third_cold(gateways);
        let load = Load { per_s: base.per_s / 2.0, burst_at: Some(2_000), ..base };
        let played = worst(Way::Turns, Belief::Right, load, 2);
        assert!(played.most <= max_per_second(), "{gateways} gateways: {}", played.most);
    }
}

/// All servers are cold at once, and nobody else can take the load: still none gets more than it bears.
#[test]
fn cold_servers_alone_bear_the_press() {
    for gateways in [3, 27, 103] {
        for belief in [Belief::Right, Belief::Half, Belief::Anew] {
            let load = Load { warm: 0, ..third_cold(gateways) };
            let played = worst(Way::Turns, belief, load, 3);
            assert!(
                played.most <= max_per_second(),
                "{gateways} gateways, {belief:?}: {}",
                played.most
            );
        }
    }
}

/// A limit so low that cold servers idle would cost callers: under load each gets four fifths of the rate aimed at.
#[test]
fn cold_servers_take_their_part() {
    for gateways in [3, 27, 103] {
        let base = third_cold(gateways);
        let load = Load { per_s: base.per_s * 1.5, ..base };
        let played = worst(Way::Turns, Belief::Right, load, 3);
        let rate = policy().rate(LIMIT).per_second();
        assert!(
            played.mean >= 0.8 * rate * 0.8,
            "{gateways} gateways: {:.1} a second",
            played.mean
        );
    }
}

/// The checks above find what they should: without turns, and with turns that are saved up, servers get too much.
#[test]
fn herd_is_caught() {
    let free = worst(Way::Free, Belief::Right, third_cold(27), 1);
    assert!(free.most > max_per_second(), "{}", free.most);
    let base = third_cold(103);
    let load = Load { per_s: base.per_s / 2.0, burst_at: Some(2_000), ..base };
    let saved = worst(Way::Saved, Belief::Right, load, 3);
    assert!(saved.most > max_per_second(), "{}", saved.most);
}

/// Prints what each way sends at most and on average, by belief.
#[test]
fn ways_are_compared() {
    for gateways in [3, 27] {
        for way in [Way::Turns, Way::Saved, Way::Owner, Way::Slots] {
            let cells = [
                Belief::Right,
                Belief::Half,
                Belief::Anew,
                Belief::Clocks,
                Belief::Late,
                Belief::Dead,
            ];
            let cells = cells.map(|belief| {
                let played = worst(way, belief, third_cold(gateways), SEEDS);
                format!("{:>3} {:>4.1} {:>4.1}", played.most, played.mean, played.least)
            });
            println!("{gateways:>3} {way:>6} {}", cells.join("  "), way = format!("{way:?}"));
        }
    }
}
