//! Shares and times of roll-outs.

use crate::ids::{Millis, PerMille};

/// Shares and times of a roll-out.
#[derive(Clone, Copy, Debug)]
pub struct CanaryPolicy {
    /// Share of the requests in the window that a bad version may get.
    pub exposure: PerMille,
    /// Share of the requests in the trial.
    pub trial_share: PerMille,
    /// Share of the sessions that are tried, from the middle of the window on.
    pub session_trial_share: PerMille,
    /// Share in the ramp.
    pub ramp_share: PerMille,
    /// Requests that a server gets in the load trial, as a multiple of those that it would get with all of the traffic.
    pub load_trial_factor: f64,
    /// Part of the window that the trial takes.
    pub trial_until: PerMille,
    /// Part of the window at which the ramp ends.
    pub ramp_until: PerMille,
    /// Part of the window, by the least age of the order, at which the old version is given up.
    pub retire_at: PerMille,
    /// Good answers without which the trial goes on.
    pub min_good: u64,
    /// Answers under full traffic without which the old version is not given up.
    pub min_full_answers: u64,
    /// Such answers where these show nothing against the target.
    pub min_clean_answers: u64,
    /// Failures that these may have.
    pub max_clean_failures: u64,
    /// Time under full traffic after which fewer are enough.
    pub max_full_wait: Millis,
    /// Such answers once the window is over.
    pub min_overdue_answers: u64,
    /// Such a time once the window is over.
    pub max_overdue_wait: Millis,
    /// Share of failures that is always allowed.
    pub allowed_failures: PerMille,
    /// Probability with which a good version is rolled back, at most.
    pub alpha: f64,
}

/// Part of the allowed exposure that the time of full traffic may take.
const FULL_TRAFFIC_PART: f64 = 0.8;

/// Share of the trial, as a part of the allowed exposure.
const TRIAL_PART: f64 = 0.15;

/// Share of the sessions in the trial, as a part of the allowed exposure: they are tried for less than half as long as
/// other requests.
const SESSION_TRIAL_PART: f64 = 0.4;

/// Share of the ramp, as a part of the allowed exposure.
const RAMP_PART: f64 = 0.5;

impl CanaryPolicy {
    /// Makes a policy under which a version that is bad, but never shows it before its window ends,
    /// gets no more than `exposure` of the requests.
    ///
    /// Some versions fail only under a load that comes once, and no trial finds them. So the target
    /// has all of the traffic only at the end of its window, when what is left of it is less than
    /// what a bad version may get.
    ///
    /// ```
    /// let policy = redwingfold_core::CanaryPolicy::for_exposure(0.15);
    /// assert!(policy.ramp_until.0 == 880 && policy.trial_share.0 == 22);
    /// ```
    pub fn for_exposure(exposure: f64) -> Self {
        let per_mille = |share: f64| PerMille((share.clamp(0.0, 1.0) * 1000.0) as u16);
        Self {
            exposure: per_mille(exposure),
            trial_share: per_mille(exposure * TRIAL_PART),
            session_trial_share: per_mille(exposure * SESSION_TRIAL_PART),
            ramp_share: per_mille(exposure * RAMP_PART),
            load_trial_factor: 2.0,
            trial_until: PerMille(800),
            ramp_until: per_mille(1.0 - exposure * FULL_TRAFFIC_PART),
            retire_at: PerMille(955),
            min_good: 3,
            // A version that fails one in six under load shows it in these with near certainty.
            min_full_answers: 70,
            // The end of the window is near, and a service of thirty requests a second has seventy answers
            // just after it: none of a hundred played good versions whose order was read 0.6 s late was done
            // in time, and with these all are. Of 400 that fail one in six under load one came into service,
            // of 400 half of whose answers are then eight times as slow none.
            min_clean_answers: 45,
            max_clean_failures: 1,
            max_full_wait: Millis(6_000),
            // Half a service's answers that are eight times as slow are proved by some fifty, and the
            // slowest of services here has twenty a second.
            min_overdue_answers: 300,
            max_overdue_wait: Millis(20_000),
            allowed_failures: PerMille(20),
            alpha: 0.01,
        }
    }
}

impl Default for CanaryPolicy {
    /// A bad version gets a seventh of the requests at most.
    fn default() -> Self {
        Self::for_exposure(0.15)
    }
}
