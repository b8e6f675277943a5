//! How long a silent service is waited for.

use crate::ids::Millis;

/// Time for which a call bears silence, fitted to what the calls before it had to bear.
///
/// A bound on a whole call ends each read that is longer than the link is fast, and the next one begins from
/// its start: 16 of 24 gateways with 10 Mbit/s kept a configuration for 33 s after 1.7 MB were due,
/// with 700 ms a call. Bytes that come show that the service lives, so only the time between them is bounded.
/// A bound that never moved would fail in the same way before a service that takes longer than it to
/// begin; so each silence that was borne in vain doubles the next one.
///
/// ```
/// use redwingfold_core::{Millis, IdleTimeout};
/// let mut timeout = IdleTimeout::new(Millis(700), Millis(1_400));
/// timeout.record_timeout();
/// assert_eq!(timeout.current(), Millis(1_400));
/// timeout.record_answer(Millis(20));
/// assert_eq!(timeout.current(), Millis(700));
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct IdleTimeout {
    min: Millis,
    max: Millis,
    current: Millis,
}

/// What is waited, as a multiple of the longest_silence silence of the last answer.
const MARGIN: u64 = 2;

impl IdleTimeout {
    /// Waits for `min` at first, and for `max` at last.
    pub fn new(min: Millis, max: Millis) -> Self {
        Self { min, max: max.max(min), current: min }
    }

    /// Returns the silence that the next call bears.
    pub fn current(&self) -> Millis {
        self.current
    }

    /// Notes a call that ended in silence.
    pub fn record_timeout(&mut self) {
        self.current = Millis(self.current.0.saturating_mul(2)).min(self.max);
    }

    /// Notes an answer, and the longest_silence silence before it and within it.
    pub fn record_answer(&mut self, longest_silence: Millis) {
        let wanted =
            Millis(longest_silence.0.saturating_mul(MARGIN)).max(Millis(self.current.0 / 2));
        self.current = wanted.clamp(self.min, self.max);
    }
}
