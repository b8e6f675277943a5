//! Connections that go silent, and failure domains that go.

mod common;

use common::checks::wrong_answers;
use common::traffic::Traffic;
use common::{builder, engine, objects};
use redwingfold_standins::fleet::{Ask, wait_until};
use serde_json::json;

fn ask(n: u64) -> Ask {
    Ask::chat("ani", "slip", &format!("slip {n}"))
}

/// Callers get their answers although the only connection to the only side has gone silent for
/// good. The entry misses one heartbeat, opens another connection from a new port, and sends what
/// was under way again on it.
#[test]
fn open_connection_is_dead_and_new_ones_work() {
    let mut fleet = builder()
        .engine("gpu-1", engine(&["slip-1"]))
        .settings("entry", "heartbeat", json!({"interval_ms": 100}))
        .start(&objects());
    fleet.put_proxy("gpu-1");
    wait_until("the way leads through the proxy", || {
        fleet.process("entry-0").count("event=side_connected") == 2
    });
    let traffic = Traffic::start(vec![fleet.caller(0)], 4, ask);
    for round in 1..=3 {
        traffic.wait_for(20);
        fleet.proxy("gpu-1").silence_flows();
        wait_until("a new connection", || {
            fleet.process("entry-0").count("event=side_connected") >= 2 + round
        });
    }
    traffic.wait_for(20);
    let calls = traffic.stop();
    let failed: Vec<_> = calls.iter().filter(|c| c.answered.status != 200).collect();
    // A request that met the silence twice, or met it when the budget was spent, may be refused.
    assert!(failed.len() * 10 <= calls.len(), "{} of {}", failed.len(), calls.len());
    assert_eq!(wrong_answers(&calls), Vec::<String>::new());
}

/// Callers see at most what was under way when a failure domain goes: its sides fall silent all at
/// once, and the others take the work. At the same time the log service is away.
#[test]
fn failure_domain_goes_during_a_log_outage() {
    let mut fleet = builder()
        .engine("gpu-1", engine(&["slip-1"]))
        .engine("gpu-2", engine(&["slip-1"]))
        .engine("gpu-3", engine(&["slip-1"]))
        .engine("gpu-4", engine(&["slip-1"]))
        .settings("entry", "heartbeat", json!({"interval_ms": 100}))
        .start(&objects());
    fleet.put_proxy("gpu-1");
    fleet.put_proxy("gpu-4");
    wait_until("the ways lead through the proxies", || {
        fleet.process("entry-0").count("event=side_connected") == 6
    });
    let traffic = Traffic::start(vec![fleet.caller(0)], 4, ask);
    traffic.wait_for(20);
    fleet.log.set(|faults| faults.outage = true);
    // gpu-1 and gpu-4 are in one failure domain.
    fleet.proxy("gpu-1").set_cut(true);
    fleet.proxy("gpu-4").set_cut(true);
    wait_until("both are given up", || {
        fleet.process("entry-0").count("event=side_gone") >= 2
            || fleet.process("entry-0").count("event=side_unreachable") >= 2
    });
    traffic.wait_for(60);
    let calls = traffic.stop();
    let last: Vec<_> = calls.iter().rev().take(40).collect();
    assert!(last.iter().all(|c| c.answered.status == 200), "{:?}", last[0].answered);
    assert_eq!(wrong_answers(&calls), Vec::<String>::new());
}
