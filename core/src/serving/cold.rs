//! Request rates for backend servers that have just started.

use crate::ids::{Millis, RequestRate};

/// What a service's servers can take while they are cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// Time for which a server is cold after its start.
    pub duration: Millis,
    /// Requests per second that a cold server can take on average.
    pub requests_per_s: f64,
}

/// How much of a cold server's capacity all gateways together use.
#[derive(Clone, Copy, Debug)]
pub struct ColdPolicy {
    /// Most requests within a second, as a multiple of the average that a server can take.
    pub peak_factor: f64,
    /// Requests within a second in addition to that.
    pub peak_slack: f64,
    /// Part of the average that is sent, as gateways that are not on each other's membership list
    /// yet send more in total.
    pub mean_share: f64,
    /// Part of the most requests within a second that is sent on average: gateways draw their send
    /// times at random, so that some seconds get more than the average.
    pub peak_share: f64,
}

impl Default for ColdPolicy {
    fn default() -> Self {
        Self { peak_factor: 1.0, peak_slack: 0.0, mean_share: 0.5, peak_share: 0.25 }
    }
}

impl ColdPolicy {
    /// Returns the most requests that a cold server may get within any second.
    pub fn max_per_second(&self, limit: ColdLimit) -> f64 {
        limit.requests_per_s * self.peak_factor + self.peak_slack
    }

    /// Returns the requests per second that all gateways together send to a cold server.
    pub fn rate(&self, limit: ColdLimit) -> RequestRate {
        let per_second = (limit.requests_per_s * self.mean_share)
            .min(self.max_per_second(limit) * self.peak_share);
        RequestRate::new(per_second).unwrap_or_default()
    }
}
