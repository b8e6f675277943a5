//! Roll-outs as this gateway sees them, with what the others have told.

use std::collections::{HashMap, HashSet};

use redwingfold_core::{
    Arm, Canary, CanaryPolicy, FleetEvidence, Millis, MovedSessions, OrderAge, Phase, PresentTime,
    RolloutOrder, RouteEvidence, ServiceName, StatusBook, UsualTime, VersionName,
};

use crate::gateway::StoreCopy;
use crate::rollout_news::RolloutNews;

mod evidence;
mod versions;

pub(crate) use evidence::{Seen, Sight};

/// How long the others are told of an end: each of them hears of roll-outs once a second.
const END_TOLD: Millis = Millis(5_000);

/// Gateways that write that a version without an order has come into service, on average: all see it at the same time.
const WRITERS: usize = 2;

/// Time for which an order is remembered that another one took the place of: copies from which the store comes back
/// are some seconds old.
const SUPERSEDED_KEPT: Millis = Millis(60_000);

#[derive(Debug, Default)]
struct ServiceVersions {
    /// Versions in service.
    established: HashSet<VersionName>,
    /// Versions that no order has named yet, and when they were first seen.
    sighted: HashMap<VersionName, Millis>,
    /// Versions that were rolled back.
    withdrawn: HashSet<VersionName>,
    /// Whether the store has said which versions are in service.
    is_recorded: bool,
    /// The last roll-out that an operator ordered.
    canary: Option<Canary>,
    /// The trial of a version that no order names, begun after that roll-out ended.
    unannounced: Option<Canary>,
    /// Orders that another one took the place of, and when.
    superseded: Vec<(RolloutOrder, Millis)>,
    ended_at: Option<Millis>,
    routes: HashMap<u32, RouteEvidence>,
    others: HashMap<String, (RolloutNews, Millis)>,
    usual: HashMap<(u32, usize, bool), UsualTime>,
    /// Times of the version in service at the moment, and pauses between its events.
    present: [PresentTime; 2],
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
    unwritten: Vec<ServiceName>,
    /// All orders given before then are known.
    orders_as_of: Millis,
    /// Latest era of the store that is known.
    era: u64,
    /// Gateways that know of each other, this one included.
    fleet: usize,
    /// Whether something has happened that the others should hear at once.
    is_urgent: bool,
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
pub(crate) struct Moved {
    pub(crate) service: ServiceName,
    pub(crate) target: VersionName,
    pub(crate) phase: Phase,
    /// What was known.
    pub(crate) shared: FleetEvidence,
}

impl Rollouts {
    pub(crate) fn new(policy: CanaryPolicy, session_retention: Millis) -> Self {
        Self {
            policy,
            moved_sessions: MovedSessions::new(session_retention),
            services: HashMap::new(),
            statuses: StatusBook::default(),
            unwritten: Vec::new(),
            orders_as_of: Millis(0),
            era: 0,
            fleet: 1,
            is_urgent: false,
        }
    }

    /// Notes how many gateways know of each other, this one included.
    pub(crate) fn share_with(&mut self, fleet: usize) {
        self.fleet = fleet;
    }

    /// Takes an operator's order that a copy of the store has; `false` if it is known, or another one has taken its place.
    pub(crate) fn order(
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
        versions.superseded.retain(|(_, at)| now.since(*at) < SUPERSEDED_KEPT);
        if versions.superseded.iter().any(|(earlier, _)| *earlier == order) {
            return false;
        }
        // An order in an older copy may be the one before that under way, which the operator then gives again.
        if copy == StoreCopy::Present {
            versions.superseded.extend(versions.canary.as_ref().map(|c| (c.order().clone(), now)));
        }
        let tried = versions.unannounced.take().filter(|trial| trial.phase() < Phase::Done);
        versions.sighted.extend(tried.map(|trial| (trial.order().target.clone(), now)));
        versions.sighted.remove(&order.target);
        versions.established.remove(&order.target);
        versions.withdrawn.remove(&order.target);
        versions.begin(Canary::new(self.policy, order, age, now, fastrand::u64(..)));
        self.statuses.forget(service);
        true
    }

    /// Takes what the store says of a roll-out: how it ended, or that it runs. One that another gateway
    /// ended has ended here too.
    pub fn recorded(
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
            self.end(service, phase, now);
        }
    }

    /// Notes the store's era, as its first answer names it.
    pub(crate) fn note_era(&mut self, era: u64) {
        self.era = era;
    }

    /// Doubts what the store said of roll-outs: it has come back from an older copy, and is in another era.
    pub(crate) fn doubt_statuses(&mut self, era: u64, now: Millis) {
        self.era = era;
        self.statuses.doubt(now);
    }

    /// Notes that this gateway has written a status. The others hear of it at once, so that they need not
    /// look.
    pub(crate) fn wrote(
        &mut self,
        service: &ServiceName,
        target: &VersionName,
        ended: Option<Phase>,
        now: Millis,
    ) {
        self.recorded(service, target, ended, now);
        self.is_urgent = true;
    }

    /// Says whether the others should hear at once of what happened here since this was last asked.
    pub(crate) fn take_urgent(&mut self) -> bool {
        std::mem::take(&mut self.is_urgent)
    }

    fn end(&mut self, service: &ServiceName, phase: Phase, now: Millis) {
        let Some(versions) = self.services.get_mut(service) else { return };
        let has_ended = versions.ended_at.is_some();
        let Some(canary) = versions.latest_mut() else { return };
        // The word on an end comes again, and other versions may have come into service since.
        let was_done = has_ended && canary.phase() == Phase::Done;
        canary.end(phase);
        let (target, is_announced) = (canary.order().target.clone(), canary.is_announced());
        versions.ended_at.get_or_insert(now);
        match phase {
            Phase::Done if is_announced && !was_done => {
                versions.established.clear();
                versions.established.insert(target);
            }
            Phase::Done if !is_announced => {
                versions.established.insert(target);
                versions.unannounced = None;
                if fastrand::usize(..self.fleet.max(1)) < WRITERS {
                    self.unwritten.push(service.clone());
                }
            }
            Phase::RolledBack => {
                versions.withdrawn.insert(target);
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
        let is_recent = versions.ended_at.is_none_or(|at| now.since(at) < END_TOLD);
        versions.latest().is_some_and(|c| {
            c.order().target == *version && c.phase() != Phase::RolledBack && is_recent
        })
    }

    /// Counts a send of a request that has `reached` a version of its service before; returns what it has
    /// reached then.
    pub(crate) fn sent(
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

    /// Moves all roll-outs on; returns those that changed their phase.
    pub(crate) fn step(&mut self, now: Millis) -> Vec<Moved> {
        let mut moved = Vec::new();
        for (service, versions) in &mut self.services {
            let shared = versions.shared(now);
            let Some(canary) = versions.latest_mut() else { continue };
            let before = canary.phase();
            let phase = canary.step(&shared, now);
            if phase != before {
                let (service, target) = (service.clone(), canary.order().target.clone());
                moved.push(Moved { service, target, phase, shared });
            }
        }
        for moved in &moved {
            let is_announced = self.canary(&moved.service).is_some_and(Canary::is_announced);
            match moved.phase {
                Phase::RolledBack => {
                    self.end(&moved.service, moved.phase, now);
                    self.is_urgent = true;
                }
                Phase::Done if !is_announced => self.end(&moved.service, moved.phase, now),
                _ => {}
            }
        }
        moved
    }

    /// Returns the roll-out whose status this gateway should write first, with its phase, and the time after which
    /// it should.
    pub fn due_status(&mut self, now: Millis) -> Option<(Millis, DueStatus)> {
        let (fleet, statuses) = (self.fleet, &mut self.statuses);
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
            _ if v.unannounced.as_ref().is_some_and(|c| c.phase() < Phase::Done) => false,
            None => true,
            Some(c) if c.phase() < Phase::Done => false,
            Some(c) => !self.statuses.is_missing(service, &c.order().target, c.phase()),
        })
    }
}

impl ServiceVersions {
    /// Returns the roll-out or trial that began last.
    fn latest(&self) -> Option<&Canary> {
        self.unannounced.as_ref().or(self.canary.as_ref())
    }

    fn latest_mut(&mut self) -> Option<&mut Canary> {
        self.unannounced.as_mut().or(self.canary.as_mut())
    }

    /// Begins a roll-out or a trial, of which nothing is known yet.
    fn begin(&mut self, canary: Canary) {
        self.routes.clear();
        self.others.clear();
        self.ended_at = None;
        let place = if canary.is_announced() { &mut self.canary } else { &mut self.unannounced };
        *place = Some(canary);
    }
}
