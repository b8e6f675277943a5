//! Adaptive idle timeout for calls to a service.

use crate::ids::Millis;

/// Idle timeout of a call, adapted to the pauses of earlier calls.
///
/// A timeout on the whole call aborts each read that takes longer on a slow link, and the next read starts over: with
/// 700 ms a call, 16 of 24 gateways on links of 10 Mbit/s kept an old configuration for 33 s while 1.7 MB were due.
/// Received bytes show that the service is alive, so only the time between them is limited. A fixed idle timeout would
/// fail in the same way if the service takes longer to send its first byte, so each timeout doubles the next one.
///
/// ```
/// use redwingfold_core::{IdleTimeout, Millis};
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

/// Timeout as a multiple of the longest pause of the last answer.
const MARGIN: u64 = 2;

impl IdleTimeout {
    /// Starts at `min` and grows up to `max`.
    pub fn new(min: Millis, max: Millis) -> Self {
        Self { min, max: max.max(min), current: min }
    }

    /// Returns the idle timeout of the next call.
    pub fn current(&self) -> Millis {
        self.current
    }

    /// Records a call that timed out.
    pub fn record_timeout(&mut self) {
        self.current = Millis(self.current.0.saturating_mul(2)).min(self.max);
    }

    /// Records an answer and the longest pause before or within it.
    pub fn record_answer(&mut self, longest_idle: Millis) {
        let wanted = Millis(longest_idle.0.saturating_mul(MARGIN)).max(Millis(self.current.0 / 2));
        self.current = wanted.clamp(self.min, self.max);
    }
}
