//! A request under which servers ended.

use super::{Admission, Mark, QuarantinePolicy};
use crate::ids::Millis;

/// Ends of servers that are kept of a request: it takes fewer to keep it from servers.
const MAX_ENDS: usize = 8;

/// What is known of a request.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspect {
    marks: Vec<Mark>,
    /// When it was last tried, or a trial was asked for.
    pub(super) tried_at: Option<Millis>,
    /// When it is forgotten.
    pub(super) until: Millis,
}

impl Suspect {
    /// Adds a mark of a time; `false` if it is known, or there are ends enough.
    pub(super) fn add(&mut self, mark: &Mark, at: Millis, until: Millis) -> bool {
        let is_end = matches!(mark, Mark::End(_));
        if self.marks.contains(mark) || (is_end && self.ends() >= MAX_ENDS) {
            return false;
        }
        self.until = self.until.max(until);
        if !is_end {
            self.tried_at = self.tried_at.max(Some(at));
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

    /// Returns how many servers ended.
    pub(super) fn ends(&self) -> usize {
        self.marks.iter().filter(|mark| matches!(mark, Mark::End(_))).count()
    }

    /// Returns the number of the last trial.
    pub(super) fn trials(&self) -> u8 {
        let number = |mark: &Mark| match mark {
            Mark::Trial(number) => *number,
            Mark::End(_) => 0,
        };
        self.marks.iter().map(number).max().unwrap_or(0)
    }

    fn most_trials(&self, policy: &QuarantinePolicy) -> u8 {
        if self.ends() > policy.ends { policy.trials_of_more } else { policy.trials }
    }

    /// Says what may be done with it once enough servers have ended.
    pub(super) fn admission(&self, policy: &QuarantinePolicy, now: Millis) -> Admission {
        let trials = self.trials();
        let since = self.tried_at.map(|at| now.since(at));
        match since {
            Some(since) if since < policy.trial_lasts => {
                Admission::Refused(policy.trial_lasts.since(since))
            }
            _ if trials >= self.most_trials(policy) => Admission::Refused(self.until.since(now)),
            Some(since) if trials > 0 && since < policy.rest => {
                Admission::Refused(policy.rest.since(since))
            }
            _ => Admission::Trial(trials + 1),
        }
    }
}
