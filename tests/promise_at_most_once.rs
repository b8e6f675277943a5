//! A request that may not be repeated runs at most once.

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

/// A family that presses the button twice, through two entries at once, has one confirmation: one
/// entry's claim is first in the log, the other gets the first one's answer or is told to wait.
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
        // A repeat later gets the answer of the one run.
        let repeat = Call::send(&fleet.caller(n % 2), ask);
        assert_eq!(repeat.answered.status, 200, "{}", repeat.answered.text());
        assert_eq!(repeat.answered.json()["run"], 1);
        calls.push(repeat);
    }
    check(&fleet, &calls);
    assert_eq!(runs(&fleet), 20);
}

/// A caller is refused at once while the log service is away, and nothing has run; the same call
/// runs when it is back.
#[test]
fn log_is_down() {
    let fleet = fleet();
    fleet.log.set(|faults| faults.outage = true);
    let refused = Call::send(&fleet.caller(0), confirm("swap-1"));
    let expected = ("log_away".to_owned(), "not_run".to_owned());
    assert_eq!(refused.answered.error_code(), expected);
    assert!(refused.answered.header("retry-after").is_some());
    assert_eq!(runs(&fleet), 0);
    // A call that may be repeated needs no claim and goes on.
    let read = fleet.caller(0).send_blocking(&Ask::new(Method::Get, "/coop/members", "haus"));
    assert_eq!(read.status, 200);
    fleet.log.set(|faults| faults.outage = false);
    let retried = Call::send(&fleet.caller(1), confirm("swap-1"));
    assert_eq!(retried.answered.status, 200, "{}", retried.answered.text());
    let calls = [refused, retried];
    assert_eq!(repeated_runs(&events(&fleet)), Vec::<String>::new());
    assert_eq!(false_not_run(&calls[..1], &events(&fleet)), Vec::<String>::new());
}

/// Calls run once each although the log service loses the answers to all claims: the entry finds
/// its claim in the log by its id.
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

/// A caller whose entry died in the middle of the run repeats through another: it is told that the
/// call is running, and later gets its answer. The call has run once.
#[test]
fn entry_dies_during_the_run() {
    let fleet = fleet();
    fleet.services.values().for_each(|s| s.set_delay(Duration::from_millis(1500)));
    let (caller, ask) = (fleet.caller(0), confirm("swap-1"));
    let first = std::thread::spawn(move || Call::send(&caller, ask));
    wait_until("it runs", || runs(&fleet) == 1);
    fleet.process("entry-0").kill();
    let first = first.join().expect("caller");
    assert_eq!(first.answered.status, 0);
    let mut calls = vec![first];
    wait_until("a repeat is settled", || {
        let call = Call::send(&fleet.caller(1), confirm("swap-1"));
        let settled = call.answered.error_code().0 != "still_running";
        calls.push(call);
        settled
    });
    check(&fleet, &calls);
    assert_eq!(runs(&fleet), 1);
}

/// A caller whose side died in the middle of the run is told that it may have run, and so is every
/// repeat: nobody knows, and so it is not run again.
#[test]
fn side_dies_during_the_run() {
    let mut fleet = fleet();
    fleet.services.values().for_each(|s| s.set_delay(Duration::from_secs(5)));
    let (caller, ask) = (fleet.caller(0), confirm("swap-1"));
    let first = std::thread::spawn(move || Call::send(&caller, ask));
    wait_until("it runs", || runs(&fleet) == 1);
    let host = fleet.services.iter().find(|(_, s)| !s.history.of("run").is_empty());
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

/// An entry is frozen while its claim is appended; a repeat through another entry has the claim
/// closed at its side and is served under a claim of its own. The frozen entry wakes, reads that
/// its claim holds the key no more, and gives its caller the answer of the other's run.
/// The case that it wakes after that read is in core/tests/claims.rs: the side refuses the run.
#[test]
fn frozen_holder_wakes() {
    let fleet = fleet();
    // The append takes long enough to freeze the entry while it waits for the answer.
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
    assert_eq!(claim_records(), 3, "the frozen one, the one behind it, and the one in its place");
}
