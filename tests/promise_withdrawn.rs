//! A withdrawn version receives no new requests.

mod common;

use common::checks::{false_not_run, runs_after, wrong_answers};
use common::traffic::{Traffic, now_us};
use common::{builder, engine, objects};
use redwingfold_standins::fleet::{Ask, wait_until};
use redwingfold_standins::{EngineSettings, Event};

fn withdraw(fleet: &redwingfold_standins::fleet::Fleet, extra_args: &[&str]) {
    let args = [&["withdraw", "slip-1", "--reason", "reads 8 as 3"], extra_args].concat();
    let output = fleet.ctl(&args);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
}

fn events(fleet: &redwingfold_standins::fleet::Fleet) -> Vec<Event> {
    fleet.engines.values().flat_map(|e| e.history.events()).collect()
}

/// One of two entries under load is paused while slip-1 is withdrawn, and resumes with requests in
/// flight and the old configuration. The sides have the new one and refuse what the stale entry
/// forwards, so slip-1 runs no further request.
#[test]
fn stale_entry_cannot_give_it_work() {
    let fleet = builder()
        .entries(2)
        .engine("gpu-1", engine(&["slip-1"]))
        .engine("gpu-2", engine(&["slip-1"]))
        .start(&objects());
    let ask = |n| Ask::chat("ani", "slip", &format!("slip {n}"));
    let traffic = Traffic::start(vec![fleet.caller(0), fleet.caller(1)], 6, ask);
    traffic.wait_for(50);
    fleet.process("entry-1").freeze();
    withdraw(&fleet, &[]);
    wait_until("the sides have the withdrawal in force", || {
        ["gpu-1", "gpu-2"].iter().all(|h| fleet.process(h).count("config_in_force offset=2") > 0)
    });
    let applied_at_us = now_us();
    fleet.process("entry-1").thaw();
    traffic.wait_for(50);
    let calls = traffic.stop();
    assert_eq!(runs_after(&events(&fleet), "slip-1", applied_at_us), Vec::<String>::new());
    assert_eq!(false_not_run(&calls, &events(&fleet)), Vec::<String>::new());
    assert_eq!(wrong_answers(&calls), Vec::<String>::new());
    assert!(calls.iter().any(|c| c.answered.error_code().0 == "version_withdrawn"));
}

/// Requests that are queued at a side when their version is withdrawn are refused at once, as not
/// run. The engine has one slot, so the others are queued while the first one runs.
#[test]
fn queued_work_is_refused() {
    let slow = EngineSettings { slots: 1, token_ms: 40, ..engine(&["slip-1"]) };
    let fleet = builder().engine("gpu-1", slow).start(&objects());
    let caller = fleet.caller(0);
    let first = std::thread::spawn(move || {
        caller.send_blocking(&Ask::chat("ani", "slip", "first").stream(100))
    });
    wait_until("the first request runs", || {
        fleet.engines["gpu-1"].history.events_named("run").len() == 1
    });
    let waiting: Vec<_> = (0..5)
        .map(|n| {
            let ask = Ask::chat("ani", "slip", &format!("waits {n}"));
            std::thread::spawn(move || caller.send_blocking(&ask))
        })
        .collect();
    wait_until("the other requests are queued", || {
        fleet.daemon_status("gpu-1")["backends"][0]["busy"] == 6
    });
    withdraw(&fleet, &[]);
    for thread in waiting {
        let answered = thread.join().expect("caller");
        let expected = ("version_withdrawn".to_owned(), "not_run".to_owned());
        assert_eq!(answered.error_code(), expected, "{}", answered.text());
        assert!(answered.header("retry-after").is_some());
    }
    assert_eq!(fleet.engines["gpu-1"].history.events_named("run").len(), 1);
    // Without `--cut`, a stream in flight runs to its end.
    assert!(first.join().expect("caller").is_complete_stream());
}

/// A withdrawal with `--cut` aborts streams in flight. The stream ends with an error event instead
/// of the end marker, and the run is cancelled at the engine.
#[test]
fn streams_are_cut_on_demand() {
    let slow = EngineSettings { token_ms: 40, ..engine(&["slip-1"]) };
    let fleet = builder().engine("gpu-1", slow).start(&objects());
    let caller = fleet.caller(0);
    let first = std::thread::spawn(move || {
        caller.send_blocking(&Ask::chat("ani", "slip", "long").stream(1000))
    });
    wait_until("the stream runs", || fleet.engines["gpu-1"].history.events_named("run").len() == 1);
    withdraw(&fleet, &["--cut"]);
    let answered = first.join().expect("caller");
    assert!(!answered.is_complete_stream());
    assert!(answered.text().contains("version_withdrawn"), "{}", answered.text());
    wait_until("the run is cancelled at the engine", || {
        fleet.engines["gpu-1"].history.events_named("cancel").len() == 1
    });
}

/// A withdrawal takes effect although the log service becomes unavailable right after it accepted
/// the record: the operator's tool sends the record to the daemons, and they forward it to each
/// other.
#[test]
fn outage_right_after_the_acceptance() {
    let mut fleet = builder()
        .entries(2)
        .engine("gpu-1", engine(&["slip-1"]))
        .engine("gpu-2", engine(&["slip-1"]))
        .start(&objects());
    // No daemon can read the log, so the record must come from the tool.
    for host in ["entry-0", "entry-1", "gpu-1", "gpu-2"] {
        fleet.set_log_cut(host, true);
    }
    withdraw(&fleet, &[]);
    fleet.log.set(|faults| faults.outage = true);
    let withdrawn_at_us = now_us();
    // A side that is restarted during the outage gets the record from a peer.
    fleet.process("gpu-2").kill();
    fleet.restart("gpu-2");
    for n in 0..20 {
        let answered = fleet.caller(n % 2).send_blocking(&Ask::chat("ani", "slip", "one"));
        assert_ne!(answered.status, 200, "{}", answered.text());
    }
    assert_eq!(runs_after(&events(&fleet), "slip-1", withdrawn_at_us), Vec::<String>::new());
    wait_until("the restarted side has the withdrawal in force", || {
        fleet.process("gpu-2").count("config_in_force offset=2") > 0
    });
}
