//! How long a connection to a server is waited for.

use crate::ids::Millis;

/// Wait as a multiple of the longest time that connections took of late.
const TIMEOUT_FACTOR: f64 = 4.0;

/// Shortest wait: a busy host may not get a turn for some tens of milliseconds.
const MIN_TIMEOUT: Millis = Millis(60);

/// What one more connection takes from the longest time that is remembered: after some fifty it is a tenth.
const DECAY_FACTOR: f64 = 0.95;

/// What one that did not come adds. While three in ten fail, the wait falls all the same; if all do, it
/// reaches its bound from the shortest within fifteen.
const GROWTH_FACTOR: f64 = 1.1;

/// Wait for a connection, fitted to those before it.
///
/// Load pattern: servers go dark, and each request that meets one waits until its connection is given up. On links
/// of a millisecond or two connections take a few; a bound that fits every network is forty times as long, and
/// an answer that is due within 0.12 s is late after one such wait.
#[derive(Clone, Copy, Debug)]
pub struct ConnectTimeout {
    recent_max_ms: f64,
    max: Millis,
}

impl ConnectTimeout {
    /// Waits for `most` at first, and at last.
    ///
    /// ```
    /// use redwingfold_core::{ConnectTimeout, Millis};
    /// let mut times = ConnectTimeout::new(Millis(250));
    /// assert_eq!(times.timeout(), Millis(250));
    /// (0..100).for_each(|_| times.record_connected(Millis(3)));
    /// assert_eq!(times.timeout(), Millis(60));
    /// (0..20).for_each(|_| times.record_timeout());
    /// assert_eq!(times.timeout(), Millis(250));
    /// ```
    pub fn new(max: Millis) -> Self {
        Self { recent_max_ms: max.0 as f64 / TIMEOUT_FACTOR, max }
    }

    /// Returns how long the next connection is waited for.
    pub fn timeout(&self) -> Millis {
        Millis((self.recent_max_ms * TIMEOUT_FACTOR) as u64)
            .clamp(MIN_TIMEOUT.min(self.max), self.max)
    }

    /// Notes that a connection took so long.
    pub fn record_connected(&mut self, time: Millis) {
        self.recent_max_ms = (time.0 as f64).max(self.recent_max_ms * DECAY_FACTOR);
    }

    /// Notes that one did not come in time.
    pub fn record_timeout(&mut self) {
        let bounds = (MIN_TIMEOUT.0 as f64 / TIMEOUT_FACTOR, self.max.0 as f64 / TIMEOUT_FACTOR);
        self.recent_max_ms = (self.recent_max_ms * GROWTH_FACTOR).max(bounds.0).min(bounds.1);
    }
}
