//! A caller receives the complete answer to its own request.

mod common;

use common::checks::wrong_answers;
use common::traffic::{Call, Traffic};
use common::{builder, engine, objects};
use redwingfold_standins::EngineSettings;
use redwingfold_standins::fleet::{Ask, Fleet, wait_until};

fn fleet() -> Fleet {
    let slow = EngineSettings { token_ms: 2, ..engine(&["slip-1"]) };
    builder().entries(2).engine("gpu-1", slow.clone()).engine("gpu-2", slow).start(&objects())
}

fn plain_or_streamed(n: u64) -> Ask {
    let ask = Ask::chat("ani", "slip", &format!("slip {n}"));
    if n.is_multiple_of(2) { ask.stream(5 + n % 20) } else { ask }
}

/// Each caller gets the complete answer to its own prompt, with hundreds of concurrent requests and
/// an engine whose speed changes, so that answers overtake each other.
#[test]
fn crossing_answers() {
    let fleet = fleet();
    let traffic = Traffic::start(vec![fleet.caller(0), fleet.caller(1)], 16, plain_or_streamed);
    for slow_percent in [0, 400, 50, 800, 0] {
        fleet.engines["gpu-1"].set(|faults| faults.slow_percent = slow_percent);
        traffic.wait_for(60);
    }
    let calls = traffic.stop();
    assert_eq!(wrong_answers(&calls), Vec::<String>::new());
    assert!(calls.iter().all(|c| c.answered.status == 200));
}

/// If an engine fails in mid-stream, the stream ends with an error event and without the end
/// marker; it is never continued with the tokens of another attempt. Requests that are not streamed
/// are retried at the other engine and succeed.
#[test]
fn engine_dies_in_mid_stream() {
    let fleet = fleet();
    fleet.engines["gpu-1"].set(|faults| faults.die_after = Some(3));
    let traffic = Traffic::start(vec![fleet.caller(0)], 8, plain_or_streamed);
    traffic.wait_for(120);
    let calls = traffic.stop();
    assert_eq!(wrong_answers(&calls), Vec::<String>::new());
    let is_streamed = |c: &&Call| String::from_utf8_lossy(&c.ask.body).contains("\"stream\":true");
    let cut = calls.iter().filter(|c| is_streamed(c) && !c.answered.is_complete_stream());
    let cut: Vec<_> = cut.collect();
    assert!(!cut.is_empty(), "no stream ran on the failing engine");
    for call in cut {
        assert!(call.answered.text().contains("backend_lost"), "{}", call.answered.text());
    }
    assert!(calls.iter().filter(|c| !is_streamed(c)).all(|c| c.answered.status == 200));
}

/// If a caller disconnects in mid-stream, its run is cancelled at the engine, and later requests
/// get their own answers.
#[test]
fn cancelled_callers_leave_nothing_behind() {
    let fleet = fleet();
    let count_events = |what: &str| -> usize {
        fleet.engines.values().map(|e| e.history.events_named(what).len()).sum()
    };
    for n in 0..10 {
        let caller = fleet.caller(0);
        let ask = Ask::chat("ani", "slip", &format!("gone {n}")).stream(5000);
        let before = count_events("run");
        let cancelled = count_events("cancel");
        let call = smol::spawn(async move { caller.send(&ask).await });
        wait_until("the stream runs", || count_events("run") > before);
        smol::block_on(call.cancel());
        wait_until("the run is cancelled at the engine", || count_events("cancel") > cancelled);
        let next = Call::send(&caller, plain_or_streamed(n));
        assert_eq!(wrong_answers(std::slice::from_ref(&next)), Vec::<String>::new());
        assert_eq!(next.answered.status, 200);
    }
}

/// When a side is killed under load, its streams end visibly incomplete, and the other side serves
/// the requests that follow.
#[test]
fn side_is_killed() {
    let fleet = fleet();
    let traffic = Traffic::start(vec![fleet.caller(0)], 8, plain_or_streamed);
    traffic.wait_for(40);
    fleet.process("gpu-1").kill();
    traffic.wait_for(80);
    let calls = traffic.stop();
    assert_eq!(wrong_answers(&calls), Vec::<String>::new());
    let last = calls.last().expect("a call");
    assert_eq!(last.answered.status, 200, "{}", last.answered.text());
}
