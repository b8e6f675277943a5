//! Coordination of the gateways that write the status of a rollout to the store.

use std::collections::HashMap;

use super::canary::Phase;
use super::catalog::ServiceName;
use super::feed::random_wait;
use crate::ids::{Millis, VersionName};

/// Maximum delay before the status of a running rollout is written; nothing depends on it.
const MAX_RUNNING_DELAY: Millis = Millis(1_500);

/// Maximum delay before the end of a rollout is written; servers stop on it.
const MAX_END_DELAY: Millis = Millis(150);

/// Statuses of rollouts in the store, as far as a gateway has read them, and the writes that are due.
///
/// All gateways receive an order, and reach its end, at nearly the same time. If each of them then read and wrote the
/// status, a fleet of 28 would make 56 calls for each status; in a fleet of 103, 53 gateways found a version bad at
/// once and each wrote it. So each write waits a random time, as reads of a feed do: up to a long one for a running
/// rollout, on which nothing depends, and a short one for an end, on which servers stop. The first write cancels those
/// of the others, and a conditional write prevents two simultaneous ones from both succeeding.
#[derive(Clone, Debug, Default)]
pub struct RolloutStatuses {
    services: HashMap<ServiceName, Entry>,
    /// Time until which statuses received from other gateways may date from before a restore of the store.
    unreliable_until: Millis,
}

/// Time after which all gateways have detected that the store was restored from an older copy.
const UNRELIABLE_FOR: Millis = Millis(3_000);

#[derive(Clone, Debug)]
struct Entry {
    target: VersionName,
    /// Status in the store: unknown, running, or ended with a phase.
    recorded: Option<Option<Phase>>,
    /// Time at which this gateway writes that the rollout is running.
    running_due: Option<Millis>,
    /// Time at which it writes that the rollout has ended.
    end_due: Option<Millis>,
}

impl RolloutStatuses {
    /// Records the status of a rollout in the store: the phase in which it ended, or that it is running.
    pub fn record(&mut self, service: &ServiceName, target: &VersionName, ended: Option<Phase>) {
        let entry = Entry { recorded: Some(ended), ..Entry::new(target) };
        self.services.insert(service.clone(), entry);
    }

    /// Removes the status of a service, because a new order was received.
    pub fn forget(&mut self, service: &ServiceName) {
        self.services.remove(service);
    }

    /// Discards all statuses, because the store was restored from an older copy that may lack them.
    ///
    /// If the end of a rollout is lost, the operator waits for it, and a restarted process resumes sending to a version
    /// that was found bad.
    pub fn invalidate(&mut self, now: Millis) {
        for entry in self.services.values_mut() {
            *entry = Entry::new(&entry.target);
        }
        self.unreliable_until = now.after(UNRELIABLE_FOR);
    }

    /// Returns whether statuses received from other gateways are unreliable.
    pub fn is_unreliable(&self, now: Millis) -> bool {
        now < self.unreliable_until
    }

    /// Returns the phase in which a rollout ended, if the store has it.
    pub fn outcome(&self, service: &ServiceName, target: &VersionName) -> Option<Phase> {
        let entry = self.services.get(service).filter(|entry| entry.target == *target)?;
        entry.recorded.flatten()
    }

    /// Returns whether the status for a phase is missing from the store and has yet to be written by any gateway.
    pub fn is_unrecorded(&self, service: &ServiceName, target: &VersionName, phase: Phase) -> bool {
        let entry = self.services.get(service).filter(|entry| entry.target == *target);
        match entry.and_then(|entry| entry.recorded) {
            // An end is final. A gateway with another result is late.
            Some(Some(_)) => false,
            Some(None) => phase >= Phase::Done,
            None => true,
        }
    }

    /// Returns the time until this gateway, in a fleet of `fleet`, should write the status for a phase, or `None` if
    /// the store has it; `draw` is a random number.
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
        let due = due.get_or_insert_with(|| now.after(random_wait(longest, fleet, draw)));
        Some(due.since(now))
    }
}

impl Entry {
    fn new(target: &VersionName) -> Self {
        Self { target: target.clone(), recorded: None, running_due: None, end_due: None }
    }
}
