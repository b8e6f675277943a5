//! Ratings of answers stop the rollout of a bad version and advance that of a good one.

mod common;

use common::traffic::{Call, Traffic, now_us};
use common::{builder, engine, objects};
use redwingfold_standins::fleet::{Ask, Fleet, Objects, wait_until};
use serde_json::{Value, json};

fn fleet(false_stop_per_million: u32) -> Fleet {
    let rating =
        json!({"sample_per_mille": 1000, "false_stop_per_million": false_stop_per_million});
    builder()
        .entries(2)
        .engine("gpu-1", engine(&["slip-1", "slip-2"]))
        .engine("gpu-2", engine(&["slip-1", "slip-2"]))
        .settings("entry", "rating", rating)
        .settings("entry", "batch", json!({"every_ms": 100}))
        .start(&objects())
}

fn set_bad_share(fleet: &Fleet, version: &str, bad_per_mille: u32) {
    for engine in fleet.engines.values() {
        engine.set(|f| {
            f.bad.insert(version.to_owned(), bad_per_mille);
        });
    }
}

fn roll_out(fleet: &Fleet, share: u16) {
    let spec = json!({
        "model": "slip", "to": "slip-2", "share": share, "steps": [50, 250, 1000], "per_step": 30,
    });
    fleet.publish(&Objects::default().with("rollout", "up", json!({}), spec));
    fleet.wait_in_force();
}

fn share(fleet: &Fleet) -> Value {
    let output = fleet.ctl(&["show", "rollout/up"]);
    let stored: Value = serde_json::from_slice(&output.stdout).unwrap_or_default();
    stored["object"]["spec"]["share"].clone()
}

fn is_withdrawn(fleet: &Fleet, version: &str) -> bool {
    let output = fleet.ctl(&["show", &format!("version/{version}")]);
    let stored: Value = serde_json::from_slice(&output.stdout).unwrap_or_default();
    !stored["object"]["spec"]["withdrawn_at"].is_null()
}

fn traffic(fleet: &Fleet) -> Traffic {
    Traffic::start(vec![fleet.caller(0), fleet.caller(1)], 6, |n| {
        Ask::chat("ani", "slip", &format!("slip {n}"))
    })
}

/// A new version that gives only bad answers never leaves the first step of its rollout: an entry
/// withdraws it, and both entries stop using it. The audit trail names the entry and the reason.
#[test]
fn bad_version_is_stopped_in_its_first_step() {
    let fleet = fleet(1000);
    set_bad_share(&fleet, "slip-2", 1000);
    roll_out(&fleet, 50);
    let traffic = traffic(&fleet);
    wait_until("it is withdrawn", || is_withdrawn(&fleet, "slip-2"));
    fleet.wait_in_force();
    let in_force_at_us = now_us();
    traffic.wait_for(100);
    let calls = traffic.stop();
    assert_eq!(share(&fleet), 50);
    let from_bad_version = |c: &&Call| c.answered.header("x-model-version") == Some("slip-2");
    assert!(calls.iter().filter(from_bad_version).all(|c| c.sent_us < in_force_at_us));
    assert!(calls.iter().all(|c| c.answered.status == 200));
    let audit = String::from_utf8_lossy(&fleet.ctl(&["audit"]).stdout).into_owned();
    assert!(audit.contains("entry entry-") && audit.contains("rated answers were bad"), "{audit}");
}

/// The rollout of a good version advances through every step to all new sessions without an
/// operator.
#[test]
fn good_version_goes_on_by_itself() {
    let fleet = fleet(1000);
    roll_out(&fleet, 50);
    let traffic = traffic(&fleet);
    wait_until("the share is 1000 per mille", || share(&fleet) == 1000);
    traffic.stop();
    assert!(!is_withdrawn(&fleet, "slip-2"));
    let audit: Value = serde_json::from_slice(&fleet.ctl(&["audit", "--json"]).stdout).unwrap();
    let audit = audit.as_array().cloned().unwrap_or_default();
    let accepted = audit.iter().filter(|e| {
        e["verdict"] == "accepted" && e["author"].as_str().unwrap().starts_with("entry ")
    });
    assert_eq!(accepted.count(), 2, "one change per step, by whichever entry was first");
}

/// The ratings of two entries are added up. At one false stop per million, a version is withdrawn
/// after eight bad answers out of eight; each entry alone has only five.
#[test]
fn evidence_of_two_entries_adds_up() {
    let fleet = fleet(1);
    set_bad_share(&fleet, "slip-1", 1000);
    for n in 0..10 {
        let answered =
            fleet.caller(n % 2).send_blocking(&Ask::chat("ani", "slip", &format!("slip {n}")));
        // The entries exchange ratings meanwhile, so the last requests may be refused.
        let is_refused = answered.error_code().0 == "version_withdrawn";
        assert!(answered.status == 200 || is_refused, "{}", answered.text());
    }
    wait_until("it is withdrawn", || is_withdrawn(&fleet, "slip-1"));
}

/// A version whose answers turn bad after its rollout is withdrawn by the same statistical test.
#[test]
fn version_that_turns_bad_later() {
    let fleet = fleet(1000);
    let traffic = traffic(&fleet);
    traffic.wait_for(60);
    set_bad_share(&fleet, "slip-1", 900);
    wait_until("it is withdrawn", || is_withdrawn(&fleet, "slip-1"));
    traffic.stop();
}
