//! Adaptive timeout for connections to backend servers.

use crate::ids::Millis;

/// Timeout as a multiple of the longest recent connect time.
const TIMEOUT_FACTOR: f64 = 4.0;

/// Shortest timeout: on a busy host, a process may get no CPU for some tens of milliseconds.
const MIN_TIMEOUT: Millis = Millis(60);

/// Factor by which the longest recent connect time decays with each connection; after 45 it is a
/// tenth.
const DECAY_FACTOR: f64 = 0.95;

/// Factor by which it grows with each timeout. While three in ten connections fail, the timeout
/// still falls; if all fail, it rises from its minimum to its maximum within 15.
const GROWTH_FACTOR: f64 = 1.1;

/// Connect timeout that follows the recent connect times.
///
/// It guards against servers that become unreachable, when each request to one of them waits for
/// the whole timeout. On links with a latency of 1 or 2 ms, connections take a few milliseconds. A
/// fixed timeout that suits every network is forty times as long, and a request with a deadline of
/// 0.12 s misses it after a single such wait.
#[derive(Clone, Copy, Debug)]
pub struct ConnectTimeout {
    recent_max_ms: f64,
    max: Millis,
}

impl ConnectTimeout {
    /// Creates a timeout that begins at `max` and never exceeds it.
    ///
    /// ```
    /// use redwingfold_core::{ConnectTimeout, Millis};
    /// let mut timeout = ConnectTimeout::new(Millis(250));
    /// assert_eq!(timeout.timeout(), Millis(250));
    /// (0..100).for_each(|_| timeout.record_connected(Millis(3)));
    /// assert_eq!(timeout.timeout(), Millis(60));
    /// (0..20).for_each(|_| timeout.record_timeout());
    /// assert_eq!(timeout.timeout(), Millis(250));
    /// ```
    pub fn new(max: Millis) -> Self {
        Self { recent_max_ms: max.0 as f64 / TIMEOUT_FACTOR, max }
    }

    /// Returns the timeout of the next connection.
    pub fn timeout(&self) -> Millis {
        Millis((self.recent_max_ms * TIMEOUT_FACTOR) as u64)
            .clamp(MIN_TIMEOUT.min(self.max), self.max)
    }

    /// Records the connect time of a connection.
    pub fn record_connected(&mut self, time: Millis) {
        self.recent_max_ms = (time.0 as f64).max(self.recent_max_ms * DECAY_FACTOR);
    }

    /// Records a connection that timed out.
    pub fn record_timeout(&mut self) {
        let bounds = (MIN_TIMEOUT.0 as f64 / TIMEOUT_FACTOR, self.max.0 as f64 / TIMEOUT_FACTOR);
        self.recent_max_ms = (self.recent_max_ms * GROWTH_FACTOR).max(bounds.0).min(bounds.1);
    }
}
