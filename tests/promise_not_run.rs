//! A request that is refused as `not_run` has not run.

mod common;

use common::checks::false_not_run;
use common::traffic::{Call, Traffic};
use common::{builder, engine, objects};
use redwingfold_standins::fleet::{Ask, Fleet, wait_until};
use redwingfold_standins::{EngineSettings, Event};
use serde_json::json;

fn events(fleet: &Fleet) -> Vec<Event> {
    fleet.engines.values().flat_map(|e| e.history.events()).collect()
}

fn slow_engine() -> EngineSettings {
    EngineSettings { slots: 2, token_ms: 30, ..engine(&["slip-1"]) }
}

/// Requests with short deadlines at a slow engine: some time out in the queue and are refused as
/// `not_run`, others time out during the run and are refused as `may_have_run`. Both are refused
/// soon after their deadline, with a `retry-after`.
#[test]
fn deadlines_in_the_queue_and_in_the_run() {
    let fleet = builder().engine("gpu-1", slow_engine()).start(&objects());
    let traffic = Traffic::start(vec![fleet.caller(0)], 16, |n| {
        let deadline = (50 + n * 37 % 700).to_string();
        Ask::chat("ani", "slip", &format!("slip {n}")).header("x-request-timeout-ms", &deadline)
    });
    traffic.wait_for(150);
    let calls = traffic.stop();
    assert_eq!(false_not_run(&calls, &events(&fleet)), Vec::<String>::new());
    let count_with_state =
        |state: &str| calls.iter().filter(|c| c.answered.error_code().1 == state).count();
    assert!(
        count_with_state("not_run") > 0 && count_with_state("may_have_run") > 0,
        "{} {}",
        count_with_state("not_run"),
        count_with_state("may_have_run")
    );
    let refused = calls.iter().filter(|c| c.answered.status >= 400);
    for call in refused {
        assert!(call.answered.header("retry-after").is_some(), "{}", call.answered.text());
        let deadline: u128 = call.request_header("x-request-timeout-ms").unwrap().parse().unwrap();
        assert!(
            call.answered.took.as_millis() < deadline + 5_000,
            "refused more than 5 s after its deadline"
        );
    }
}

/// Requests of a customer that has filled its share of the queue are refused at once, as not run;
/// the request of another customer is admitted.
#[test]
fn full_queue() {
    let fleet = builder()
        .engine("gpu-1", slow_engine())
        .settings("side", "queue", json!({"max_per_customer": 4}))
        .start(&objects());
    let traffic = Traffic::start(vec![fleet.caller(0)], 20, |n| {
        Ask::chat("ani", "slip", &format!("slip {n}"))
    });
    wait_until("the queue is full", || fleet.daemon_status("gpu-1")["backends"][0]["busy"] == 6);
    let other = Call::send(&fleet.caller(0), Ask::chat("haus", "slip", "one"));
    traffic.wait_for(60);
    let calls = traffic.stop();
    assert_eq!(other.answered.status, 200, "{}", other.answered.text());
    assert_eq!(false_not_run(&calls, &events(&fleet)), Vec::<String>::new());
    let refused: Vec<_> = calls.iter().filter(|c| c.answered.status != 200).collect();
    assert!(!refused.is_empty());
    for call in refused {
        assert_eq!(call.answered.error_code().0, "overloaded");
    }
}

/// If the engine stops responding or the side is killed after the engine has received a request,
/// the request is refused as `may_have_run`, not as `not_run`.
#[test]
fn silent_engine_and_dead_side() {
    let fleet = builder()
        .engine("gpu-1", slow_engine())
        .settings("side", "queue", json!({"first_byte_timeout_ms": 200}))
        .start(&objects());
    fleet.engines["gpu-1"].set(|faults| faults.silent = true);
    let call = Call::send(&fleet.caller(0), Ask::chat("ani", "slip", "one"));
    assert_eq!(call.answered.error_code(), ("backend_lost".to_owned(), "may_have_run".to_owned()));
    fleet.engines["gpu-1"].set(|faults| faults.silent = false);
    let caller = fleet.caller(0);
    let running = std::thread::spawn(move || Call::send(&caller, Ask::chat("ani", "slip", "two")));
    wait_until("the second request runs", || {
        fleet.engines["gpu-1"].history.events_named("run").len() == 2
    });
    fleet.process("gpu-1").kill();
    let killed = running.join().expect("caller");
    assert_eq!(killed.answered.error_code().1, "may_have_run", "{}", killed.answered.text());
    let without_side = Call::send(&fleet.caller(0), Ask::chat("ani", "slip", "three"));
    assert_eq!(without_side.answered.error_code(), ("no_backend".to_owned(), "not_run".to_owned()));
    assert_eq!(false_not_run(&[call, killed, without_side], &events(&fleet)), Vec::<String>::new());
}

/// A request is sent to an engine that does not respond, and the next engine then refuses it. It
/// must not be refused as `not_run`: the run state of the last attempt does not cover the earlier
/// ones.
#[test]
fn refused_after_a_lost_attempt() {
    let fleet = builder()
        .engine("gpu-1", slow_engine())
        .engine("gpu-2", slow_engine())
        .settings(
            "side",
            "queue",
            json!({"first_byte_timeout_ms": 200, "max_waiting": 10, "max_per_customer": 10}),
        )
        .start(&objects());
    fleet.engines["gpu-1"].set(|faults| faults.silent = true);
    // Long streams fill gpu-2, so that requests go to gpu-1 first.
    let caller = fleet.caller(0);
    let stream = |n| Ask::chat("haus", "slip", &format!("long {n}")).stream(200);
    let long_streams: Vec<_> =
        (0..12).map(|n| std::thread::spawn(move || caller.send_blocking(&stream(n)))).collect();
    wait_until("gpu-2 is full", || {
        fleet.daemon_status("gpu-2")["backends"][0]["busy"] == json!(12)
    });
    let calls: Vec<_> = (0..6)
        .map(|n| {
            let ask = Ask::chat("ani", "slip", &format!("slip {n}"));
            Call::send(&caller, ask.header("x-request-timeout-ms", "1000"))
        })
        .collect();
    assert_eq!(false_not_run(&calls, &events(&fleet)), Vec::<String>::new());
    assert!(calls.iter().all(|c| c.answered.status != 200));
    drop(fleet);
    long_streams.into_iter().for_each(|t| drop(t.join()));
}
