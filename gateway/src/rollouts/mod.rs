//! Roll-outs as this gateway sees them, with what the others have told.

use std::collections::{HashMap, HashSet};

use redwingfold_core::{
    Arm, Canary, CanaryPolicy, Millis, MovedSessions, OrderAge, Phase, PresentTime, RolloutOrder,
    RouteEvidence, ServiceName, Shared, StatusBook, UsualTime, VersionName,
};

use crate::gateway::StoreCopy;
use crate::rollout_report::RolloutReport;

mod evidence;
mod versions;

pub(crate) use evidence::{AnswerSample, AnswerSignal};

/// How long the others are told of an end: each of them hears of roll-outs once a second.
const END_REPORTED_FOR: Millis = Millis(5_000);

/// Gateways that write that a version without an order has come into service, on average: all see it at the same time.
const EXPECTED_WRITERS: usize = 2;

/// Time for which an order is remembered that another one took the place of: copies from which the store comes back
/// are some seconds old.
const SUPERSEDED_RETENTION: Millis = Millis(60_000);

#[derive(Debug, Default)]
struct ServiceVersions {
    /// Versions in service.
    in_service: HashSet<VersionName>,
    /// Versions that no order has named yet, and when they were first seen.
    unannounced_since: HashMap<VersionName, Millis>,
    /// Versions that were rolled back.
    rolled_back: HashSet<VersionName>,
    /// Whether the store has said which versions are in service.
    has_stored_versions: bool,
    /// The last roll-out that an operator ordered.
    canary: Option<Canary>,
    /// The trial of a version that no order names, begun after that roll-out ended.
    unannounced_trial: Option<Canary>,
    /// Orders that another one took the place of, and when.
    superseded: Vec<(RolloutOrder, Millis)>,
    ended_at: Option<Millis>,
    route_evidence: HashMap<u32, RouteEvidence>,
    peer_reports: HashMap<String, (RolloutReport, Millis)>,
    usual_times: HashMap<(u32, usize, bool), UsualTime>,
    /// Times of the version in service at the moment, and pauses between its events.
    recent_factors: [PresentTime; 2],
}

/// The versions of all services, and their roll-outs.
#[derive(Debug)]
pub struct Rollouts {
    policy: CanaryPolicy,
    /// Sessions that have moved, as far as this gateway has sent, keeps or has asked for them.
    pub(crate) moved_sessions: MovedSessions,
    services: HashMap<ServiceName, ServiceVersions>,
    statuses: StatusBook,
    /// Services of which this gateway should write which versions are in service.
    unwritten_services: Vec<ServiceName>,
    /// All orders given before then are known.
    orders_as_of: Millis,
    /// Latest era of the store that is known.
    store_era: u64,
    /// Gateways that know of each other, this one included.
    fleet_size: usize,
    /// Whether something has happened that the others should hear at once.
    has_urgent_report: bool,
}

/// A status that the store lacks.
#[derive(Clone, Debug)]
pub struct DueStatus {
    /// The service.
    pub service: ServiceName,
    /// The version that is rolled out.
    pub target: VersionName,
    /// Where the roll-out stands.
    pub phase: Phase,
}

/// A roll-out that changed its phase, and on which evidence.
#[derive(Clone, Debug)]
pub(crate) struct PhaseChange {
    pub(crate) service: ServiceName,
    pub(crate) target: VersionName,
    pub(crate) phase: Phase,
    /// What was known.
    pub(crate) evidence: Shared,
}

impl Rollouts {
    pub(crate) fn new(policy: CanaryPolicy, session_retention: Millis) -> Self {
        Self {
            policy,
            moved_sessions: MovedSessions::new(session_retention),
            services: HashMap::new(),
            statuses: StatusBook::default(),
            unwritten_services: Vec::new(),
            orders_as_of: Millis(0),
            store_era: 0,
            fleet_size: 1,
            has_urgent_report: false,
        }
    }

    /// Notes how many gateways know of each other, this one included.
    pub(crate) fn set_fleet_size(&mut self, fleet: usize) {
        self.fleet_size = fleet;
    }

    /// Takes an operator's order that a copy of the store has; `false` if it is known, or another one has taken its place.
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
        // A store that comes back from an older copy has the order before again: carried out once more, it would take a
        // version out of service that was put there since.
        versions.superseded.retain(|(_, at)| now.since(*at) < SUPERSEDED_RETENTION);
        if versions.superseded.iter().any(|(earlier, _)| *earlier == order) {
            return false;
        }
        // An order in an older copy may be the one before that under way, which the operator then gives again.
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
        versions.start(Canary::new(self.policy, order, age, now, fastrand::u64(..)));
        self.statuses.forget(service);
        true
    }

    /// Takes what the store says of a roll-out: how it ended, or that it runs. One that another gateway
    /// ended has ended here too.
    pub fn record_status(
        &mut self,
        service: &ServiceName,
        target: &VersionName,
        ended: Option<Phase>,
        now: Millis,
    ) {
        self.statuses.recorded(service, target, ended);
        let canary = self.canary(service).filter(|c| c.is_announced());
        let is_same = canary.is_some_and(|c| c.order().target == *target);
        if let (true, Some(phase)) = (is_same, ended) {
            self.end_rollout(service, phase, now);
        }
    }

    /// Notes the store's era, as its first answer names it.
    pub(crate) fn set_store_era(&mut self, era: u64) {
        self.store_era = era;
    }

    /// Doubts what the store said of roll-outs: it has come back from an older copy, and is in another era.
    pub(crate) fn store_restored(&mut self, era: u64, now: Millis) {
        self.store_era = era;
        self.statuses.doubt(now);
    }

    /// Notes that this gateway has written a status. The others hear of it at once, so that they need not
    /// look.
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

    /// Says whether the others should hear at once of what happened here since this was last asked.
    pub(crate) fn take_urgent_report(&mut self) -> bool {
        std::mem::take(&mut self.has_urgent_report)
    }

    fn end_rollout(&mut self, service: &ServiceName, phase: Phase, now: Millis) {
        let Some(versions) = self.services.get_mut(service) else { return };
        let had_ended = versions.ended_at.is_some();
        let Some(canary) = versions.latest_mut() else { return };
        // The word on an end comes again, and other versions may have come into service since.
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

    /// Returns the roll-out of a service that is under way, or the last one.
    pub(crate) fn canary(&self, service: &ServiceName) -> Option<&Canary> {
        self.services.get(service)?.latest()
    }

    /// Returns whether the session of a request that was sent to a version has moved with it. Others need not know once
    /// all gateways know that the target is in service.
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

    /// Counts a send of a request that has `reached` a version of its service before; returns what it has
    /// reached then.
    pub(crate) fn record_send(
        &mut self,
        service: &ServiceName,
        version: &VersionName,
        reached: Option<Arm>,
        now: Millis,
    ) -> Option<Arm> {
        let arm = self.arm_of(service, version)?;
        let canary = self.services.get_mut(service).and_then(ServiceVersions::latest_mut);
        Some(canary.map_or(arm, |canary| canary.sent(reached, arm, now)))
    }

    /// Moves all roll-outs on; returns those that changed their phase.
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

    /// Returns the roll-out whose status this gateway should write first, with its phase, and the time after which
    /// it should.
    pub fn due_status(&mut self, now: Millis) -> Option<(Millis, DueStatus)> {
        let (fleet, statuses) = (self.fleet_size, &mut self.statuses);
        let due = self.services.iter().filter_map(|(service, v)| {
            let canary = v.canary.as_ref()?;
            let (target, phase) = (&canary.order().target, canary.phase());
            let draw = fastrand::u64(..);
            let due = statuses.due_in(service, target, phase, fleet, now, draw)?;
            let (service, target) = (service.clone(), target.clone());
            Some((due, DueStatus { service, target, phase }))
        });
        due.min_by_key(|(due, _)| *due)
    }

    /// Says whether no roll-out is under way, and the store lacks no word on any.
    pub fn is_idle(&self) -> bool {
        self.services.iter().all(|(service, v)| match &v.canary {
            _ if v.unannounced_trial.as_ref().is_some_and(|c| c.phase() < Phase::Done) => false,
            None => true,
            Some(c) if c.phase() < Phase::Done => false,
            Some(c) => !self.statuses.is_missing(service, &c.order().target, c.phase()),
        })
    }
}

impl ServiceVersions {
    /// Returns the roll-out or trial that began last.
    fn latest(&self) -> Option<&Canary> {
        self.unannounced_trial.as_ref().or(self.canary.as_ref())
    }

    fn latest_mut(&mut self) -> Option<&mut Canary> {
        self.unannounced_trial.as_mut().or(self.canary.as_mut())
    }

    /// Begins a roll-out or a trial, of which nothing is known yet.
    fn start(&mut self, canary: Canary) {
        self.route_evidence.clear();
        self.peer_reports.clear();
        self.ended_at = None;
        let slot =
            if canary.is_announced() { &mut self.canary } else { &mut self.unannounced_trial };
        *slot = Some(canary);
    }
}
