//! Limits of the quarantine.

use crate::ids::Millis;
use crate::serving::fingerprint::Fingerprint;

/// When a request or prompt part is quarantined, and how often requests with it are retried.
///
/// An *end* of a server is an unannounced end of its process while it runs requests, such as a crash.
#[derive(Clone, Copy, Debug)]
pub struct QuarantinePolicy {
    /// Number of servers that must have ended while running a request before it is quarantined. A single end does not
    /// identify the cause, because it affects every request that ran on the server.
    pub min_ends: usize,
    /// Same as `min_ends`, for a prompt part. More are needed because a part is in many requests, each of which may be on
    /// a server that ends for another reason.
    pub min_part_ends: usize,
    /// Maximum number of trials of a request or part, over all gateways, while no more than the minimum number of servers
    /// have ended under it. The first trial that is answered releases it.
    pub max_trials: u8,
    /// Maximum number of trials of a request or part under which more servers have ended.
    pub max_trials_after_more_ends: u8,
    /// Minimum time between two trials.
    pub trial_interval: Millis,
    /// Minimum time from the last end to a trial by a request with several quarantined parts. Until then, a request with
    /// only one of them can show which part is deadly.
    pub shared_trial_delay: Millis,
    /// Time after which a trial without a known result counts as lost.
    pub trial_timeout: Millis,
    /// Time after the last end at which the request is forgotten.
    pub retention: Millis,
    /// Same as `retention`, for a prompt part. A part that is refused by mistake affects many callers.
    pub part_retention: Millis,
    /// Delay before a first end is written to the store. Most requests are answered by the next server in that time, so
    /// that nothing needs to be written.
    pub write_delay: Millis,
    /// Maximum number of suspect requests and parts in the table.
    pub max_suspects: usize,
}

impl Default for QuarantinePolicy {
    /// The limits allow at most three sends of a poison request after its third end, and of a poison part after its fifth,
    /// even if the result of each trial is lost.
    ///
    /// ```
    /// use redwingfold_core::QuarantinePolicy;
    /// let policy = QuarantinePolicy::default();
    /// assert!(policy.min_ends + usize::from(policy.max_trials) <= 3 + 3);
    /// assert!(policy.min_part_ends + usize::from(policy.max_trials) <= 5 + 3);
    /// assert!(policy.max_trials_after_more_ends <= 3);
    /// ```
    fn default() -> Self {
        Self {
            min_ends: 2,
            min_part_ends: 3,
            max_trials: 4,
            max_trials_after_more_ends: 2,
            trial_interval: Millis(5_000),
            shared_trial_delay: Millis(10_000),
            trial_timeout: Millis(2_000),
            retention: Millis(24 * 3_600_000),
            part_retention: Millis(3_600_000),
            write_delay: Millis(1_000),
            max_suspects: 4_096,
        }
    }
}

impl QuarantinePolicy {
    pub(super) fn min_ends_of(&self, suspect: Fingerprint) -> usize {
        if suspect.is_prompt_part() { self.min_part_ends } else { self.min_ends }
    }

    pub(super) fn retention_of(&self, suspect: Fingerprint) -> Millis {
        if suspect.is_prompt_part() { self.part_retention } else { self.retention }
    }
}
