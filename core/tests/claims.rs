//! Calls that run at most once, under random schedules of entries, sides and the log.
//!
//! Entries append claims, are paused between any two steps, lose responses of the log, and crash.
//! Sides restart and lose their tables. Each run executes thousands of schedules in virtual time.

use std::collections::BTreeMap;

use redwingfold_core::{
    CallAnswer, CallState, CallTable, Claim, ClaimFold, ClaimId, ClaimStatus, Incarnation, KeyHash,
    Offset, RequestId,
};
use todc_utils::{Action, History, Specification, WGLChecker};

const SIDES: usize = 2;
const ENTRIES: usize = 3;
const STEPS: usize = 60;
const MAX_ROUNDS: usize = 3;
const KEY: KeyHash = KeyHash(7);

/// Derives random numbers from the bytes of a schedule.
struct ScheduleRng<'a>(&'a [u8], usize);

impl ScheduleRng<'_> {
    fn below(&mut self, n: usize) -> usize {
        self.1 += 1;
        let byte = self.0.get(self.1 % self.0.len().max(1)).copied().unwrap_or(0);
        // The position is mixed in, so that short inputs still give long schedules.
        (usize::from(byte) ^ (self.1.wrapping_mul(0x9e37) >> 7)) % n
    }

    fn one_in(&mut self, n: usize) -> bool {
        self.below(n) == 0
    }
}

#[derive(Clone, Debug)]
enum Step {
    Append { replaces: Option<ClaimId>, rounds: usize },
    Read { claim: Claim, rounds: usize },
    Settle { holder: Claim, rounds: usize },
    Send { claim: Claim },
    Finished,
}

/// How a caller's request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outcome {
    NotRun,
    Ran,
    Replayed,
    Unknown,
}

struct Side {
    table: CallTable,
    incarnation: Incarnation,
}

struct Simulation {
    log: Vec<Claim>,
    sides: Vec<Side>,
    runs: usize,
    next: u128,
    /// Whether the side checks its table before it runs a call; false for the injected fault.
    is_checked: bool,
}

impl Simulation {
    fn new(is_checked: bool) -> Self {
        let side = |n: usize| {
            let incarnation = Incarnation(n as u64 + 1);
            Side { table: CallTable::new(incarnation, 100, 1000), incarnation }
        };
        Self {
            log: Vec::new(),
            sides: (0..SIDES).map(side).collect(),
            runs: 0,
            next: 1,
            is_checked,
        }
    }

    fn side_of(&mut self, claim: &Claim) -> &mut Side {
        let n = claim.host.as_str().trim_start_matches("side-").parse::<usize>().unwrap();
        &mut self.sides[n]
    }

    fn restart(&mut self, n: usize) {
        let incarnation = Incarnation(1000 + self.next as u64);
        self.next += 1;
        self.sides[n] = Side { table: CallTable::new(incarnation, 100, 1000), incarnation };
    }

    fn fold(&self) -> ClaimFold {
        let mut fold = ClaimFold::default();
        for (i, claim) in self.log.iter().enumerate() {
            fold.apply(Offset(i as u64 + 1), &serde_json::to_vec(claim).unwrap());
        }
        fold
    }

    /// Executes one step of an entry's request.
    fn step(&mut self, step: Step, rng: &mut ScheduleRng<'_>) -> (Step, Option<Outcome>) {
        match step {
            Step::Append { rounds: MAX_ROUNDS, .. } => (Step::Finished, Some(Outcome::NotRun)),
            Step::Append { replaces, rounds } => {
                let n = rng.below(SIDES);
                let claim = Claim {
                    id: ClaimId(self.next),
                    key: KEY,
                    request: RequestId(self.next),
                    host: format!("side-{n}").parse().unwrap(),
                    incarnation: self.sides[n].incarnation,
                    replaces,
                };
                self.next += 1;
                if rng.one_in(8) {
                    // The log service is unavailable: the append had no effect, and the caller gets
                    // an error that says so.
                    return (Step::Finished, Some(Outcome::NotRun));
                }
                self.log.push(claim.clone());
                (Step::Read { claim, rounds }, None)
            }
            Step::Read { claim, rounds } => match self.fold().status(&claim) {
                ClaimStatus::HoldsKey => (Step::Send { claim }, None),
                ClaimStatus::Absent => (Step::Finished, Some(Outcome::NotRun)),
                ClaimStatus::HeldByOther(holder) => (Step::Settle { holder, rounds }, None),
            },
            Step::Settle { holder, rounds } => {
                let table = &mut self.side_of(&holder).table;
                match table.state(&holder) {
                    Some(CallState::Done(_)) => (Step::Finished, Some(Outcome::Replayed)),
                    Some(CallState::Running | CallState::Unknown) => {
                        (Step::Finished, Some(Outcome::Unknown))
                    }
                    None | Some(CallState::Closed) => match table.close(&holder) {
                        Some(true) => {
                            let replaces = Some(holder.id);
                            (Step::Append { replaces, rounds: rounds + 1 }, None)
                        }
                        _ => (Step::Finished, Some(Outcome::Unknown)),
                    },
                }
            }
            Step::Send { claim } => {
                let is_checked = self.is_checked;
                let side = self.side_of(&claim);
                if side.table.begin(&claim).is_err() && is_checked {
                    return (Step::Finished, Some(Outcome::Unknown));
                }
                self.runs += 1;
                if rng.one_in(6) {
                    self.side_of(&claim).table.mark_unknown(claim.id);
                    return (Step::Finished, Some(Outcome::Unknown));
                }
                let answer = CallAnswer { status: 200, content_type: None, body: None };
                self.side_of(&claim).table.mark_done(claim.id, answer);
                (Step::Finished, Some(Outcome::Ran))
            }
            Step::Finished => (Step::Finished, None),
        }
    }
}

/// Sequential specification of a call that runs at most once.
struct OneCall;

impl Specification for OneCall {
    type Operation = Outcome;
    type State = bool;

    fn init() -> bool {
        false
    }

    fn apply(outcome: &Outcome, has_run: &bool) -> (bool, bool) {
        match outcome {
            Outcome::Ran => (!has_run, true),
            Outcome::Replayed => (*has_run, true),
            Outcome::NotRun | Outcome::Unknown => (true, *has_run),
        }
    }
}

/// Runs a schedule; returns the number of runs and the history of the calls.
fn run_schedule(bytes: &[u8], is_checked: bool) -> (usize, Vec<(usize, Action<Outcome>)>) {
    let mut rng = ScheduleRng(bytes, 0);
    let mut simulation = Simulation::new(is_checked);
    let mut entries = BTreeMap::<usize, Step>::new();
    let mut calls = Vec::new();
    let mut outcomes = BTreeMap::new();
    let mut next_call = 0;
    for _ in 0..STEPS {
        if rng.one_in(20) {
            let n = rng.below(SIDES);
            simulation.restart(n);
        }
        if entries.len() < ENTRIES && rng.one_in(3) {
            entries.insert(next_call, Step::Append { replaces: None, rounds: 0 });
            calls.push((next_call, true));
            next_call += 1;
        }
        let Some(&call) = entries.keys().nth(rng.below(entries.len().max(1))) else { continue };
        if rng.one_in(25) {
            // The entry crashes; its caller gets no response.
            entries.remove(&call);
            calls.push((call, false));
            outcomes.insert(call, Outcome::Unknown);
            continue;
        }
        let step = entries.remove(&call).unwrap();
        match simulation.step(step, &mut rng) {
            (_, Some(outcome)) => {
                calls.push((call, false));
                outcomes.insert(call, outcome);
            }
            (next, None) => {
                entries.insert(call, next);
            }
        }
    }
    for call in entries.into_keys() {
        calls.push((call, false));
        outcomes.insert(call, Outcome::Unknown);
    }
    let action = |&(call, begins): &(usize, bool)| match begins {
        true => (call, Action::Call(outcomes[&call])),
        false => (call, Action::Response(outcomes[&call])),
    };
    (simulation.runs, calls.iter().map(action).collect())
}

/// A call runs at most once in any interleaving of the steps of entries, sides and the log. A
/// second run would, for example, send a second confirmation. Runs are counted at the sides.
#[test]
fn a_call_runs_at_most_once() {
    bolero::check!().for_each(|bytes: &[u8]| {
        let (runs, _) = run_schedule(bytes, true);
        assert!(runs <= 1, "ran {runs} times");
    });
}

/// The responses to callers are linearizable: one call runs, and replays of its answer come after
/// it. Schedules with an unknown outcome are skipped, since that run may be the one replayed.
#[test]
fn what_callers_are_told_is_linearizable() {
    bolero::check!().for_each(|bytes: &[u8]| {
        let (_, history) = run_schedule(bytes, true);
        let is_known =
            history.iter().all(|(_, action)| !matches!(action, Action::Call(Outcome::Unknown)));
        if is_known && !history.is_empty() {
            assert!(WGLChecker::<OneCall>::is_linearizable(History::from_actions(history)));
        }
    });
}

/// The schedules can find a violation: sides that don't check their tables run a call twice.
#[test]
fn a_side_that_does_not_look_is_caught() {
    let mut worst = 0;
    for seed in 0..4000_u32 {
        let bytes: Vec<u8> = (0..64)
            .map(|i| xxhash_rust::xxh3::xxh3_64(&[seed.to_be_bytes(), [i, 0, 0, 0]].concat()) as u8)
            .collect();
        worst = worst.max(run_schedule(&bytes, false).0);
    }
    assert!(worst > 1, "no schedule ran a call twice");
}

/// The checker rejects a history with two runs.
#[test]
fn the_checker_refuses_two_runs() {
    let two = vec![
        (0, Action::Call(Outcome::Ran)),
        (0, Action::Response(Outcome::Ran)),
        (1, Action::Call(Outcome::Ran)),
        (1, Action::Response(Outcome::Ran)),
    ];
    assert!(!WGLChecker::<OneCall>::is_linearizable(History::from_actions(two)));
}
