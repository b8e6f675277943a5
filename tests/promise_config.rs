//! An accepted configuration is in force on all daemons within seconds and is never reverted to an
//! older one.

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

/// Returns the offsets of the configurations that a daemon has put in force, in that order.
fn offsets_in_force(fleet: &Fleet, host: &str) -> Vec<u64> {
    let lines = fleet.process(host).lines();
    let in_force = lines.iter().filter(|l| l.contains("event=config_in_force"));
    in_force.filter_map(|l| l.split("offset=").nth(1)?.split(' ').next()?.parse().ok()).collect()
}

fn check_offsets_never_decrease(fleet: &Fleet) {
    for host in HOSTS {
        let offsets_in_force = offsets_in_force(fleet, host);
        assert!(
            offsets_in_force.is_sorted(),
            "{host} reverted to an older configuration: {offsets_in_force:?}"
        );
    }
}

/// Of several concurrent changes to an object that are based on the same revision, one is accepted.
/// The others are rejected with exit code 3 and the author of the accepted change, or with
/// `revision_moved`. All daemons end with the same configuration.
#[test]
fn operators_race() {
    let fleet = fleet();
    let at = fold(&fleet).config().offset.to_string();
    let publications: Vec<_> = (0..4)
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
    let outputs: Vec<_> = std::thread::scope(|scope| {
        let fleet = &fleet;
        let running: Vec<_> = publications
            .iter()
            .map(|(args, _)| {
                let args: Vec<_> = args.iter().map(String::as_str).collect();
                scope.spawn(move || fleet.ctl(&args))
            })
            .collect();
        running.into_iter().map(|t| t.join().expect("ctl")).collect()
    });
    let accepted: Vec<_> = outputs.iter().filter(|o| o.status.success()).collect();
    assert_eq!(accepted.len(), 1, "{outputs:?}");
    for rejected in outputs.iter().filter(|o| !o.status.success()) {
        assert_eq!(rejected.status.code(), Some(3));
        let printed = [rejected.stdout.as_slice(), &rejected.stderr].concat();
        let printed = String::from_utf8_lossy(&printed).into_owned();
        assert!(printed.contains("desk-") || printed.contains("revision_moved"), "{printed}");
    }
    fleet.wait_in_force();
    let status: Value = serde_json::from_slice(&fleet.ctl(&["status", "--json"]).stdout).unwrap();
    let hashes: Vec<_> = status.as_array().unwrap().iter().map(|d| d["hash"].clone()).collect();
    assert!(hashes.windows(2).all(|w| w[0] == w[1]), "{hashes:?}");
    check_offsets_never_decrease(&fleet);
}

/// A publication succeeds and is applied once although the log service loses the response of
/// every append.
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

/// A daemon that starts after the first records of the stream have expired loads a snapshot and
/// reaches the same state as the others. Without a snapshot it could not serve.
#[test]
fn snapshots_outlive_retention() {
    let mut fleet = fleet();
    for share in 1..=25 {
        fleet.publish(&Objects::default().rollout("up", "slip", "slip-2", share));
    }
    // The records that are retained must span more than one snapshot interval.
    wait_until("the newest snapshot is less than one snapshot interval old", || {
        let snapshots = fleet.log.records("config-snapshots");
        let newest = snapshots.last().map(|(_, raw)| raw.clone()).unwrap_or_default();
        let value: Value = serde_json::from_str(&newest).unwrap_or_default();
        value["config"]["offset"]
            .as_u64()
            .is_some_and(|covered| covered + 10 > newest_offset(&fleet))
    });
    fleet.log.set(|faults| faults.retain = 12);
    fleet.publish(&Objects::default().rollout("up", "slip", "slip-2", 100));
    fleet.log.set(|faults| faults.retain = 100_000);
    let newest = newest_offset(&fleet);
    fleet.process("entry-1").kill();
    // While gpu-1 is paused it can't send the configuration; the snapshot must suffice.
    fleet.process("gpu-1").freeze();
    fleet.restart("entry-1");
    wait_until("the restarted entry has the newest configuration in force", || {
        offsets_in_force(&fleet, "entry-1").last() == Some(&newest)
    });
    fleet.process("gpu-1").thaw();
    fleet.wait_in_force();
    let status: Value = serde_json::from_slice(&fleet.ctl(&["status", "--json"]).stdout).unwrap();
    let hashes: Vec<_> = status.as_array().unwrap().iter().map(|d| d["hash"].clone()).collect();
    assert!(hashes.windows(2).all(|w| w[0] == w[1]), "{hashes:?}");
}

fn newest_offset(fleet: &Fleet) -> u64 {
    fleet.log.records("config").last().map_or(0, |(offset, _)| *offset)
}

/// A daemon without a connection to the log gets changes from its peers. A daemon that was paused
/// during several changes catches up to the newest one and never puts an older one in force.
#[test]
fn cut_off_and_back() {
    let fleet = fleet();
    fleet.set_log_cut("entry-1", true);
    fleet.set_log_cut("gpu-1", true);
    fleet.publish(&Objects::default().rollout("up", "slip", "slip-2", 10));
    fleet.wait_in_force();
    fleet.process("entry-1").freeze();
    for share in [20, 30, 40] {
        fleet.publish(&Objects::default().rollout("up", "slip", "slip-2", share));
    }
    fleet.process("entry-1").thaw();
    fleet.wait_in_force();
    check_offsets_never_decrease(&fleet);
}

/// All daemons skip the same truncated records and records of an unknown type, and continue to
/// serve.
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

/// A daemon that starts during an outage of the log service gets the configuration from a peer.
/// Without log service and peers it is not ready, and refuses requests as not run with `no_config`.
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
