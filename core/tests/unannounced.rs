//! Trials of versions that no order names: the share of requests that all gateways together send
//! there.

use redwingfold_core::{
    Affinity, AnswerSums, Arm, ArmChoice, Canary, CanaryPolicy, FleetEvidence, Millis, Phase,
    RouteEvidence, SendCounts,
};

const GATEWAYS: [(usize, u64); 4] = [(3, 100), (27, 300), (103, 800), (330, 3_200)];
/// Longest time in ms until a gateway has received the others' evidence.
const GOSSIP_INTERVAL: u64 = 1_000;

struct Outcome {
    phases: Vec<Phase>,
    /// Requests that went to the version.
    to_target: u64,
    all: u64,
}

/// Simulates a trial at gateways that start it up to a second apart; `bad_rate` is the failure rate
/// of the version.
fn simulate(gateways: usize, per_s: u64, bad_rate: f64, seed: u64) -> Outcome {
    let mut rng = fastrand::Rng::with_seed(seed);
    let target = || "v2".parse().unwrap();
    let policy = CanaryPolicy::for_exposure(0.0975);
    let starts: Vec<_> = (0..gateways).map(|_| rng.u64(..1_000)).collect();
    let mut trials: Vec<_> = starts
        .iter()
        .map(|at| Canary::unannounced(policy, target(), Millis(*at), rng.u64(..)))
        .collect();
    let mut local = vec![RouteEvidence::default(); gateways];
    let mut gossip = (RouteEvidence::default(), SendCounts::default());
    let (mut to_target, mut all) = (0, 0);
    for ms in (1_000..25_000).step_by(50) {
        let now = Millis(ms);
        for _ in 0..per_s / 20 {
            let g = rng.usize(..gateways);
            let arm = match trials[g].choose_arm(Affinity::None, rng.u64(..), now) {
                ArmChoice::Arm(arm) => arm,
                ArmChoice::AskKeepers => Arm::Current,
            };
            trials[g].record_send(None, arm, now);
            all += 1;
            to_target += u64::from(arm == Arm::Target);
            let is_bad = arm == Arm::Target && rng.f64() < bad_rate;
            let one = AnswerSums {
                good: u64::from(!is_bad),
                failed: u64::from(is_bad),
                ..AnswerSums::default()
            };
            let sum = match arm {
                Arm::Current => &mut local[g].current,
                Arm::Target => &mut local[g].target,
            };
            *sum = sum.plus(one.into());
        }
        if ms % GOSSIP_INTERVAL == 0 {
            let sum = local.iter().fold(RouteEvidence::default(), |sum, e| sum.plus(*e));
            let sent = trials.iter().fold(SendCounts::default(), |sum, t| sum.plus(t.counts(now)));
            gossip = (sum, sent);
        }
        for g in 0..gateways {
            let evidence = if rng.bool() { gossip.0 } else { local[g] };
            let shared = FleetEvidence { routes: vec![evidence], sent: gossip.1 };
            trials[g].step(&shared, now);
        }
    }
    Outcome { phases: trials.iter().map(Canary::phase).collect(), to_target, all }
}

/// Guards against gateways that judge such a version only by their own answers: each would send it
/// requests until it had enough answers by itself.
#[test]
fn bad_version_without_an_order_is_found_by_all_gateways_together() {
    for (gateways, per_s) in GATEWAYS {
        for seed in 0..3 {
            let Outcome { phases, to_target, all } = simulate(gateways, per_s, 0.5, seed);
            let what = format!("{gateways} gateways, seed {seed}: {to_target} of {all}");
            assert!(phases.iter().all(|phase| *phase == Phase::RolledBack), "{what}: {phases:?}");
            assert!(to_target * 1_000 <= all * 15 + 30_000, "{what}");
        }
    }
}

/// Guards against such a version, without a fault, getting more than the share of a trial before it
/// is in service.
#[test]
fn version_without_an_order_gets_the_share_of_a_trial() {
    for (gateways, per_s) in GATEWAYS {
        for seed in 0..3 {
            let Outcome { phases, to_target, all } = simulate(gateways, per_s, 0.0, seed);
            let what = format!("{gateways} gateways, seed {seed}: {to_target} of {all}");
            assert!(phases.iter().all(|phase| *phase == Phase::Done), "{what}: {phases:?}");
            // It is in service for the last 4 of 24 s.
            assert!(to_target * 100 <= all * 25, "{what}");
        }
    }
}
