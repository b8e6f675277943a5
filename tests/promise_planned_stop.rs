//! A planned stop is a graceful shutdown: no request in flight is aborted.

mod common;

use std::time::Duration;

use common::checks::{wrong_answers, wrong_bills};
use common::traffic::{Call, Traffic};
use common::{builder, engine, objects};
use redwingfold_http::Method;
use redwingfold_standins::EngineSettings;
use redwingfold_standins::fleet::{Ask, Fleet, wait_until};
use serde_json::json;

const STOP_TIMEOUT: Duration = Duration::from_secs(30);

fn fleet() -> Fleet {
    let slow = EngineSettings { token_ms: 5, ..engine(&["slip-1"]) };
    builder()
        .entries(2)
        .engine("gpu-1", slow.clone())
        .engine("gpu-2", slow)
        .settings("side", "batch", json!({"every_ms": 100, "side_grace_ms": 2000}))
        .settings("entry", "limits", json!({"drain_accept_ms": 500}))
        .start(&objects())
}

fn plain_or_streamed(n: u64) -> Ask {
    let ask = Ask::chat("ani", "slip", &format!("slip {n}"));
    if n.is_multiple_of(2) { ask.stream(250) } else { ask }
}

/// Returns whether a call was answered completely, be it streamed or not.
fn is_whole(call: &Call) -> bool {
    let answered = &call.answered;
    let is_stream = String::from_utf8_lossy(&call.ask.body).contains("\"stream\":true");
    answered.status == 200 && if is_stream { answered.is_complete_stream() } else { answered.whole }
}

fn check_stopped(fleet: &Fleet, host: &str) {
    let status = fleet.process(host).wait(STOP_TIMEOUT);
    assert!(status.is_some_and(|s| s.success()), "{host}: {status:?}");
    assert_eq!(fleet.process(host).count("drain_cut"), 0);
}

/// No request fails when a side stops under load: streams in flight run to their end, and later
/// requests go to the other side.
#[test]
fn side_stops_under_load() {
    let fleet = fleet();
    let traffic = Traffic::start(vec![fleet.caller(0), fleet.caller(1)], 12, plain_or_streamed);
    traffic.wait_for(24);
    fleet.process("gpu-1").term();
    check_stopped(&fleet, "gpu-1");
    traffic.wait_for(36);
    let calls = traffic.stop();
    let cut: Vec<_> = calls.iter().filter(|c| !is_whole(c)).collect();
    assert!(cut.is_empty(), "{} of {}: {:?}", cut.len(), calls.len(), cut[0].answered);
    assert_eq!(wrong_answers(&calls), Vec::<String>::new());
    wait_until("all answers are billed", || {
        wrong_bills(&calls, &fleet.log.records("bills")).is_empty()
    });
}

/// An entry that stops under load answers all its requests completely. Like behind a load balancer,
/// the callers stop sending to the entry once `/readyz` fails.
#[test]
fn entry_stops_under_load() {
    let fleet = fleet();
    let stopping_entry = fleet.caller(0);
    let is_ready = move || {
        stopping_entry.send_blocking(&Ask::new(Method::Get, "/readyz", "ani")).status == 200
    };
    let traffic = Traffic::start(vec![fleet.caller(0)], 12, plain_or_streamed);
    traffic.wait_for(24);
    fleet.process("entry-0").term();
    wait_until("the entry reports that it is not ready", || !is_ready());
    let calls = traffic.stop();
    check_stopped(&fleet, "entry-0");
    let cut: Vec<_> = calls.iter().filter(|c| !is_whole(c)).collect();
    assert!(cut.is_empty(), "{} of {}: {:?}", cut.len(), calls.len(), cut[0].answered);
    wait_until("all answers are billed", || {
        wrong_bills(&calls, &fleet.log.records("bills")).is_empty()
    });
}

/// Daemons that stop during an outage of the log service send their unconfirmed bills to another
/// process, so that no bill is lost: the side to an entry, then the entry to the other side.
#[test]
fn stops_during_an_outage_lose_no_bill() {
    let fleet = fleet();
    fleet.log.set(|faults| faults.outage = true);
    let calls: Vec<_> =
        (0..10).map(|n| Call::send(&fleet.caller(0), plain_or_streamed(n))).collect();
    assert!(calls.iter().all(is_whole));
    fleet.process("gpu-1").term();
    check_stopped(&fleet, "gpu-1");
    fleet.process("entry-0").term();
    check_stopped(&fleet, "entry-0");
    assert!(fleet.process("entry-0").count("bills_handed_over") > 0);
    fleet.log.set(|faults| faults.outage = false);
    wait_until("all answers are billed", || {
        wrong_bills(&calls, &fleet.log.records("bills")).is_empty()
    });
}
