//! Decision whether a request that was sent to a backend server may be sent to another.

use super::budget::ResendReason;
use crate::error::RunState;
use crate::ids::Millis;

/// What decides whether a request may be sent once more.
///
/// A larger model, a stream that is resumed and a retry after a lost connection all run the request again. They share
/// this decision, so that none of them can run a request twice that may run only once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SentRequest {
    /// Whether its route allows more than one run: see [`Route::is_repeatable`](crate::Route::is_repeatable).
    pub is_repeatable: bool,
    /// Whether any attempt so far may have run it.
    pub run_state: RunState,
    /// Whether the caller has received the beginning of an answer; a larger model may no longer replace it.
    pub is_answer_begun: bool,
    /// Sends to backend servers so far.
    pub sends: u32,
    /// Most sends that the route allows.
    pub max_attempts: u32,
    /// Time until its deadline.
    pub time_left: Millis,
}

impl SentRequest {
    /// Returns whether the request may be sent again for this reason.
    ///
    /// ```
    /// use redwingfold_core::{Millis, ResendReason, RunState, SentRequest};
    /// let once = SentRequest {
    ///     is_repeatable: false,
    ///     run_state: RunState::MayHaveRun,
    ///     is_answer_begun: false,
    ///     sends: 1,
    ///     max_attempts: 3,
    ///     time_left: Millis(900),
    /// };
    /// assert!(!once.may_resend(ResendReason::Quality) && !once.may_resend(ResendReason::Failure));
    /// let refused = SentRequest { run_state: RunState::NotRun, ..once };
    /// assert!(refused.may_resend(ResendReason::Failure));
    /// ```
    pub fn may_resend(&self, why: ResendReason) -> bool {
        let may_run = self.is_repeatable || self.run_state == RunState::NotRun;
        let may_replace_answer = match why {
            ResendReason::Failure => true,
            ResendReason::Quality => !self.is_answer_begun,
        };
        may_run
            && may_replace_answer
            && self.sends < self.max_attempts
            && self.time_left > Millis(0)
    }

    /// Returns the request after one more send whose outcome is unknown.
    pub fn after_send(self) -> Self {
        Self { run_state: RunState::MayHaveRun, sends: self.sends + 1, ..self }
    }
}
