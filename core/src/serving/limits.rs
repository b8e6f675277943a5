//! Rate limits that backend servers report.

use std::collections::HashMap;

use crate::ids::{Millis, RequestRate};

/// Time for which the removal of a limit stays on record, so that a late, older answer does not restore the limit.
const CLEARED_LIMIT_RETENTION: Millis = Millis(10_000);

/// Maximum number of servers recorded; beyond it, the one with the oldest answer is evicted.
const MAX_SERVERS: usize = 20_000;

/// Bounds on the requests that all gateways combined send to a server that reports a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitPolicy {
    /// Sliding window over which requests are counted.
    pub window: Millis,
    /// Multiple of the reported limit that may be sent within a window.
    pub max_ratio: f64,
    /// Additional requests allowed per window.
    pub slack: f64,
    /// Maximum ratio of the actual fleet size to the size that a gateway counts.
    pub max_fleet_ratio: f64,
    /// Standard deviations between the mean and the maximum number of requests per window.
    pub std_deviations: f64,
}

impl Default for LimitPolicy {
    fn default() -> Self {
        Self {
            window: Millis(4_000),
            max_ratio: 1.5,
            slack: 5.0,
            max_fleet_ratio: 2.0,
            std_deviations: 4.5,
        }
    }
}

impl LimitPolicy {
    /// Returns the maximum number of requests per window under a limit.
    pub fn max_per_window(&self, limit: RequestRate) -> f64 {
        limit.per_second() * self.window.0 as f64 / 1000.0 * self.max_ratio + self.slack
    }

    /// Returns the target rate of all gateways combined for a server that reports `limit`, given `fleet` known
    /// gateways.
    ///
    /// Gateways send at independent times. The number of requests per window is modeled as a Poisson count or, if few
    /// gateways send often, as a sum of counts with a standard deviation of at most 1/2 per gateway; the model with the
    /// higher mean applies.
    ///
    /// ```
    /// use redwingfold_core::{LimitPolicy, RequestRate};
    /// let policy = LimitPolicy::default();
    /// let rate = |limit, fleet| policy.rate(RequestRate::new(limit).unwrap(), fleet).per_second();
    /// assert!(rate(8.0, 4) <= 8.0);
    /// assert!(rate(8.0, 330) < rate(8.0, 4));
    /// // Only an answer can clear a limit, so some requests are sent even at a limit of zero.
    /// assert!(rate(0.0, 4) > 0.0);
    /// ```
    pub fn rate(&self, limit: RequestRate, fleet: usize) -> RequestRate {
        let min_rate = self.rate_for_mean(self.poisson_mean(RequestRate::default()));
        let max_fleet = fleet as f64 * self.max_fleet_ratio;
        let periodic_mean =
            self.max_per_window(limit) - self.std_deviations * max_fleet.sqrt() / 2.0;
        let mean = self.poisson_mean(limit).max(periodic_mean);
        let rate = self.rate_for_mean(mean).min(limit.per_second().max(min_rate));
        RequestRate::new(rate).unwrap_or_default()
    }

    /// Returns the mean of a Poisson count that is `std_deviations` below the maximum.
    fn poisson_mean(&self, limit: RequestRate) -> f64 {
        let root = (self.std_deviations.powi(2) + 4.0 * self.max_per_window(limit)).sqrt();
        ((root - self.std_deviations) / 2.0).powi(2)
    }

    /// Returns the target rate, in requests per second, that yields `mean` requests per window in the largest
    /// possible fleet.
    fn rate_for_mean(&self, mean: f64) -> f64 {
        mean / self.max_fleet_ratio / (self.window.0 as f64 / 1000.0)
    }
}

/// How an answer changes the recorded limit of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// The server reports a new or different limit.
    Set(RequestRate),
    /// The server no longer reports a limit.
    Cleared,
}

/// Limits that servers report, each as of the newest known answer.
///
/// Keyed by a hash of the server's incarnation, because a limit does not carry over a restart.
///
/// ```
/// use redwingfold_core::{LimitChange, Millis, RequestRate, ServerLimits};
/// let (mut limits, rate) = (ServerLimits::default(), RequestRate::new(2.0));
/// assert_eq!(limits.record(7, rate, Millis(10)), rate.map(LimitChange::Set));
/// assert_eq!(limits.get(7), rate);
/// assert_eq!(limits.record(7, None, Millis(20)), Some(LimitChange::Cleared));
/// // An older answer that arrives late changes nothing.
/// assert_eq!(limits.record(7, rate, Millis(15)), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ServerLimits(HashMap<u64, ReportedLimit>);

#[derive(Clone, Copy, Debug)]
struct ReportedLimit {
    limit: Option<RequestRate>,
    reported_at: Millis,
}

impl ServerLimits {
    /// Records the limit in a server's answer, or its absence, and returns what changed.
    ///
    /// Answers older than the recorded one are ignored.
    pub fn record(
        &mut self,
        server: u64,
        limit: Option<RequestRate>,
        reported_at: Millis,
    ) -> Option<LimitChange> {
        let previous = self.0.get(&server).copied();
        match (previous, limit) {
            (None, None) => return None,
            (Some(previous), _) if reported_at < previous.reported_at => return None,
            (None, Some(_)) => self.make_room(reported_at),
            (Some(_), _) => {}
        }
        self.0.insert(server, ReportedLimit { limit, reported_at });
        match (previous.and_then(|previous| previous.limit), limit) {
            (previous, current) if previous == current => None,
            (_, Some(rate)) => Some(LimitChange::Set(rate)),
            (_, None) => Some(LimitChange::Cleared),
        }
    }

    /// Returns the current limit of a server, if it reports one.
    pub fn get(&self, server: u64) -> Option<RequestRate> {
        self.0.get(&server).and_then(|report| report.limit)
    }

    /// Returns whether a current or recently cleared limit of a server is recorded.
    pub fn has_record(&self, server: u64) -> bool {
        self.0.contains_key(&server)
    }

    /// Returns whether no limits, current or cleared, are recorded.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    fn make_room(&mut self, now: Millis) {
        let is_kept = |report: &ReportedLimit| {
            report.limit.is_some() || now.since(report.reported_at) < CLEARED_LIMIT_RETENTION
        };
        self.0.retain(|_, report| is_kept(report));
        if self.0.len() >= MAX_SERVERS {
            let oldest = self
                .0
                .iter()
                .min_by_key(|(_, report)| report.reported_at)
                .map(|(server, _)| *server);
            oldest.iter().for_each(|server| {
                self.0.remove(server);
            });
        }
    }
}
