//! Simulated versions that fail under load: servers with slots, and a burst after the window.

use redwingfold_core::{
    Affinity, AnswerCounts, AnswerSums, Arm, ArmChoice, BaselineLatency, Canary, CanaryPolicy,
    FleetEvidence, Millis, OrderAge, Phase, Place, PlacementPolicy, RolloutOrder, RouteEvidence,
    Work, is_in_first_half, lead_servers, place,
};

const WINDOW: u64 = 16_000;
const STEP: u64 = 50;
/// Simulated time in ms after the window, when the load is higher.
const AFTER_WINDOW: u64 = 10_000;
const SLOTS: u32 = 24;
/// Age in ms of the load reports that gateways have of servers.
const REPORT_AGE: u64 = 100;

/// How the requests of a load trial are placed on the target's servers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RequestPlacement {
    Concentrated,
    Spread,
}

/// Probability with which a server fails a request, by its index and the number of requests that it
/// runs.
type FailureRate = fn(usize, u32) -> f64;

struct Server {
    place: Place,
    /// End time of each of its requests.
    ends: Vec<u64>,
}

/// An answer that arrives at a later time.
struct PendingAnswer {
    at: u64,
    arm: Arm,
    is_first_half: bool,
    /// Latency and the load of the server; `None` if the answer is a failure.
    good: Option<(f64, f64)>,
}

struct Fleet {
    placement: RequestPlacement,
    rng: fastrand::Rng,
    canary: Canary,
    evidence: RouteEvidence,
    baseline: BaselineLatency,
    /// Servers of the version in service, and of the target.
    servers: [Vec<Server>; 2],
    pending: Vec<PendingAnswer>,
    outcome: Outcome,
}

#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    to_target: u64,
    bad: u64,
    ended: Option<(Phase, u64)>,
}

impl Fleet {
    fn new(placement: RequestPlacement, servers: usize, exposure: f64, seed: u64) -> Self {
        let policy = CanaryPolicy::for_exposure(exposure);
        let order = RolloutOrder { target: "v2".parse().unwrap(), window: Millis(WINDOW) };
        let server = |arm: &str, n: usize| {
            let id = format!("{seed}-{arm}-{n}").as_str().into();
            let (running, waiting, prefill_wait) = (0.0, 0.0, Millis(0));
            let place =
                Place { id, running, waiting, prefill_wait, slots: SLOTS, is_ejected: false };
            Server { place, ends: Vec::new() }
        };
        let mut servers =
            ["v1", "v2"].map(|arm| (0..servers).map(|n| server(arm, n)).collect::<Vec<_>>());
        // The first of the target's servers is the first one of the load trial.
        let first = |servers: &[Server]| {
            let places = servers.iter().map(|s| s.place.clone()).collect();
            let id = lead_servers(places, 1)[0].id.clone();
            servers.iter().position(|s| s.place.id == id).unwrap()
        };
        let at = first(&servers[1]);
        servers[1].swap(0, at);
        Self {
            placement,
            rng: fastrand::Rng::with_seed(seed),
            canary: Canary::new(policy, order, OrderAge::default(), Millis(0), seed),
            evidence: RouteEvidence::default(),
            baseline: BaselineLatency::default(),
            servers,
            pending: Vec::new(),
            outcome: Outcome::default(),
        }
    }

    /// Simulates a rollout at a request rate at which each server of a version runs `running`
    /// requests; after the window, the rate is multiplied by `burst`.
    fn simulate(mut self, running: f64, burst: f64, failure_rate: FailureRate) -> Outcome {
        let per_step = running * self.servers[0].len() as f64 * STEP as f64 / 2_000.0;
        let mut due_requests = 0.0;
        for ms in (0..WINDOW + AFTER_WINDOW).step_by(STEP as usize) {
            self.deliver_answers(ms);
            if ms.is_multiple_of(REPORT_AGE) {
                self.refresh_reports(ms);
            }
            due_requests += if ms < WINDOW { per_step } else { per_step * burst };
            while due_requests >= 1.0 {
                due_requests -= 1.0;
                self.request(ms, failure_rate);
            }
            if ms.is_multiple_of(150) {
                let shared = FleetEvidence {
                    routes: vec![self.evidence],
                    sent: self.canary.counts(Millis(ms)),
                };
                let phase = self.canary.step(&shared, Millis(ms));
                if phase >= Phase::Done {
                    self.outcome.ended.get_or_insert((phase, ms));
                }
            }
        }
        self.outcome
    }

    fn refresh_reports(&mut self, ms: u64) {
        for server in self.servers.iter_mut().flatten() {
            server.ends.retain(|end| *end > ms);
            server.place.running = server.ends.len() as f64;
        }
    }

    fn request(&mut self, ms: u64, failure_rate: FailureRate) {
        let now = Millis(ms);
        let arm = match self.canary.choose_arm(Affinity::UnknownSession, self.rng.u64(..), now) {
            ArmChoice::Arm(arm) => arm,
            ArmChoice::AskKeepers => Arm::Current,
        };
        self.canary.record_send(None, arm, now);
        self.outcome.to_target += u64::from(arm == Arm::Target && ms < WINDOW);
        let servers = &mut self.servers[usize::from(arm == Arm::Target)];
        let places: Vec<_> = servers.iter().map(|s| s.place.clone()).collect();
        let is_concentrated =
            arm == Arm::Target && self.placement == RequestPlacement::Concentrated;
        let count = self.canary.load_trial(places.len(), now).filter(|_| is_concentrated);
        let lead = count.map_or(places.clone(), |count| lead_servers(places.clone(), count));
        let rng = &mut self.rng;
        let policy = PlacementPolicy::default();
        let chosen = place(&lead, Work::default(), &policy, |n| rng.usize(..n));
        let at = places.iter().position(|p| p.id == chosen.unwrap().id).unwrap();
        let server = &mut servers[at];
        server.ends.retain(|end| *end > ms);
        let running = server.ends.len() as u32 + 1;
        server.place.running += 1.0;
        let is_first_half = is_in_first_half(&server.place.id);
        let is_bad = arm == Arm::Target && rng.f64() < failure_rate(at, running);
        if is_bad {
            self.outcome.bad += 1;
            self.pending.push(PendingAnswer { at: ms + 10, arm, is_first_half, good: None });
            return;
        }
        let load = f64::from(running) / f64::from(SLOTS);
        // A batch with more requests takes longer per step; latencies vary by a factor of three
        // either way.
        let time = 100.0 * (1.0 + load) * (rng.f64() * 2.2 - 1.1).exp();
        server.ends.push(ms + 1_000 + rng.u64(..2_000));
        let good = Some((time, load));
        self.pending.push(PendingAnswer { at: ms + time as u64, arm, is_first_half, good });
    }

    fn deliver_answers(&mut self, ms: u64) {
        let (due, pending) =
            std::mem::take(&mut self.pending).into_iter().partition(|answer| answer.at <= ms);
        self.pending = pending;
        for PendingAnswer { arm, is_first_half, good, .. } in due {
            let mut one = AnswerSums::default();
            match good {
                None => one.failed = 1,
                Some((time, load)) => {
                    one.good = 1;
                    let ratio = match arm {
                        Arm::Current => self.baseline.ratio(time, load),
                        Arm::Target => self.baseline.ratio_of_other_version(time, load),
                    };
                    ratio.into_iter().for_each(|ratio| one.first_byte.add(ratio));
                    if arm == Arm::Current {
                        self.baseline.record(time, load);
                    }
                }
            }
            let half = if is_first_half { one } else { AnswerSums::default() };
            let counts = AnswerCounts { half, ..one.into() };
            let sum = match arm {
                Arm::Current => &mut self.evidence.current,
                Arm::Target => &mut self.evidence.target,
            };
            *sum = sum.plus(counts);
        }
    }
}

/// Half of the requests fail on a server with half of its slots in use.
const UNDER_LOAD: FailureRate = |_, running| if running >= SLOTS / 2 { 0.5 } else { 0.0 };

/// Servers of a version, requests that each runs before the end of the window, and the allowed
/// exposure.
const FLEETS: [(usize, f64, f64); 4] =
    [(180, 8.0, 0.0975), (180, 11.0, 0.0975), (100, 9.0, 0.15), (60, 10.0, 0.15)];

fn for_each_fleet(mut f: impl FnMut(usize, f64, f64, u64)) {
    for (servers, running, exposure) in FLEETS {
        (0..5).for_each(|seed| f(servers, running, exposure, seed));
    }
}

/// Guards against a version that fails under load and is put into service, because its servers run
/// only one or two requests each in the window; it would fail in the first burst, with no other
/// version left.
#[test]
fn version_that_fails_under_load_is_found_before_its_window_ends() {
    for_each_fleet(|servers, running, exposure, seed| {
        let fleet = Fleet::new(RequestPlacement::Concentrated, servers, exposure, seed);
        let outcome = fleet.simulate(running, 1.7, UNDER_LOAD);
        let what = format!("{servers} servers, {running} each, seed {seed}: {outcome:?}");
        assert!(matches!(outcome.ended, Some((Phase::RolledBack, at)) if at < WINDOW), "{what}");
        assert!(outcome.bad < 50, "{what}");
    });
}

/// Guards against the rollback of a good version because the few servers of its load trial are
/// slower than the mean of the version in service.
#[test]
fn good_version_whose_trial_loads_servers_is_done_in_time() {
    for_each_fleet(|servers, running, exposure, seed| {
        for burst in [1.0, 1.7] {
            let fleet = Fleet::new(RequestPlacement::Concentrated, servers, exposure, seed);
            let outcome = fleet.simulate(running, burst, |_, _| 0.0);
            let what = format!("{servers} servers, {running} each, seed {seed}: {outcome:?}");
            assert!(matches!(outcome.ended, Some((Phase::Done, at)) if at < WINDOW), "{what}");
        }
    });
}

/// Guards against the rollback of a good version because one of the few servers of its load trial
/// fails.
#[test]
fn one_server_that_fails_does_not_take_its_version_back() {
    for_each_fleet(|servers, running, exposure, seed| {
        let fleet = Fleet::new(RequestPlacement::Concentrated, servers, exposure, seed);
        let outcome = fleet.simulate(running, 1.0, |server, _| if server == 0 { 0.4 } else { 0.0 });
        let what = format!("{servers} servers, {running} each, seed {seed}: {outcome:?}");
        assert!(matches!(outcome.ended, Some((Phase::Done, _))), "{what}");
    });
}

/// A version with failures on all servers must be rolled back soon, although both halves of its
/// servers must show the fault.
#[test]
fn failing_version_is_found_in_both_halves() {
    for_each_fleet(|servers, running, exposure, seed| {
        let fleet = Fleet::new(RequestPlacement::Concentrated, servers, exposure, seed);
        let outcome = fleet.simulate(running, 1.0, |_, _| 0.4);
        let what = format!("{servers} servers, {running} each, seed {seed}: {outcome:?}");
        assert!(matches!(outcome.ended, Some((Phase::RolledBack, _))), "{what}");
        assert!(outcome.bad < 40, "{what}");
    });
}

/// Confirms that the load trial is what detects the fault: requests spread over all servers don't
/// show it.
#[test]
fn spread_trial_does_not_show_a_fault_under_load() {
    let is_found = |seed| {
        let outcome =
            Fleet::new(RequestPlacement::Spread, 180, 0.0975, seed).simulate(8.0, 1.7, UNDER_LOAD);
        matches!(outcome.ended, Some((Phase::RolledBack, _)))
    };
    assert!(!(0..5).any(is_found));
}
