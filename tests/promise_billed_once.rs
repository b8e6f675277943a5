//! Each request is billed once.

mod common;

use common::checks::wrong_bills;
use common::traffic::{Call, Traffic};
use common::{builder, engine, objects};
use redwingfold_core::BillFold;
use redwingfold_standins::fleet::{Ask, Fleet, wait_until};
use serde_json::json;

fn fleet() -> Fleet {
    builder()
        .entries(2)
        .engine("gpu-1", engine(&["slip-1", "slip-2"]))
        .engine("gpu-2", engine(&["slip-1", "slip-2"]))
        .settings("side", "batch", json!({"every_ms": 100, "side_grace_ms": 1500}))
        .settings("entry", "batch", json!({"every_ms": 100}))
        .start(&objects())
}

fn bills(fleet: &Fleet) -> BillFold {
    let mut fold = BillFold::default();
    fleet.log.records("bills").iter().for_each(|(_, raw)| fold.apply(raw.as_bytes()));
    fold
}

fn check(fleet: &Fleet, calls: &[Call]) {
    let wrong = || wrong_bills(calls, &fleet.log.records("bills"));
    wait_until("all answers are billed", || wrong().is_empty());
    let answers = calls.iter().filter(|c| c.answered.status == 200).count();
    assert!(answers > 0);
}

/// Starts an outage of the log service and returns calls that were answered during it.
fn answered_during_outage(fleet: &Fleet) -> Vec<Call> {
    fleet.log.set(|faults| faults.outage = true);
    let ask = |n| Ask::chat("ani", "slip", &format!("slip {n}"));
    let calls: Vec<_> = (0..8).map(|n| Call::send(&fleet.caller(0), ask(n))).collect();
    assert!(calls.iter().all(|c| c.answered.status == 200));
    calls
}

/// A request that is repeated through another entry is billed once, streamed or not: the id of the
/// bill is derived from the customer's idempotency key.
#[test]
fn repeats_through_another_entry() {
    let fleet = fleet();
    let mut calls = Vec::new();
    for n in 0..10 {
        let ask = Ask::chat("ani", "slip", "urea").key(&format!("receipt-{n}"));
        let ask = if n % 2 == 0 { ask.stream(5) } else { ask };
        for entry in [0, 1, 0] {
            calls.push(Call::send(&fleet.caller(entry), ask.clone()));
        }
    }
    assert!(calls.iter().all(|c| c.answered.status == 200));
    check(&fleet, &calls);
    assert_eq!(bills(&fleet).bills().count(), 10);
}

/// Each bill counts once although half of the appends lose their responses, so that daemons append
/// batches a second time.
#[test]
fn lost_answers() {
    let fleet = fleet();
    fleet.log.set(|faults| faults.lose_answers = 500);
    let traffic = Traffic::start(vec![fleet.caller(0), fleet.caller(1)], 4, |n| {
        Ask::chat("ani", "slip", &format!("slip {n}"))
    });
    traffic.wait_for(150);
    let calls = traffic.stop();
    check(&fleet, &calls);
    let lost =
        fleet.log.history.events_named("append").iter().filter(|e| !e.detail.is_empty()).count();
    assert!(lost > 0, "no response of an append was lost");
    assert_eq!(bills(&fleet).bills().count(), calls.len());
}

/// Answers are billed although the entry is killed between the answer and the append. The side
/// holds a copy of each bill and appends it if the entry has not confirmed it after
/// `side_grace_ms`.
#[test]
fn entry_dies_before_the_append() {
    let fleet = fleet();
    let calls = answered_during_outage(&fleet);
    fleet.process("entry-0").kill();
    fleet.log.set(|faults| faults.outage = false);
    check(&fleet, &calls);
}

/// Answers are billed although the sides are killed before the append: the entry also holds a copy.
#[test]
fn sides_die_before_the_append() {
    let fleet = fleet();
    let calls = answered_during_outage(&fleet);
    fleet.process("gpu-1").kill();
    fleet.process("gpu-2").kill();
    fleet.log.set(|faults| faults.outage = false);
    check(&fleet, &calls);
}

/// If an outage lasts longer than `side_grace_ms`, entry and side both append the bill, and it
/// counts once.
#[test]
fn both_append_after_an_outage() {
    let fleet = fleet();
    fleet.log.set(|faults| faults.outage = true);
    let calls: Vec<_> = (0..8)
        .map(|n| Call::send(&fleet.caller(n % 2), Ask::chat("ani", "slip", &format!("slip {n}"))))
        .collect();
    // Both have tried to append during the outage; the side only tries after `side_grace_ms`.
    wait_until("both entries and a side have tried to append", || {
        let tried = |h: &str| fleet.process(h).count("bills_not_appended") > 0;
        tried("entry-0") && tried("entry-1") && (tried("gpu-1") || tried("gpu-2"))
    });
    fleet.log.set(|faults| faults.outage = false);
    check(&fleet, &calls);
    assert_eq!(bills(&fleet).bills().count(), calls.len());
}

/// A request that a cascade ran on two versions, as the first answer was bad, returns the answer of
/// the second version and has one bill for the tokens of both runs.
#[test]
fn cascade_is_one_bill() {
    let cascade = objects()
        .version("large-1", "large", 1000, 990)
        .model("large", "large-1")
        .grant("large", "org=ani", "model=large")
        .cascade("slips", &["slip", "large"], 700);
    let fleet = builder()
        .engine("gpu-1", engine(&["slip-1"]))
        .engine("gpu-2", engine(&["large-1"]))
        .settings("entry", "rating", json!({"sample_per_mille": 0, "false_stop_per_million": 0}))
        .settings("entry", "batch", json!({"every_ms": 100}))
        .start(&cascade);
    fleet.engines["gpu-1"].set(|f| {
        f.bad.insert("slip-1".to_owned(), 1000);
    });
    let call = Call::send(&fleet.caller(0), Ask::chat("ani", "slips", "urea").key("receipt-1"));
    assert_eq!(call.answered.header("x-model-version"), Some("large-1"), "{call:?}");
    let attempts = [&fleet.engines["gpu-1"], &fleet.engines["gpu-2"]];
    assert!(attempts.iter().all(|e| e.history.events_named("run").len() == 1));
    wait_until("the second attempt is billed", || {
        bills(&fleet).bills().any(|bill| bill.attempt == 2)
    });
    let fold = bills(&fleet);
    let bill = fold.bills().next().expect("bill");
    assert_eq!((fold.bills().count(), bill.version.as_str()), (1, "large-1"));
    assert_eq!(bill.tokens, 18, "nine tokens for each attempt");
}
