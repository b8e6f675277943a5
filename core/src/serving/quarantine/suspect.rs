//! A request or prompt part under which servers ended.

use super::{Admission, Mark, QuarantinePolicy};
use crate::ids::Millis;
use crate::serving::catalog::BackendId;
use crate::serving::fingerprint::Fingerprint;

/// Maximum number of ends on record for a suspect. Fewer are enough to quarantine it; the others explain why the
/// requests that ran beside it broke off.
const MAX_ENDS: usize = 32;

/// The marks of a suspect request or prompt part.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspect {
    marks: Vec<Mark>,
    /// Time of the last trial, or of the last claim of one.
    pub(super) last_trial_at: Option<Millis>,
    /// Time of the last end.
    pub(super) last_end_at: Millis,
    /// Time at which the entry is removed.
    pub(super) expires_at: Millis,
}

impl Suspect {
    /// Adds a mark for an event at `at`. Returns `false` if the mark is already on record or the maximum number of ends
    /// is reached.
    pub(super) fn add(&mut self, mark: &Mark, at: Millis, until: Millis) -> bool {
        let is_end = matches!(mark, Mark::End(_));
        if self.marks.contains(mark) || (is_end && self.ends() >= MAX_ENDS) {
            return false;
        }
        self.expires_at = self.expires_at.max(until);
        match is_end {
            true => self.last_end_at = self.last_end_at.max(at),
            false => self.last_trial_at = self.last_trial_at.max(Some(at)),
        }
        self.marks.push(mark.clone());
        true
    }

    pub(super) fn remove(&mut self, mark: &Mark) {
        self.marks.retain(|known| known != mark);
    }

    pub(super) fn marks(&self) -> Vec<Mark> {
        self.marks.clone()
    }

    /// Returns the number of servers that ended.
    pub(super) fn ends(&self) -> usize {
        self.marks.iter().filter(|mark| matches!(mark, Mark::End(_))).count()
    }

    /// Returns the servers that ended.
    pub(super) fn servers(&self) -> impl Iterator<Item = &BackendId> {
        self.marks.iter().filter_map(|mark| match mark {
            Mark::End(server) => Some(server),
            Mark::Trial(_) => None,
        })
    }

    /// Returns the number of the last trial, or 0 if there was none.
    pub(super) fn last_trial(&self) -> u8 {
        let number = |mark: &Mark| match mark {
            Mark::Trial(number) => *number,
            Mark::End(_) => 0,
        };
        self.marks.iter().map(number).max().unwrap_or(0)
    }

    fn max_trials(&self, min_ends: usize, policy: &QuarantinePolicy) -> u8 {
        if self.ends() > min_ends { policy.max_trials_after_more_ends } else { policy.max_trials }
    }

    /// Returns whether a request may be sent, once enough servers have ended to quarantine this suspect.
    pub(super) fn admission(
        &self,
        key: Fingerprint,
        policy: &QuarantinePolicy,
        now: Millis,
    ) -> Admission {
        let trials = self.last_trial();
        let since = self.last_trial_at.map(|at| now.since(at));
        match since {
            Some(since) if since < policy.trial_timeout => {
                Admission::Refused(policy.trial_timeout.since(since))
            }
            _ if trials >= self.max_trials(policy.min_ends_of(key), policy) => {
                Admission::Refused(self.expires_at.since(now))
            }
            Some(since) if trials > 0 && since < policy.trial_interval => {
                Admission::Refused(policy.trial_interval.since(since))
            }
            _ => Admission::Trial(trials + 1),
        }
    }
}
