//! Admission of requests under contention: whether a request is sent, waits or is refused, and in which order waiting
//! requests are sent.

mod decision;
mod queue;
mod start_rate;

pub use decision::{AdmissionDecision, AdmissionPolicy, Capacity};
pub use queue::{QueueFull, WaitQueue, Waiting};
pub use start_rate::StartRate;

use super::catalog::Priority;
use crate::ids::Millis;

/// Number of latency targets after which a waiting request gains one rank. Callers of streams wait for at least four
/// targets, so that a request gains up to two ranks before its caller gives up.
const TARGETS_PER_RANK: u64 = 2;

/// What a request needs, and by when.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Demand {
    /// Rank set by the operator; 0 is the highest.
    pub rank: Priority,
    /// Tokens to read and to write.
    pub tokens: u64,
    /// Time of arrival.
    pub arrived_at: Millis,
    /// Time from arrival to the first event with which an answer counts as in time.
    pub latency_target: Millis,
    /// Time from arrival to the first event after which the caller gives up.
    pub patience: Millis,
    /// Time by which the answer must be complete.
    pub deadline: Millis,
    /// Expected time from the start to the first event.
    pub prefill: Millis,
    /// Expected time from the first event to the end of the answer.
    pub duration: Millis,
}

impl Demand {
    /// Returns the latest time at which the request can start and be of use to its caller.
    ///
    /// ```
    /// use redwingfold_core::{Demand, Millis, Priority};
    /// let demand = Demand {
    ///     rank: Priority(0),
    ///     tokens: 400,
    ///     arrived_at: Millis(1_000),
    ///     latency_target: Millis(500),
    ///     patience: Millis(2_000),
    ///     deadline: Millis(9_000),
    ///     prefill: Millis(100),
    ///     duration: Millis(900),
    /// };
    /// assert_eq!(demand.latest_start(), Millis(2_900));
    /// assert_eq!(Demand { deadline: Millis(3_500), ..demand }.latest_start(), Millis(2_500));
    /// ```
    pub fn latest_start(&self) -> Millis {
        let first_event_by =
            self.arrived_at.after(self.patience).min(self.deadline.since(self.duration));
        first_event_by.since(self.prefill)
    }

    /// Returns the rank, reduced by one for each two latency targets waited.
    ///
    /// It has no lower bound. If it stopped at the highest rank, a request of the first rank would gain nothing by
    /// waiting and lose its precedence over those that reached that rank by waiting. In the replay of a burst at twice
    /// the capacity, 0.85 of the first rank was then served in time instead of all.
    pub(crate) fn effective_rank(&self, now: Millis) -> i64 {
        let time_per_rank = self.latency_target.0.max(1).saturating_mul(TARGETS_PER_RANK);
        let gained = now.since(self.arrived_at).0 / time_per_rank;
        i64::from(self.rank.0).saturating_sub_unsigned(gained)
    }
}
