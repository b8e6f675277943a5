//! Requests that all gateways combined send to backend servers that report a limit.

mod turn_fleet;

use redwingfold_core::{LimitPolicy, Millis, RequestRate};
use turn_fleet::{Fault, Load, Sharing, worst};

/// Limits that servers report, in requests per second.
const LIMITS: [f64; 5] = [0.2, 1.0, 2.0, 6.0, 20.0];

const FAULTS: [Fault; 4] = [Fault::None, Fault::HalfKnown, Fault::Restarted, Fault::DeadGateways];

fn target_rate(limit: f64, fleet: usize) -> RequestRate {
    LimitPolicy::default().rate(RequestRate::new(limit).unwrap(), fleet)
}

/// Some servers report a limit and are preferred to loaded ones.
fn partly_limited(gateways: usize, limit: f64) -> Load {
    Load {
        gateways,
        cold: (gateways / 9).max(2),
        warm: gateways * 16 / 9,
        per_s: 14.0 * gateways as f64,
        limit,
        target_rate,
        duration: Millis(12_000),
        window: LimitPolicy::default().window,
        burst_at: None,
    }
}

fn allowed(limit: f64) -> usize {
    LimitPolicy::default().max_per_window(RequestRate::new(limit).unwrap()) as usize
}

fn assert_within_limit(fault: Fault, load: Load, seeds: u64) {
    let played = worst(Sharing::Turns, fault, load, seeds);
    let (most, allowed) = (played.most, allowed(load.limit));
    let Load { gateways, limit, .. } = load;
    assert!(most <= allowed, "{gateways} gateways, {fault:?}, limit {limit}: {most} > {allowed}");
}

/// Guards against gateways that together exceed a limit because they know only some of the others, have just started,
/// or count dead gateways.
#[test]
fn gateways_together_stay_within_limits() {
    for limit in LIMITS {
        for fault in FAULTS {
            assert_within_limit(fault, partly_limited(3, limit), 3);
            assert_within_limit(fault, partly_limited(27, limit), 1);
        }
    }
    for limit in [1.0, 6.0] {
        assert_within_limit(Fault::HalfKnown, partly_limited(103, limit), 1);
    }
    assert_within_limit(Fault::HalfKnown, partly_limited(330, 2.0), 1);
}

/// Guards against unused turns that accumulate and are spent in a burst.
#[test]
fn burst_does_not_use_missed_turns() {
    for gateways in [4, 27] {
        let base = partly_limited(gateways, 2.0);
        let load = Load { per_s: base.per_s / 10.0, burst_at: Some(6_000), ..base };
        assert_within_limit(Fault::None, load, 2);
    }
}

/// Guards against requests that exceed a limit because no unlimited server is available.
#[test]
fn limits_hold_without_unlimited_servers() {
    for gateways in [3, 27] {
        for fault in [Fault::None, Fault::HalfKnown] {
            assert_within_limit(fault, Load { warm: 0, ..partly_limited(gateways, 2.0) }, 1);
        }
    }
}

/// Guards against a target rate so low that limited servers stay idle under load.
#[test]
fn limited_servers_are_utilized() {
    for (gateways, min_share) in [(3, 0.5), (27, 0.33), (103, 0.33)] {
        for limit in [2.0, 6.0] {
            let base = partly_limited(gateways, limit);
            let load = Load { per_s: base.per_s * 1.5, ..base };
            let played = worst(Sharing::Turns, Fault::None, load, 1);
            let mean = played.mean;
            assert!(
                mean >= min_share * limit,
                "{gateways} gateways, limit {limit}: {mean:.2} a second"
            );
        }
    }
}

/// Guards against checks that pass although gateways ignore a limit or each use all of it.
#[test]
fn checks_detect_gateways_that_do_not_share_a_limit() {
    let base = partly_limited(4, 2.0);
    let ignored = worst(Sharing::Unlimited, Fault::None, base, 1);
    assert!(ignored.most > allowed(2.0), "{}", ignored.most);
    let load = Load { target_rate: |limit, fleet| target_rate(limit * fleet as f64, 1), ..base };
    let unshared = worst(Sharing::Turns, Fault::None, load, 1);
    assert!(unshared.most > allowed(2.0), "{}", unshared.most);
}
