//! Limit on the log lines of events that callers can cause at any rate.

use std::cell::Cell;

use redwingfold_core::Millis;

/// Maximum number of lines per second.
const MAX_LINES_PER_SECOND: u32 = 50;

/// Counts the lines of the current second.
#[derive(Debug, Default)]
pub(crate) struct LogRate(Cell<(Millis, u32)>);

impl LogRate {
    /// Returns whether a further line may be logged in this second.
    pub(crate) fn take_line(&self, now: Millis) -> bool {
        let (since, count) = self.0.get();
        let is_new_second = now.since(since) >= Millis(1_000);
        let count = if is_new_second { 0 } else { count };
        self.0.set((if is_new_second { now } else { since }, count + 1));
        count < MAX_LINES_PER_SECOND
    }
}
