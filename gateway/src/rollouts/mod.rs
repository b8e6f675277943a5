//! State of the rollouts of all services: orders, trials of unannounced versions, evidence and stored statuses.

use std::collections::{HashMap, HashSet};

use redwingfold_core::{
    Arm, BaselineLatency, Canary, CanaryPolicy, CurrentSlowdown, FleetEvidence, KnownStatus,
    Millis, MovedSessions, OrderAge, Phase, RolloutOrder, RolloutStatuses, RouteEvidence,
    ServiceName, VersionName,
};

use crate::gateway::StoreCopy;
use crate::rollout_report::RolloutReport;

mod evidence;
mod versions;

pub(crate) use evidence::{AnswerSample, AnswerSignal};

/// Time for which the end of a rollout is reported to other gateways. Each of them receives reports about once a
/// second.
const END_REPORTED_FOR: Millis = Millis(5_000);

/// Average number of gateways that write to the store that an unannounced version is in service. All gateways detect it
/// at the same time, so each writes with a matching probability.
const EXPECTED_WRITERS: usize = 2;

/// Time for which superseded orders are kept. Copies from which the store is restored are some seconds old.
const SUPERSEDED_RETENTION: Millis = Millis(60_000);

/// Versions of one service, and its rollout.
#[derive(Debug, Default)]
struct ServiceVersions {
    /// Versions in service.
    in_service: HashSet<VersionName>,
    /// Versions that no order has named yet, and when each was first registered.
    unannounced_since: HashMap<VersionName, Millis>,
    /// Versions that were rolled back.
    rolled_back: HashSet<VersionName>,
    /// Whether the versions in service were read from the store.
    has_stored_versions: bool,
    /// The latest rollout ordered by an operator.
    canary: Option<Canary>,
    /// The trial of a version that no order names, started after the ordered rollout ended.
    unannounced_trial: Option<Canary>,
    /// Orders that were superseded by another one, and when.
    superseded: Vec<(RolloutOrder, Millis)>,
    /// When the latest rollout or trial ended.
    ended_at: Option<Millis>,
    /// Evidence from this gateway's own answers, by hash of the route's name.
    route_evidence: HashMap<u32, RouteEvidence>,
    /// Latest report of each other gateway, and when it was received.
    peer_reports: HashMap<String, (RolloutReport, Millis)>,
    /// Baseline latencies of the current version by route hash and model index; `true` for gaps between events, `false`
    /// for times to the first byte.
    baselines: HashMap<(u32, usize, bool), BaselineLatency>,
    /// Factor by which the current version is slower than its baseline at the moment: for times to the first byte, then
    /// for gaps between events.
    slowdowns: [CurrentSlowdown; 2],
}

/// The versions of all services, and their rollouts.
#[derive(Debug)]
pub struct Rollouts {
    policy: CanaryPolicy,
    /// Sessions that have moved to the target of a rollout: those that this gateway sent there, keeps for others or has
    /// queried.
    pub(crate) moved_sessions: MovedSessions,
    services: HashMap<ServiceName, ServiceVersions>,
    /// Statuses in the store, as read, written or reported by other gateways.
    statuses: RolloutStatuses,
    /// Services whose versions in service this gateway should write to the store.
    unwritten_services: Vec<ServiceName>,
    /// All orders written before this time are known.
    orders_as_of: Millis,
    /// Latest known era of the store; each restore from an older copy starts a new one. `None` until the store's first
    /// response.
    store_era: Option<u64>,
    /// Number of live gateways, including this one.
    fleet_size: usize,
    /// Whether a report must be sent to the other gateways without delay.
    has_urgent_report: bool,
}

/// A rollout status that is missing in the store.
#[derive(Clone, Debug)]
pub struct DueStatus {
    /// The service.
    pub service: ServiceName,
    /// The version being rolled out.
    pub target: VersionName,
    /// Phase of the rollout.
    pub phase: Phase,
    /// The version of another order whose status the store holds instead.
    pub replaced: Option<VersionName>,
}

/// A rollout's change of phase, and the evidence for it.
#[derive(Clone, Debug)]
pub(crate) struct PhaseChange {
    pub(crate) service: ServiceName,
    pub(crate) target: VersionName,
    pub(crate) phase: Phase,
    /// Evidence of the whole fleet at that time.
    pub(crate) evidence: FleetEvidence,
}

impl Rollouts {
    pub(crate) fn new(policy: CanaryPolicy, session_retention: Millis) -> Self {
        Self {
            policy,
            moved_sessions: MovedSessions::new(session_retention),
            services: HashMap::new(),
            statuses: RolloutStatuses::default(),
            unwritten_services: Vec::new(),
            orders_as_of: Millis(0),
            store_era: None,
            fleet_size: 1,
            has_urgent_report: false,
        }
    }

    /// Sets the number of live gateways, including this one.
    pub(crate) fn set_fleet_size(&mut self, fleet: usize) {
        self.fleet_size = fleet;
    }

    /// Starts the rollout for an operator's order read from the store; returns `false` if the order is known or
    /// superseded.
    pub(crate) fn add_order(
        &mut self,
        service: &ServiceName,
        order: RolloutOrder,
        age: OrderAge,
        copy: StoreCopy,
        now: Millis,
    ) -> bool {
        let versions = self.services.entry(service.clone()).or_default();
        if versions.canary.as_ref().is_some_and(|c| *c.order() == order) {
            return false;
        }
        // A store restored from an older copy contains the previous order again. Executing it once more would take a
        // version out of service that has come into service since.
        versions.superseded.retain(|(_, at)| now.since(*at) < SUPERSEDED_RETENTION);
        if versions.superseded.iter().any(|(earlier, _)| *earlier == order) {
            return false;
        }
        // The order in an older copy may be the one before the active order, which the operator then writes again. So
        // the active order must not count as superseded.
        if copy == StoreCopy::Current {
            versions.superseded.extend(versions.canary.as_ref().map(|c| (c.order().clone(), now)));
        }
        let interrupted =
            versions.unannounced_trial.take().filter(|trial| trial.phase() < Phase::Done);
        versions
            .unannounced_since
            .extend(interrupted.map(|trial| (trial.order().target.clone(), now)));
        versions.unannounced_since.remove(&order.target);
        versions.in_service.remove(&order.target);
        versions.rolled_back.remove(&order.target);
        let is_repeated =
            versions.canary.as_ref().is_some_and(|c| c.order().target == order.target);
        self.statuses.begin(service, &order.target, is_repeated);
        let outcome = self.statuses.outcome(service, &order.target);
        versions.start(Canary::new(self.policy, order, age, now, fastrand::u64(..)));
        if let Some(phase) = outcome {
            self.end_rollout(service, phase, now);
        }
        true
    }

    /// Records a rollout's status in the store: how it ended, or `None` while it is running. A rollout that another
    /// gateway ended is ended here as well.
    pub fn record_status(
        &mut self,
        service: &ServiceName,
        target: &VersionName,
        ended: Option<Phase>,
        now: Millis,
    ) {
        let status = self.known_status(service, target, ended, now, now);
        self.statuses.record(service, status);
        let canary = self.canary(service).filter(|c| c.is_announced());
        let is_same = canary.is_some_and(|c| c.order().target == *target);
        if let (true, Some(phase)) = (is_same, ended) {
            self.end_rollout(service, phase, now);
        }
    }

    /// Returns a status as known at `as_of`, with whether the active order has superseded its order.
    fn known_status(
        &self,
        service: &ServiceName,
        target: &VersionName,
        ended: Option<Phase>,
        as_of: Millis,
        now: Millis,
    ) -> KnownStatus {
        let orders = self.services.get(service).into_iter().flat_map(|v| &v.superseded);
        let mut recent = orders.filter(|(_, at)| now.since(*at) < SUPERSEDED_RETENTION);
        let is_superseded = recent.any(|(order, _)| order.target == *target);
        KnownStatus { target: target.clone(), ended, as_of, is_superseded }
    }

    /// Sets the store's era, from its first response.
    pub(crate) fn set_store_era(&mut self, era: u64) {
        self.store_era = Some(era);
    }

    /// Invalidates the known statuses after the store was restored from an older copy, which starts another era.
    pub(crate) fn store_restored(&mut self, era: u64, now: Millis) {
        self.store_era = Some(era);
        self.statuses.invalidate(now);
    }

    /// Records that this gateway has written a status. It is reported to the others at once, so that they need not read
    /// it.
    pub(crate) fn record_written_status(
        &mut self,
        service: &ServiceName,
        target: &VersionName,
        ended: Option<Phase>,
        now: Millis,
    ) {
        self.record_status(service, target, ended, now);
        self.has_urgent_report = true;
    }

    /// Returns whether a report must be sent without delay, and clears that flag.
    pub(crate) fn take_urgent_report(&mut self) -> bool {
        std::mem::take(&mut self.has_urgent_report)
    }

    fn end_rollout(&mut self, service: &ServiceName, phase: Phase, now: Millis) {
        let Some(versions) = self.services.get_mut(service) else { return };
        let had_ended = versions.ended_at.is_some();
        let Some(canary) = versions.latest_mut() else { return };
        // Reports of an end are repeated, and other versions may have come into service since the first one.
        let was_done = had_ended && canary.phase() == Phase::Done;
        canary.end(phase);
        let (target, is_announced) = (canary.order().target.clone(), canary.is_announced());
        versions.ended_at.get_or_insert(now);
        match phase {
            Phase::Done if is_announced && !was_done => {
                versions.in_service.clear();
                versions.in_service.insert(target);
            }
            Phase::Done if !is_announced => {
                versions.in_service.insert(target);
                versions.unannounced_trial = None;
                if fastrand::usize(..self.fleet_size.max(1)) < EXPECTED_WRITERS {
                    self.unwritten_services.push(service.clone());
                }
            }
            Phase::RolledBack => {
                versions.rolled_back.insert(target);
            }
            Phase::Trial | Phase::Ramp | Phase::Full | Phase::Done => {}
        }
    }

    /// Returns the active rollout or trial of a service, or else the last one.
    pub(crate) fn canary(&self, service: &ServiceName) -> Option<&Canary> {
        self.services.get(service)?.latest()
    }

    /// Returns whether sending a request to a version moves its session there. Moves need no record once all gateways
    /// have the target in service.
    pub(crate) fn moves_session(
        &self,
        service: &ServiceName,
        version: &VersionName,
        now: Millis,
    ) -> bool {
        let Some(versions) = self.services.get(service) else { return false };
        let is_recent = versions.ended_at.is_none_or(|at| now.since(at) < END_REPORTED_FOR);
        versions.latest().is_some_and(|c| {
            c.order().target == *version && c.phase() != Phase::RolledBack && is_recent
        })
    }

    /// Counts one send of a request. `reached` is the arm that earlier sends of it reached; returns the arm reached
    /// now.
    pub(crate) fn record_send(
        &mut self,
        service: &ServiceName,
        version: &VersionName,
        reached: Option<Arm>,
        now: Millis,
    ) -> Option<Arm> {
        let arm = self.arm_of(service, version)?;
        let canary = self.services.get_mut(service).and_then(ServiceVersions::latest_mut);
        Some(canary.map_or(arm, |canary| canary.record_send(reached, arm, now)))
    }

    /// Advances all rollouts; returns those that changed phase.
    pub(crate) fn step(&mut self, now: Millis) -> Vec<PhaseChange> {
        let mut changes = Vec::new();
        for (service, versions) in &mut self.services {
            let evidence = versions.fleet_evidence(now);
            let Some(canary) = versions.latest_mut() else { continue };
            let before = canary.phase();
            let phase = canary.step(&evidence, now);
            if phase != before {
                let (service, target) = (service.clone(), canary.order().target.clone());
                changes.push(PhaseChange { service, target, phase, evidence });
            }
        }
        for change in &changes {
            let is_announced = self.canary(&change.service).is_some_and(Canary::is_announced);
            match change.phase {
                Phase::RolledBack => {
                    self.end_rollout(&change.service, change.phase, now);
                    self.has_urgent_report = true;
                }
                Phase::Done if !is_announced => {
                    self.end_rollout(&change.service, change.phase, now)
                }
                _ => {}
            }
        }
        changes
    }

    /// Returns the status that this gateway should write next, and the delay after which it should.
    pub fn due_status(&mut self, now: Millis) -> Option<(Millis, DueStatus)> {
        let (fleet, statuses) = (self.fleet_size, &mut self.statuses);
        let due = self.services.iter().filter_map(|(service, v)| {
            let canary = v.canary.as_ref()?;
            let (target, phase) = (&canary.order().target, canary.phase());
            let draw = fastrand::u64(..);
            let due = statuses.write_due_in(service, target, phase, fleet, now, draw)?;
            let known = statuses.known(service).map(|known| known.target.clone());
            let replaced = known.filter(|known| known != target);
            let (service, target) = (service.clone(), target.clone());
            Some((due, DueStatus { service, target, phase, replaced }))
        });
        due.min_by_key(|(due, _)| *due)
    }

    /// Returns whether no rollout is active and no status is missing in the store.
    pub fn is_idle(&self) -> bool {
        self.services.iter().all(|(service, v)| match &v.canary {
            _ if v.unannounced_trial.as_ref().is_some_and(|c| c.phase() < Phase::Done) => false,
            None => true,
            Some(c) if c.phase() < Phase::Done => false,
            Some(c) => !self.statuses.is_unrecorded(service, &c.order().target, c.phase()),
        })
    }
}

impl ServiceVersions {
    /// Returns the rollout or trial that started last.
    fn latest(&self) -> Option<&Canary> {
        self.unannounced_trial.as_ref().or(self.canary.as_ref())
    }

    fn latest_mut(&mut self) -> Option<&mut Canary> {
        self.unannounced_trial.as_mut().or(self.canary.as_mut())
    }

    /// Starts a rollout or a trial, without evidence from earlier ones.
    fn start(&mut self, canary: Canary) {
        self.route_evidence.clear();
        self.peer_reports.clear();
        self.ended_at = None;
        let slot =
            if canary.is_announced() { &mut self.canary } else { &mut self.unannounced_trial };
        *slot = Some(canary);
    }
}
