//! Sessions whose requests each reach a random gateway, during a rollout.

mod rollout_fleet;

use redwingfold_core::Phase;
use rollout_fleet::{BadAnswerRate, FaultKind, Fleet, Outcome, SessionLookup, WINDOW};

/// Number of gateways, and requests per second.
const FLEETS: [(usize, u64); 3] = [(3, 150), (27, 300), (103, 800)];

/// Exposure limits: shares of a service's requests that may go to the target version.
const EXPOSURES: [f64; 2] = [0.15, 0.0975];

/// Requests allowed beyond the exposure limit.
const EXPOSURE_SLACK: u64 = 30;

/// Shares of requests that follow another one of their session.
const FOLLOWING: [f64; 2] = [0.1, 0.5];

const GOOD: BadAnswerRate = |_, _, _| 0.0;

struct Load {
    gateways: usize,
    per_s: u64,
    exposure: f64,
    following: f64,
    /// Position in the window, in percent, from which the request rate is multiplied, and the factor.
    burst: (u64, f64),
}

impl Load {
    fn fleet(&self, seed: u64) -> Fleet {
        Fleet::new(self.gateways, seed).with_exposure(self.exposure)
    }

    fn play(&self, fleet: Fleet, knowledge: SessionLookup) -> Outcome {
        let (percent, factor) = self.burst;
        let at = WINDOW * percent / 100;
        let rate = |ms| if ms < at { self.per_s } else { (self.per_s as f64 * factor) as u64 };
        let fleet = fleet.with_sessions(knowledge, self.following);
        fleet.simulate_rate(rate, 0.0, GOOD, FaultKind::Failed)
    }

    fn allowed(&self, played: &Outcome) -> u64 {
        (played.all as f64 * self.exposure) as u64 + EXPOSURE_SLACK
    }
}

fn for_each_load(bursts: &[(u64, f64)], mut f: impl FnMut(&Load, u64)) {
    for (gateways, per_s) in FLEETS {
        for (exposure, following) in EXPOSURES.into_iter().zip(FOLLOWING) {
            for burst in bursts {
                let load = Load { gateways, per_s, exposure, following, burst: *burst };
                let seeds = if gateways > 50 { 1 } else { 4 };
                (0..seeds).for_each(|seed| f(&load, seed));
            }
        }
    }
}

fn check(load: &Load, played: &Outcome, seed: u64) {
    let what = format!(
        "{} gateways, {} allowed, {} following, burst {:?}, seed {seed}: {} of {} to the target",
        load.gateways, load.exposure, load.following, load.burst, played.to_target, played.all
    );
    assert_eq!((played.moved_early, played.moved_back), (0, 0), "{what}");
    assert!(played.to_target <= load.allowed(played), "{what}");
}

/// Guards against sessions that change their version because gateways that have not served them decide independently,
/// and against an exposure above its limit in bursts.
#[test]
fn roaming_sessions_keep_their_version_and_the_exposure_holds_in_bursts() {
    let bursts = [(0, 1.0), (80, 1.7), (88, 1.7), (92, 1.7), (88, 3.0), (91, 3.0), (94, 3.0)];
    for_each_load(&bursts, |load, seed| {
        let played = load.play(load.fleet(seed).with_message_loss(0.01), SessionLookup::Keepers);
        check(load, &played, seed);
    });
}

/// Guards against a good version whose rollout misses its deadline because sessions are sent to the target later than
/// other requests.
#[test]
fn good_version_of_sessions_is_done_in_time() {
    for_each_load(&[(0, 1.0), (88, 1.7), (85, 0.4)], |load, seed| {
        let played = load.play(load.fleet(seed).with_message_loss(0.01), SessionLookup::Keepers);
        let what = format!("{} gateways, seed {seed}: {:?}", load.gateways, played.ended_at);
        assert_eq!(played.phase, Phase::Done, "{what}");
        assert!(played.ended_at.is_some_and(|at| at < WINDOW), "{what}");
    });
}

/// Guards against moved sessions that are lost because their keepers restart.
#[test]
fn roaming_sessions_keep_their_version_while_gateways_start_anew() {
    for percent in [60, 86, 93] {
        for_each_load(&[(0, 1.0)], |load, seed| {
            let at = WINDOW * percent / 100;
            let fleet = load.fleet(seed).with_restart(at, load.gateways.div_ceil(10));
            check(load, &load.play(fleet.with_message_loss(0.01), SessionLookup::Keepers), seed);
        });
    }
}

/// Guards against moved sessions that are lost because all of their keepers joined after the move.
#[test]
fn roaming_sessions_keep_their_version_while_gateways_are_added() {
    for percent in [92, 93, 94] {
        for_each_load(&[(91, 3.0)], |load, seed| {
            let before = load.gateways.div_ceil(3).max(3);
            let fleet = load.fleet(seed).with_growth(WINDOW * percent / 100, before);
            check(load, &load.play(fleet.with_message_loss(0.01), SessionLookup::Keepers), seed);
        });
    }
}

/// Guards against sessions that move too early or back because gateways read the order at different times.
#[test]
fn roaming_sessions_keep_their_version_though_gateways_read_the_order_apart() {
    for_each_load(&[(0, 1.0)], |load, seed| {
        let fleet = load.fleet(seed).with_order_age_spread(1_100);
        check(load, &load.play(fleet.with_message_loss(0.01), SessionLookup::Keepers), seed);
    });
}

/// Guards against checks that cannot fail: if only gateways that have served a session have it on record, sessions move
/// back; if all sessions count as moved, a burst sends more requests to the target than allowed.
#[test]
fn checks_find_both_faults_where_sessions_have_no_keepers() {
    let load =
        Load { gateways: 27, per_s: 300, exposure: 0.0975, following: 0.5, burst: (91, 3.0) };
    let own = load.play(load.fleet(0), SessionLookup::Local);
    assert!(own.moved_back > 0, "{} of {}", own.to_target, own.all);
    let presumed = load.play(load.fleet(0), SessionLookup::Assumed);
    assert_eq!(presumed.moved_back, 0);
    assert!(presumed.to_target > load.allowed(&presumed), "{}", presumed.to_target);
}
