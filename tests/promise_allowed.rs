//! A request runs only on a model and version that its customer is granted.

mod common;

use std::ops::Range;

use common::checks::{false_not_run, wrong_answers};
use common::traffic::{Call, Traffic, now_us};
use common::{builder, engine, objects};
use redwingfold_standins::Event;
use redwingfold_standins::fleet::{Ask, Fleet, Objects, wait_until};

fn fleet() -> Fleet {
    builder()
        .entries(2)
        .engine("gpu-1", engine(&["slip-1", "slip-2"]))
        .engine("gpu-2", engine(&["slip-1", "slip-2"]))
        .start(&objects())
}

/// Revokes the grant of `haus` and returns the offset of the change.
fn revoke_grant(fleet: &Fleet) -> u64 {
    fleet.publish(&Objects::default().grant("all", "org=ani", "model=slip"));
    fleet.log.records("config").last().map_or(0, |(offset, _)| *offset)
}

fn wait_for_offset(fleet: &Fleet, hosts: &[&str], offset: u64) {
    let text = format!("config_in_force offset={offset}");
    wait_until("the hosts have the change in force", || {
        hosts.iter().all(|h| fleet.process(h).count(&text) > 0)
    });
}

/// Returns the ids of requests of `haus` whose runs began within a time span, in microseconds since
/// 1970.
fn runs_of_haus(fleet: &Fleet, calls: &[Call], span: Range<u64>) -> Vec<String> {
    let of_haus: Vec<_> = calls
        .iter()
        .filter(|c| c.request_header("authorization").is_some_and(|v| v.ends_with("haus")))
        .filter_map(|c| c.answered.header("x-request-id"))
        .collect();
    let events = fleet.engines.values().flat_map(|e| e.history.events());
    let is_in_span = |e: &Event| {
        e.what == "run" && span.contains(&e.at_us) && of_haus.contains(&e.request.as_str())
    };
    events.filter(is_in_span).map(|e| e.request).collect()
}

fn traffic(fleet: &Fleet) -> Traffic {
    Traffic::start(vec![fleet.caller(0), fleet.caller(1)], 6, |n| {
        let customer = if n.is_multiple_of(3) { "ani" } else { "haus" };
        Ask::chat(customer, "slip", &format!("slip {n}"))
    })
}

fn check(fleet: &Fleet, calls: &[Call], applied_at_us: u64) {
    assert_eq!(runs_of_haus(fleet, calls, applied_at_us..u64::MAX), Vec::<String>::new());
    let events: Vec<_> = fleet.engines.values().flat_map(|e| e.history.events()).collect();
    assert_eq!(false_not_run(calls, &events), Vec::<String>::new());
    assert_eq!(wrong_answers(calls), Vec::<String>::new());
    let is_denied = |c: &&Call| c.answered.error_code().0 == "not_allowed";
    assert!(calls.iter().any(|c| is_denied(&c)), "no request was refused as not allowed");
    let of_ani = calls
        .iter()
        .filter(|c| c.request_header("authorization").is_some_and(|v| v.ends_with("ani")));
    assert!(of_ani.clone().all(|c| c.answered.status == 200), "a request of ani was refused");
}

/// Requests of `haus` are refused after its grant was revoked, also at an entry that was paused
/// during the change and resumes with requests in flight: the sides have the newer configuration
/// and refuse what the entry forwards. The grant is restored and revoked several times, since the
/// resumed entry may receive the change before it handles its requests.
#[test]
fn stale_entry() {
    let fleet = fleet();
    let traffic = traffic(&fleet);
    traffic.wait_for(50);
    let mut spans = Vec::new();
    for _ in 0..5 {
        fleet.process("entry-1").freeze();
        let offset = revoke_grant(&fleet);
        wait_for_offset(&fleet, &["entry-0", "gpu-1", "gpu-2"], offset);
        let applied_at_us = now_us();
        fleet.process("entry-1").thaw();
        traffic.wait_for(50);
        spans.push(applied_at_us..now_us());
        fleet.publish(&objects());
        fleet.wait_in_force();
        traffic.wait_for(20);
    }
    let calls = traffic.stop();
    for span in spans {
        assert_eq!(runs_of_haus(&fleet, &calls, span), Vec::<String>::new());
    }
    check(&fleet, &calls, u64::MAX);
}

/// Requests of `haus` are refused when the sides were paused during the change. The entries have it
/// and refuse the requests themselves, and a side that is sent a newer offset than its own waits
/// for that configuration before it decides.
#[test]
fn stale_sides() {
    let fleet = fleet();
    let traffic = traffic(&fleet);
    traffic.wait_for(50);
    fleet.process("gpu-1").freeze();
    fleet.process("gpu-2").freeze();
    let offset = revoke_grant(&fleet);
    wait_for_offset(&fleet, &["entry-0", "entry-1"], offset);
    let applied_at_us = now_us();
    // Requests that were sent before the change may still run, as they were allowed when the entry
    // decided. Only requests that were sent later are checked.
    fleet.process("gpu-1").thaw();
    fleet.process("gpu-2").thaw();
    traffic.wait_for(50);
    let calls = traffic.stop();
    let later: Vec<_> = calls.into_iter().filter(|c| c.sent_us > applied_at_us).collect();
    check(&fleet, &later, applied_at_us);
}

/// Requests of `haus` are refused when one entry and both sides were paused during the change.
/// After they resume they get it from the log and from each other.
#[test]
fn stale_entry_and_sides_together() {
    let fleet = fleet();
    let traffic = traffic(&fleet);
    traffic.wait_for(50);
    for host in ["entry-1", "gpu-1", "gpu-2"] {
        fleet.process(host).freeze();
    }
    let offset = revoke_grant(&fleet);
    wait_for_offset(&fleet, &["entry-0"], offset);
    for host in ["gpu-1", "gpu-2", "entry-1"] {
        fleet.process(host).thaw();
    }
    wait_for_offset(&fleet, &["entry-1", "gpu-1", "gpu-2"], offset);
    let applied_at_us = now_us();
    traffic.wait_for(50);
    let calls = traffic.stop();
    let later: Vec<_> = calls.into_iter().filter(|c| c.sent_us > applied_at_us).collect();
    check(&fleet, &later, applied_at_us);
}
