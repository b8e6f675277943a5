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

/// Maximum error in the age of a reported status, which does not include the transit time of reports.
const MAX_AGE_ERROR: Millis = Millis(3_000);

/// The status of a rollout that the store holds, as far as a gateway knows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KnownStatus {
    /// The version being rolled out.
    pub target: VersionName,
    /// The phase in which the rollout ended, or `None` while it is running.
    pub ended: Option<Phase>,
    /// Time at which the store held it, on this gateway's clock.
    pub as_of: Millis,
    /// Whether the order for this version was superseded by the active one.
    pub is_superseded: bool,
}

/// Statuses of rollouts in the store, as far as a gateway knows them, and the writes that are due.
///
/// All gateways receive an order, and reach its end, at nearly the same time. If each of them then read and wrote the
/// status, a fleet of 28 would make 56 calls for each status; in a fleet of 103, 53 gateways found a version bad at
/// once and each wrote it. So each write waits a random time, as reads of a feed do: up to a long one for a running
/// rollout, on which nothing depends, and a short one for an end, on which servers stop. The first write cancels those
/// of the others, and a conditional write prevents two simultaneous ones from both succeeding.
///
/// A service has one record, which each order's status overwrites. After a restore of the store, a gateway that has
/// only read the older order overwrites the status of the newer one. So a status counts as recorded only while no later
/// status of another order is known, and the time at which the store held it is passed on with it. Gateways that know
/// the order of the record to be superseded write theirs again. All others write a status once, and not again after
/// another order's status has replaced it: otherwise gateways with different orders would overwrite each other's
/// statuses until the operator writes the order again.
#[derive(Clone, Debug, Default)]
pub struct RolloutStatuses {
    services: HashMap<ServiceName, Entry>,
    /// Time until which statuses received from other gateways may date from before a restore of the store.
    unreliable_until: Millis,
}

/// Time after which all gateways have detected that the store was restored from an older copy.
const UNRELIABLE_FOR: Millis = Millis(3_000);

#[derive(Clone, Debug, Default)]
struct Entry {
    /// The latest known record in the store.
    known: Option<KnownStatus>,
    /// Whether this gateway has read or written that record itself.
    is_direct: bool,
    /// The writes of the active order.
    schedule: Option<Schedule>,
}

/// When a gateway writes the statuses of an order.
#[derive(Clone, Debug)]
struct Schedule {
    target: VersionName,
    /// Time at which this gateway writes that the rollout is running.
    running_due: Option<Millis>,
    /// Time at which it writes that the rollout has ended.
    end_due: Option<Millis>,
    /// The most advanced status of this order that the store has held since it was restored.
    recorded: Option<Option<Phase>>,
}

impl RolloutStatuses {
    /// Records a status that this gateway has read from the store or written to it.
    pub fn record(&mut self, service: &ServiceName, status: KnownStatus) {
        self.entry(service).set(status, true);
    }

    /// Merges a status that another gateway has reported; returns whether it replaces the known one.
    ///
    /// A report may be outdated, and seems later than it is by its transit time. So a report that would cancel a write
    /// and contradicts what this gateway itself has read or written must be later by a margin. Otherwise the write
    /// stays due, and the gateway reads the store before it.
    ///
    /// ```
    /// use redwingfold_core::{KnownStatus, Millis, Phase, RolloutStatuses};
    /// let (service, target) = ("slips".into(), "v3".parse()?);
    /// let status = |target: &str, ended, as_of| {
    ///     let target = target.parse().expect("a version");
    ///     KnownStatus { target, ended, as_of: Millis(as_of), is_superseded: false }
    /// };
    /// let mut statuses = RolloutStatuses::default();
    /// statuses.begin(&service, &target, false);
    /// statuses.record(&service, status("v2", None, 9_000));
    /// let done = |as_of| status("v3", Some(Phase::Done), as_of);
    /// assert!(!statuses.merge_report(&service, done(8_000)));
    /// assert!(statuses.merge_report(&service, done(20_000)));
    /// # Ok::<(), redwingfold_core::ParseIdError>(())
    /// ```
    pub fn merge_report(&mut self, service: &ServiceName, status: KnownStatus) -> bool {
        let entry = self.entry(service);
        let is_later = entry.known.as_ref().is_none_or(|known| {
            let is_own =
                |target: &VersionName| entry.schedule.as_ref().is_some_and(|s| s.target == *target);
            let margin = match () {
                () if known.target != status.target => {
                    let cancels = is_own(&status.target) && entry.is_direct;
                    if cancels { MAX_AGE_ERROR } else { Millis(0) }
                }
                () if known.ended == status.ended => return false,
                // Reports of a running rollout may arrive after its end.
                () if known.ended.is_some() => MAX_AGE_ERROR,
                () => return status.as_of >= known.as_of,
            };
            status.as_of > known.as_of.after(margin)
        });
        if is_later {
            entry.set(status, false);
        }
        is_later
    }

    /// Schedules the status of a new order. If the previous order named the same version (`is_repeated`), its status is
    /// discarded: it does not belong to the new order.
    pub fn begin(&mut self, service: &ServiceName, target: &VersionName, is_repeated: bool) {
        let entry = self.entry(service);
        entry.known.take_if(|known| is_repeated && known.target == *target);
        entry.schedule = None;
        entry.schedule(target);
    }

    /// Discards all statuses, because the store was restored from an older copy that may lack them.
    ///
    /// If the end of a rollout is lost, the operator waits for it, and a restarted process resumes sending to a version
    /// that was found bad.
    pub fn invalidate(&mut self, now: Millis) {
        for entry in self.services.values_mut() {
            let target = entry.schedule.take().map(|schedule| schedule.target);
            *entry = Entry::default();
            target.iter().for_each(|target| _ = entry.schedule(target));
        }
        self.unreliable_until = now.after(UNRELIABLE_FOR);
    }

    /// Returns whether statuses received from other gateways are unreliable.
    pub fn is_unreliable(&self, now: Millis) -> bool {
        now < self.unreliable_until
    }

    /// Returns the latest known status of a service in the store.
    pub fn known(&self, service: &ServiceName) -> Option<&KnownStatus> {
        self.services.get(service)?.known.as_ref()
    }

    /// Returns the phase in which a rollout ended, if the store has it.
    pub fn outcome(&self, service: &ServiceName, target: &VersionName) -> Option<Phase> {
        self.known(service).filter(|known| known.target == *target)?.ended
    }

    /// Returns whether the status for a phase is missing from the store and has yet to be written by any gateway.
    pub fn is_unrecorded(&self, service: &ServiceName, target: &VersionName, phase: Phase) -> bool {
        let Some(entry) = self.services.get(service) else { return true };
        let is_missing = |ended: Option<Phase>| ended.is_none() && phase >= Phase::Done;
        match &entry.known {
            None => true,
            // An end is final. A gateway with another result is late.
            Some(known) if known.target == *target => is_missing(known.ended),
            Some(known) if known.is_superseded => true,
            Some(_) => {
                let schedule = entry.schedule.as_ref().filter(|s| s.target == *target);
                schedule.and_then(|schedule| schedule.recorded).is_none_or(is_missing)
            }
        }
    }

    /// Returns the time until this gateway, in a fleet of `fleet`, should write the status for a phase, or `None` if
    /// the store has it; `draw` is a random number.
    ///
    /// ```
    /// use redwingfold_core::{KnownStatus, Millis, Phase, RolloutStatuses};
    /// let (service, target) = ("slips".into(), "v2".parse()?);
    /// let mut statuses = RolloutStatuses::default();
    /// let mut due = |phase, now| statuses.write_due_in(&service, &target, phase, 1, Millis(now), u64::MAX);
    /// assert_eq!(due(Phase::Trial, 0), Some(Millis(1_500)));
    /// assert_eq!(due(Phase::Trial, 1_500), Some(Millis(0)));
    /// assert_eq!(due(Phase::Done, 1_500), Some(Millis(150)));
    /// let running = KnownStatus { target: target.clone(), ended: None, as_of: Millis(1_600), is_superseded: false };
    /// statuses.record(&service, running);
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
        let schedule = self.entry(service).schedule(target);
        let (due, longest) = match phase {
            Phase::Done | Phase::RolledBack => (&mut schedule.end_due, MAX_END_DELAY),
            Phase::Trial | Phase::Ramp | Phase::Full => {
                (&mut schedule.running_due, MAX_RUNNING_DELAY)
            }
        };
        let due = due.get_or_insert_with(|| now.after(random_wait(longest, fleet, draw)));
        Some(due.since(now))
    }

    fn entry(&mut self, service: &ServiceName) -> &mut Entry {
        self.services.entry(service.clone()).or_default()
    }
}

impl Entry {
    /// Sets the latest known record. Writes that it makes due wait anew.
    fn set(&mut self, status: KnownStatus, is_direct: bool) {
        if let Some(schedule) = &mut self.schedule {
            (schedule.running_due, schedule.end_due) = (None, None);
            if schedule.target == status.target {
                schedule.recorded = schedule.recorded.max(Some(status.ended));
            }
        }
        self.known = Some(status);
        self.is_direct = is_direct;
    }

    /// Returns the schedule of an order, and starts it if this gateway wrote the status of another one.
    fn schedule(&mut self, target: &VersionName) -> &mut Schedule {
        let known = self.known.as_ref().filter(|known| known.target == *target);
        let recorded = known.map(|known| known.ended);
        let new =
            || Schedule { target: target.clone(), running_due: None, end_due: None, recorded };
        let schedule = self.schedule.get_or_insert_with(new);
        if schedule.target != *target {
            *schedule = new();
        }
        schedule
    }
}
