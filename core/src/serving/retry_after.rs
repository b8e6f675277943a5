//! Delays that backend servers request with `Retry-After`.

use std::collections::HashMap;

use crate::ids::Millis;

/// Maximum delay recorded; longer ones are shortened to it.
const MAX_DELAY: Millis = Millis(3_600_000);

/// Number of entries from which an insertion first removes expired ones.
const CLEANUP_THRESHOLD: usize = 1_024;

/// Times until which servers have asked this gateway to send no requests.
///
/// Keyed by a hash of the server's incarnation, because a delay does not carry over a restart.
///
/// ```
/// use redwingfold_core::{Millis, RetryAfterTimes};
/// let mut times = RetryAfterTimes::default();
/// assert!(times.record(7, Millis(3_000), Millis(0)));
/// assert_eq!(times.left(7, Millis(1_000)), Millis(2_000));
/// // A delay that ends earlier does not shorten the current one.
/// assert!(!times.record(7, Millis(500), Millis(1_000)));
/// assert_eq!(times.left(7, Millis(1_000)), Millis(2_000));
/// ```
#[derive(Clone, Debug, Default)]
pub struct RetryAfterTimes(HashMap<u64, Millis>);

impl RetryAfterTimes {
    /// Records a delay that starts now and returns whether the server had none in effect.
    pub fn record(&mut self, server: u64, delay: Millis, now: Millis) -> bool {
        if self.0.len() >= CLEANUP_THRESHOLD {
            self.0.retain(|_, until| now < *until);
        }
        let until = self.0.entry(server).or_insert(now);
        let is_new = *until <= now;
        *until = (*until).max(now.after(delay.min(MAX_DELAY)));
        is_new
    }

    /// Returns the rest of a server's delay, or zero if none is in effect.
    pub fn left(&self, server: u64, now: Millis) -> Millis {
        self.0.get(&server).map_or(Millis(0), |until| until.since(now))
    }

    /// Returns whether no delays, current or expired, are recorded.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
