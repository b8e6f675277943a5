//! Limit on the log lines of events that callers can cause at any rate.

use std::cell::RefCell;
use std::collections::BTreeMap;

use redwingfold_core::Millis;

/// Maximum number of lines per second of one event.
const MAX_LINES_PER_SECOND: u32 = 50;

/// Counts the lines of the current second, by event, so that a frequent event does not hide a rare one.
#[derive(Debug, Default)]
pub(crate) struct LogRate(RefCell<BTreeMap<&'static str, LinesOfSecond>>);

#[derive(Clone, Copy, Debug, Default)]
struct LinesOfSecond {
    since: Millis,
    count: u32,
}

impl LogRate {
    /// Returns whether a further line of an event may be logged in this second.
    pub(crate) fn take_line(&self, event: &'static str, now: Millis) -> bool {
        let mut events = self.0.borrow_mut();
        let lines = events.entry(event).or_default();
        if now.since(lines.since) >= Millis(1_000) {
            *lines = LinesOfSecond { since: now, count: 0 };
        }
        lines.count += 1;
        lines.count <= MAX_LINES_PER_SECOND
    }
}
