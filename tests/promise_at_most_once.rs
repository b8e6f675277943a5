//! A non-idempotent request runs at most once.

mod common;

use std::time::Duration;

use common::checks::{false_not_run, repeated_runs};
use common::traffic::Call;
use common::{builder, engine, objects};
use redwingfold_http::Method;
use redwingfold_standins::Event;
use redwingfold_standins::fleet::{Ask, Fleet, wait_until};

fn fleet() -> Fleet {
    builder()
        .entries(2)
        .engine("gpu-1", engine(&["slip-1"]))
        .service("svc-1", "coop")
        .service("svc-2", "coop")
        .start(&objects())
}

fn confirm(key: &str) -> Ask {
    Ask::new(Method::Post, "/coop/confirm", "haus").key(key).body(key)
}

fn events(fleet: &Fleet) -> Vec<Event> {
    fleet.services.values().flat_map(|s| s.history.events()).collect()
}

fn check(fleet: &Fleet, calls: &[Call]) {
    assert_eq!(repeated_runs(&events(fleet)), Vec::<String>::new());
    assert_eq!(false_not_run(calls, &events(fleet)), Vec::<String>::new());
}

fn runs(fleet: &Fleet) -> usize {
    events(fleet).iter().filter(|e| e.what == "run").count()
}

/// Requests with the same idempotency key that arrive at two entries at once run once. The first
/// claim in the log holds the key; the other requests get its answer or are refused as still
/// running.
#[test]
fn same_key_at_two_entries_at_once() {
    let fleet = fleet();
    let mut calls = Vec::new();
    for n in 0..20 {
        let ask = confirm(&format!("swap-{n}"));
        let threads: Vec<_> = (0..4)
            .map(|i| {
                let (caller, ask) = (fleet.caller(i % 2), ask.clone());
                std::thread::spawn(move || Call::send(&caller, ask))
            })
            .collect();
        calls.extend(threads.into_iter().map(|t| t.join().expect("caller")));
        // A later repeat gets the answer of the first run.
        let repeat = Call::send(&fleet.caller(n % 2), ask);
        assert_eq!(repeat.answered.status, 200, "{}", repeat.answered.text());
        assert_eq!(repeat.answered.json()["run"], 1);
        calls.push(repeat);
    }
    check(&fleet, &calls);
    assert_eq!(runs(&fleet), 20);
}

/// While the log service is down, no claim can be appended: a non-idempotent request is refused as
/// not run. The same request runs once the log service is available again.
#[test]
fn log_is_down() {
    let fleet = fleet();
    fleet.log.set(|faults| faults.outage = true);
    let refused = Call::send(&fleet.caller(0), confirm("swap-1"));
    let expected = ("log_away".to_owned(), "not_run".to_owned());
    assert_eq!(refused.answered.error_code(), expected);
    assert!(refused.answered.header("retry-after").is_some());
    assert_eq!(runs(&fleet), 0);
    // An idempotent request needs no claim and is served.
    let read = fleet.caller(0).send_blocking(&Ask::new(Method::Get, "/coop/members", "haus"));
    assert_eq!(read.status, 200);
    fleet.log.set(|faults| faults.outage = false);
    let retried = Call::send(&fleet.caller(1), confirm("swap-1"));
    assert_eq!(retried.answered.status, 200, "{}", retried.answered.text());
    let calls = [refused, retried];
    assert_eq!(repeated_runs(&events(&fleet)), Vec::<String>::new());
    assert_eq!(false_not_run(&calls[..1], &events(&fleet)), Vec::<String>::new());
}

/// Requests run once each although every append of a claim loses its response. The entry can't tell
/// from the lost response whether the claim was appended, so it searches the log for the claim's
/// id.
#[test]
fn claims_answer_is_lost() {
    let fleet = fleet();
    fleet.log.set(|faults| faults.lose_answers = 1000);
    let mut calls = Vec::new();
    for n in 0..10 {
        for entry in [0, 1] {
            calls.push(Call::send(&fleet.caller(entry), confirm(&format!("swap-{n}"))));
        }
    }
    assert!(calls.iter().all(|c| c.answered.status == 200), "{calls:?}");
    check(&fleet, &calls);
    assert_eq!(runs(&fleet), 10);
}

/// The entry is killed during the run and the caller repeats the request through another entry. It
/// is refused as still running until the outcome is known, and the request runs only once.
#[test]
fn entry_dies_during_the_run() {
    let fleet = fleet();
    fleet.services.values().for_each(|s| s.set_delay(Duration::from_millis(1500)));
    let (caller, ask) = (fleet.caller(0), confirm("swap-1"));
    let first = std::thread::spawn(move || Call::send(&caller, ask));
    wait_until("the request runs", || runs(&fleet) == 1);
    fleet.process("entry-0").kill();
    let first = first.join().expect("caller");
    assert_eq!(first.answered.status, 0);
    let mut calls = vec![first];
    wait_until("a repeat is no longer refused as still running", || {
        let call = Call::send(&fleet.caller(1), confirm("swap-1"));
        let settled = call.answered.error_code().0 != "still_running";
        calls.push(call);
        settled
    });
    check(&fleet, &calls);
    assert_eq!(runs(&fleet), 1);
}

/// The side is killed during the run, so it is unknown whether the request has run. The request and
/// each of its repeats are refused as `may_have_run`, and the request does not run again.
#[test]
fn side_dies_during_the_run() {
    let mut fleet = fleet();
    fleet.services.values().for_each(|s| s.set_delay(Duration::from_secs(5)));
    let (caller, ask) = (fleet.caller(0), confirm("swap-1"));
    let first = std::thread::spawn(move || Call::send(&caller, ask));
    wait_until("the request runs", || runs(&fleet) == 1);
    let host = fleet.services.iter().find(|(_, s)| !s.history.events_named("run").is_empty());
    let host = host.map(|(host, _)| host.clone()).expect("a service");
    fleet.process(&host).kill();
    let first = first.join().expect("caller");
    assert_eq!(first.answered.error_code().1, "may_have_run", "{}", first.answered.text());
    let repeat = Call::send(&fleet.caller(1), confirm("swap-1"));
    assert_eq!(repeat.answered.error_code().1, "may_have_run", "{}", repeat.answered.text());
    fleet.restart(&host);
    fleet.wait_ready("entry-1");
    let later = Call::send(&fleet.caller(1), confirm("swap-1"));
    let expected = ("outcome_unknown".to_owned(), "may_have_run".to_owned());
    assert_eq!(later.answered.error_code(), expected);
    check(&fleet, &[first, repeat, later]);
    assert_eq!(runs(&fleet), 1);
}

/// An entry is paused while its claim is being appended. A repeat through another entry has the
/// side close that claim and runs under a claim of its own. The resumed entry reads that its claim
/// no longer holds the key, and answers its caller with the result of the other run. For an entry
/// that is paused after this read, see core/tests/claims.rs: the side refuses the run.
#[test]
fn frozen_holder_wakes() {
    let fleet = fleet();
    // The append is slow, so that the entry can be paused while it waits for the response.
    fleet.log.set(|faults| faults.append_ms = 400);
    let (caller, ask) = (fleet.caller(0), confirm("swap-1"));
    let first = std::thread::spawn(move || Call::send(&caller, ask));
    let claim_records = || -> usize {
        let streams = fleet.log.streams();
        streams
            .iter()
            .filter(|s| s.starts_with("claims-"))
            .map(|s| fleet.log.records(s).len())
            .sum()
    };
    std::thread::sleep(Duration::from_millis(200));
    fleet.process("entry-0").freeze();
    wait_until("the claim is in the log", || claim_records() == 1);
    fleet.log.set(|faults| faults.append_ms = 0);
    let second = Call::send(&fleet.caller(1), confirm("swap-1"));
    assert_eq!(second.answered.status, 200, "{}", second.answered.text());
    fleet.process("entry-0").thaw();
    let first = first.join().expect("caller");
    assert_eq!(first.answered.json()["run"], 1, "{}", first.answered.text());
    check(&fleet, &[first, second]);
    assert_eq!(runs(&fleet), 1);
    assert_eq!(
        claim_records(),
        3,
        "the paused entry's claim, the second entry's claim, and the one that replaces the first"
    );
}
