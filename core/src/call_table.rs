//! The state of each claim that names this side, for calls that run at most once.

use std::collections::{HashMap, VecDeque};

use crate::claim::Claim;
use crate::error::ErrorKind;
use crate::ids::{ClaimId, Incarnation};

/// The stored answer to a call that runs at most once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallAnswer {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: Option<String>,
    /// The body; `None` after it was evicted to free memory.
    pub body: Option<Vec<u8>>,
}

/// State of a claim at this side.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallState {
    /// It has not run and never will.
    Closed,
    /// It ran, with this answer.
    Done(CallAnswer),
    /// It is being sent to the backend server or is running there.
    Running,
    /// It may have run.
    Unknown,
}

/// The claims of one incarnation of a side process.
///
/// A claim is never removed while the process runs: a removed one would count as never received,
/// so it could be closed, and the call would run again under another claim. Only the bodies of
/// answers are evicted, oldest first.
#[derive(Debug)]
pub struct CallTable {
    incarnation: Incarnation,
    max_calls: usize,
    max_body_bytes: usize,
    body_bytes: usize,
    states: HashMap<ClaimId, CallState>,
    body_order: VecDeque<ClaimId>,
}

impl CallTable {
    /// Creates a table for at most `max_calls` claims and `max_body_bytes` of answers.
    pub fn new(incarnation: Incarnation, max_calls: usize, max_body_bytes: usize) -> Self {
        Self {
            incarnation,
            max_calls,
            max_body_bytes,
            body_bytes: 0,
            states: HashMap::new(),
            body_order: VecDeque::new(),
        }
    }

    /// Marks a claim as running. Only the first call for a claim returns `Ok`.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::OutcomeUnknown`] if the claim names another incarnation of this process,
    /// [`ErrorKind::StillRunning`] if the claim is in the table already,
    /// [`ErrorKind::BacklogFull`] if the table is full.
    pub fn begin(&mut self, claim: &Claim) -> Result<(), ErrorKind> {
        match self.states.get(&claim.id) {
            // The entry with this claim was paused, and a retry may have closed the claim and been
            // served under another one in the meantime.
            Some(_) => Err(ErrorKind::StillRunning),
            None if claim.incarnation != self.incarnation => Err(ErrorKind::OutcomeUnknown),
            None if self.states.len() >= self.max_calls => Err(ErrorKind::BacklogFull),
            None => {
                self.states.insert(claim.id, CallState::Running);
                Ok(())
            }
        }
    }

    /// Records that a claim marked as running never reached its backend server.
    pub fn mark_not_run(&mut self, id: ClaimId) {
        self.states.insert(id, CallState::Closed);
    }

    /// Records that a claim may have run, but its answer is lost.
    pub fn mark_unknown(&mut self, id: ClaimId) {
        self.states.insert(id, CallState::Unknown);
    }

    /// Stores a claim's answer; evicts the oldest bodies if they take too much memory.
    pub fn mark_done(&mut self, id: ClaimId, answer: CallAnswer) {
        self.body_bytes += answer.body.as_ref().map_or(0, Vec::len);
        self.states.insert(id, CallState::Done(answer));
        self.body_order.push_back(id);
        while self.body_bytes > self.max_body_bytes
            && let Some(oldest) = self.body_order.pop_front()
        {
            if let Some(CallState::Done(answer)) = self.states.get_mut(&oldest) {
                self.body_bytes -= answer.body.take().map_or(0, |body| body.len());
            }
        }
    }

    /// Closes a claim, so that it never runs here; returns whether it is closed then.
    ///
    /// Returns `None` if the claim names another incarnation, whose claims are not in this table.
    pub fn close(&mut self, claim: &Claim) -> Option<bool> {
        if claim.incarnation != self.incarnation {
            return None;
        }
        let state = self.states.entry(claim.id).or_insert(CallState::Closed);
        Some(*state == CallState::Closed)
    }

    /// Returns the state of a claim, or `None` if it never arrived here.
    pub fn state(&self, claim: &Claim) -> Option<&CallState> {
        match self.states.get(&claim.id) {
            None if claim.incarnation != self.incarnation => Some(&CallState::Unknown),
            state => state,
        }
    }
}
