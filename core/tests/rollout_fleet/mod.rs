//! Simulation of rollouts in virtual time, with several gateways that exchange their evidence.

#![allow(dead_code, reason = "each test file uses its part")]

use redwingfold_core::{
    Affinity, Arm, ArmChoice, Canary, CanaryPolicy, FleetEvidence, Millis, MovedSessions, OrderAge,
    Phase, RolloutOrder, RouteEvidence, SendCounts, SessionKey,
};

const ROUTES: usize = 3;
/// Milliseconds between an order and its deadline.
pub(crate) const WINDOW: u64 = 24_000;

/// Probability of a bad answer, by route, time in ms since the order, and the target's share of the
/// traffic.
pub(crate) type BadAnswerRate = fn(usize, u64, f64) -> f64;

/// What is wrong with a bad answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FaultKind {
    Failed,
    Slow,
}

/// Gateways that roll out one version.
pub(crate) struct Fleet {
    pub(crate) gateways: Vec<Gateway>,
    rng: fastrand::Rng,
    policy: CanaryPolicy,
    /// Time in ms at which some gateways restart, and their number.
    restart: Option<(u64, usize)>,
    /// Time in ms at which gateways are added, and their number before that.
    growth: Option<(u64, usize)>,
    /// Probability with which a message is lost.
    message_loss: f64,
    /// Sessions of the requests, if they have any.
    sessions: Option<Sessions>,
}

/// One gateway of the fleet.
pub(crate) struct Gateway {
    pub(crate) canary: Canary,
    evidence: [RouteEvidence; ROUTES],
    moved: MovedSessions,
}

/// Where a gateway looks up whether a session has moved.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SessionLookup {
    /// At the gateways that keep the session's entry.
    Keepers,
    /// Only in its own table of sessions that it served.
    Local,
    /// Nowhere: each session that may have moved counts as moved.
    Assumed,
}

/// Sessions whose requests reach gateways at random.
struct Sessions {
    lookup: SessionLookup,
    /// Share of the requests that continue an existing session.
    continued_share: f64,
    active: Vec<Session>,
}

struct Session {
    key: SessionKey,
    last: Arm,
    last_request_at: u64,
}

/// Longest time in ms between two requests of a session.
const SESSION_GAP: u64 = 8_500;

/// How long gateways keep the entry of a moved session.
const RETENTION: Millis = Millis(17_000);

/// What a gateway sends to the others.
type GossipState = ([RouteEvidence; ROUTES], SendCounts);

/// Outcome of a simulated rollout.
pub(crate) struct Outcome {
    pub(crate) phase: Phase,
    pub(crate) to_target: u64,
    pub(crate) all: u64,
    /// Requests that went to the target later than 5 s after its 50th bad answer.
    pub(crate) after_50th: u64,
    pub(crate) ended_at: Option<u64>,
    /// Requests of sessions that ran on the target in the first half of the window, after one on
    /// the version in service.
    pub(crate) moved_early: u64,
    /// Requests of sessions that ran on the version in service, after one on the target.
    pub(crate) moved_back: u64,
}

impl Fleet {
    /// Creates gateways that read the order when it is given.
    pub(crate) fn new(gateways: usize, seed: u64) -> Self {
        Self::with_order_age(gateways, seed, Millis(0), OrderAge::default())
    }

    /// Creates gateways that read the order `after` it was given, with `age` as the bounds on its
    /// age.
    pub(crate) fn with_order_age(gateways: usize, seed: u64, after: Millis, age: OrderAge) -> Self {
        let order = RolloutOrder { target: "v2".parse().unwrap(), window: Millis(WINDOW) };
        let draw = |g: u64| fastrand::Rng::with_seed(seed << 16 | g).u64(..);
        let gateway = |g| Gateway {
            canary: Canary::new(CanaryPolicy::default(), order.clone(), age, after, draw(g as u64)),
            evidence: [RouteEvidence::default(); ROUTES],
            moved: MovedSessions::new(RETENTION),
        };
        Self {
            gateways: (0..gateways).map(gateway).collect(),
            rng: fastrand::Rng::with_seed(seed),
            policy: CanaryPolicy::default(),
            restart: None,
            growth: None,
            message_loss: 0.1,
            sessions: None,
        }
    }

    /// Sets the window of the rollout, in ms.
    pub(crate) fn with_window(mut self, window: u64) -> Self {
        let order = RolloutOrder { target: "v2".parse().unwrap(), window: Millis(window) };
        for gateway in &mut self.gateways {
            let (policy, age) = (CanaryPolicy::default(), OrderAge::default());
            gateway.canary = Canary::new(policy, order.clone(), age, Millis(0), self.rng.u64(..));
        }
        self
    }

    /// Returns the evidence of all gateways as gateway `g` received it. If the latest message of
    /// another gateway is lost, its previous one counts.
    fn shared(
        &mut self,
        received: &mut [Vec<GossipState>],
        g: usize,
        now: Millis,
    ) -> FleetEvidence {
        let (mut oldest, mut is_age_known) = (Millis(0), false);
        let gateway_count = self.gateway_count(now.0);
        for (other, gateway) in self.gateways.iter().enumerate().take(gateway_count) {
            if other == g || self.rng.f64() > self.message_loss {
                received[g][other] = (gateway.evidence, gateway.canary.counts(now));
                oldest = oldest.max(gateway.canary.elapsed(now));
                is_age_known |= gateway.canary.is_age_known();
            }
        }
        if oldest > Millis(0) {
            self.gateways[g].canary.merge_age(oldest, is_age_known, now);
        }
        let mut routes = vec![RouteEvidence::default(); ROUTES];
        let mut sent = SendCounts::default();
        for (routes_seen, counts) in &received[g] {
            sent = sent.plus(*counts);
            for (sum, route) in routes.iter_mut().zip(routes_seen) {
                *sum = sum.plus(*route);
            }
        }
        FleetEvidence { routes, sent }
    }

    /// Sets the policy for an exposure.
    pub(crate) fn with_exposure(self, exposure: f64) -> Self {
        let policy = CanaryPolicy::for_exposure(exposure);
        self.with_policy(policy, OrderAge::default(), Millis(0))
    }

    /// Sets the policy, for an order that was read at `now` with `age` as the bounds on its age.
    pub(crate) fn with_policy(mut self, policy: CanaryPolicy, age: OrderAge, now: Millis) -> Self {
        self.policy = policy;
        for g in 0..self.gateways.len() {
            self.gateways[g].canary = self.new_canary(age, now);
        }
        self
    }

    /// Restarts the first `gateways` gateways at a time.
    pub(crate) fn with_restart(mut self, at: u64, gateways: usize) -> Self {
        self.restart = Some((at, gateways));
        self
    }

    /// Adds all gateways but the first `before` at a time.
    pub(crate) fn with_growth(mut self, at: u64, before: usize) -> Self {
        self.growth = Some((at, before));
        self
    }

    /// Returns the number of gateways at a time.
    fn gateway_count(&self, ms: u64) -> usize {
        match self.growth {
            Some((at, before)) if ms < at => before,
            _ => self.gateways.len(),
        }
    }

    /// Sets the probability with which a message is lost.
    pub(crate) fn with_message_loss(mut self, message_loss: f64) -> Self {
        self.message_loss = message_loss;
        self
    }

    /// Gives each request a session; a share of the requests continue an existing one.
    pub(crate) fn with_sessions(mut self, lookup: SessionLookup, continued_share: f64) -> Self {
        self.sessions = Some(Sessions { lookup, continued_share, active: Vec::new() });
        self
    }

    /// Gives each gateway a different lower bound on the age of the order, up to `max` ms.
    pub(crate) fn with_order_age_spread(mut self, max: u64) -> Self {
        for g in 0..self.gateways.len() {
            let min = Millis(self.rng.u64(..=max));
            let age = OrderAge { min, max: Millis(max), is_unknown: false };
            self.gateways[g].canary = self.new_canary(age, Millis(max));
        }
        self
    }

    fn new_canary(&mut self, age: OrderAge, now: Millis) -> Canary {
        let order = RolloutOrder { target: "v2".parse().unwrap(), window: Millis(WINDOW) };
        Canary::new(self.policy, order, age, now, self.rng.u64(..))
    }

    /// Restarts or adds gateways: their state is empty but for the order, whose age they get from
    /// the others.
    fn restart_gateways(&mut self, ms: u64) {
        let restarted = self.restart.filter(|(at, _)| *at == ms).map_or(0..0, |(_, n)| 0..n);
        let all = self.gateways.len();
        let added = self.growth.filter(|(at, _)| *at == ms).map_or(0..0, |(_, n)| n..all);
        for g in restarted.chain(added) {
            // With sessions, a gateway decides for some requests before it receives the others'
            // messages.
            let age = OrderAge { is_unknown: self.sessions.is_some(), ..OrderAge::default() };
            let mut canary = self.new_canary(age, Millis(ms));
            if !age.is_unknown {
                canary.merge_age(Millis(ms), true, Millis(ms));
            }
            let evidence = [RouteEvidence::default(); ROUTES];
            let moved = MovedSessions::new(RETENTION);
            self.gateways[g] = Gateway { canary, evidence, moved };
        }
    }

    /// Simulates a rollout with `per_s` requests a second, and the bad answer rates of the version
    /// in service and the target.
    pub(crate) fn simulate(
        self,
        per_s: u64,
        current_bad_rate: f64,
        target_bad_rate: BadAnswerRate,
        kind: FaultKind,
    ) -> Outcome {
        self.simulate_rate(|_| per_s, current_bad_rate, target_bad_rate, kind)
    }

    /// Simulates a rollout with a request rate that depends on the time in ms.
    pub(crate) fn simulate_rate(
        mut self,
        per_s: impl Fn(u64) -> u64,
        current_bad_rate: f64,
        target_bad_rate: BadAnswerRate,
        kind: FaultKind,
    ) -> Outcome {
        let n = self.gateways.len();
        let mut received = vec![vec![GossipState::default(); n]; n];
        let mut outcome = Outcome {
            phase: Phase::Trial,
            to_target: 0,
            all: 0,
            after_50th: 0,
            ended_at: None,
            moved_early: 0,
            moved_back: 0,
        };
        let (mut bad, mut fiftieth_bad_at) = (0, None);
        for ms in (0..WINDOW).step_by(100) {
            self.restart_gateways(ms);
            for _ in 0..per_s(ms) / 10 {
                let (arm, is_bad) =
                    self.request(ms, current_bad_rate, target_bad_rate, kind, &mut outcome);
                outcome.all += 1;
                if arm == Arm::Target {
                    outcome.to_target += 1;
                    bad += u64::from(is_bad);
                    outcome.after_50th +=
                        u64::from(fiftieth_bad_at.is_some_and(|at: u64| ms > at + 5_000));
                }
                if bad == 50 && fiftieth_bad_at.is_none() {
                    fiftieth_bad_at = Some(ms);
                }
            }
            for g in 0..self.gateway_count(ms) {
                let shared = self.shared(&mut received, g, Millis(ms));
                let phase = self.gateways[g].canary.step(&shared, Millis(ms));
                // The first gateway to end the rollout writes the status, and the others read it.
                if phase >= Phase::Done && outcome.ended_at.is_none() {
                    outcome.ended_at = Some(ms);
                    outcome.phase = phase;
                }
            }
            // The old servers stop after that, so that everything goes to the target.
            if outcome.phase == Phase::Done {
                self.gateways.iter_mut().for_each(|g| g.canary.end(Phase::Done));
            }
        }
        outcome
    }

    /// Simulates one request; returns the version that served it, and whether its answer was bad.
    fn request(
        &mut self,
        ms: u64,
        current_bad_rate: f64,
        target_bad_rate: BadAnswerRate,
        kind: FaultKind,
        outcome: &mut Outcome,
    ) -> (Arm, bool) {
        let (g, route) = (self.rng.usize(..self.gateway_count(ms)), self.rng.usize(..ROUTES));
        let now = Millis(ms);
        let arm = match self.sessions.is_some() {
            true => self.request_of_session(g, ms, outcome),
            false => {
                match self.gateways[g].canary.choose_arm(Affinity::None, self.rng.u64(..), now) {
                    ArmChoice::Arm(arm) => arm,
                    ArmChoice::AskKeepers => {
                        unreachable!("a request without a session has no keepers")
                    }
                }
            }
        };
        let gateway = &mut self.gateways[g];
        gateway.canary.record_send(None, arm, now);
        let share = f64::from(gateway.canary.share().0) / 1000.0;
        let rate =
            if arm == Arm::Target { target_bad_rate(route, ms, share) } else { current_bad_rate };
        let is_bad = self.rng.f64() < rate;
        // Latencies vary by a factor of three either way.
        let ratio = (self.rng.f64() * 2.2 - 1.1).exp();
        let evidence = &mut gateway.evidence[route];
        let counts = match arm {
            Arm::Current => &mut evidence.current,
            Arm::Target => &mut evidence.target,
        };
        match kind {
            FaultKind::Failed if is_bad => counts.failed += 1,
            FaultKind::Slow if is_bad => {
                counts.good += 1;
                counts.first_byte.add(ratio * 8.0);
            }
            _ => {
                counts.good += 1;
                counts.first_byte.add(ratio);
            }
        }
        (arm, is_bad)
    }

    /// Chooses the version for a request of a session, and counts changes of version that must not
    /// occur.
    fn request_of_session(&mut self, g: usize, ms: u64, outcome: &mut Outcome) -> Arm {
        let now = Millis(ms);
        let (key, last) = self.take_session(ms);
        let has_moved = self.gateways[g].moved.contains(key, now);
        let affinity =
            if has_moved { Affinity::Bound(Arm::Target) } else { Affinity::UnknownSession };
        let arm = match self.gateways[g].canary.choose_arm(affinity, key.0, now) {
            ArmChoice::Arm(arm) => arm,
            ArmChoice::AskKeepers if self.ask(key, now) => Arm::Target,
            ArmChoice::AskKeepers => Arm::Current,
        };
        if arm == Arm::Target {
            self.record(g, key, now);
        }
        let is_rolled_back = outcome.phase == Phase::RolledBack;
        match (last, arm) {
            (Some(Arm::Current), Arm::Target) if ms < WINDOW / 2 => outcome.moved_early += 1,
            (Some(Arm::Target), Arm::Current) if !is_rolled_back => outcome.moved_back += 1,
            _ => {}
        }
        let session = Session { key, last: arm, last_request_at: ms };
        self.sessions.as_mut().unwrap().active.push(session);
        arm
    }

    /// Takes a session that continues, or starts another; returns its key, and the version of its
    /// last request.
    fn take_session(&mut self, ms: u64) -> (SessionKey, Option<Arm>) {
        let sessions = self.sessions.as_mut().unwrap();
        if sessions
            .active
            .first()
            .is_some_and(|oldest| oldest.last_request_at + 2 * SESSION_GAP < ms)
        {
            sessions.active.retain(|session| session.last_request_at + SESSION_GAP >= ms);
        }
        let continues = !sessions.active.is_empty() && self.rng.f64() < sessions.continued_share;
        if continues {
            let session = sessions.active.swap_remove(self.rng.usize(..sessions.active.len()));
            if session.last_request_at + SESSION_GAP >= ms {
                return (session.key, Some(session.last));
            }
        }
        (SessionKey(self.rng.u64(..)), None)
    }

    fn keepers(&self, key: SessionKey, now: Millis) -> Vec<usize> {
        let gateways: Vec<_> = (0..self.gateway_count(now.0)).collect();
        key.keepers(&gateways, |g| *g as u64)
    }

    /// Returns the gateways that are asked for the entry of a session.
    fn gateways_to_ask(&self, key: SessionKey, now: Millis) -> Vec<usize> {
        let mut gateways_to_ask = self.keepers(key, now);
        if let Some((at, before)) = self.growth.filter(|(at, _)| now.0 >= *at) {
            let is_settled = now.since(Millis(at)) >= RETENTION;
            let settled: Vec<_> =
                (0..if is_settled { self.gateways.len() } else { before }).collect();
            gateways_to_ask.extend(key.former_keepers(&gateways_to_ask, &settled, |g| *g as u64));
        }
        gateways_to_ask
    }

    fn record(&mut self, g: usize, key: SessionKey, now: Millis) {
        let lookup = self.sessions.as_ref().unwrap().lookup;
        if lookup == SessionLookup::Assumed {
            return;
        }
        self.gateways[g].moved.record(key, now);
        if lookup == SessionLookup::Keepers {
            for keeper in self.keepers(key, now) {
                if self.rng.f64() > self.message_loss {
                    self.gateways[keeper].moved.record(key, now);
                }
            }
        }
    }

    fn ask(&mut self, key: SessionKey, now: Millis) -> bool {
        match self.sessions.as_ref().unwrap().lookup {
            SessionLookup::Assumed => true,
            SessionLookup::Local => false,
            SessionLookup::Keepers => {
                let keepers = self.gateways_to_ask(key, now);
                keepers.into_iter().any(|k| {
                    self.gateways[k].moved.contains(key, now) && self.rng.f64() > self.message_loss
                })
            }
        }
    }
}
