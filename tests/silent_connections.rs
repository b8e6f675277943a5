//! Connections that stop delivering packets, and the loss of a failure domain.

mod common;

use common::checks::wrong_answers;
use common::traffic::Traffic;
use common::{builder, engine, objects};
use redwingfold_standins::fleet::{Ask, wait_until};
use serde_json::json;

fn ask(n: u64) -> Ask {
    Ask::chat("ani", "slip", &format!("slip {n}"))
}

/// Requests succeed although the only connection to the only side drops all packets for good.
/// The entry misses one heartbeat, opens a new connection from another port, and resends on it the
/// requests in flight.
#[test]
fn open_connection_is_dead_and_new_ones_work() {
    let mut fleet = builder()
        .engine("gpu-1", engine(&["slip-1"]))
        .settings("entry", "heartbeat", json!({"interval_ms": 100}))
        .start(&objects());
    fleet.add_peer_proxy("gpu-1");
    wait_until("the entry is connected through the proxy", || {
        fleet.process("entry-0").count("event=side_connected") == 2
    });
    let traffic = Traffic::start(vec![fleet.caller(0)], 4, ask);
    for round in 1..=3 {
        traffic.wait_for(20);
        fleet.peer_proxy("gpu-1").silence_flows();
        wait_until("the entry has opened a new connection", || {
            fleet.process("entry-0").count("event=side_connected") >= 2 + round
        });
    }
    traffic.wait_for(20);
    let calls = traffic.stop();
    let failed: Vec<_> = calls.iter().filter(|c| c.answered.status != 200).collect();
    // A request that was in flight during two silences, or when the retry budget was spent, may
    // fail.
    assert!(failed.len() * 10 <= calls.len(), "{} of {}", failed.len(), calls.len());
    assert_eq!(wrong_answers(&calls), Vec::<String>::new());
}

/// Only requests in flight may fail when all sides of a failure domain become unreachable at once
/// during an outage of the log service; the other sides serve the requests that follow.
#[test]
fn failure_domain_goes_during_a_log_outage() {
    let mut fleet = builder()
        .engine("gpu-1", engine(&["slip-1"]))
        .engine("gpu-2", engine(&["slip-1"]))
        .engine("gpu-3", engine(&["slip-1"]))
        .engine("gpu-4", engine(&["slip-1"]))
        .settings("entry", "heartbeat", json!({"interval_ms": 100}))
        .start(&objects());
    fleet.add_peer_proxy("gpu-1");
    fleet.add_peer_proxy("gpu-4");
    wait_until("the entry is connected through both proxies", || {
        fleet.process("entry-0").count("event=side_connected") == 6
    });
    let traffic = Traffic::start(vec![fleet.caller(0)], 4, ask);
    traffic.wait_for(20);
    fleet.log.set(|faults| faults.outage = true);
    // gpu-1 and gpu-4 are in one failure domain.
    fleet.peer_proxy("gpu-1").set_cut(true);
    fleet.peer_proxy("gpu-4").set_cut(true);
    wait_until("the entry has given up both sides", || {
        fleet.process("entry-0").count("event=side_gone") >= 2
            || fleet.process("entry-0").count("event=side_unreachable") >= 2
    });
    traffic.wait_for(60);
    let calls = traffic.stop();
    let last: Vec<_> = calls.iter().rev().take(40).collect();
    assert!(last.iter().all(|c| c.answered.status == 200), "{:?}", last[0].answered);
    assert_eq!(wrong_answers(&calls), Vec::<String>::new());
}
