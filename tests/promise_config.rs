//! An accepted configuration is in force everywhere within seconds and never reverts.

mod common;

use common::{builder, engine, objects};
use redwingfold_core::{ConfigFold, Offset, Verdict};
use redwingfold_standins::fleet::{Ask, Fleet, Objects, wait_until};
use serde_json::{Value, json};

fn fleet() -> Fleet {
    builder()
        .entries(2)
        .engine("gpu-1", engine(&["slip-1", "slip-2"]))
        .settings("entry", "log", json!({"snapshot_every": 10}))
        .settings("side", "log", json!({"snapshot_every": 10}))
        .start(&objects())
}

const HOSTS: [&str; 3] = ["entry-0", "entry-1", "gpu-1"];

fn fold(fleet: &Fleet) -> ConfigFold {
    let mut fold = ConfigFold::default();
    for (offset, raw) in fleet.log.records("config") {
        fold.apply(Offset(offset), raw.as_bytes());
    }
    fold
}

/// Offsets that a daemon has had in force, in order.
fn offsets(fleet: &Fleet, host: &str) -> Vec<u64> {
    let lines = fleet.process(host).lines();
    let in_force = lines.iter().filter(|l| l.contains("event=config_in_force"));
    in_force.filter_map(|l| l.split("offset=").nth(1)?.split(' ').next()?.parse().ok()).collect()
}

fn check_never_back(fleet: &Fleet) {
    for host in HOSTS {
        let offsets = offsets(fleet, host);
        assert!(offsets.is_sorted(), "{host} went back: {offsets:?}");
    }
}

/// Of operators who change the same object at once from the same state, one wins, and each other is
/// told who was faster. Every daemon ends with the winner's object.
#[test]
fn operators_race() {
    let fleet = fleet();
    let at = fold(&fleet).config().offset.to_string();
    let threads: Vec<_> = (0..4)
        .map(|n| {
            let cost = 1000 + n;
            let file = fleet.write_objects(
                &format!("race-{n}"),
                &Objects::default().version("slip-1", "slip", cost, 900),
            );
            let (at, author) = (at.clone(), format!("desk-{n}"));
            let args = ["publish", &file, "--reason", "price", "--author", &author, "--at", &at]
                .map(str::to_owned);
            (args, cost)
        })
        .collect();
    let exits: Vec<_> = std::thread::scope(|scope| {
        let fleet = &fleet;
        let running: Vec<_> = threads
            .iter()
            .map(|(args, _)| {
                let args: Vec<_> = args.iter().map(String::as_str).collect();
                scope.spawn(move || fleet.ctl(&args))
            })
            .collect();
        running.into_iter().map(|t| t.join().expect("ctl")).collect()
    });
    let won: Vec<_> = exits.iter().filter(|o| o.status.success()).collect();
    assert_eq!(won.len(), 1, "{exits:?}");
    for lost in exits.iter().filter(|o| !o.status.success()) {
        assert_eq!(lost.status.code(), Some(3));
        let said = [lost.stdout.as_slice(), &lost.stderr].concat();
        let said = String::from_utf8_lossy(&said).into_owned();
        assert!(said.contains("desk-") || said.contains("revision_moved"), "{said}");
    }
    fleet.wait_in_force();
    let status: Value = serde_json::from_slice(&fleet.ctl(&["status", "--json"]).stdout).unwrap();
    let hashes: Vec<_> = status.as_array().unwrap().iter().map(|d| d["hash"].clone()).collect();
    assert!(hashes.windows(2).all(|w| w[0] == w[1]), "{hashes:?}");
    check_never_back(&fleet);
}

/// An operator whose answers are all lost is told what became of the change, and it is applied once.
#[test]
fn publish_with_lost_answers() {
    let fleet = fleet();
    fleet.log.set(|faults| faults.lose_answers = 1000);
    fleet.publish(&Objects::default().rollout("up", "slip", "slip-2", 10));
    let fold = fold(&fleet);
    let accepted = fold.audit().iter().filter(|e| e.verdict == Verdict::Accepted).count();
    assert_eq!(accepted, 2, "the first publication and this one");
    fleet.wait_in_force();
}

/// A daemon that starts when the head of the stream has expired begins from a snapshot, and has the
/// same state as the others. Without the snapshots it would serve nothing, and say so.
#[test]
fn snapshots_outlive_retention() {
    let mut fleet = fleet();
    for share in 1..=25 {
        fleet.publish(&Objects::default().rollout("up", "slip", "slip-2", share));
    }
    // Retention holds more than one period of snapshots, as the platform's page asks.
    wait_until("the newest snapshot is less than a period old", || {
        let snapshots = fleet.log.records("config-snapshots");
        let newest = snapshots.last().map(|(_, raw)| raw.clone()).unwrap_or_default();
        let value: Value = serde_json::from_str(&newest).unwrap_or_default();
        value["config"]["offset"].as_u64().is_some_and(|covered| covered + 10 > fold_offset(&fleet))
    });
    fleet.log.set(|faults| faults.retain = 12);
    fleet.publish(&Objects::default().rollout("up", "slip", "slip-2", 100));
    fleet.log.set(|faults| faults.retain = 100_000);
    let newest = fold_offset(&fleet);
    fleet.process("entry-1").kill();
    // Its peers could help it too; the snapshot alone must do.
    fleet.process("gpu-1").freeze();
    fleet.restart("entry-1");
    wait_until("the new entry has it", || offsets(&fleet, "entry-1").last() == Some(&newest));
    fleet.process("gpu-1").thaw();
    fleet.wait_in_force();
    let status: Value = serde_json::from_slice(&fleet.ctl(&["status", "--json"]).stdout).unwrap();
    let hashes: Vec<_> = status.as_array().unwrap().iter().map(|d| d["hash"].clone()).collect();
    assert!(hashes.windows(2).all(|w| w[0] == w[1]), "{hashes:?}");
}

fn fold_offset(fleet: &Fleet) -> u64 {
    fleet.log.records("config").last().map_or(0, |(offset, _)| *offset)
}

/// A daemon that is cut off from the log gets changes from its peers, and one that was alone for a
/// while has the newest state when it is back, never an older one in between.
#[test]
fn cut_off_and_back() {
    let fleet = fleet();
    fleet.cut_log("entry-1", true);
    fleet.cut_log("gpu-1", true);
    fleet.publish(&Objects::default().rollout("up", "slip", "slip-2", 10));
    fleet.wait_in_force();
    fleet.process("entry-1").freeze();
    for share in [20, 30, 40] {
        fleet.publish(&Objects::default().rollout("up", "slip", "slip-2", share));
    }
    fleet.process("entry-1").thaw();
    fleet.wait_in_force();
    check_never_back(&fleet);
}

/// Records that are torn or of an unknown kind are passed over by all alike, and serving goes on.
#[test]
fn unknown_and_torn_records() {
    let fleet = fleet();
    fleet.log.append("config", "{\"type\":\"recolour\",\"id\":\"1\"}");
    fleet.log.append("config", "{\"type\":\"change\",\"id\":");
    fleet.log.append("config", "\u{0}\u{1}");
    fleet.publish(&Objects::default().rollout("up", "slip", "slip-2", 1000));
    fleet.wait_in_force();
    for host in HOSTS {
        assert_eq!(fleet.process(host).count("event=record_skipped"), 3, "{host}");
        assert_eq!(fleet.process(host).count("event=config_diverged"), 0, "{host}");
    }
    let answered = fleet.caller(0).send_blocking(&Ask::chat("ani", "slip", "one"));
    assert_eq!(answered.header("x-model-version"), Some("slip-2"));
}

/// A daemon that starts in a log outage gets the configuration from a peer; with neither log nor
/// peer it is not ready, and refuses requests as not run.
#[test]
fn starts_in_an_outage() {
    let mut fleet = fleet();
    fleet.log.set(|faults| faults.outage = true);
    fleet.process("entry-1").kill();
    fleet.restart("entry-1");
    fleet.wait_ready("entry-1");
    let answered = fleet.caller(1).send_blocking(&Ask::chat("ani", "slip", "one"));
    assert_eq!(answered.status, 200, "{}", answered.text());
    fleet.process("gpu-1").kill();
    fleet.process("entry-1").kill();
    fleet.restart("entry-1");
    let refused = fleet.caller(1).send_blocking(&Ask::chat("ani", "slip", "one"));
    assert_eq!(refused.error_code(), ("no_config".to_owned(), "not_run".to_owned()));
}
