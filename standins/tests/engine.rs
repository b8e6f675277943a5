//! The test double of the engine behaves as docs/PLATFORM.md describes.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use redwingfold_http::{CallTimeout, Client, Method};
use redwingfold_standins::fleet::{Ask, Caller, wait_until};
use redwingfold_standins::{Engine, EngineSettings, answer_text};
use serde_json::{Value, json};

fn any() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

fn ask(request: &str, prompt: &str) -> Ask {
    let id = format!("{request:0>32}");
    Ask::chat("", "slip-1", prompt).header("x-request-id", &id)
}

fn get(engine: &Engine, target: &str) -> Value {
    let call = Client::default();
    let call = call.call(
        Method::Get,
        engine.addr,
        target,
        None,
        CallTimeout::Total(Duration::from_secs(5)),
        1 << 20,
    );
    smol::block_on(call).expect("an answer").json().expect("JSON")
}

/// With one slot, an urgent request that arrived last runs before the other waiting requests.
#[test]
fn priorities_are_honoured() {
    let settings = EngineSettings { slots: 1, token_ms: 20, ..EngineSettings::default() };
    let engine = Engine::start(any(), settings).expect("engine");
    let caller = Caller { addr: engine.addr };
    let send = |request: &'static str, priority: u8| {
        let ask = ask(request, "p").field("priority", json!(priority));
        std::thread::spawn(move || caller.send_blocking(&ask))
    };
    let mut threads = vec![send("first", 5)];
    wait_until("it runs", || {
        get(&engine, "/v1/load")["slots"] == 1 && engine.history.events_named("run").len() == 1
    });
    threads.push(send("late", 9));
    wait_until("it waits", || engine.history.events_named("run").len() == 2);
    threads.push(send("urgent", 0));
    for thread in threads {
        assert_eq!(thread.join().expect("caller").status, 200);
    }
    let ends: Vec<_> = engine.history.events_named("end").into_iter().map(|e| e.request).collect();
    let order: Vec<_> = ends.iter().map(|id| id.trim_start_matches('0')).collect();
    assert_eq!(order, ["first", "urgent", "late"]);
}

/// An interrupted stream resumes from a token, and both parts together are the complete answer.
#[test]
fn broken_streams_are_resumed() {
    let engine = Engine::start(any(), EngineSettings::default()).expect("engine");
    let caller = Caller { addr: engine.addr };
    engine.set(|faults| faults.die_after = Some(3));
    let broken = caller.send_blocking(&ask("r1", "p").stream(8));
    assert!(!broken.is_complete_stream());
    engine.set(|faults| faults.die_after = None);
    let id = format!("{:0>32}", "r1");
    let body = json!({"request_id": id, "from_token": 3}).to_string();
    let rest = caller.send_blocking(&Ask::new(Method::Post, "/v1/resume", "").body(body));
    assert!(rest.is_complete_stream(), "{}", rest.text());
    assert_eq!(broken.content() + &rest.content(), answer_text("slip-1", &id, "p", 8));
}

/// Cache events are published with a lag, and lost events leave gaps in their numbers.
#[test]
fn cache_events_come_late_and_with_gaps() {
    let settings =
        EngineSettings { cache: 2, report_lag: Duration::ZERO, ..EngineSettings::default() };
    let engine = Engine::start(any(), settings).expect("engine");
    engine.set(|faults| faults.lose_events = 500);
    let caller = Caller { addr: engine.addr };
    for n in 0..40 {
        let answered =
            caller.send_blocking(&ask("r", &format!("prompt {n}")).field("max_tokens", json!(1)));
        assert_eq!(answered.status, 200);
    }
    let events = get(&engine, "/v1/cache_events")["events"].as_array().cloned().unwrap_or_default();
    let of = |what: &str| events.iter().filter(|e| e["what"] == what).count();
    assert!(of("cached") > 0 && of("evicted") > 0);
    // Forty prompts in a cache of two entries are 40 cached and 38 evicted prefixes.
    assert!(events.len() < 78, "none was lost");
}
