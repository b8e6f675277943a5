//! The status of a rollout in the store, written by one of many gateways.

use redwingfold_core::{KnownStatus, Millis, Phase, RolloutStatuses, ServiceName, VersionName};

/// Time when the first gateway detects the end of the rollout; the others do so up to a second later.
const ENDS_AT_MS: u64 = 5_000;

/// Interval between steps of a gateway, in milliseconds.
const STEP_MS: u64 = 300;

/// A gateway, with the statuses it has read.
struct Gateway {
    statuses: RolloutStatuses,
    /// Its own result of the rollout, and when it has it.
    end: (Phase, u64),
    /// A write in transit: arrival time, number of records that it is conditional on, and status.
    write: Option<(u64, usize, Option<Phase>)>,
    frozen_until: u64,
}

/// The faults of a simulation.
#[derive(Clone, Copy)]
struct Faults {
    /// Share of answers of the store that are lost after the call took effect.
    lost_answers: f64,
    /// Share of messages between gateways that are lost.
    lost_messages: f64,
    /// Freezes and restarts in the fleet per second.
    stops_per_s: f64,
    /// Share of gateways with a result that differs from that of the others.
    differing_share: f64,
    /// Whether the store applies the condition of a write.
    is_conditional: bool,
}

/// Time from a read to the arrival of the write that follows it.
const WRITE_DELAY_MS: u64 = 40;

struct Outcome {
    records: Vec<Option<Phase>>,
    calls: u64,
}

fn names() -> (ServiceName, VersionName) {
    ("slips".into(), "v2".parse().expect("a version"))
}

fn status(target: &VersionName, ended: Option<Phase>, ms: u64) -> KnownStatus {
    KnownStatus { target: target.clone(), ended, as_of: Millis(ms), is_superseded: false }
}

fn simulate(n: usize, faults: Faults, seed: u64) -> Outcome {
    let mut rng = fastrand::Rng::with_seed(seed);
    let (service, target) = names();
    let gateway = |rng: &mut fastrand::Rng| Gateway {
        statuses: RolloutStatuses::default(),
        end: (
            if rng.f64() < faults.differing_share { Phase::Done } else { Phase::RolledBack },
            ENDS_AT_MS + rng.u64(..1_000),
        ),
        write: None,
        frozen_until: 0,
    };
    let mut gateways: Vec<_> = (0..n).map(|_| gateway(&mut rng)).collect();
    let mut outcome = Outcome { records: Vec::new(), calls: 0 };
    for ms in (0..20_000).step_by(10) {
        if ms % 1_000 == 0 && rng.f64() < faults.stops_per_s {
            let g = rng.usize(..n);
            match rng.bool() {
                true => gateways[g].frozen_until = ms + rng.u64(500..5_000),
                false => gateways[g] = gateway(&mut rng),
            }
        }
        for gw in &mut gateways {
            apply_write(gw, &mut outcome, faults, ms, &mut rng);
        }
        for g in 0..n {
            // The steps of the gateways are not synchronized.
            if !(ms + 10 * g as u64).is_multiple_of(STEP_MS) || gateways[g].frozen_until > ms {
                continue;
            }
            let gw = &mut gateways[g];
            let phase = if ms >= gw.end.1 { gw.end.0 } else { Phase::Trial };
            // An end in the store takes precedence over the own result.
            let phase = gw.statuses.outcome(&service, &target).unwrap_or(phase);
            let draw = rng.u64(..);
            let due = gw.statuses.write_due_in(&service, &target, phase, n, Millis(ms), draw);
            if due == Some(Millis(0)) {
                step(gw, &mut outcome, phase, faults, ms, &mut rng);
            }
            send_status(g, &mut gateways, faults, ms, &mut rng);
        }
    }
    outcome
}

/// Reads the status, and sends a write if it is missing.
fn step(
    gw: &mut Gateway,
    outcome: &mut Outcome,
    phase: Phase,
    faults: Faults,
    ms: u64,
    rng: &mut fastrand::Rng,
) {
    let (service, target) = names();
    outcome.calls += 1;
    if rng.f64() < faults.lost_answers {
        return;
    }
    let at = outcome.records.len();
    if let Some(last) = outcome.records.last() {
        gw.statuses.record(&service, status(&target, *last, ms));
    }
    if gw.statuses.is_unrecorded(&service, &target, phase) {
        outcome.calls += 1;
        gw.write = Some((ms + WRITE_DELAY_MS, at, (phase >= Phase::Done).then_some(phase)));
    }
}

/// Applies a write to the store; the answer may be lost.
fn apply_write(
    gw: &mut Gateway,
    outcome: &mut Outcome,
    faults: Faults,
    ms: u64,
    rng: &mut fastrand::Rng,
) {
    let (service, target) = names();
    let Some((_, at, status)) = gw.write.take_if(|(arrives, _, _)| *arrives <= ms) else { return };
    if faults.is_conditional && outcome.records.len() != at {
        return;
    }
    outcome.records.push(status);
    if rng.f64() >= faults.lost_answers {
        gw.statuses.record(&service, self::status(&target, status, ms));
    }
}

/// Sends the statuses in the store to the other gateways.
fn send_status(
    g: usize,
    gateways: &mut [Gateway],
    faults: Faults,
    ms: u64,
    rng: &mut fastrand::Rng,
) {
    let (service, target) = names();
    let sender = &gateways[g].statuses;
    if sender.is_unrecorded(&service, &target, Phase::Trial) {
        return;
    }
    let ended = sender.outcome(&service, &target);
    let known = sender.known(&service).expect("a status").clone();
    for other in gateways.iter_mut().filter(|other| other.frozen_until <= ms) {
        let knows = other.statuses.outcome(&service, &target).is_some();
        let is_new =
            ended.is_some() || other.statuses.is_unrecorded(&service, &target, Phase::Trial);
        if !knows && is_new && rng.f64() >= faults.lost_messages {
            other.statuses.merge_report(&service, known.clone());
        }
    }
}

const FAULTS: Faults = Faults {
    lost_answers: 0.3,
    lost_messages: 0.5,
    stops_per_s: 0.8,
    differing_share: 0.3,
    is_conditional: true,
};

/// Guards against a status with two ends, on the first of which the operator acts by stopping servers. Answers of the
/// store and messages between gateways are lost, gateways freeze and restart, and some have a different result. The
/// status must be running, then one end, and nothing after that.
#[test]
fn status_ends_once_and_for_good() {
    for n in [1, 3, 4, 28] {
        for seed in 0..60 {
            let records = simulate(n, FAULTS, seed).records;
            let ends: Vec<_> = records.iter().flatten().collect();
            assert_eq!(ends.len(), 1, "{n} {seed}: {records:?}");
            assert!(records.last().is_some_and(Option::is_some), "{n} {seed}: {records:?}");
        }
    }
}

/// Guards against a check that cannot fail: with a store that ignores the condition, two gateways that write at once
/// record two ends.
#[test]
fn writes_without_a_condition_end_twice() {
    let unconditional = Faults { is_conditional: false, ..FAULTS };
    let ends = |seed| simulate(28, unconditional, seed).records.iter().flatten().count();
    assert!((0..60).any(|seed| ends(seed) > 1));
}

/// Load pattern: 28 gateways reach the end of a rollout within a second. With a read and a write of each for both
/// statuses they would make 112 calls.
#[test]
fn few_gateways_write() {
    let calm = Faults {
        lost_answers: 0.0,
        lost_messages: 0.02,
        stops_per_s: 0.0,
        differing_share: 0.0,
        is_conditional: true,
    };
    for seed in 0..10 {
        let calls = simulate(28, calm, seed).calls;
        assert!(calls <= 28, "{seed}: {calls}");
    }
}

/// Load pattern: 103 gateways detect the end of a rollout within 30 ms, as happens at a deadline or when the same
/// answers decide it. If each read and wrote the status, the calls would delay the operator's at that moment.
#[test]
fn few_write_an_end_that_all_see_at_once() {
    const GATEWAYS: usize = 103;
    const CALL_TAKES: u64 = 10;
    const WORD_TAKES: u64 = 5;
    for seed in 0..20 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (service, target) = names();
        let sees: Vec<_> = (0..GATEWAYS).map(|_| rng.u64(..30)).collect();
        let mut tables = vec![RolloutStatuses::default(); GATEWAYS];
        let mut writes: Vec<Option<u64>> = vec![None; GATEWAYS];
        let (mut calls, mut sent_at) = (0, None);
        for ms in 0..400 {
            for g in 0..GATEWAYS {
                if sent_at.is_some_and(|at| ms >= at) && rng.f64() > 0.02 {
                    tables[g].merge_report(&service, status(&target, Some(Phase::Done), ms));
                }
                if ms < sees[g] {
                    continue;
                }
                let now = Millis(ms);
                let due = tables[g].write_due_in(
                    &service,
                    &target,
                    Phase::Done,
                    GATEWAYS,
                    now,
                    rng.u64(..),
                );
                if due == Some(Millis(0)) && writes[g].is_none() {
                    calls += 2;
                    writes[g] = Some(ms + 2 * CALL_TAKES);
                }
                if writes[g] == Some(ms) {
                    sent_at.get_or_insert(ms + WORD_TAKES);
                }
            }
        }
        assert!(sent_at.is_some() && calls <= 2 * GATEWAYS / 5, "{seed}: {calls} calls");
    }
}

fn of_version(version: &str, ended: Option<Phase>, ms: u64) -> KnownStatus {
    status(&version.parse().expect("a version"), ended, ms)
}

/// A gateway that carries out the order for `target`.
fn with_order(target: &str) -> (RolloutStatuses, ServiceName, VersionName) {
    let (service, _) = names();
    let target = target.parse().expect("a version");
    let mut statuses = RolloutStatuses::default();
    statuses.begin(&service, &target, false);
    (statuses, service, target)
}

/// Guards against a gateway that has overwritten the end of a newer rollout, and takes the reports of others for it still
/// being stored.
#[test]
fn report_from_before_the_own_write_does_not_count() {
    let (mut statuses, service, target) = with_order("v2");
    statuses.record(&service, of_version("v2", None, 10_000));
    let newer = "v3".parse().expect("a version");
    statuses.begin(&service, &newer, false);
    for ms in [8_000, 10_000, 12_000] {
        assert!(!statuses.merge_report(&service, of_version("v3", Some(Phase::Done), ms)));
        assert!(statuses.is_unrecorded(&service, &newer, Phase::Done), "as of {ms} ms");
    }
    assert!(statuses.merge_report(&service, of_version("v3", Some(Phase::Done), 14_000)));
    assert!(!statuses.is_unrecorded(&service, &newer, Phase::Done));
    assert_eq!(statuses.outcome(&service, &target), None);
}

/// Guards against an end that nobody writes again after the status of a superseded order has replaced it.
#[test]
fn overwritten_status_is_due_where_the_other_order_is_superseded() {
    let (mut statuses, service, target) = with_order("v3");
    statuses.record(&service, of_version("v3", Some(Phase::Done), 10_000));
    assert!(!statuses.is_unrecorded(&service, &target, Phase::Done));
    let before = KnownStatus { is_superseded: true, ..of_version("v2", None, 9_000) };
    assert!(!statuses.merge_report(&service, before));
    for (as_of, end) in [(10_050, 10_200), (10_300, 10_400)] {
        let overwriting = KnownStatus { is_superseded: true, ..of_version("v2", None, as_of) };
        assert!(statuses.merge_report(&service, overwriting));
        assert!(statuses.is_unrecorded(&service, &target, Phase::Done));
        let due = statuses.write_due_in(&service, &target, Phase::Done, 1, Millis(as_of), u64::MAX);
        assert_eq!(due, Some(Millis(150)));
        statuses.record(&service, of_version("v3", Some(Phase::Done), end));
        assert!(!statuses.is_unrecorded(&service, &target, Phase::Done));
    }
}

/// Guards against gateways with different orders that overwrite each other's statuses until the operator writes the order
/// again: one that does not know the other order to be superseded writes each status once.
#[test]
fn status_is_not_written_again_over_that_of_an_unknown_order() {
    let (mut statuses, service, target) = with_order("v2");
    let newer = |ms| of_version("v3", Some(Phase::Done), ms);
    statuses.record(&service, newer(1_000));
    assert!(statuses.is_unrecorded(&service, &target, Phase::Trial));
    statuses.record(&service, of_version("v2", None, 2_000));
    statuses.record(&service, newer(2_100));
    assert!(!statuses.is_unrecorded(&service, &target, Phase::Trial));
    assert!(statuses.is_unrecorded(&service, &target, Phase::Done));
    statuses.record(&service, of_version("v2", Some(Phase::Done), 9_000));
    statuses.record(&service, newer(9_100));
    assert!(!statuses.is_unrecorded(&service, &target, Phase::Done));
    statuses.invalidate(Millis(20_000));
    assert!(statuses.is_unrecorded(&service, &target, Phase::Trial));
}

/// Guards against the end of an earlier order for the same version that is taken for the end of the new one.
#[test]
fn status_of_an_earlier_order_for_the_same_version_does_not_count() {
    let (mut statuses, service, target) = with_order("v2");
    statuses.record(&service, of_version("v2", Some(Phase::RolledBack), 1_000));
    statuses.begin(&service, &target, true);
    assert_eq!(statuses.outcome(&service, &target), None);
    assert!(statuses.is_unrecorded(&service, &target, Phase::Trial));
}

/// Guards against a report of a running rollout that arrives after its end, and makes all gateways read the status again.
#[test]
fn late_report_of_a_running_rollout_does_not_hide_its_end() {
    let (mut statuses, service, target) = with_order("v2");
    statuses.merge_report(&service, of_version("v2", None, 1_000));
    assert!(statuses.merge_report(&service, of_version("v2", Some(Phase::RolledBack), 2_000)));
    assert!(!statuses.merge_report(&service, of_version("v2", None, 2_500)));
    assert_eq!(statuses.outcome(&service, &target), Some(Phase::RolledBack));
}
