//! Who writes the status of a roll-out, and when.

use std::collections::HashMap;

use super::canary::Phase;
use super::catalog::ServiceName;
use super::feed::wait;
use crate::ids::{Millis, VersionName};

/// Longest wait before the word that a roll-out runs, which nobody acts on.
const MAX_RUNNING_DELAY: Millis = Millis(1_500);

/// Longest wait before the word on an end, on which servers stop.
const MAX_END_DELAY: Millis = Millis(150);

/// What the store says of the roll-outs, as far as a gateway knows, and which word is missing there.
///
/// All gateways hear of an order, and come to its end, within moments. If each then read the status and
/// wrote it, a fleet of 28 would make 56 calls for each word, and 53 of 103 that found a version bad at once did. So
/// each word waits a drawn time, as reads of a feed do: that a roll-out runs, on which nobody acts, a long one;
/// that it has ended, on which servers stop, a short one. The first word lets the others be, and the
/// condition of the write keeps two that come together from writing twice.
#[derive(Clone, Debug, Default)]
pub struct RolloutStatuses {
    services: HashMap<ServiceName, Entry>,
    /// Until when others' word on what the store says may be of before it came back from an older copy.
    unreliable_until: Millis,
}

/// Time after which all gateways have noticed that the store has come back from an older copy.
const UNRELIABLE_FOR: Millis = Millis(3_000);

#[derive(Clone, Debug)]
struct Entry {
    target: VersionName,
    /// What the store says: nothing that is known, that it runs, or how it ended.
    recorded: Option<Option<Phase>>,
    /// From when on this gateway writes that the roll-out runs.
    running_due: Option<Millis>,
    /// From when on it writes that the roll-out has ended.
    end_due: Option<Millis>,
}

impl RolloutStatuses {
    /// Takes what the store says of a roll-out: how it ended, or that it runs.
    pub fn record(&mut self, service: &ServiceName, target: &VersionName, ended: Option<Phase>) {
        let entry = Entry { recorded: Some(ended), ..Entry::new(target) };
        self.services.insert(service.clone(), entry);
    }

    /// Forgets what was said of a service: a new order has come.
    pub fn forget(&mut self, service: &ServiceName) {
        self.services.remove(service);
    }

    /// Doubts what the store said: it has come back from an older copy, and may lack it.
    ///
    /// An end that is lost leaves the operator waiting, and a process that starts anew goes on with a version that was
    /// found bad.
    pub fn invalidate(&mut self, now: Millis) {
        for entry in self.services.values_mut() {
            *entry = Entry::new(&entry.target);
        }
        self.unreliable_until = now.after(UNRELIABLE_FOR);
    }

    /// Says whether others' word on what the store says is not to be relied on.
    pub fn is_unreliable(&self, now: Millis) -> bool {
        now < self.unreliable_until
    }

    /// Returns how a roll-out ended, if the store says so.
    pub fn outcome(&self, service: &ServiceName, target: &VersionName) -> Option<Phase> {
        let entry = self.services.get(service).filter(|entry| entry.target == *target)?;
        entry.recorded.flatten()
    }

    /// Says whether the store lacks the word on a phase, whoever is to write it.
    pub fn is_unrecorded(&self, service: &ServiceName, target: &VersionName, phase: Phase) -> bool {
        let entry = self.services.get(service).filter(|entry| entry.target == *target);
        match entry.and_then(|entry| entry.recorded) {
            // An end is final: a gateway that sees it otherwise is late.
            Some(Some(_)) => false,
            Some(None) => phase >= Phase::Done,
            None => true,
        }
    }

    /// Returns the time after which this gateway of a fleet should write the word on a phase, if the store lacks it;
    /// `draw` is a random number.
    ///
    /// ```
    /// use redwingfold_core::{Millis, Phase, RolloutStatuses};
    /// let (service, target) = ("slips".into(), "v2".parse()?);
    /// let mut statuses = RolloutStatuses::default();
    /// let mut due = |phase, now| statuses.write_due_in(&service, &target, phase, 1, Millis(now), u64::MAX);
    /// assert_eq!(due(Phase::Trial, 0), Some(Millis(1_500)));
    /// assert_eq!(due(Phase::Trial, 1_500), Some(Millis(0)));
    /// assert_eq!(due(Phase::Done, 1_500), Some(Millis(150)));
    /// statuses.record(&service, &target, None);
    /// assert_eq!(statuses.write_due_in(&service, &target, Phase::Ramp, 1, Millis(9_000), 0), None);
    /// # Ok::<(), redwingfold_core::ParseIdError>(())
    /// ```
    pub fn write_due_in(
        &mut self,
        service: &ServiceName,
        target: &VersionName,
        phase: Phase,
        fleet: usize,
        now: Millis,
        draw: u64,
    ) -> Option<Millis> {
        if !self.is_unrecorded(service, target, phase) {
            return None;
        }
        let entry = self.services.entry(service.clone()).or_insert_with(|| Entry::new(target));
        if entry.target != *target {
            *entry = Entry::new(target);
        }
        let (due, longest) = match phase {
            Phase::Done | Phase::RolledBack => (&mut entry.end_due, MAX_END_DELAY),
            Phase::Trial | Phase::Ramp | Phase::Full => (&mut entry.running_due, MAX_RUNNING_DELAY),
        };
        let due = due.get_or_insert_with(|| now.after(wait(longest, fleet, draw)));
        Some(due.since(now))
    }
}

impl Entry {
    fn new(target: &VersionName) -> Self {
        Self { target: target.clone(), recorded: None, running_due: None, end_due: None }
    }
}
