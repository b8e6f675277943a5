//! Which backend servers are left out for a while because of how they answered.

use crate::ids::Millis;

/// How a server failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// It answered with a failure, as some calls do wherever they run.
    Answered,
    /// It could not be reached, broke off, or said nothing.
    Lost,
}

/// When a server is left out, and for how long.
#[derive(Clone, Copy, Debug)]
pub struct HealthPolicy {
    /// Answers lost in a row after which a server is left out.
    pub max_consecutive_lost: u32,
    /// Smoothed share of failures from which a server is left out.
    pub max_failure_rate: f64,
    /// Answers that are needed before the share counts.
    pub min_answers: u32,
    /// First time out; it doubles with each one that follows.
    pub base_ejection: Millis,
    /// Longest time out.
    pub max_ejection: Millis,
    /// Largest share of a service's servers that is left out at a time.
    pub max_ejected_share: f64,
}

impl Default for HealthPolicy {
    /// A server that fails two in five is left out after about a dozen answers, and one that cannot
    /// be reached after three; calls of which one in seven fails by itself leave it in. A second
    /// finds a server again that restarted; eight keep the probing of a broken one under 1% of a
    /// gateway's requests.
    fn default() -> Self {
        Self {
            max_consecutive_lost: 3,
            max_failure_rate: 0.42,
            min_answers: 5,
            base_ejection: Millis(1_000),
            max_ejection: Millis(8_000),
            max_ejected_share: 0.5,
        }
    }
}

/// Part of the bar at which the share of failures begins anew after a time out.
const RETURN_FACTOR: f64 = 0.6;

/// Weight of the newest answer in the smoothed share: about the last eight count.
const NEWEST_WEIGHT: f64 = 0.12;

/// What the answers of one server say of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerHealth {
    failure_rate: f64,
    answers: u32,
    consecutive_lost: u32,
    ejections: u32,
    ejected_until: Millis,
}

impl ServerHealth {
    /// Counts a good answer.
    pub fn record_success(&mut self) {
        self.failure_rate *= 1.0 - NEWEST_WEIGHT;
        self.answers = self.answers.saturating_add(1);
        self.consecutive_lost = 0;
        if self.failure_rate < NEWEST_WEIGHT {
            self.ejections = 0;
        }
    }

    /// Counts a failure; `true` if the server is left out from now on.
    ///
    /// ```
    /// use redwingfold_core::{Fault, HealthPolicy, Millis, ServerHealth};
    /// let (policy, mut health) = (HealthPolicy::default(), ServerHealth::default());
    /// health.bad(Fault::Lost, &policy, Millis(0));
    /// health.bad(Fault::Lost, &policy, Millis(1));
    /// assert!(health.record_failure(Fault::Lost, &policy, Millis(2)));
    /// assert!(health.is_ejected(Millis(900)) && !health.is_ejected(Millis(1_002)));
    /// ```
    pub fn record_failure(&mut self, fault: Fault, policy: &HealthPolicy, now: Millis) -> bool {
        self.failure_rate = self.failure_rate * (1.0 - NEWEST_WEIGHT) + NEWEST_WEIGHT;
        self.answers = self.answers.saturating_add(1);
        self.consecutive_lost = if fault == Fault::Lost { self.consecutive_lost + 1 } else { 0 };
        let is_lost = self.consecutive_lost >= policy.max_consecutive_lost;
        let is_failing =
            self.answers >= policy.min_answers && self.failure_rate >= policy.max_failure_rate;
        if self.is_ejected(now) || !(is_failing || is_lost) {
            return false;
        }
        let span = policy.base_ejection.0 << self.ejections.min(8);
        self.ejected_until = now.after(Millis(span.min(policy.max_ejection.0)));
        self.ejections += 1;
        self.failure_rate = self.failure_rate.min(policy.max_failure_rate * RETURN_FACTOR);
        // One that was lost is left out again after one more; a good answer clears the row.
        self.consecutive_lost =
            if is_lost { policy.max_consecutive_lost.saturating_sub(1) } else { 0 };
        true
    }

    /// Says whether the server is left out.
    pub fn is_ejected(&self, now: Millis) -> bool {
        now < self.ejected_until
    }

    /// Returns the smoothed share of failures.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }
}
