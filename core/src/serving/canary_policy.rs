//! Traffic shares, durations and thresholds of canary rollouts.

use crate::ids::{Millis, PerMille};

/// Traffic shares, durations and thresholds of a rollout.
#[derive(Clone, Copy, Debug)]
pub struct CanaryPolicy {
    /// Largest share of the requests in the window that a bad version may get.
    pub exposure: PerMille,
    /// Target's share of the requests in the trial.
    pub trial_share: PerMille,
    /// Target's share of the sessions in the trial, from the middle of the window on.
    pub session_trial_share: PerMille,
    /// Target's share of the requests in the ramp.
    pub ramp_share: PerMille,
    /// Requests per server in the load trial, as a multiple of those that it would get with all of
    /// the traffic.
    pub load_trial_factor: f64,
    /// Part of the window at which the trial ends.
    pub trial_until: PerMille,
    /// Part of the window at which the ramp ends.
    pub ramp_until: PerMille,
    /// Part of the window, by the least age of the order, at which the old version is retired.
    pub retire_at: PerMille,
    /// Good answers that the target needs before the trial ends.
    pub min_good: u64,
    /// Answers under full traffic that the target needs before the old version is retired.
    pub min_full_answers: u64,
    /// Replaces `min_full_answers` if these answers show no sign of a regression.
    pub min_clean_answers: u64,
    /// Failures among those answers that count as no sign of a regression.
    pub max_clean_failures: u64,
    /// Time under full traffic after which fewer answers are enough.
    pub max_full_wait: Millis,
    /// Replaces `min_full_answers` after the deadline.
    pub min_overdue_answers: u64,
    /// Replaces `max_full_wait` after the deadline.
    pub max_overdue_wait: Millis,
    /// Share of failures that is always allowed.
    pub allowed_failures: PerMille,
    /// Greatest probability with which a good version is rolled back.
    pub alpha: f64,
}

/// Part of the allowed exposure that full traffic may use.
const FULL_TRAFFIC_PART: f64 = 0.8;

/// Share of the requests in the trial, as a part of the allowed exposure.
const TRIAL_PART: f64 = 0.15;

/// Share of the sessions in the trial, as a part of the allowed exposure. It is larger than that of
/// requests because the trial of sessions is less than half as long.
const SESSION_TRIAL_PART: f64 = 0.4;

/// Share of the requests in the ramp, as a part of the allowed exposure.
const RAMP_PART: f64 = 0.5;

impl CanaryPolicy {
    /// Creates the policy under which a version whose fault does not show before the end of its
    /// window gets no more than `exposure` of the requests, a share from 0.0 to 1.0.
    ///
    /// Some versions fail only under a load that no trial produces. So the target gets all of the
    /// traffic only at the end of the window, when the requests that are left are fewer than a bad
    /// version may get.
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
            // A version that fails one in six requests under load is detected in 70 answers with
            // near certainty.
            min_full_answers: 70,
            // A service of 30 requests a second has 70 answers only just after its deadline if its
            // order is read late, so that good versions would miss it. 45 answers arrive in time,
            // and hardly any version that fails one in six requests or is eight times slower for
            // half of them passes as clean on these.
            min_clean_answers: 45,
            max_clean_failures: 1,
            max_full_wait: Millis(6_000),
            // About 50 answers prove a version that is eight times slower for half of its requests,
            // and 20 requests a second is the lowest rate that services here have.
            min_overdue_answers: 300,
            max_overdue_wait: Millis(20_000),
            allowed_failures: PerMille(20),
            alpha: 0.01,
        }
    }
}

impl Default for CanaryPolicy {
    /// Allows a bad version 15% of the requests.
    fn default() -> Self {
        Self::for_exposure(0.15)
    }
}
