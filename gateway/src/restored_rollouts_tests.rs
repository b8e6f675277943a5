//! Simulations of rollouts while the store is restored from older copies, in virtual time.

use redwingfold_core::{
    CanaryPolicy, Millis, OrderAge, Phase, RolloutOrder, RouteName, ServiceName, VersionName,
};

use crate::gateway::StoreCopy;
use crate::rollouts::{AnswerSample, AnswerSignal, Rollouts};

/// Length of a step, in milliseconds.
const STEP_MS: u64 = 50;

/// Time during which faults are injected, in milliseconds.
const FAULTS_UNTIL: u64 = 36_000;

/// Time to settle afterwards, in milliseconds. If all gateways restart, they restart the rollout, and wait up to twenty
/// seconds after its window for answers under full traffic.
const SETTLE_TIME: u64 = 36_000;

/// Window of each rollout, in milliseconds.
const WINDOW: u64 = 10_000;

/// Time of the operator's second order, in milliseconds.
const SECOND_ORDER_AT: u64 = 20_000;

/// Longest time until the operator rewrites an order that the store has lost, in milliseconds.
const MAX_REWRITE_DELAY: u64 = 3_000;

/// Longest time between two reads of the orders by one gateway, and until it notices a restore, in milliseconds.
const MAX_READ_INTERVAL: u64 = 900;

/// Share of the messages between gateways, and of the store's responses, that is lost.
const LOSS_RATE: f64 = 0.1;

/// Content of the store.
#[derive(Clone, Default)]
struct Store {
    order: Option<VersionName>,
    /// The version, and how its rollout ended if it has.
    status: Option<(VersionName, Option<Phase>)>,
    /// Number of status records.
    records: usize,
    era: u32,
}

struct Gateway {
    rollouts: Rollouts,
    era: Option<u32>,
    /// Position up to which it has read statuses: era and number of records.
    next: Option<(u32, usize)>,
    next_read_at: u64,
    last_read_at: Option<u64>,
    /// Era of its last read of the orders.
    read_era: Option<u32>,
    cut_off_until: u64,
    started_at: u64,
    /// The version that it rolls out, and whether that rollout has ended.
    last_state: Option<(VersionName, bool)>,
    /// Versions whose orders were superseded by another one.
    superseded: Vec<VersionName>,
}

impl Gateway {
    fn new(at: u64, rng: &mut fastrand::Rng) -> Self {
        Self {
            rollouts: Rollouts::new(CanaryPolicy::for_exposure(0.15), Millis(17_000)),
            era: None,
            next: None,
            next_read_at: at + rng.u64(..MAX_READ_INTERVAL),
            last_read_at: None,
            read_era: None,
            cut_off_until: 0,
            started_at: at,
            last_state: None,
            superseded: Vec::new(),
        }
    }

    fn phase(&self) -> Option<Phase> {
        self.rollouts.canary(&service()).map(|canary| canary.phase())
    }

    fn target(&self) -> Option<VersionName> {
        self.rollouts.canary(&service()).map(|canary| canary.order().target.clone())
    }

    /// Detects by the era in a response that the store was restored from an older copy.
    fn detect_restore(&mut self, store: &Store, now: Millis) {
        match self.era.replace(store.era) {
            None => self.rollouts.set_store_era(store.era.into()),
            Some(era) if era < store.era => {
                self.rollouts.store_restored(store.era.into(), now);
            }
            Some(_) => {}
        }
    }

    fn read_order(&mut self, store: &Store, ms: u64) {
        let is_older = self.read_era.replace(store.era).is_some_and(|era| era < store.era);
        let copy = if is_older { StoreCopy::Older } else { StoreCopy::Current };
        let least = Millis(0);
        let most = Millis(self.last_read_at.map_or(0, |at| ms - at));
        let age = OrderAge { min: least, max: most, is_unknown: self.last_read_at.is_none() };
        self.last_read_at = Some(ms);
        if let Some(target) = store.order.clone() {
            let order = RolloutOrder { target, window: Millis(WINDOW) };
            let before = self.target();
            let is_taken = self.rollouts.add_order(&service(), order, age, copy, Millis(ms));
            if is_taken && copy == StoreCopy::Current {
                self.superseded.extend(before);
            }
        }
    }

    /// Reads the status if it is new, and writes the due one; the simulated write is atomic with the read. Returns
    /// whether it wrote.
    fn write_status(&mut self, store: &mut Store, is_lost: bool, now: Millis) -> bool {
        let next = (store.era, store.records);
        let is_new = self.next.replace(next) != Some(next);
        if let (true, Some((target, ended))) = (is_new, &store.status) {
            self.rollouts.record_status(&service(), target, *ended, now);
        }
        let Some((Millis(0), due)) = self.rollouts.due_status(now) else { return false };
        let ended = (due.phase >= Phase::Done).then_some(due.phase);
        store.status = Some((due.target.clone(), ended));
        store.records += 1;
        if !is_lost {
            self.next = Some((store.era, store.records));
            self.rollouts.record_written_status(&service(), &due.target, ended, now);
        }
        true
    }

    /// Checks that a gateway that is not restarted neither repeats a superseded rollout nor resumes one that has ended.
    fn check(&mut self, what: &str) {
        let (Some(target), Some(phase)) = (self.target(), self.phase()) else { return };
        let has_ended = phase >= Phase::Done;
        if let Some((last_target, had_ended)) = &self.last_state {
            let is_superseded = *last_target > target && self.superseded.contains(&target);
            assert!(!is_superseded, "{what}: {target} is rolled out again after {last_target}");
            assert!(*last_target != target || !had_ended || has_ended, "{what}: {target} goes on");
        }
        self.last_state = Some((target, has_ended));
    }
}

fn service() -> ServiceName {
    "models".into()
}

fn version(n: usize) -> VersionName {
    format!("v{n}").parse().unwrap()
}

struct Fleet {
    store: Store,
    /// Content of the store at every step.
    copies: Vec<Store>,
    down_until: u64,
    /// When the operator rewrites the newest order.
    rewrite_at: Option<u64>,
    gateways: Vec<Gateway>,
    rng: fastrand::Rng,
    /// Status records written: era, version and how its rollout ended.
    written: Vec<(u32, VersionName, Option<Phase>)>,
}

impl Fleet {
    fn new(gateways: usize, seed: u64) -> Self {
        // Rollouts draw from the thread's generator.
        fastrand::seed(seed);
        let mut rng = fastrand::Rng::with_seed(seed);
        let gateways = (0..gateways).map(|_| Gateway::new(0, &mut rng)).collect();
        Self {
            store: Store::default(),
            copies: Vec::new(),
            down_until: 0,
            rewrite_at: None,
            gateways,
            rng,
            written: Vec::new(),
        }
    }

    /// Simulates the rollout of a good or a bad version, and then of a good one.
    fn play(mut self, is_bad: bool, what: &str) -> Self {
        for ms in (0..FAULTS_UNTIL + SETTLE_TIME).step_by(STEP_MS as usize) {
            self.write_orders(ms);
            if ms < FAULTS_UNTIL {
                self.inject_faults(ms);
            }
            self.copies.push(self.store.clone());
            for g in 0..self.gateways.len() {
                self.record_answers(g, is_bad, ms);
                self.step_gateway(g, ms);
                self.gateways[g].check(&format!("{what}, {ms} ms, gateway {g}"));
            }
        }
        self
    }

    fn write_orders(&mut self, ms: u64) {
        let newest = version(if ms < SECOND_ORDER_AT { 2 } else { 3 });
        let is_due = self.rewrite_at.is_none_or(|at| ms >= at);
        if ms >= 1_000 && is_due && ms >= self.down_until {
            self.store.order = Some(newest);
        }
    }

    fn inject_faults(&mut self, ms: u64) {
        let per_second = |rng: &mut fastrand::Rng, n: f64| rng.f64() < n * STEP_MS as f64 / 1_000.0;
        if ms >= self.down_until && per_second(&mut self.rng, 0.15) {
            let age = self.rng.u64(1_000..6_000);
            let copy = (ms.saturating_sub(age) / STEP_MS) as usize;
            let era = self.store.era + 1;
            self.store = Store { era, ..self.copies.get(copy).cloned().unwrap_or_default() };
            self.down_until = ms + self.rng.u64(200..2_000);
            self.rewrite_at = Some(self.down_until + self.rng.u64(..MAX_REWRITE_DELAY));
        }
        let g = self.rng.usize(..self.gateways.len());
        if per_second(&mut self.rng, 0.2) {
            self.gateways[g] = Gateway::new(ms, &mut self.rng);
        }
        let g = self.rng.usize(..self.gateways.len());
        if per_second(&mut self.rng, 0.2) {
            self.gateways[g].cut_off_until = ms + self.rng.u64(500..5_000);
        }
    }

    /// Records answers of both versions at a gateway.
    fn record_answers(&mut self, g: usize, is_bad: bool, ms: u64) {
        let (service, route) = (service(), RouteName::from("draft"));
        let gateway = &mut self.gateways[g];
        let Some(target) = gateway.target() else { return };
        let is_bad = is_bad && target == version(2);
        for version in [version(1), target] {
            let good = AnswerSignal::FirstByte { took: Millis(100), expected: Millis(60) };
            let signal =
                if is_bad && version != self::version(1) { AnswerSignal::Failed } else { good };
            let sample = AnswerSample {
                service: &service,
                version: &version,
                route: &route,
                size_index: 0,
                load: 0.0,
                is_first_half: false,
                signal,
            };
            gateway.rollouts.record_answer(&sample, Millis(ms));
            gateway.rollouts.record_send(&service, &version, None, Millis(ms));
        }
    }

    fn step_gateway(&mut self, g: usize, ms: u64) {
        let (now, rng) = (Millis(ms), &mut self.rng);
        let fleet = self.gateways.len();
        let gateway = &mut self.gateways[g];
        gateway.rollouts.set_fleet_size(fleet);
        let has_store = ms >= self.down_until.max(gateway.cut_off_until);
        if has_store && ms >= gateway.next_read_at {
            gateway.next_read_at = ms + rng.u64(MAX_READ_INTERVAL / 2..MAX_READ_INTERVAL);
            gateway.detect_restore(&self.store, now);
            gateway.read_order(&self.store, ms);
        }
        gateway.rollouts.step(now);
        let is_due = gateway.rollouts.due_status(now).is_some_and(|(due, _)| due == Millis(0));
        if is_due && has_store {
            gateway.detect_restore(&self.store, now);
            if gateway.write_status(&mut self.store, rng.f64() < LOSS_RATE, now) {
                let (target, ended) = self.store.status.clone().expect("a status");
                self.written.push((self.store.era, target, ended));
            }
        }
        let is_urgent = self.gateways[g].rollouts.take_urgent_report();
        if is_urgent || (ms + g as u64 * STEP_MS).is_multiple_of(500) {
            self.send_reports(g, is_urgent, now);
        }
    }

    fn send_reports(&mut self, g: usize, is_urgent: bool, now: Millis) {
        let report = self.gateways[g].rollouts.reports(now);
        for other in (0..self.gateways.len()).filter(|other| *other != g) {
            let is_received = self.rng.f64() >= LOSS_RATE && (is_urgent || self.rng.bool());
            if is_received {
                for report in report.clone() {
                    self.gateways[other].rollouts.merge_report(&g.to_string(), report, now);
                }
            }
        }
    }

    /// Checks the final state, and the statuses written on the way.
    fn check(&self, is_bad: bool, what: &str) {
        let end = Some((version(3), Some(Phase::Done)));
        assert_eq!(self.store.status, end, "{what}: what the operator reads");
        for gateway in &self.gateways {
            let state = (gateway.target(), gateway.phase());
            let started = gateway.started_at;
            assert_eq!(state, (Some(version(3)), Some(Phase::Done)), "{what}, since {started}");
        }
        let wrong = if is_bad { Phase::Done } else { Phase::RolledBack };
        let of_first = self.written.iter().filter(|(_, target, _)| *target == version(2));
        assert!(of_first.clone().all(|(.., ended)| *ended != Some(wrong)), "{what}");
        let is_repeated = |pair: &[(u32, VersionName, Option<Phase>)]| pair[0] == pair[1];
        assert!(!self.written.windows(2).any(is_repeated), "{what}: {:?}", self.written);
    }
}

/// Guards against these faults after a restore: the lost end of a rollout is not written again, or is written by every
/// gateway; a superseded order is executed once more; a restarted gateway resumes a rollout that was rolled back.
#[test]
fn rollouts_hold_through_restores() {
    for (gateways, seeds) in [(3, 60), (24, 12), (103, 2)] {
        for seed in 0..seeds {
            let is_bad = seed % 2 == 0;
            let what = format!("{gateways} gateways, seed {seed}");
            Fleet::new(gateways, seed).play(is_bad, &what).check(is_bad, &what);
        }
    }
}

/// Guards against a gateway that executes a superseded order from an older copy and overwrites the newer order's status
/// for good.
#[test]
fn status_of_a_replaced_order_does_not_stay() {
    let what = "24 gateways, seed 305";
    Fleet::new(24, 305).play(false, what).check(false, what);
}

fn order(rollouts: &mut Rollouts, target: VersionName, copy: StoreCopy) -> bool {
    let order = RolloutOrder { target, window: Millis(WINDOW) };
    rollouts.add_order(&service(), order, OrderAge::default(), copy, Millis(0))
}

/// Guards against refusing an order as superseded when the operator rewrites it after a restore brought the order
/// before it back.
#[test]
fn order_is_taken_again_after_an_older_copy() {
    let mut rollouts = Gateway::new(0, &mut fastrand::Rng::with_seed(0)).rollouts;
    assert!(order(&mut rollouts, version(3), StoreCopy::Current));
    assert!(order(&mut rollouts, version(2), StoreCopy::Older));
    assert!(order(&mut rollouts, version(3), StoreCopy::Current));
    assert!(!order(&mut rollouts, version(2), StoreCopy::Older));
}

/// Guards against a lost end of a rollout that no gateway writes again, because a gateway that has not noticed the restore
/// reports it as stored.
#[test]
fn word_of_an_earlier_era_lets_an_end_be_written_again() {
    let mut rng = fastrand::Rng::with_seed(0);
    let [mut one, mut late] = [0; 2].map(|at| Gateway::new(at, &mut rng).rollouts);
    for rollouts in [&mut one, &mut late] {
        order(rollouts, version(2), StoreCopy::Current);
        rollouts.record_status(&service(), &version(2), Some(Phase::RolledBack), Millis(0));
        assert!(rollouts.due_status(Millis(0)).is_none());
    }
    one.store_restored(1, Millis(0));
    let long_after = Millis(9_000);
    for report in late.reports(long_after) {
        one.merge_report("late", report, long_after);
    }
    let due = one.due_status(long_after).map(|(_, due)| due.phase);
    assert_eq!(due, Some(Phase::RolledBack));
}
