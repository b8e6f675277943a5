//! What a side knows of the claims that name it.

use std::collections::{HashMap, VecDeque};

use crate::claim::Claim;
use crate::error::ErrorKind;
use crate::ids::{ClaimId, Incarnation};

/// The answer to a call that may not be repeated.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallAnswer {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: Option<String>,
    /// The body, while there is memory for it.
    pub body: Option<Vec<u8>>,
}

/// What became of a claim here.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallState {
    /// It has not run and never will.
    Closed,
    /// It ran, with this answer.
    Done(CallAnswer),
    /// It is on its way to the backend server or running there.
    Running,
    /// It may have run.
    Unknown,
}

/// The claims of one start of a side process.
///
/// A claim is never forgotten while the process lives: a forgotten one would be taken for one that
/// never came, be closed, and be run again under another claim. Only answers' bodies give way.
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
    /// Makes a table for at most `max_calls` claims and `max_body_bytes` of answers.
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

    /// Takes a claim for running. Of all calls with this claim, one gets `Ok`.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::OutcomeUnknown`] if the claim names another start of this process,
    /// [`ErrorKind::StillRunning`] if it came before, [`ErrorKind::BacklogFull`] if the table is
    /// full.
    pub fn begin(&mut self, claim: &Claim) -> Result<(), ErrorKind> {
        match self.states.get(&claim.id) {
            // The holder was paused, and a repeat has been served in the meantime by another claim.
            Some(_) => Err(ErrorKind::StillRunning),
            None if claim.incarnation != self.incarnation => Err(ErrorKind::OutcomeUnknown),
            None if self.states.len() >= self.max_calls => Err(ErrorKind::BacklogFull),
            None => {
                self.states.insert(claim.id, CallState::Running);
                Ok(())
            }
        }
    }

    /// Notes that a claim which was taken never reached its backend server.
    pub fn mark_not_run(&mut self, id: ClaimId) {
        self.states.insert(id, CallState::Closed);
    }

    /// Notes that a claim may have run, but its answer is lost.
    pub fn mark_unknown(&mut self, id: ClaimId) {
        self.states.insert(id, CallState::Unknown);
    }

    /// Notes a claim's answer.
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

    /// Promises never to run a claim; says whether that can be promised.
    ///
    /// `None` if the claim names another start: what that one did is not known.
    pub fn close(&mut self, claim: &Claim) -> Option<bool> {
        if claim.incarnation != self.incarnation {
            return None;
        }
        let state = self.states.entry(claim.id).or_insert(CallState::Closed);
        Some(*state == CallState::Closed)
    }

    /// Returns what became of a claim, if it came here.
    pub fn state(&self, claim: &Claim) -> Option<&CallState> {
        match self.states.get(&claim.id) {
            None if claim.incarnation != self.incarnation => Some(&CallState::Unknown),
            state => state,
        }
    }
}
