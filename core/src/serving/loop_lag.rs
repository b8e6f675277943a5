//! Detection of an overloaded event loop.

use crate::ids::Millis;

/// Interval at which the lag of the event loop is measured.
const LAG_INTERVAL: Millis = Millis(50);

/// Lag above which the event loop has more work than it can do. A process whose CPU quota is used up pauses for less than
/// 100 ms without being overloaded.
const MAX_LAG: Millis = Millis(100);

/// Maximum number of connections accepted between two timers. Under a sudden load, a lag shows only when the work that
/// causes it has been accepted. A small host serves these in about a second.
const MAX_ACCEPTED: u32 = 100;

/// How late the timers of an event loop fire.
///
/// Load pattern: a load balancer hands most new connections of a region to one small gateway. A request whose connection
/// it accepts waits behind all others, is answered after its caller has left, and delays those that come after it. A
/// connection that is closed unread costs its caller only a new one to another gateway, and next to nothing here.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoopLag {
    /// Lag of the last timer.
    last: Millis,
    /// Time at which the next timer is due.
    next_due: Option<Millis>,
    /// Connections accepted since the last timer.
    accepted: u32,
}

impl LoopLag {
    /// Records that the timer fired, and returns the time at which the next one is due.
    ///
    /// ```
    /// use redwingfold_core::{LoopLag, Millis};
    /// let mut lag = LoopLag::default();
    /// let due = lag.record_timer(Millis(0));
    /// assert!(!lag.is_overloaded(due));
    /// assert!(lag.is_overloaded(Millis(due.0 + 1_000)));
    /// lag.record_timer(Millis(due.0 + 1_000));
    /// assert!(lag.is_overloaded(Millis(due.0 + 1_001)));
    /// ```
    pub fn record_timer(&mut self, now: Millis) -> Millis {
        self.last = self.overdue(now);
        self.accepted = 0;
        let next_due = now.after(LAG_INTERVAL);
        self.next_due = Some(next_due);
        next_due
    }

    /// Counts a connection that was accepted.
    pub fn record_accept(&mut self) {
        self.accepted += 1;
    }

    /// Returns the lag of the last timer.
    pub fn last(&self) -> Millis {
        self.last
    }

    /// Returns whether new work should go elsewhere. A timer that has not fired yet counts as well: under a sudden load, it
    /// waits behind all the work that has been accepted since.
    pub fn is_overloaded(&self, now: Millis) -> bool {
        self.accepted >= MAX_ACCEPTED || self.last.max(self.overdue(now)) > MAX_LAG
    }

    fn overdue(&self, now: Millis) -> Millis {
        self.next_due.map_or(Millis(0), |due| now.since(due))
    }
}
