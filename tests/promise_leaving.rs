//! A backend server that is leaving receives no new requests after a few seconds.

mod common;

use std::time::Duration;

use common::checks::runs_after;
use common::traffic::{Traffic, now_us};
use common::{builder, engine, objects};
use redwingfold_standins::fleet::{Ask, Fleet, wait_until};

fn fleet() -> Fleet {
    builder()
        .entries(2)
        .engine("gpu-1", engine(&["slip-1"]))
        .engine("gpu-2", engine(&["slip-1"]))
        .start(&objects())
}

fn traffic(fleet: &Fleet) -> Traffic {
    Traffic::start(vec![fleet.caller(0), fleet.caller(1)], 6, |n| {
        Ask::chat("ani", "slip", &format!("slip {n}"))
    })
}

/// No request fails when the host list reports a host as leaving. Its side keeps running, but both
/// entries stop sending requests to it once they have read the list.
#[test]
fn host_list_says_so() {
    let fleet = fleet();
    let traffic = traffic(&fleet);
    traffic.wait_for(50);
    fleet.hosts.update(Duration::from_millis(300), |hosts| {
        hosts
            .iter_mut()
            .filter(|h| h.host == "gpu-1")
            .for_each(|h| "leaving".clone_into(&mut h.state));
    });
    wait_until("both entries have read the host list", || {
        ["entry-0", "entry-1"].iter().all(|h| fleet.process(h).count("hosts_changed") > 1)
    });
    // Requests that were assigned to the host before the list was read are still in flight.
    traffic.wait_for(20);
    let since_us = now_us();
    traffic.wait_for(100);
    let calls = traffic.stop();
    let events = fleet.engines["gpu-1"].history.events();
    assert_eq!(runs_after(&events, "slip-1", since_us), Vec::<String>::new());
    assert!(calls.iter().all(|c| c.answered.status == 200));
}

/// A side that receives SIGTERM announces it on its connections, long before the host list does. It
/// refuses requests from entries that have not received the announcement, and no request fails.
#[test]
fn side_says_so_itself() {
    let fleet = fleet();
    let traffic = traffic(&fleet);
    traffic.wait_for(50);
    fleet.process("gpu-1").term();
    let draining_line =
        fleet.process("gpu-1").wait_for_line("event=draining", Duration::from_secs(30));
    draining_line.expect("the side logs that it drains");
    let since_us = now_us();
    traffic.wait_for(100);
    let calls = traffic.stop();
    // Requests that were admitted before the drain began may still start at the engine.
    let events = fleet.engines["gpu-1"].history.events();
    let late_runs = runs_after(&events, "slip-1", since_us);
    assert!(
        late_runs.len() <= 6,
        "more than one request in flight per caller thread: {late_runs:?}"
    );
    assert!(calls.iter().all(|c| c.answered.status == 200));
}

/// An entry removes a host that is no longer listed: requests must not be sent on a connection that
/// is no longer monitored. Streams in flight from that host run to their end.
#[test]
fn a_host_that_is_listed_no_more_is_let_go() {
    let fleet = fleet();
    let sides = || fleet.daemon_status("entry-0")["sides"].to_string();
    assert!(sides().contains("gpu-1"));
    let caller = fleet.caller(0);
    let streams: Vec<_> = (0..6)
        .map(|n| {
            let ask = Ask::chat("ani", "slip", &format!("long {n}")).stream(600);
            std::thread::spawn(move || caller.send_blocking(&ask))
        })
        .collect();
    wait_until("a stream runs at gpu-1", || {
        !fleet.engines["gpu-1"].history.events_named("run").is_empty()
    });
    fleet.hosts.update(Duration::ZERO, |hosts| hosts.retain(|h| h.host != "gpu-1"));
    wait_until("the entry has removed gpu-1", || !sides().contains("gpu-1"));
    for stream in streams {
        assert!(stream.join().expect("caller").is_complete_stream());
    }
    fleet.list_hosts(Duration::ZERO);
    wait_until("the entry has added gpu-1 again", || sides().contains("gpu-1"));
}
