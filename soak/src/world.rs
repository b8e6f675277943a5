//! The fleet under test, and engines whose misbehaviour is drawn.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use redwingfold_standins::LinkFault;
use redwingfold_standins::platform::{
    Arrival, Config, Engine, EngineSpec, Plan, PlatformFleet, StreamPlan,
};
use serde_json::json;

use crate::deadly::{ENDS_AFTER, is_deadly};
use crate::domains::{COLD, DOMAIN, PER_SECOND};
use crate::play::Settings;
use crate::reports::RETRY_AFTER;

/// Bytes a second of a slow way to the store: a configuration of 400 kB takes a second.
const SLOW_WAY: u64 = 400_000;

/// Shares of an engine's answers that go wrong, in thousandths, for all engines of a kind.
#[derive(Debug, Default)]
pub(crate) struct Mishaps {
    /// Any of the ways below, drawn by the request's id.
    pub(crate) any: AtomicU32,
    /// Whether engines send `Retry-After` when they refuse a request.
    pub(crate) sends_retry_after: AtomicBool,
}

impl Mishaps {
    fn refusal(&self) -> Plan {
        if self.sends_retry_after.load(Ordering::SeqCst) {
            Plan::RetryAfter(RETRY_AFTER)
        } else {
            Plan::NotRun(503)
        }
    }
}

/// Draws a number below 1000 from a request's id and a salt, so that an engine's deeds do not
/// depend on when the request comes.
fn draw(id: &str, salt: u64) -> u32 {
    let mut hash = 0xcbf2_9ce4_8422_2325 ^ salt;
    for byte in id.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    fastrand::Rng::with_seed(hash).u32(..1000)
}

/// What a plain engine does: its answer's body names the request.
fn plain(arrival: &Arrival, mishaps: &Mishaps, salt: u64) -> Plan {
    let body = format!("answer to {}", arrival.id()).into_bytes();
    if draw(arrival.id(), salt) >= mishaps.any.load(Ordering::SeqCst) {
        return Plan::Delayed(
            Duration::from_millis(u64::from(draw(arrival.id(), 7) % 40)),
            200,
            body,
        );
    }
    match draw(arrival.id(), salt + 1) % 6 {
        0 => Plan::Reset,
        1 => mishaps.refusal(),
        2 => Plan::Answer(500, b"failure".to_vec()),
        3 => Plan::RawBytes(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong".to_vec()),
        4 => Plan::Delayed(Duration::from_millis(700), 200, body),
        _ => Plan::RawBytes(
            b"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nResponse-Stamp: s\r\n\
              Content-Length: 5\r\n\r\nother"
                .to_vec(),
        ),
    }
}

/// What a model engine does.
fn model(arrival: &Arrival, mishaps: &Mishaps, salt: u64) -> Plan {
    let id = arrival.id();
    let calm = StreamPlan {
        events: 6,
        pause: Duration::from_millis(10),
        confidence: Some((draw(id, 3) % 100) as u8),
        ..StreamPlan::default()
    };
    if draw(id, salt) >= mishaps.any.load(Ordering::SeqCst) {
        return Plan::Stream(calm);
    }
    match draw(id, salt + 1) % 5 {
        0 => Plan::Reset,
        1 => mishaps.refusal(),
        2 => Plan::Stream(StreamPlan { cut_after: Some(u64::from(draw(id, 5) % 6)), ..calm }),
        3 => Plan::Stream(StreamPlan { silent_after: Some(2), ..calm }),
        _ => Plan::Answer(500, b"failure".to_vec()),
    }
}

/// The fleet, and the means to disturb it.
#[derive(Debug)]
pub(crate) struct World {
    pub(crate) fleet: PlatformFleet,
    pub(crate) mishaps: Arc<Mishaps>,
    pub(crate) config: Config,
    /// How the way to the store is while nothing disturbs it.
    pub(crate) calm_way: LinkFault,
    /// Engines that have drained or announced that they are leaving.
    pub(crate) left: HashSet<String>,
    next_engine: u64,
    /// Whether half of the engines are in another failure domain.
    has_domains: bool,
}

impl World {
    /// Starts gateways and engines.
    pub(crate) fn start(settings: &Settings) -> Self {
        let fleet = PlatformFleet::new(&settings.program.display().to_string()).with_proxies();
        let idle_routes = settings.idle_routes;
        let calm_way = if idle_routes > 0 { LinkFault::Rate(SLOW_WAY) } else { LinkFault::None };
        let mut config = Config { idle_routes, ..Config::default() };
        let mut fleet = fleet;
        if settings.domains {
            let cold =
                |name| json!({"name": name, "cold_s": COLD.as_secs(), "cold_per_s": PER_SECOND});
            config.services = ["plain", "models"].into_iter().map(cold).collect();
            fleet.bounds = json!({"cold_over": 1.5, "cold_slack": 5});
        }
        for (route, timeout) in [(0, 3_000), (1, 3_000), (2, 8_000), (3, 8_000)] {
            let more = config.routes[route].overrides.as_object_mut();
            more.map(|more| more.insert("timeout_ms".to_owned(), timeout.into()));
        }
        fleet.publish(&config);
        let mut world = Self {
            fleet,
            mishaps: Arc::new(Mishaps {
                sends_retry_after: settings.reports.into(),
                ..Mishaps::default()
            }),
            config,
            calm_way,
            left: HashSet::new(),
            next_engine: 0,
            has_domains: settings.domains,
        };
        for _ in 0..settings.engines {
            world.add_engine("plain", "v1");
            world.add_engine("models", "v1");
        }
        (0..settings.gateways).for_each(|_| {
            world.fleet.start();
        });
        (0..settings.gateways).for_each(|n| world.fleet.wait_ready(n));
        world.fleet.store_proxy.iter().for_each(|way| way.set_fault(world.calm_way));
        world
    }

    /// Starts one more engine and registers it.
    pub(crate) fn add_engine(&mut self, service: &'static str, version: &str) -> Engine {
        self.start_engine(service, version, None)
    }

    /// Starts one more engine that is cold for a time, in which it bears so many requests within a second.
    pub(crate) fn add_cold_engine(&mut self, service: &'static str, cold: (Duration, usize)) {
        self.start_engine(service, "v1", Some(cold));
    }

    fn start_engine(
        &mut self,
        service: &'static str,
        version: &str,
        cold: Option<(Duration, usize)>,
    ) -> Engine {
        self.next_engine += 1;
        let is_there = self.has_domains && (self.next_engine / 2).is_multiple_of(2);
        let domain = if is_there { DOMAIN } else { "hall-1" };
        let (mishaps, salt) = (self.mishaps.clone(), self.next_engine * 16);
        let plan = move |arrival: &Arrival| match service {
            _ if is_deadly(arrival) => Plan::Crash(ENDS_AFTER),
            "plain" => plain(arrival, &mishaps, salt),
            _ => model(arrival, &mishaps, salt),
        };
        let id = format!("i-{}", self.next_engine);
        self.fleet.engine_from_spec(EngineSpec::new(&id, service, version, domain), cold, plan)
    }

    /// The operator and the engines write again what a store has lost.
    pub(crate) fn write_again(&self) {
        self.fleet.publish(&self.config);
        let writes = |engine: &&Engine| !engine.is_down() && !self.left.contains(&engine.spec.id);
        self.fleet
            .engines
            .iter()
            .filter(writes)
            .for_each(|engine| self.fleet.register(engine, "ready"));
    }

    /// Publishes the configuration as a new version.
    pub(crate) fn publish(&mut self) {
        self.config.version += 1;
        self.fleet.publish(&self.config);
    }
}
