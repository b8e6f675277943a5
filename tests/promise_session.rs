//! A session stays on its version.

mod common;

use std::collections::BTreeSet;

use common::checks::{moved_sessions, wrong_answers};
use common::traffic::{Call, Traffic};
use common::{builder, engine, objects};
use redwingfold_standins::fleet::{Ask, Fleet, Objects};

const SESSIONS: u64 = 24;

fn fleet() -> Fleet {
    let mut builder = builder().entries(2);
    for host in ["gpu-1", "gpu-2", "gpu-3", "gpu-4"] {
        builder = builder.engine(host, engine(&["slip-1", "slip-2"]));
    }
    builder.start(&objects())
}

fn traffic(fleet: &Fleet) -> Traffic {
    Traffic::start(vec![fleet.caller(0), fleet.caller(1)], 4, |n| {
        // The entry is chosen by n % 2; with n / 2 each session sends through both entries.
        let session = format!("batch-{}", n / 2 % SESSIONS);
        Ask::chat("ani", "slip", &format!("slip {n}")).session(&session)
    })
}

fn set_share(fleet: &Fleet, share: u16) {
    fleet.publish(&Objects::default().rollout("up", "slip", "slip-2", share));
    fleet.wait_in_force();
}

fn versions(calls: &[Call]) -> BTreeSet<&str> {
    calls.iter().filter_map(|c| c.answered.header("x-model-version")).collect()
}

/// Existing sessions stay on their version through both entries while a rollout's share goes up in
/// steps and is rolled back. New sessions get the version that the share selects.
#[test]
fn through_every_step_of_a_roll_out() {
    let fleet = fleet();
    let traffic = traffic(&fleet);
    traffic.wait_for(100);
    for step in [100, 500, 1000, 300, 0] {
        set_share(&fleet, step);
        traffic.wait_for(100);
    }
    let calls = traffic.stop();
    assert_eq!(moved_sessions(&calls), Vec::<String>::new());
    assert_eq!(wrong_answers(&calls), Vec::<String>::new());
    assert_eq!(versions(&calls), BTreeSet::from(["slip-1"]), "all began before the roll-out");

    set_share(&fleet, 1000);
    let new_session = Ask::chat("ani", "slip", "new").session("batch-new");
    let answered = fleet.caller(0).send_blocking(&new_session);
    assert_eq!(answered.header("x-model-version"), Some("slip-2"));
    set_share(&fleet, 0);
    let answered = fleet.caller(1).send_blocking(&new_session);
    assert_eq!(answered.header("x-model-version"), Some("slip-2"));
}

/// Sessions stay on their version when an entry is killed and when the sides that store the
/// sessions are restarted one after the other. Each session is stored on three sides; a restarted
/// side has lost its copy and gets a new one from the others at the session's next request.
#[test]
fn through_the_loss_of_an_entry_and_of_holders() {
    let mut fleet = fleet();
    let send_for_all_sessions = |fleet: &Fleet, entry: usize| -> Vec<Call> {
        let caller = fleet.caller(entry);
        let ask = |n| Ask::chat("ani", "slip", "slip").session(&format!("batch-{n}"));
        (0..SESSIONS).map(|n| Call::send(&caller, ask(n))).collect()
    };
    let mut calls = send_for_all_sessions(&fleet, 0);
    set_share(&fleet, 1000);
    fleet.process("entry-0").kill();
    calls.extend(send_for_all_sessions(&fleet, 1));
    for host in ["gpu-1", "gpu-2", "gpu-3", "gpu-4"] {
        fleet.process(host).kill();
        fleet.restart(host);
        fleet.wait_ready("entry-1");
        calls.extend(send_for_all_sessions(&fleet, 1));
    }
    fleet.restart("entry-0");
    fleet.wait_ready("entry-0");
    calls.extend(send_for_all_sessions(&fleet, 0));
    let failed: Vec<_> = calls.iter().filter(|c| c.answered.status != 200).collect();
    assert!(failed.is_empty(), "{:?}", failed[0].answered);
    assert_eq!(moved_sessions(&calls), Vec::<String>::new());
    assert_eq!(versions(&calls), BTreeSet::from(["slip-1"]));
}

/// If a session's version is withdrawn, the session moves to the model's new version. The first
/// answer reports the move in `x-session-moved`, and the session then stays on the new version
/// through both entries.
#[test]
fn withdrawal_is_the_one_exception() {
    let fleet = fleet();
    let ask = Ask::chat("ani", "slip", "slip").session("batch-1");
    let before = fleet.caller(0).send_blocking(&ask);
    assert_eq!(before.header("x-model-version"), Some("slip-1"));
    fleet.publish(&Objects::default().model("slip", "slip-2"));
    assert!(fleet.ctl(&["withdraw", "slip-1", "--reason", "bad"]).status.success());
    fleet.wait_in_force();
    let reassigned = fleet.caller(1).send_blocking(&ask);
    assert_eq!(reassigned.header("x-model-version"), Some("slip-2"), "{}", reassigned.text());
    assert_eq!(reassigned.header("x-session-moved"), Some("withdrawn slip-1"));
    let after = fleet.caller(0).send_blocking(&ask);
    assert_eq!(after.header("x-model-version"), Some("slip-2"));
}

/// A session whose own version is in service is still served if the version for new sessions has
/// been withdrawn. Only new sessions are refused.
#[test]
fn withdrawal_of_another_version_changes_nothing() {
    let fleet = fleet();
    let ask = Ask::chat("ani", "slip", "slip").session("batch-1");
    let before = fleet.caller(0).send_blocking(&ask);
    assert_eq!(before.header("x-model-version"), Some("slip-1"));
    fleet.publish(&Objects::default().model("slip", "slip-2"));
    assert!(fleet.ctl(&["withdraw", "slip-2", "--reason", "bad"]).status.success());
    fleet.wait_in_force();
    for entry in [0, 1] {
        let after = fleet.caller(entry).send_blocking(&ask);
        assert_eq!(after.header("x-model-version"), Some("slip-1"), "{}", after.text());
        let new = Ask::chat("ani", "slip", "slip").session("batch-2");
        let refused = fleet.caller(entry).send_blocking(&new);
        assert_eq!(refused.error_code().0, "version_withdrawn");
    }
}

/// Two entries that receive a new session's first requests at the same time assign it the same
/// version, although one of them still has the old share of the rollout.
#[test]
fn first_requests_race_through_two_entries() {
    let fleet = fleet();
    for n in 0..10 {
        // The paused entry selects by the old share, the other one by the new share.
        fleet.process("entry-1").freeze();
        let to = if n % 2 == 0 { 1000 } else { 0 };
        fleet.publish(&Objects::default().rollout("up", "slip", "slip-2", to));
        let ask = Ask::chat("ani", "slip", "slip").session(&format!("race-{n}"));
        let (first, second) = (fleet.caller(0), fleet.caller(1));
        let other = ask.clone();
        let waiting = std::thread::spawn(move || Call::send(&second, other));
        fleet.process("entry-1").thaw();
        let calls = [Call::send(&first, ask), waiting.join().expect("caller")];
        assert!(calls.iter().all(|c| c.answered.status == 200), "{calls:?}");
        assert_eq!(moved_sessions(&calls), Vec::<String>::new());
    }
}
