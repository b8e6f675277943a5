//! Outlier detection: backend servers are ejected for a while if their answers fail.

use crate::ids::Millis;

/// How a request to a server failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The server answered with a failure, which some requests cause on any server.
    Answered,
    /// The server could not be reached, closed the connection, or sent nothing.
    Lost,
}

/// When a server is ejected, and for how long.
#[derive(Clone, Copy, Debug)]
pub struct HealthPolicy {
    /// Consecutive lost answers after which a server is ejected.
    pub max_consecutive_lost: u32,
    /// Smoothed failure rate from which a server is ejected.
    pub max_failure_rate: f64,
    /// Answers below which the failure rate is not used.
    pub min_answers: u32,
    /// Duration of the first ejection; it doubles with each one that follows.
    pub base_ejection: Millis,
    /// Longest ejection.
    pub max_ejection: Millis,
    /// Largest share of a service's servers that is ejected at a time.
    pub max_ejected_share: f64,
}

impl Default for HealthPolicy {
    /// With these values, a server that fails two in five requests is ejected after about a dozen
    /// answers, and an unreachable one after three. Requests of which one in seven fails by itself
    /// cause no ejection. A server that restarted is used again after one second; with ejections of
    /// up to eight seconds, probes of a broken one are below 1% of a gateway's requests.
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

/// Failure rate after an ejection, as a part of the rate that causes one.
const RETURN_FACTOR: f64 = 0.6;

/// Weight of the newest answer in the smoothed failure rate; about the last eight answers count.
const NEWEST_WEIGHT: f64 = 0.12;

/// Health of one server, by its answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerHealth {
    failure_rate: f64,
    answers: u32,
    consecutive_lost: u32,
    ejections: u32,
    ejected_until: Millis,
}

impl ServerHealth {
    /// Records a good answer.
    pub fn record_success(&mut self) {
        self.failure_rate *= 1.0 - NEWEST_WEIGHT;
        self.answers = self.answers.saturating_add(1);
        self.consecutive_lost = 0;
        if self.failure_rate < NEWEST_WEIGHT {
            self.ejections = 0;
        }
    }

    /// Records a failure; returns `true` if the server is ejected now.
    ///
    /// ```
    /// use redwingfold_core::{Fault, HealthPolicy, Millis, ServerHealth};
    /// let (policy, mut health) = (HealthPolicy::default(), ServerHealth::default());
    /// health.record_failure(Fault::Lost, &policy, Millis(0));
    /// health.record_failure(Fault::Lost, &policy, Millis(1));
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
        // A server that was ejected for lost answers is ejected again after one more; a good answer
        // resets the count.
        self.consecutive_lost =
            if is_lost { policy.max_consecutive_lost.saturating_sub(1) } else { 0 };
        true
    }

    /// Returns whether the server is ejected.
    pub fn is_ejected(&self, now: Millis) -> bool {
        now < self.ejected_until
    }

    /// Returns the smoothed failure rate.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }
}
