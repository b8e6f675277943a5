//! Request rates for backend servers that have just started.

use crate::ids::{Millis, RequestRate};

/// What the servers of a service bear while they are cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// Time for which a server is cold after its start.
    pub duration: Millis,
    /// Requests a second that it bears on average.
    pub requests_per_s: f64,
}

/// How near to what cold servers bear all gateways together come.
#[derive(Clone, Copy, Debug)]
pub struct ColdPolicy {
    /// Most requests within a second, as a multiple of those that a server bears on average.
    pub peak_factor: f64,
    /// Requests beyond that.
    pub peak_slack: f64,
    /// Part of the average that is sent: gateways that do not know of each other send more.
    pub mean_share: f64,
    /// Part of the most that is sent on average: turns are drawn, so that more of them come in some seconds.
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

    /// Returns the requests a second that all gateways together send to a cold server.
    pub fn rate(&self, limit: ColdLimit) -> RequestRate {
        let per_second = (limit.requests_per_s * self.mean_share)
            .min(self.max_per_second(limit) * self.peak_share);
        RequestRate::new(per_second).unwrap_or_default()
    }
}
