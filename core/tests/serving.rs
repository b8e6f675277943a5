//! Decisions of a gateway, each under the load or the failure that it is designed for.

use std::collections::{BTreeMap, HashMap};

use redwingfold_core::{
    AllowedRegions, BackendId, BackendServer, CallLimits, Catalog, Customer, EventId,
    EventSplitter, Fault, HealthPolicy, Idempotency, Incarnation, Millis, PeerLoads, Place,
    PlacementPolicy, Pressure, Priority, PutOutcome, Registry, RegistryPolicy, ResendBudget,
    ResendReason, Route, ServerHealth, ServerState, ServiceName, SizePolicy, Work, place,
};

fn server(id: &str, state: ServerState) -> BackendServer {
    BackendServer {
        id: id.into(),
        service: "models".into(),
        addr: "127.0.0.1:1".parse().unwrap(),
        domain: "hall".parse().unwrap(),
        version: "v1".parse().unwrap(),
        slots: 64,
        state,
        models: Vec::new(),
        incarnation: None,
        cold_left: Millis(0),
    }
}

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: "A.example".to_owned(),
        prefix: prefix.to_owned(),
        idempotency: Idempotency::Idempotent,
        stream: None,
        timeout: None,
        latency_target: Millis(300),
        priority: Priority(1),
        targets: vec![("plain".into(), 9), ("other".into(), 1)],
        max_attempts: 2,
        is_public: false,
        sizes: Vec::new(),
        allowed_regions: AllowedRegions::default(),
    }
}

/// The route with the longest matching prefix is chosen; the case and the port of the host are ignored.
#[test]
fn longest_prefix_decides() {
    let routes = [route("short", "/a/"), route("long", "/a/b/"), route("other", "/c/")];
    let customer = Customer {
        name: "ani".parse().unwrap(),
        priority: None,
        allowed_regions: AllowedRegions::default(),
    };
    let limits = CallLimits::default();
    let catalog = Catalog::new(1, limits, routes, [], [("key".to_owned(), customer)]);
    let name = |path| catalog.route("a.EXAMPLE:80", path).map(|r| r.name.to_string());
    assert_eq!(name("/a/b/c").as_deref(), Some("long"));
    assert_eq!(name("/a/bc").as_deref(), Some("short"));
    assert_eq!(name("/a"), None);
    assert!(catalog.customer("key").is_some() && catalog.customer("KEY").is_none());
}

/// Requests of a route are distributed by weight.
#[test]
fn weights_share_requests_out() {
    let route = route("r", "/");
    let mut rng = fastrand::Rng::with_seed(3);
    let mut counts: HashMap<ServiceName, u32> = HashMap::new();
    for _ in 0..10_000 {
        *counts.entry(route.choose_service(rng.u64(..)).unwrap().clone()).or_default() += 1;
    }
    assert!((850..1_150).contains(&counts[&ServiceName::from("other")]));
}

/// However the bytes are split, the same complete events are emitted, none twice, and an incomplete event is never
/// forwarded.
#[test]
fn events_survive_any_cut() {
    bolero::check!().with_type::<(Vec<u8>, u8)>().for_each(|(cuts, events)| {
        let text: String =
            (0..events % 20).map(|id| format!("id: {id}\r\ndata: {id}\r\n\r\n")).collect();
        let mut splitter = EventSplitter::after(None);
        let (mut from, mut emitted) = (0, Vec::new());
        for cut in cuts {
            let to = (from + usize::from(*cut)).min(text.len());
            emitted.extend(splitter.push(&text.as_bytes()[from..to]).bytes);
            from = to;
        }
        let complete = text[..from].rfind("\r\n\r\n").map_or(0, |at| at + 4);
        assert_eq!(emitted, &text.as_bytes()[..complete]);
        assert_eq!(splitter.has_partial(), complete < from);
        // Another server resumes and repeats the last two events.
        splitter.discard_partial();
        let last = splitter.last();
        let resumed_from = last.map_or(0, |id| id.0.saturating_sub(1));
        let rest: String = (resumed_from..u64::from(events % 20))
            .map(|id| format!("id: {id}\r\ndata: {id}\r\n\r\n"))
            .collect();
        emitted.extend(splitter.push(rest.as_bytes()).bytes);
        assert_eq!(emitted, text.as_bytes());
    });
}

/// Guards against an end of an event that is missed, or found twice, where the search for it is interrupted between pieces.
#[test]
fn events_are_the_same_in_any_pieces() {
    bolero::check!().with_type::<Vec<Vec<u8>>>().for_each(|pieces| {
        let as_text = |byte: &u8| b"\n\n\r\rid: 12"[usize::from(*byte) % 10];
        let pieces: Vec<Vec<u8>> =
            pieces.iter().map(|piece| piece.iter().map(as_text).collect()).collect();
        let (mut whole, mut split) = (EventSplitter::after(None), EventSplitter::after(None));
        let expected = whole.push(&pieces.concat());
        let parts: Vec<_> = pieces.iter().map(|piece| split.push(piece)).collect();
        let bytes: Vec<u8> = parts.iter().flat_map(|part| part.bytes.clone()).collect();
        assert_eq!(bytes, expected.bytes);
        assert_eq!(parts.iter().map(|part| part.count).sum::<usize>(), expected.count);
        assert_eq!((split.last(), split.partial_len()), (whole.last(), whole.partial_len()));
    });
}

/// No input makes the splitter panic or emit more bytes than it received.
#[test]
fn any_bytes_are_events_or_held_back() {
    bolero::check!().with_type::<Vec<Vec<u8>>>().for_each(|pieces| {
        let mut splitter = EventSplitter::after(Some(EventId(3)));
        let emitted: usize = pieces.iter().map(|piece| splitter.push(piece).bytes.len()).sum();
        assert!(emitted <= pieces.iter().map(Vec::len).sum());
    });
}

/// Guards against retries that amplify an overload: in any ten seconds, retries are at most the configured share of the
/// requests plus a fixed allowance. The limit for larger models leaves room for retries after failures.
#[test]
fn budget_holds_in_every_window() {
    const WINDOW: u64 = 10_000;
    for seed in 0..50 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut budget = ResendBudget::new(Millis(WINDOW), 0.8, 0.5, 2.0);
        let (mut requests, mut resends) = (Vec::new(), Vec::new());
        let mut now = 0;
        for _ in 0..4_000 {
            // Bursts and pauses.
            now += if rng.u32(..100) == 0 { rng.u64(..8_000) } else { rng.u64(..10) };
            budget.record_request(Millis(now));
            requests.push(now);
            let reason = if rng.bool() { ResendReason::Failure } else { ResendReason::Quality };
            if budget.try_take(reason, Millis(now)) {
                resends.push(now);
                let is_in_window = |at: &&u64| **at + WINDOW > now;
                let sent = resends.iter().filter(is_in_window).count() as f64;
                // The budget counts one slice more than the window, never less.
                let counted =
                    requests.iter().filter(|at| **at + WINDOW + 1_000 > now).count() as f64;
                assert!(sent <= counted * 0.8 + 2.0, "seed {seed} at {now}: {sent} of {counted}");
            }
        }
    }
}

/// Random histories of a store that fails, loses records and returns, while servers renew their records, drain and
/// leave. A server that was draining never gets new requests; a running one is in the registry two seconds after the
/// return of the store; one that left is not.
#[test]
fn registry_survives_outages() {
    const GRACE: u64 = 2_000;
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut registry = Registry::new(RegistryPolicy { return_grace: Millis(GRACE) });
        // Actual states of the servers.
        let mut running: BTreeMap<String, ServerState> = BTreeMap::new();
        let mut ever_draining: Vec<String> = Vec::new();
        let (mut is_unavailable, mut returned_at) = (false, 0_u64);
        let mut next_id = 0;
        for now in (0..60_000_u64).step_by(250) {
            match rng.u32(..40) {
                0 if !is_unavailable => is_unavailable = true,
                1..=8 if is_unavailable => (is_unavailable, returned_at) = (false, now),
                9 | 10 if running.len() < 6 => {
                    running.insert(format!("s{next_id}"), ServerState::Ready);
                    next_id += 1;
                }
                11 => {
                    if let Some(state) = running.values_mut().next() {
                        *state = ServerState::Draining;
                    }
                }
                12 => {
                    running.pop_first();
                }
                _ => {}
            }
            if is_unavailable {
                registry.record_outage(Millis(now));
                registry.expire(Millis(now));
                continue;
            }
            // Expired records are registered again one after the other within the grace period.
            let is_registered_again =
                |i: usize| now >= returned_at + (i as u64 + 1) * 300 || returned_at == 0;
            let listed: Vec<_> = running
                .iter()
                .enumerate()
                .filter(|(i, _)| is_registered_again(*i))
                .map(|(_, (id, state))| server(id, *state))
                .collect();
            for server in &listed {
                if server.state == ServerState::Draining {
                    ever_draining.push(server.id.to_string());
                }
            }
            registry.replace(listed, Millis(now));
            registry.expire(Millis(now));
            for registered in registry.servers(Millis(now)) {
                let was_draining = ever_draining.iter().any(|id| *id == registered.id.as_str());
                assert!(
                    !(was_draining && registered.state == ServerState::Ready),
                    "seed {seed} at {now}: {} is ready again after it was draining",
                    registered.id
                );
            }
            if now > returned_at + GRACE + 250 {
                let registered: Vec<_> =
                    registry.servers(Millis(now)).map(|s| s.id.to_string()).collect();
                assert_eq!(registered.len(), running.len(), "seed {seed} at {now}");
                assert!(running.keys().all(|id| registered.contains(id)), "seed {seed} at {now}");
            }
        }
    }
}

/// Guards against the removal of a running server at the end of the grace period: its record expired while the store
/// was unavailable and is registered again unchanged.
#[test]
fn returned_record_ends_the_grace() {
    let mut registry = Registry::default();
    registry.put(server("a", ServerState::Ready), Millis(0));
    registry.record_outage(Millis(1_000));
    registry.remove(&BackendId::from("a"), Millis(1_500));
    assert!(!registry.is_up_to_date(&server("a", ServerState::Ready), Millis(9_000)));
    registry.put(server("a", ServerState::Ready), Millis(0));
    assert!(registry.expire(Millis(9_000)).is_empty());
    assert!(registry.is_up_to_date(&server("a", ServerState::Ready), Millis(9_000)));
}

/// Guards against a server that has left and gets requests again. The store is restored from a copy that lists it, and
/// a gateway that has just started sends the list of the copy around. The server is accepted only with its next
/// heartbeat.
#[test]
fn server_that_has_left_does_not_come_back_with_a_copy_that_is_passed_on() {
    let mut registry = Registry::default();
    let listed = || vec![server("left", ServerState::Ready), server("stays", ServerState::Ready)];
    registry.replace(listed(), Millis(0));
    registry.remove(&BackendId::from("left"), Millis(1_000));
    registry.replace_by_restored(listed(), Millis(2_000));
    registry.replace(listed(), Millis(2_400));
    assert_eq!(registry.servers(Millis(2_400)).count(), 1);
    registry.put(server("left", ServerState::Ready), Millis(3_000));
    assert_eq!(registry.servers(Millis(3_000)).count(), 2);
    registry.remove(&BackendId::from("left"), Millis(20_000));
    registry.replace(listed(), Millis(21_000));
    assert_eq!(registry.servers(Millis(21_000)).count(), 2);
}

/// A server announces the remaining cold time in its record, and later in answers. A record that was written before, or
/// a later read of the same time, changes nothing; a longer time does.
#[test]
fn server_stays_cold_as_long_as_it_ever_said() {
    let cold = |left| BackendServer { cold_left: Millis(left), ..server("a", ServerState::Ready) };
    let (id, mut registry) = (BackendId::from("a"), Registry::default());
    registry.put(cold(3_000), Millis(1_000));
    assert_eq!(registry.cold_left(&id, Millis(1_500)), Millis(2_500));
    assert!(
        registry.is_up_to_date(&cold(1_800), Millis(2_300))
            && registry.is_up_to_date(&cold(0), Millis(2_300))
    );
    assert!(!registry.is_up_to_date(&cold(3_000), Millis(2_300)));
    registry.set_cold(&id, Millis(3_000), Millis(2_300));
    registry.put(cold(0), Millis(2_400));
    assert_eq!(registry.cold_left(&id, Millis(2_400)), Millis(2_900));
    assert!(registry.has_cold(Millis(5_299)) && !registry.has_cold(Millis(5_300)));
}

/// A server that fails two in five of its answers while its health checks pass is excluded within about twenty answers.
/// One that fails one in seven, a rate that the requests themselves can cause on any server, is almost never excluded.
#[test]
fn failing_server_is_told_from_failing_calls() {
    let policy = HealthPolicy::default();
    let ejected_share = |rate: f64| {
        let mut rng = fastrand::Rng::with_seed(11);
        let mut health = ServerHealth::default();
        let mut ejected_checks = 0;
        for ms in (0..120_000).step_by(50) {
            match health.is_ejected(Millis(ms)) {
                true => ejected_checks += 1,
                false if rng.f64() < rate => {
                    health.record_failure(Fault::Answered, &policy, Millis(ms));
                }
                false => health.record_success(),
            }
        }
        f64::from(ejected_checks) / 2_400.0
    };
    let (failing, usual) = (ejected_share(0.4), ejected_share(0.14));
    assert!(failing > 0.5 && usual < 0.05, "{failing} {usual}");
}

fn places(n: usize) -> Vec<Place> {
    (0..n)
        .map(|i| Place {
            id: format!("s{i}").as_str().into(),
            running: 0.0,
            waiting: 0.0,
            prefill_wait: Millis(0),
            slots: 64,
            is_ejected: false,
        })
        .collect()
}

/// Load pattern: one prompt in fifty takes two seconds of prefill, all others thirty milliseconds, at 70% of the
/// capacity of the servers, which read one prompt after the other. Placed by the number of requests, one short prompt
/// in ten waits behind a long one; placed by backlog, few do.
#[test]
fn short_prompts_do_not_wait_behind_long_ones() {
    let p99 = |by_time: bool| {
        let mut rng = fastrand::Rng::with_seed(5);
        let policy = PlacementPolicy::default();
        let mut free_at = vec![0_u64; 12];
        let mut waits = Vec::new();
        for n in 0..20_000_u64 {
            let now = n * 8;
            let mut places = places(12);
            for (place, free) in places.iter_mut().zip(&free_at) {
                let backlog_ms = free.saturating_sub(now);
                match by_time {
                    true => place.prefill_wait = Millis(backlog_ms),
                    false => place.running = f64::from(u8::from(backlog_ms > 0)),
                }
            }
            let chosen = place(&places, Work::default(), &policy, |k| rng.usize(..k)).unwrap();
            let i = places.iter().position(|p| p.id == chosen.id).unwrap();
            let prefill_ms = if rng.u32(..50) == 0 { 2_000 } else { 30 };
            let start = free_at[i].max(now);
            free_at[i] = start + prefill_ms;
            if prefill_ms == 30 {
                waits.push(start - now);
            }
        }
        waits.sort_unstable();
        waits[waits.len() * 99 / 100]
    };
    let (by_count, by_time) = (p99(false), p99(true));
    assert!(by_time * 5 / 2 < by_count, "{by_time} ms against {by_count} ms");
}

/// Requests with the same shared prompt go to one server while it is idle and spread when it is loaded, and only the
/// prompts of a server that leaves move.
#[test]
fn shared_prompts_meet_and_spread() {
    let policy = PlacementPolicy::default();
    let work =
        |prompt| Work { shared_prompt: Some(prompt), shared: Millis(60), shared_tokens: 5_000 };
    let idle = places(12);
    let choose =
        |places: &[Place], prompt| place(places, work(prompt), &policy, |_| 0).unwrap().id.clone();
    let chosen: Vec<_> = (0..300).map(|prompt| choose(&idle, prompt)).collect();
    let remaining: Vec<_> = idle[1..].to_vec();
    let moved = (0..300).filter(|p| chosen[*p as usize] != choose(&remaining, *p)).count();
    let on_removed = chosen.iter().filter(|id| **id == idle[0].id).count();
    assert_eq!(moved, on_removed);
    let mut loaded = places(12);
    let at = loaded.iter().position(|p| p.id == chosen[0]).unwrap();
    loaded[at].prefill_wait = Millis(2_000);
    assert_ne!(choose(&loaded, 0), chosen[0]);
}

/// Load pattern: a third of the engines leaves. As the latency of first sends rises, the required confidence falls; it
/// recovers with the latency and never exceeds its setting.
#[test]
fn bar_of_confidence_follows_the_pressure() {
    let policy = SizePolicy::default();
    let mut pressure = Pressure::default();
    let mut required = Vec::new();
    for latency_ms in [50, 600, 50] {
        (0..60).for_each(|_| pressure.record(Millis(latency_ms), Millis(1_000)));
        required.push(policy.min_confidence_at(pressure.value()));
    }
    assert!(
        required[0] == policy.min_confidence && required[1] == 0.0 && required[2] > 45.0,
        "{required:?}"
    );
}

/// The prompts of other gateways count until the server has read them, without a message about it.
#[test]
fn backlog_of_others_runs_off() {
    let mut peers = PeerLoads::default();
    let mut rng = fastrand::Rng::with_seed(9);
    let (mut expected, mut now) = (0_u64, 0_u64);
    for _ in 0..1_000 {
        let elapsed = rng.u64(..200);
        (now, expected) = (now + elapsed, expected.saturating_sub(elapsed));
        let prefill = rng.u64(..300);
        peers.record_sent(1, Millis(prefill), Millis(now));
        expected += prefill;
        assert_eq!(peers.backlog(1, Millis(now)), Millis(expected));
    }
}

/// Guards against a server that is never used again because it was draining before it restarted under the same id. A
/// late heartbeat of the earlier process must not restore its state.
#[test]
fn later_start_ends_what_was_believed() {
    let start = |incarnation, state| BackendServer {
        incarnation: Some(Incarnation(incarnation)),
        ..server("a", state)
    };
    let state = |registry: &Registry| registry.servers(Millis(0)).next().map(|s| s.state);
    let mut registry = Registry::default();
    assert_eq!(registry.put(start(1, ServerState::Ready), Millis(0)), PutOutcome::Applied);
    assert_eq!(registry.put(start(1, ServerState::Draining), Millis(0)), PutOutcome::Applied);
    assert_eq!(registry.put(start(1, ServerState::Ready), Millis(0)), PutOutcome::Applied);
    assert_eq!(state(&registry), Some(ServerState::Draining));
    assert_eq!(registry.put(start(2, ServerState::Ready), Millis(0)), PutOutcome::Restarted);
    assert_eq!(registry.put(start(1, ServerState::Draining), Millis(0)), PutOutcome::Stale);
    assert_eq!(state(&registry), Some(ServerState::Ready));
    let list = vec![start(3, ServerState::Ready), server("b", ServerState::Ready)];
    assert_eq!(registry.replace(list, Millis(0)), vec![BackendId::from("a")]);
}

/// With thousands of routes, some of which differ only in their ending, the longest matching prefix is chosen. This
/// includes paths of only slashes and paths without the trailing slash of the prefix; of two routes with the same
/// prefix the first is used.
#[test]
fn longest_prefix_decides_among_thousands() {
    let mut rng = fastrand::Rng::with_seed(11);
    let part = |rng: &mut fastrand::Rng| format!("{}/", ["a", "b", "ab", "ba"][rng.usize(..4)]);
    let path = |rng: &mut fastrand::Rng, parts: usize| -> String {
        (0..parts).fold("/".to_owned(), |path, _| path + &part(rng))
    };
    let prefixes: Vec<String> = (0..4_000)
        .map(|_| {
            let parts = rng.usize(..7);
            path(&mut rng, parts)
        })
        .collect();
    let routes = prefixes.iter().enumerate().map(|(n, prefix)| route(&n.to_string(), prefix));
    let catalog = Catalog::new(1, CallLimits::default(), routes, [], []);
    for _ in 0..2_000 {
        let parts = rng.usize(..10);
        let mut requested = path(&mut rng, parts);
        if rng.bool() {
            requested.pop();
        }
        let matching =
            prefixes.iter().enumerate().filter(|(_, p)| requested.starts_with(p.as_str()));
        let longest = matching.rev().max_by_key(|(_, prefix)| prefix.len());
        let found = catalog.route("a.example", &requested).map(|route| route.name.to_string());
        assert_eq!(found, longest.map(|(n, _)| n.to_string()), "{requested}");
    }
    assert_eq!(
        catalog.route("a.example", &"/".repeat(9_000)).is_some(),
        prefixes.contains(&"/".to_owned())
    );
}
