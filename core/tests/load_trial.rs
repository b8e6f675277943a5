//! Versions that fail under load, in virtual time: servers with slots, and a window with less load than comes after it.

use redwingfold_core::{
    Affinity, AnswerSums, Arm, ArmChoice, BaselineLatency, Canary, CanaryPolicy, Counts, Millis,
    OrderAge, Phase, Place, PlacementPolicy, RolloutOrder, RouteEvidence, Shared, Work,
    is_in_first_half, lead_servers, place,
};

const WINDOW: u64 = 16_000;
const STEP: u64 = 50;
/// Time after the window in which load is higher.
const AFTER: u64 = 10_000;
const SLOTS: u32 = 24;
/// Age of what the gateways know of servers' loads.
const REPORT_AGE: u64 = 100;

/// How a trial's requests are placed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Way {
    Lead,
    Spread,
}

/// Probability with which a server fails a request, by its number and the requests that it runs.
type Fails = fn(usize, u32) -> f64;

struct Server {
    place: Place,
    /// When each of its requests ends.
    ends: Vec<u64>,
}

/// An answer that comes at a time.
struct Coming {
    at: u64,
    arm: Arm,
    is_first_half: bool,
    /// Its time, and the load of its server; `None` if it is a failure.
    good: Option<(f64, f64)>,
}

struct Fleet {
    way: Way,
    rng: fastrand::Rng,
    canary: Canary,
    evidence: RouteEvidence,
    usual: BaselineLatency,
    /// Servers of the version in service, and of the target.
    servers: [Vec<Server>; 2],
    coming: Vec<Coming>,
    played: Played,
}

#[derive(Clone, Copy, Debug, Default)]
struct Played {
    to_target: u64,
    bad: u64,
    ended: Option<(Phase, u64)>,
}

impl Fleet {
    fn new(way: Way, servers: usize, exposure: f64, seed: u64) -> Self {
        let policy = CanaryPolicy::for_exposure(exposure);
        let order = RolloutOrder { target: "v2".parse().unwrap(), window: Millis(WINDOW) };
        let server = |arm: &str, n: usize| {
            let id = format!("{seed}-{arm}-{n}").as_str().into();
            let (running, waiting, unread) = (0.0, 0.0, Millis(0));
            let place = Place { id, running, waiting, unread, slots: SLOTS, is_out: false };
            Server { place, ends: Vec::new() }
        };
        let mut servers =
            ["v1", "v2"].map(|arm| (0..servers).map(|n| server(arm, n)).collect::<Vec<_>>());
        // The first of the target's servers is the first that leads.
        let first = |servers: &[Server]| {
            let places = servers.iter().map(|s| s.place.clone()).collect();
            let id = lead_servers(places, 1)[0].id.clone();
            servers.iter().position(|s| s.place.id == id).unwrap()
        };
        let at = first(&servers[1]);
        servers[1].swap(0, at);
        Self {
            way,
            rng: fastrand::Rng::with_seed(seed),
            canary: Canary::new(policy, order, OrderAge::default(), Millis(0), seed),
            evidence: RouteEvidence::default(),
            usual: BaselineLatency::default(),
            servers,
            coming: Vec::new(),
            played: Played::default(),
        }
    }

    /// Plays a roll-out with so many requests a second that each server of a version runs `running` of them.
    fn play(mut self, running: f64, burst: f64, fails: Fails) -> Played {
        let per_step = running * self.servers[0].len() as f64 * STEP as f64 / 2_000.0;
        let mut owed = 0.0;
        for ms in (0..WINDOW + AFTER).step_by(STEP as usize) {
            self.take_answers(ms);
            if ms.is_multiple_of(REPORT_AGE) {
                self.report(ms);
            }
            owed += if ms < WINDOW { per_step } else { per_step * burst };
            while owed >= 1.0 {
                owed -= 1.0;
                self.request(ms, fails);
            }
            if ms.is_multiple_of(150) {
                let shared =
                    Shared { routes: vec![self.evidence], sent: self.canary.counts(Millis(ms)) };
                let phase = self.canary.step(&shared, Millis(ms));
                if phase >= Phase::Done {
                    self.played.ended.get_or_insert((phase, ms));
                }
            }
        }
        self.played
    }

    fn report(&mut self, ms: u64) {
        for server in self.servers.iter_mut().flatten() {
            server.ends.retain(|end| *end > ms);
            server.place.running = server.ends.len() as f64;
        }
    }

    fn request(&mut self, ms: u64, fails: Fails) {
        let now = Millis(ms);
        let arm = match self.canary.arm(Affinity::UnknownSession, self.rng.u64(..), now) {
            ArmChoice::Arm(arm) => arm,
            ArmChoice::AskKeepers => Arm::Current,
        };
        self.canary.sent(None, arm, now);
        self.played.to_target += u64::from(arm == Arm::Target && ms < WINDOW);
        let servers = &mut self.servers[usize::from(arm == Arm::Target)];
        let places: Vec<_> = servers.iter().map(|s| s.place.clone()).collect();
        let is_lead = arm == Arm::Target && self.way == Way::Lead;
        let count = self.canary.load_trial(places.len(), now).filter(|_| is_lead);
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
        let is_bad = arm == Arm::Target && rng.f64() < fails(at, running);
        if is_bad {
            self.played.bad += 1;
            self.coming.push(Coming { at: ms + 10, arm, is_first_half, good: None });
            return;
        }
        let load = f64::from(running) / f64::from(SLOTS);
        // A batch with more requests takes longer for each step; times differ by a factor of three either way.
        let time = 100.0 * (1.0 + load) * (rng.f64() * 2.2 - 1.1).exp();
        server.ends.push(ms + 1_000 + rng.u64(..2_000));
        let good = Some((time, load));
        self.coming.push(Coming { at: ms + time as u64, arm, is_first_half, good });
    }

    fn take_answers(&mut self, ms: u64) {
        let (come, coming) =
            std::mem::take(&mut self.coming).into_iter().partition(|answer| answer.at <= ms);
        self.coming = coming;
        for Coming { arm, is_first_half, good, .. } in come {
            let mut one = AnswerSums::default();
            match good {
                None => one.failed = 1,
                Some((time, load)) => {
                    one.good = 1;
                    let ratio = match arm {
                        Arm::Current => self.usual.ratio(time, load),
                        Arm::Target => self.usual.ratio_of_other_version(time, load),
                    };
                    ratio.into_iter().for_each(|ratio| one.begin.add(ratio));
                    if arm == Arm::Current {
                        self.usual.record(time, load);
                    }
                }
            }
            let half = if is_first_half { one } else { AnswerSums::default() };
            let counts = Counts { half, ..one.into() };
            let sum = match arm {
                Arm::Current => &mut self.evidence.current,
                Arm::Target => &mut self.evidence.target,
            };
            *sum = sum.plus(counts);
        }
    }
}

/// Half of the requests fail at a server that is half full.
const UNDER_LOAD: Fails = |_, running| if running >= SLOTS / 2 { 0.5 } else { 0.0 };

/// Servers of a version, requests that each runs before the end of the window, and what operators allow.
const FLEETS: [(usize, f64, f64); 4] =
    [(180, 8.0, 0.0975), (180, 11.0, 0.0975), (100, 9.0, 0.15), (60, 10.0, 0.15)];

fn for_each_fleet(mut f: impl FnMut(usize, f64, f64, u64)) {
    for (servers, running, exposure) in FLEETS {
        (0..5).for_each(|seed| f(servers, running, exposure, seed));
    }
}

/// A version that fails under load is put into service, as its servers run a request or two each in its window, and fails in
/// the first burst with no other version left.
#[test]
fn version_that_fails_under_load_is_found_before_its_window_ends() {
    for_each_fleet(|servers, running, exposure, seed| {
        let fleet = Fleet::new(Way::Lead, servers, exposure, seed);
        let played = fleet.play(running, 1.7, UNDER_LOAD);
        let what = format!("{servers} servers, {running} each, seed {seed}: {played:?}");
        assert!(matches!(played.ended, Some((Phase::RolledBack, at)) if at < WINDOW), "{what}");
        assert!(played.bad < 50, "{what}");
    });
}

/// A good version is rolled back, as the few servers that its trial loads are slower than the others' mean.
#[test]
fn good_version_whose_trial_loads_servers_is_done_in_time() {
    for_each_fleet(|servers, running, exposure, seed| {
        for burst in [1.0, 1.7] {
            let fleet = Fleet::new(Way::Lead, servers, exposure, seed);
            let played = fleet.play(running, burst, |_, _| 0.0);
            let what = format!("{servers} servers, {running} each, seed {seed}: {played:?}");
            assert!(matches!(played.ended, Some((Phase::Done, at)) if at < WINDOW), "{what}");
        }
    });
}

/// A good version is rolled back, as one of the few servers of its trial fails by itself.
#[test]
fn one_server_that_fails_does_not_take_its_version_back() {
    for_each_fleet(|servers, running, exposure, seed| {
        let fleet = Fleet::new(Way::Lead, servers, exposure, seed);
        let played = fleet.play(running, 1.0, |server, _| if server == 0 { 0.4 } else { 0.0 });
        let what = format!("{servers} servers, {running} each, seed {seed}: {played:?}");
        assert!(matches!(played.ended, Some((Phase::Done, _))), "{what}");
    });
}

/// A version that always fails, or whose servers all fail some requests, gets many of them before its two halves show it.
#[test]
fn failing_version_is_found_in_both_halves() {
    for_each_fleet(|servers, running, exposure, seed| {
        let fleet = Fleet::new(Way::Lead, servers, exposure, seed);
        let played = fleet.play(running, 1.0, |_, _| 0.4);
        let what = format!("{servers} servers, {running} each, seed {seed}: {played:?}");
        assert!(matches!(played.ended, Some((Phase::RolledBack, _))), "{what}");
        assert!(played.bad < 40, "{what}");
    });
}

/// What the trial shows depends on where its requests go: spread over all servers they show nothing.
#[test]
fn spread_trial_does_not_show_a_fault_under_load() {
    let is_found = |seed| {
        let played = Fleet::new(Way::Spread, 180, 0.0975, seed).play(8.0, 1.7, UNDER_LOAD);
        matches!(played.ended, Some((Phase::RolledBack, _)))
    };
    assert!(!(0..5).any(is_found));
}
