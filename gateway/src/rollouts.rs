//! Roll-outs as this gateway sees them, with what the others have told.

use std::collections::{BTreeSet, HashMap, HashSet};

use redwingfold_core::{
    AnswerSums, Arm, Canary, CanaryPolicy, Counts, Millis, MovedSessions, OrderAge, Phase,
    PresentTime, RolloutOrder, RouteEvidence, RouteName, Sent, ServiceName, Shared, StatusBook,
    UsualTime, VersionName,
};

use xxhash_rust::xxh3::xxh3_64;

use crate::gateway::StoreCopy;
use crate::rollout_news::{Recorded, RolloutNews};

/// Age at which another gateway's requests no longer count as coming on: it is gone or cut off.
const MAX_NEWS_AGE: Millis = Millis(4_000);

/// How long the others are told of an end: each of them hears of roll-outs once a second.
const END_TOLD: Millis = Millis(5_000);

/// Time for which a version that no order names gets nothing while others are left: its order may come that much later
/// than its servers.
const UNANNOUNCED_HOLD: Millis = Millis(10_000);

/// Gateways that write that a version without an order has come into service, on average: all see it at the same time.
const WRITERS: usize = 2;

/// Time to the first byte beside the reading of the prompt: a few steps of a batch.
const STEP: Millis = Millis(40);

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
    pub(crate) shared: Shared,
}

/// What was seen of an answer.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Sight {
    /// The server failed.
    Failed,
    /// Its first byte came, where its prompt takes `expected` to read.
    FirstByte { took: Millis, expected: Millis },
    /// Its events come with this pause.
    Pace(Millis),
}

/// An answer as it counts for its version.
#[derive(Clone, Debug)]
pub(crate) struct Seen<'a> {
    pub(crate) service: &'a ServiceName,
    pub(crate) version: &'a VersionName,
    pub(crate) route: &'a RouteName,
    pub(crate) size: usize,
    /// Requests that its server runs and that wait there, for each of its slots.
    pub(crate) load: f64,
    /// Whether its server belongs to the first half of the version's.
    pub(crate) is_first_half: bool,
    pub(crate) sight: Sight,
}

impl Rollouts {
    pub(crate) fn new(policy: CanaryPolicy, session_keep: Millis) -> Self {
        Self {
            policy,
            moved_sessions: MovedSessions::new(session_keep),
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

    /// Takes a version that a backend server has registered with.
    ///
    /// What the first list shows is in service, but for the target of an order, where the store has not said what is: this
    /// process has just started, and whatever it has not seen begin was there before it.
    pub(crate) fn saw(
        &mut self,
        service: &ServiceName,
        version: &VersionName,
        is_first_list: bool,
        now: Millis,
    ) {
        let versions = self.services.entry(service.clone()).or_default();
        let is_target = versions.latest().is_some_and(|c| c.order().target == *version);
        match versions {
            v if is_target || v.established.contains(version) || v.withdrawn.contains(version) => {}
            v if (is_first_list && !v.is_recorded) || v.established.is_empty() => {
                v.established.insert(version.clone());
            }
            v => {
                v.sighted.entry(version.clone()).or_insert(now);
            }
        }
    }

    /// Notes that all orders given before `began` are known here; returns versions whose trial begins as none names them, and
    /// when each was first seen.
    ///
    /// Servers of a new version may register some time before the order for it is given. Until then they get nothing while
    /// others are left: a bad version would have its part of the traffic at each gateway.
    pub(crate) fn orders_known(
        &mut self,
        began: Millis,
        now: Millis,
    ) -> Vec<(ServiceName, VersionName, Millis)> {
        self.orders_as_of = self.orders_as_of.max(began);
        let mut begun = Vec::new();
        for (service, versions) in &mut self.services {
            let is_over = |c: &Canary| {
                let is_written = !self.statuses.is_missing(service, &c.order().target, c.phase());
                c.phase() >= Phase::Done && (is_written || !c.is_announced())
            };
            let is_told = versions.ended_at.is_none_or(|at| now.since(at) >= END_TOLD);
            let is_due = |at: &Millis| at.after(UNANNOUNCED_HOLD) <= began;
            let sighted = versions.sighted.iter().filter(|(_, at)| is_due(at));
            let first =
                sighted.min_by_key(|(_, at)| **at).map(|(version, at)| (version.clone(), *at));
            match first {
                Some((version, seen)) if is_told && versions.latest().is_none_or(is_over) => {
                    versions.sighted.remove(&version);
                    versions.begin(Canary::unannounced(
                        self.policy,
                        version.clone(),
                        now,
                        fastrand::u64(..),
                    ));
                    begun.push((service.clone(), version, seen));
                }
                _ => {}
            }
        }
        begun
    }

    /// Takes which versions the store says are in service, before the first list of servers is known. Others on that list have
    /// been seen to begin by other gateways only, and wait for an order or a trial.
    pub(crate) fn take_versions(&mut self, service: &ServiceName, versions: BTreeSet<VersionName>) {
        let known = self.services.entry(service.clone()).or_default();
        let target = known.canary.as_ref().map(|c| &c.order().target);
        known.established.extend(versions.into_iter().filter(|v| Some(v) != target));
        known.is_recorded = true;
    }

    /// Returns the versions of a service that are in service.
    pub(crate) fn versions_in_service(&self, service: &ServiceName) -> BTreeSet<VersionName> {
        let versions = self.services.get(service).map(|v| &v.established);
        versions.into_iter().flatten().cloned().collect()
    }

    /// Returns the services that have a version in service.
    pub(crate) fn services_in_service(&self) -> Vec<ServiceName> {
        let in_service = self.services.iter().filter(|(_, v)| !v.established.is_empty());
        in_service.map(|(service, _)| service.clone()).collect()
    }

    /// Takes the services of which this gateway should write which versions are in service.
    pub fn take_unwritten(&mut self) -> Vec<ServiceName> {
        std::mem::take(&mut self.unwritten)
    }

    /// Says whether a version that no order names may serve where no other is left.
    pub(crate) fn is_last_resort(&self, service: &ServiceName, version: &VersionName) -> bool {
        let versions = self.services.get(service);
        let seen = versions.and_then(|v| v.sighted.get(version));
        seen.is_some_and(|at| *at <= self.orders_as_of)
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

    /// Says to which arm a version belongs; `None` if it may not be used.
    pub(crate) fn arm_of(&self, service: &ServiceName, version: &VersionName) -> Option<Arm> {
        let versions = self.services.get(service)?;
        match versions.latest() {
            Some(c) if c.order().target == *version => match c.phase() {
                Phase::RolledBack => None,
                _ => Some(Arm::Target),
            },
            _ if versions.withdrawn.contains(version) => None,
            _ if versions.sighted.contains_key(version) => None,
            _ => Some(Arm::Current),
        }
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
        Some(canary.map_or(arm, |canary| canary.sent(reached, arm, now)))
    }

    /// Counts an answer for its version.
    pub(crate) fn saw_answer(&mut self, seen: &Seen<'_>, now: Millis) {
        let arm = self.arm_of(seen.service, seen.version);
        let Some(versions) = self.services.get_mut(seen.service) else { return };
        let route = xxh3_64(seen.route.as_str().as_bytes()) as u32;
        let time = match seen.sight {
            Sight::Failed => None,
            Sight::FirstByte { took, expected } => {
                Some(took.0.max(1) as f64 / expected.after(STEP).0 as f64)
            }
            Sight::Pace(pause) => Some(pause.0.max(1) as f64),
        };
        let is_pace = matches!(seen.sight, Sight::Pace(_));
        let usual = versions.usual.entry((route, seen.size, is_pace)).or_default();
        let ratio = time.and_then(|time| match arm {
            Some(Arm::Current) => usual.ratio(time, seen.load),
            Some(Arm::Target) | None => usual.ratio_of_other(time, seen.load),
        });
        if let (Some(Arm::Current), Some(time)) = (arm, time) {
            usual.learn(time, seen.load);
        }
        let present = &mut versions.present[usize::from(is_pace)];
        let ratio = match arm {
            Some(Arm::Current) => ratio.inspect(|ratio| present.learn(*ratio, now)),
            Some(Arm::Target) | None => ratio.map(|ratio| ratio / present.factor()),
        };
        if versions.latest().is_none_or(|canary| canary.phase() == Phase::Done) {
            return;
        }
        let evidence = versions.routes.entry(route).or_default();
        let counts = match arm {
            Some(Arm::Current) => &mut evidence.current,
            Some(Arm::Target) | None => &mut evidence.target,
        };
        let mut one = AnswerSums::default();
        match (seen.sight, ratio) {
            (Sight::Failed, _) => one.failed = 1,
            (Sight::FirstByte { .. }, ratio) => {
                one.good = 1;
                ratio.into_iter().for_each(|ratio| one.begin.add(ratio));
            }
            (Sight::Pace(_), ratio) => ratio.into_iter().for_each(|ratio| one.pace.add(ratio)),
        }
        let half = if seen.is_first_half { one } else { AnswerSums::default() };
        *counts = counts.plus(Counts { half, ..one.into() });
    }

    /// Returns when another gateway was last heard on a roll-out under way.
    pub fn heard_at(&self) -> Millis {
        let heard = self.services.values().flat_map(|v| v.others.values()).map(|(_, at)| *at);
        heard.max().unwrap_or_default()
    }

    /// Returns what the other gateways should know of the roll-outs under way.
    pub fn news(&self, now: Millis) -> Vec<RolloutNews> {
        let news = |(service, v): (&ServiceName, &ServiceVersions)| {
            let canary = v.latest()?;
            let is_recent = v.ended_at.is_none_or(|at| now.since(at) < END_TOLD);
            let is_told = match canary.phase() {
                Phase::Trial | Phase::Ramp | Phase::Full => true,
                Phase::Done => is_recent,
                Phase::RolledBack => is_recent || canary.elapsed(now) < canary.order().window,
            };
            if !is_told {
                return None;
            }
            let target = &canary.order().target;
            let recorded = match self.statuses.ended(service, target) {
                Some(phase) => Recorded::Ended(phase),
                None if self.statuses.is_missing(service, target, Phase::Trial) => {
                    Recorded::Unknown
                }
                None => Recorded::Running,
            };
            Some(RolloutNews {
                service: service.clone(),
                target: canary.order().target.clone(),
                elapsed: canary.elapsed(now),
                is_age_known: canary.is_age_known(),
                is_announced: canary.is_announced(),
                routes: v.routes.clone(),
                sent: canary.counts(now),
                is_rolled_back: canary.phase() == Phase::RolledBack,
                recorded,
                era: self.era,
            })
        };
        self.services.iter().filter_map(news).collect()
    }

    /// Takes another gateway's news; `true` if it found the target bad, and this one had not.
    ///
    /// Each gateway hears of the others' counts a little late, so that one is over the bar first. The
    /// others heed it at once: with counts alone, one of three rolled back and two went on to done.
    pub fn hear(&mut self, from: &str, news: RolloutNews, now: Millis) -> bool {
        let Some(versions) = self.services.get_mut(&news.service) else { return false };
        let Some(canary) = versions.latest_mut() else { return false };
        // The trial of a version that no order named yet is older than its order.
        if canary.order().target != news.target || canary.is_announced() != news.is_announced {
            return false;
        }
        canary.is_older(news.elapsed, news.is_age_known, now);
        let is_new = news.is_rolled_back && canary.phase() < Phase::Done;
        let (service, target, recorded) =
            (news.service.clone(), news.target.clone(), news.recorded);
        // A gateway that the store cannot reach may not have noticed yet that it came back from an older copy.
        let is_doubted = news.era < self.era || self.statuses.is_doubted(now);
        match versions.others.get_mut(from) {
            Some((known, at)) => {
                known.take(news);
                *at = now;
            }
            None => {
                versions.others.insert(from.to_owned(), (news, now));
            }
        }
        if is_new {
            self.end(&service, Phase::RolledBack, now);
        }
        match recorded {
            // What others know of the store may be of before it came back from an older copy.
            Recorded::Ended(phase) if is_doubted => self.end(&service, phase, now),
            _ if is_doubted => {}
            Recorded::Ended(phase) => self.recorded(&service, &target, Some(phase), now),
            Recorded::Running if self.statuses.is_missing(&service, &target, Phase::Trial) => {
                self.recorded(&service, &target, None, now);
            }
            Recorded::Running | Recorded::Unknown => {}
        }
        is_new
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

    fn shared(&self, now: Millis) -> Shared {
        let mut routes = self.routes.clone();
        let mut sent = self.latest().map_or_else(Sent::default, |c| c.counts(now));
        for (news, at) in self.others.values() {
            for (route, evidence) in &news.routes {
                let sum = routes.entry(*route).or_default();
                *sum = sum.plus(*evidence);
            }
            let is_present = now.since(*at) < MAX_NEWS_AGE;
            let per_s = if is_present { news.sent.per_s } else { 0.0 };
            sent = sent.plus(Sent { per_s, ..news.sent });
        }
        Shared { routes: routes.into_values().collect(), sent }
    }
}
