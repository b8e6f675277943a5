//! Load orders to engines: they are fenced, limited in number, and resumed after an interruption.

mod common;

use std::collections::BTreeMap;

use common::{builder, engine, objects};
use redwingfold_standins::fleet::{Ask, Fleet, Objects, wait_until};
use redwingfold_standins::{EngineSettings, Event};
use serde_json::json;

const HOSTS: [&str; 4] = ["gpu-1", "gpu-2", "gpu-3", "gpu-4"];

fn fleet(engine_settings: &EngineSettings) -> Fleet {
    let orders = json!({"every_ms": 100, "weight_store": true});
    let mut builder = builder().settings("side", "orders", orders);
    for host in HOSTS {
        builder = builder.engine(host, engine_settings.clone());
    }
    let fleet = builder.start(&objects());
    fleet.weights.set_rate(600);
    fleet
}

fn place(fleet: &Fleet, versions: &[&str]) {
    place_on(fleet, "host in (gpu-1|gpu-2|gpu-3|gpu-4)", versions);
}

fn place_on(fleet: &Fleet, hosts: &str, versions: &[&str]) {
    fleet.publish(&Objects::default().placement("slips", hosts, versions, 250));
}

fn all_have_loaded(fleet: &Fleet, versions: &[&str]) -> bool {
    fleet.engines.values().all(|e| {
        let mut loaded = e.versions();
        loaded.sort();
        loaded == versions
    })
}

/// A host's request in the log to load a version.
#[derive(Debug, Default)]
struct LoadRequest {
    id: String,
    has_ended: bool,
}

/// Returns the newest load request that a side of a host has appended, and whether its end is in
/// the log. Only the loads of slip-2 and slip-3 are searched.
fn last_load_request(fleet: &Fleet, host: &str) -> LoadRequest {
    let streams = ["loads-slip-2", "loads-slip-3"];
    let records = streams.iter().flat_map(|stream| fleet.log.records(stream));
    let mut load_request = LoadRequest::default();
    for (_, record) in records {
        let record: serde_json::Value = serde_json::from_str(&record).expect("JSON");
        let id = record["id"].as_str().expect("an id");
        match record["type"].as_str() {
            Some("begin") if record["host"] == host => {
                load_request = LoadRequest { id: id.to_owned(), has_ended: false }
            }
            Some("end") if id == load_request.id => load_request.has_ended = true,
            _ => {}
        }
    }
    load_request
}

/// Returns the largest number of engines that were loading at the same time. An engine goes on
/// loading when its side is killed and gets a second order from the restarted side; it counts once.
fn max_concurrent_loads(fleet: &Fleet) -> usize {
    let events_of_engine = |(host, engine): (&String, &redwingfold_standins::Engine)| {
        let events = engine.history.events().into_iter();
        events.map(|e| (host.clone(), e)).collect::<Vec<_>>()
    };
    let mut events: Vec<_> = fleet.engines.iter().flat_map(events_of_engine).collect();
    events.retain(|(_, e)| e.what == "order" || e.what == "loaded");
    events.sort_by_key(|(_, e)| e.at_us);
    let mut loading = BTreeMap::<String, i32>::new();
    let mut max_loading = 0;
    for (host, event) in events {
        *loading.entry(host).or_default() += if event.what == "order" { 1 } else { -1 };
        max_loading = max_loading.max(loading.values().filter(|n| **n > 0).count());
    }
    max_loading
}

/// A placement on four hosts is loaded on one host after the other, since only a quarter of them
/// may load at the same time, and requests are served meanwhile. A side that is killed during a
/// load and restarted continues from what its engine reports as loaded.
#[test]
fn placements_are_loaded_in_turn_and_taken_up_again() {
    let slow = EngineSettings { load_ms: 200, ..engine(&["slip-1"]) };
    let mut fleet = fleet(&slow);
    place(&fleet, &["slip-1", "slip-2"]);
    let has_order = |host: &str| !fleet.engines[host].history.events_named("order").is_empty();
    wait_until("a load has been ordered", || HOSTS.iter().any(|h| has_order(h)));
    let loading = HOSTS.into_iter().find(|h| has_order(h)).expect("one");
    fleet.process(loading).kill();
    fleet.restart(loading);
    let served = fleet.caller(0).send_blocking(&Ask::chat("ani", "slip", "one"));
    assert_eq!(served.status, 200, "{}", served.text());
    wait_until("all engines have the placed versions", || {
        all_have_loaded(&fleet, &["slip-1", "slip-2"])
    });
    assert_eq!(max_concurrent_loads(&fleet), 1);
    let granted = fleet.weights.history.events_named("load").len();
    assert!(granted >= HOSTS.len(), "{granted} loads were granted by the weight store");
    // A version that is no longer placed is unloaded; an unload needs no load request.
    place(&fleet, &["slip-2"]);
    wait_until("all engines have only slip-2", || all_have_loaded(&fleet, &["slip-2"]));
}

/// The other hosts can load although a side was killed during a load and its engine finished
/// without it. The restarted side has nothing to load and ends the load request of its predecessor.
#[test]
fn turn_of_a_killed_side_is_given_back() {
    let slow = EngineSettings { load_ms: 100, ..engine(&["slip-1"]) };
    let mut fleet = fleet(&slow);
    place(&fleet, &["slip-1", "slip-2"]);
    let count_events =
        |host: &str, what: &str| fleet.engines[host].history.events_named(what).len();
    wait_until("a load has been ordered", || HOSTS.iter().any(|h| count_events(h, "order") > 0));
    let loading = HOSTS.into_iter().find(|h| count_events(h, "order") > 0).expect("one");
    fleet.process(loading).kill();
    wait_until("the engine has finished the load without its side", || {
        count_events(loading, "loaded") > 0
    });
    fleet.restart(loading);
    wait_until("all engines have the placed versions", || {
        all_have_loaded(&fleet, &["slip-1", "slip-2"])
    });
}

/// A side that was paused while another replaced it resumes, requests a load and then finds that it
/// was superseded. If it did not end that request, no other host could load the version until the
/// request expires.
#[test]
fn an_old_side_that_wakes_gives_its_turn_back() {
    let mut fleet = fleet(&engine(&["slip-1"]));
    fleet.publish(&Objects::default().version("slip-3", "slip", 300, 990));
    // The side sends orders before it is paused, so that it holds a fencing token.
    for versions in [&["slip-1", "slip-2"][..], &["slip-1"]] {
        place(&fleet, versions);
        wait_until("all engines have the placed versions", || all_have_loaded(&fleet, versions));
    }
    fleet.process("gpu-1").freeze();
    let old_side = fleet.replace("gpu-1");
    place(&fleet, &["slip-1", "slip-2"]);
    wait_until("the new side has loaded slip-2 and ended its load request", || {
        all_have_loaded(&fleet, &["slip-1", "slip-2"])
            && last_load_request(&fleet, "gpu-1").has_ended
    });
    // A running new side would take over the load request of the old one.
    fleet.process("gpu-1").freeze();
    let before = last_load_request(&fleet, "gpu-1");
    place_on(&fleet, "host=gpu-1", &["slip-1", "slip-2", "slip-3"]);
    old_side.thaw();
    wait_until("the old side stops giving orders", || {
        old_side.count("event=orders_superseded") > 0
    });
    let load_request = last_load_request(&fleet, "gpu-1");
    assert_ne!(load_request.id, before.id, "the old side has requested no load");
    assert!(load_request.has_ended);
}

/// A side that was paused while another replaced it sends no order after it resumes, neither to an
/// engine that checks the fencing token nor to one that ignores it.
#[test]
fn an_old_side_that_wakes_gives_no_order() {
    for fencing in [true, false] {
        let settings = EngineSettings { fencing, ..engine(&["slip-1"]) };
        let mut fleet = fleet(&settings);
        place(&fleet, &["slip-1", "slip-2"]);
        wait_until("all engines have the placed versions", || {
            all_have_loaded(&fleet, &["slip-1", "slip-2"])
        });
        fleet.process("gpu-1").freeze();
        let old_side = fleet.replace("gpu-1");
        place(&fleet, &["slip-2"]);
        wait_until("the new side has unloaded slip-1", || all_have_loaded(&fleet, &["slip-2"]));
        let orders =
            |what: &str| -> Vec<Event> { fleet.engines["gpu-1"].history.events_named(what) };
        let newest = orders("order").last().expect("an order").request.clone();
        let order_count = orders("order").len();
        old_side.thaw();
        // The old side acts if its engine deviates from the placement. The new side may have
        // carried out a placement before the old one compares, so the placement changes until the
        // old side acts.
        let mut with_both = false;
        wait_until("the old side stops giving orders", || {
            with_both = !with_both;
            let versions: &[&str] = if with_both { &["slip-1", "slip-2"] } else { &["slip-2"] };
            place(&fleet, versions);
            wait_until("the new side has carried out the placement", || {
                all_have_loaded(&fleet, versions)
            });
            old_side.count("event=orders_superseded") > 0
        });
        let later = &orders("order")[order_count..];
        assert!(later.iter().all(|e| e.request == newest), "fencing {fencing}: {later:?}");
        assert!(
            orders("order_refused").is_empty(),
            "the old side ordered before it read in the log that it was superseded"
        );
    }
}
