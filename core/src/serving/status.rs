//! Who writes the status of a roll-out, and when.

use std::collections::HashMap;

use super::canary::Phase;
use super::catalog::ServiceName;
use super::feed::wait;
use crate::ids::{Millis, VersionName};

/// Longest wait before the word that a roll-out runs, which nobody acts on.
const RUNNING_WAIT: Millis = Millis(1_500);

/// What the store says of the roll-outs, as far as a gateway knows, and which word is missing there.
///
/// All gateways hear of an order, and come to its end, within moments. If each then read the status and
/// wrote it, a fleet of 28 would make 56 calls for each word. So the word that a roll-out runs, on which
/// nobody acts, waits a drawn time, as reads of a feed do; that it has ended is written at once by
/// whoever sees it, since servers stop on it and its time is short. The first word lets the others be,
/// and the condition of the write keeps two that come together from writing twice.
#[derive(Clone, Debug, Default)]
pub struct StatusBook {
    services: HashMap<ServiceName, Entry>,
}

#[derive(Clone, Debug)]
struct Entry {
    target: VersionName,
    /// What the store says: nothing that is known, that it runs, or how it ended.
    recorded: Option<Option<Phase>>,
    /// From when on this gateway writes that the roll-out runs.
    due: Option<Millis>,
}

impl StatusBook {
    /// Takes what the store says of a roll-out: how it ended, or that it runs.
    pub fn recorded(&mut self, service: &ServiceName, target: &VersionName, ended: Option<Phase>) {
        let entry = Entry { target: target.clone(), recorded: Some(ended), due: None };
        self.services.insert(service.clone(), entry);
    }

    /// Forgets what was said of a service: a new order has come.
    pub fn forget(&mut self, service: &ServiceName) {
        self.services.remove(service);
    }

    /// Returns how a roll-out ended, if the store says so.
    pub fn ended(&self, service: &ServiceName, target: &VersionName) -> Option<Phase> {
        let entry = self.services.get(service).filter(|entry| entry.target == *target)?;
        entry.recorded.flatten()
    }

    /// Says whether the store lacks the word on a phase, whoever is to write it.
    pub fn is_missing(&self, service: &ServiceName, target: &VersionName, phase: Phase) -> bool {
        let entry = self.services.get(service).filter(|entry| entry.target == *target);
        match entry.and_then(|entry| entry.recorded) {
            // An end is final: a gateway that sees it otherwise is late.
            Some(Some(_)) => false,
            Some(None) => phase >= Phase::Done,
            None => true,
        }
    }

    /// Says whether this gateway of a fleet should write the word on a phase now; `draw` is a random
    /// number.
    ///
    /// ```
    /// use redwingfold_core::{Millis, Phase, StatusBook};
    /// let (service, target) = ("slips".into(), "v2".parse()?);
    /// let mut book = StatusBook::default();
    /// assert!(!book.is_due(&service, &target, Phase::Trial, 1, Millis(0), u64::MAX));
    /// assert!(book.is_due(&service, &target, Phase::Trial, 1, Millis(1_500), 0));
    /// book.recorded(&service, &target, None);
    /// assert!(!book.is_due(&service, &target, Phase::Ramp, 1, Millis(9_000), 0));
    /// # Ok::<(), redwingfold_core::ParseIdError>(())
    /// ```
    pub fn is_due(
        &mut self,
        service: &ServiceName,
        target: &VersionName,
        phase: Phase,
        fleet: usize,
        now: Millis,
        draw: u64,
    ) -> bool {
        if !self.is_missing(service, target, phase) {
            return false;
        }
        let new = || Entry { target: target.clone(), recorded: None, due: None };
        let entry = self.services.entry(service.clone()).or_insert_with(new);
        if entry.target != *target {
            *entry = new();
        }
        match entry.due {
            _ if phase >= Phase::Done => true,
            Some(due) => now >= due,
            None => {
                entry.due = Some(now.after(wait(RUNNING_WAIT, fleet, draw)));
                false
            }
        }
    }
}
