//! Exposure bound: requests that go to a version whose fault never shows, under any change of the
//! request rate.

mod rollout_fleet;

use redwingfold_core::{CanaryPolicy, Millis, OrderAge, Phase};
use rollout_fleet::{BadAnswerRate, FaultKind, Fleet, Outcome, WINDOW};

/// Allowed exposures, as shares of a service's requests.
const EXPOSURES: [f64; 2] = [0.15, 0.0975];
/// Gateways, and their requests per second in total.
const FLEETS: [(usize, u64); 3] = [(3, 150), (28, 300), (103, 800)];
/// Requests that operators allow in addition to the share.
const SLACK: u64 = 30;

const GOOD: BadAnswerRate = |_, _, _| 0.0;

/// Request rate that is multiplied by `factor` from a time on.
fn rate_step(per_s: u64, at: u64, factor: f64) -> impl Fn(u64) -> u64 {
    move |ms| if ms < at { per_s } else { (per_s as f64 * factor) as u64 }
}

fn part_of_window(percent: u64) -> u64 {
    WINDOW * percent / 100
}

fn assert_within_exposure(outcome: &Outcome, exposure: f64, what: &str) {
    let allowed = (outcome.all as f64 * exposure) as u64 + SLACK;
    let Outcome { to_target, all, .. } = outcome;
    assert!(*to_target <= allowed, "{what}: {to_target} of {all}, {allowed} allowed");
}

fn for_each_fleet(mut f: impl FnMut(usize, u64, f64, u64)) {
    for (gateways, per_s) in FLEETS {
        for exposure in EXPOSURES {
            let seeds = if gateways > 50 { 1 } else { 4 };
            (0..seeds).for_each(|seed| f(gateways, per_s, exposure, seed));
        }
    }
}

/// Guards against exceeding the exposure. A version shows no fault in its window, and a burst of
/// 1.7 or three times the rate begins just when all requests go to it, in the last tenth of the
/// window. With full traffic from a fixed time on, the version got more than its share.
#[test]
fn burst_in_the_last_part_of_a_window_stays_within_the_exposure() {
    for_each_fleet(|gateways, per_s, exposure, seed| {
        for (percent, factor) in [(80, 1.7), (88, 1.7), (92, 1.7), (88, 3.0), (91, 3.0), (94, 3.0)]
        {
            let fleet = Fleet::new(gateways, seed).with_exposure(exposure);
            let load = rate_step(per_s, part_of_window(percent), factor);
            let outcome = fleet.simulate_rate(load, 0.0, GOOD, FaultKind::Failed);
            let what =
                format!("{gateways} gateways, {exposure}, seed {seed}, {percent}%, {factor}");
            assert_within_exposure(&outcome, exposure, &what);
        }
    });
}

/// The rate is higher for most of the window and then falls, so that the requests on which the
/// budget counted don't arrive.
#[test]
fn falling_rate_stays_within_the_exposure() {
    for_each_fleet(|gateways, per_s, exposure, seed| {
        for (percent, factor) in [(50, 0.4), (85, 0.4), (92, 0.2)] {
            let fleet = Fleet::new(gateways, seed).with_exposure(exposure);
            let load = rate_step(per_s, part_of_window(percent), factor);
            let outcome = fleet.simulate_rate(load, 0.0, GOOD, FaultKind::Failed);
            assert_within_exposure(
                &outcome,
                exposure,
                &format!("{gateways} gateways, seed {seed}, {percent}%, {factor}"),
            );
        }
    });
}

/// During a burst, a third of the gateways restart and half of the messages are lost. A restarted
/// gateway begins with an empty budget, and what it spent before its restart is not spent twice.
#[test]
fn gateways_that_start_anew_stay_within_the_exposure() {
    for_each_fleet(|gateways, per_s, exposure, seed| {
        for percent in [60, 86, 92] {
            let at = part_of_window(percent);
            let fleet = Fleet::new(gateways, seed).with_exposure(exposure).with_message_loss(0.5);
            let fleet = fleet.with_restart(at, gateways.div_ceil(3));
            let outcome =
                fleet.simulate_rate(rate_step(per_s, at, 1.7), 0.0, GOOD, FaultKind::Failed);
            assert_within_exposure(
                &outcome,
                exposure,
                &format!("{gateways} gateways, seed {seed}, {percent}%"),
            );
        }
    });
}

/// The exposure bound must not delay a good version beyond its deadline: at a steady rate, with a
/// burst in the last part of the window, and with a falling rate.
#[test]
fn good_version_is_done_in_time_within_its_exposure() {
    for_each_fleet(|gateways, per_s, exposure, seed| {
        for (percent, factor) in [(0, 1.0), (80, 1.7), (88, 1.7), (92, 1.7), (91, 3.0), (85, 0.4)] {
            let fleet = Fleet::new(gateways, seed).with_exposure(exposure);
            let load = rate_step(per_s, part_of_window(percent), factor);
            let outcome = fleet.simulate_rate(load, 0.0, GOOD, FaultKind::Failed);
            let what =
                format!("{gateways} gateways, {exposure}, seed {seed}, {percent}%, {factor}");
            assert_eq!(outcome.phase, Phase::Done, "{what}");
            assert!(
                outcome.ended_at.is_some_and(|at| at < WINDOW),
                "{what}: {:?}",
                outcome.ended_at
            );
        }
    });
}

/// Guards against a good version of a large fleet that is done after its deadline. The store
/// returns an order 0 to 1.1 s after it was given, and gateways know only that range. By the
/// greatest age, the window is over before full traffic has lasted long enough, and many more
/// answers are required after the deadline; by the least age, full traffic begins late.
#[test]
fn good_version_is_done_in_time_though_the_age_of_its_order_is_doubtful() {
    let age_uncertainty = Millis(1_100);
    for after in [0, 300, 600, 900, 1_100] {
        for (gateways, per_s) in [(28, 300), (103, 800)] {
            let age = OrderAge { max: age_uncertainty, ..OrderAge::default() };
            let fleet = Fleet::with_order_age(gateways, 0, Millis(after), age);
            let fleet = fleet.with_policy(CanaryPolicy::for_exposure(0.0975), age, Millis(after));
            let outcome = fleet.simulate(per_s, 0.0, GOOD, FaultKind::Failed);
            let what = format!("{gateways} gateways, read after {after} ms");
            assert_within_exposure(&outcome, 0.0975, &what);
            assert!(
                outcome.ended_at.is_some_and(|at| at < WINDOW),
                "{what}: {:?}",
                outcome.ended_at
            );
        }
    }
}
