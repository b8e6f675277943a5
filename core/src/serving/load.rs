//! Estimated backlog of servers, in milliseconds of prefill time.

use std::collections::HashMap;

use super::catalog::ServiceName;
use crate::ids::Millis;

/// Prefill time per prompt token, estimated from the times to the first byte.
///
/// The times include waits and omit cached parts, so a low quantile is tracked: neither a queue nor a cache hit changes
/// it much.
#[derive(Clone, Debug, Default)]
pub struct PrefillRates(HashMap<(ServiceName, usize), f64>);

/// The tracked quantile.
const QUANTILE: f64 = 0.35;

/// Share of the current value by which one sample changes it.
const STEP: f64 = 0.06;

/// Minimum prompt length in tokens; the time of shorter prompts is mostly that of a decoding step.
const MIN_TOKENS: u64 = 2_000;

/// Default in milliseconds per token; common engines read some tens of tokens a millisecond.
const DEFAULT_RATE: f64 = 0.02;

impl PrefillRates {
    /// Records the time from a send to the first byte for a prompt of `tokens`.
    ///
    /// ```
    /// use redwingfold_core::{Millis, PrefillRates};
    /// let mut rates = PrefillRates::default();
    /// (0..200).for_each(|_| rates.record(&"slips".into(), 0, 4_000, Millis(200)));
    /// let ms = rates.estimate(&"slips".into(), 0, 2_000);
    /// assert!((80..=120).contains(&ms.0));
    /// ```
    pub fn record(&mut self, service: &ServiceName, size: usize, tokens: u64, took: Millis) {
        if tokens < MIN_TOKENS {
            return;
        }
        let seen = took.0.max(1) as f64 / tokens as f64;
        let rate = self.0.entry((service.clone(), size)).or_insert(seen);
        let factor = if seen < *rate { -(1.0 - QUANTILE) } else { QUANTILE };
        *rate += *rate * STEP * factor;
    }

    /// Estimates the time in which a server without a queue reads `tokens`.
    pub fn estimate(&self, service: &ServiceName, size: usize, tokens: u64) -> Millis {
        let rate = self.0.get(&(service.clone(), size)).copied().unwrap_or(DEFAULT_RATE);
        Millis((rate * tokens as f64) as u64)
    }
}

/// Load of each server that comes from other gateways: the work they sent and their last reports.
#[derive(Clone, Debug, Default)]
pub struct PeerLoads(HashMap<u32, PeerLoad>);

/// Load of one server as reported by other gateways.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PeerLoad {
    backlog: Millis,
    as_of: Millis,
    /// The newest load report and its time.
    pub report: Option<(ServerReport, Millis)>,
}

/// Load report of a server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServerReport {
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
}

/// Maximum number of servers; beyond it, those that were idle for 10 s are removed.
const MAX_SERVERS: usize = 20_000;

impl PeerLoads {
    /// Records that another gateway sent a server a prompt with a prefill time of `takes`.
    ///
    /// A server reads at its own pace whoever sends, so the total backlog shrinks by a millisecond each millisecond: no
    /// message is needed when a prompt was read.
    ///
    /// ```
    /// use redwingfold_core::{Millis, PeerLoads};
    /// let mut peers = PeerLoads::default();
    /// peers.record_sent(7, Millis(300), Millis(0));
    /// peers.record_sent(7, Millis(300), Millis(100));
    /// assert_eq!(peers.backlog(7, Millis(200)), Millis(400));
    /// assert_eq!(peers.backlog(7, Millis(900)), Millis(0));
    /// ```
    pub fn record_sent(&mut self, server: u32, takes: Millis, now: Millis) {
        self.make_room();
        let load = self.0.entry(server).or_default();
        load.backlog = load.backlog_at(now).after(takes);
        load.as_of = now;
    }

    /// Records a load report that another gateway received.
    pub fn record_report(&mut self, server: u32, report: ServerReport, now: Millis) {
        self.make_room();
        self.0.entry(server).or_default().report = Some((report, now));
    }

    /// Returns the time that a server still needs for the prompts of other gateways.
    pub fn backlog(&self, server: u32, now: Millis) -> Millis {
        self.0.get(&server).map_or(Millis(0), |load| load.backlog_at(now))
    }

    /// Returns the load of a server, or an empty one.
    pub fn get(&self, server: u32) -> PeerLoad {
        self.0.get(&server).copied().unwrap_or_default()
    }

    /// Removes a server that has restarted: it has none of the requests that were sent before.
    ///
    /// ```
    /// use redwingfold_core::{Millis, PeerLoads};
    /// let mut peers = PeerLoads::default();
    /// peers.record_sent(7, Millis(300), Millis(0));
    /// peers.forget(7);
    /// assert_eq!(peers.backlog(7, Millis(0)), Millis(0));
    /// ```
    pub fn forget(&mut self, server: u32) {
        self.0.remove(&server);
    }

    fn make_room(&mut self) {
        if self.0.len() >= MAX_SERVERS {
            let newest = self.0.values().map(|load| load.as_of).max().unwrap_or_default();
            self.0.retain(|_, load| newest.since(load.as_of) < Millis(10_000));
        }
    }
}

impl PeerLoad {
    fn backlog_at(&self, now: Millis) -> Millis {
        self.backlog.since(now.since(self.as_of))
    }
}
