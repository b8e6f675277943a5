//! Total request rates of all gateways to backend servers that have just started.

mod turn_fleet;

use redwingfold_core::{ColdLimit, ColdPolicy, Millis};
use turn_fleet::{Fault, Load, Sharing, worst};

/// What a cold server can take.
const LIMIT: ColdLimit = ColdLimit { duration: Millis(3_000), requests_per_s: 12.0 };

const SEEDS: u64 = 3;

/// Policy for how much of it all gateways together use.
fn policy() -> ColdPolicy {
    ColdPolicy { peak_factor: 1.5, peak_slack: 5.0, ..ColdPolicy::default() }
}

/// A third of the servers come back cold, and gateways prefer these to the loaded ones.
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

/// Most requests that a cold server may get within any second.
fn max_per_second() -> usize {
    policy().max_per_second(LIMIT) as usize
}

/// Servers come back together, while gateways know all other gateways, half of them, or none
/// because they have just started. No server may get more than it can take in any second; without a
/// common limit, each failed under the thundering herd.
#[test]
fn herd_does_not_end_cold_servers() {
    for gateways in [3, 27, 103] {
        for fault in
            [Fault::None, Fault::HalfKnown, Fault::Restarted, Fault::ClockSkew, Fault::DeadGateways]
        {
            let seeds = if gateways > 100 { 1 } else { SEEDS };
            let played = worst(Sharing::Turns, fault, third_cold(gateways), seeds);
            assert!(
                played.most <= max_per_second(),
                "{gateways} gateways, {fault:?}: {}",
                played.most
            );
        }
    }
    let played = worst(Sharing::Turns, Fault::HalfKnown, third_cold(330), 1);
    assert!(played.most <= max_per_second(), "330 gateways: {}", played.most);
}

/// A burst follows a time in which gateways didn't use their send times. If unused ones
/// accumulated, all of them would be used at once.
#[test]
fn unused_turns_are_lost() {
    for gateways in [27, 103] {
        let base = third_cold(gateways);
        let load = Load { per_s: base.per_s / 2.0, burst_at: Some(2_000), ..base };
        let played = worst(Sharing::Turns, Fault::None, load, 2);
        assert!(played.most <= max_per_second(), "{gateways} gateways: {}", played.most);
    }
}

/// All servers are cold at the same time, and no other server can take the load. No server may get
/// more than it can take.
#[test]
fn cold_servers_alone_bear_the_press() {
    for gateways in [3, 27, 103] {
        for fault in [Fault::None, Fault::HalfKnown, Fault::Restarted] {
            let load = Load { warm: 0, ..third_cold(gateways) };
            let played = worst(Sharing::Turns, fault, load, 3);
            assert!(
                played.most <= max_per_second(),
                "{gateways} gateways, {fault:?}: {}",
                played.most
            );
        }
    }
}

/// A limit that leaves cold servers idle would cost callers time: under load, each gets at least
/// four fifths of the intended rate.
#[test]
fn cold_servers_take_their_part() {
    for gateways in [3, 27, 103] {
        let base = third_cold(gateways);
        let load = Load { per_s: base.per_s * 1.5, ..base };
        let played = worst(Sharing::Turns, Fault::None, load, 3);
        let rate = policy().rate(LIMIT).per_second();
        assert!(
            played.mean >= 0.8 * rate * 0.8,
            "{gateways} gateways: {:.1} a second",
            played.mean
        );
    }
}

/// Confirms that the checks above detect an overload: without a limit, and with unused send times
/// that accumulate, servers get too much.
#[test]
fn herd_is_caught() {
    let free = worst(Sharing::Unlimited, Fault::None, third_cold(27), 1);
    assert!(free.most > max_per_second(), "{}", free.most);
    let base = third_cold(103);
    let load = Load { per_s: base.per_s / 2.0, burst_at: Some(2_000), ..base };
    let saved = worst(Sharing::TokenBucket, Fault::None, load, 3);
    assert!(saved.most > max_per_second(), "{}", saved.most);
}

/// Prints the highest and mean rates of each method, by what gateways know of each other.
#[test]
fn ways_are_compared() {
    for gateways in [3, 27] {
        for sharing in [Sharing::Turns, Sharing::TokenBucket, Sharing::Owner, Sharing::TimeSlots] {
            let cells = [
                Fault::None,
                Fault::HalfKnown,
                Fault::Restarted,
                Fault::ClockSkew,
                Fault::LateRecords,
                Fault::DeadGateways,
            ];
            let cells = cells.map(|fault| {
                let played = worst(sharing, fault, third_cold(gateways), SEEDS);
                format!("{:>3} {:>4.1} {:>4.1}", played.most, played.mean, played.least)
            });
            println!(
                "{gateways:>3} {sharing:>6} {}",
                cells.join("  "),
                sharing = format!("{sharing:?}")
            );
        }
    }
}
