//! The fleet under test, with engines that fail at random.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use redwingfold_standins::LinkFault;
use redwingfold_standins::platform::{
    Arrival, Config, Engine, EngineSpec, Plan, PlatformFleet, StreamPlan,
};
use serde_json::json;

use crate::deadly::{CRASH_DELAY, is_deadly};
use crate::domains::{COLD_DURATION, COLD_MEAN_REQUESTS_PER_S, TEST_DOMAIN};
use crate::reports::RETRY_AFTER;
use crate::run::Settings;

/// Rate of slow connections to the store: a configuration of 400 kB takes a second.
const SLOW_STORE_BYTES_PER_S: u64 = 400_000;

/// Faults of all engines.
#[derive(Debug, Default)]
pub(crate) struct EngineFaults {
    /// Share of responses that fail, in thousandths. The kind of failure is drawn from the id of the request.
    pub(crate) per_mille: AtomicU32,
    /// Whether engines send `Retry-After` when they refuse a request.
    pub(crate) sends_retry_after: AtomicBool,
}

impl EngineFaults {
    fn refusal(&self) -> Plan {
        if self.sends_retry_after.load(Ordering::SeqCst) {
            Plan::RetryAfter(RETRY_AFTER)
        } else {
            Plan::NotRun(503)
        }
    }
}

/// Draws a number below 1000 from the id of a request and a salt, so that the response of an engine does not depend on
/// when the request arrives.
fn draw_per_mille(id: &str, salt: u64) -> u32 {
    let mut hash = 0xcbf2_9ce4_8422_2325 ^ salt;
    for byte in id.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    fastrand::Rng::with_seed(hash).u32(..1000)
}

/// Returns the plan of an engine of the plain service for a request. A correct response has the id of the request in
/// its body.
fn plan_plain(arrival: &Arrival, engine_faults: &EngineFaults, salt: u64) -> Plan {
    let body = format!("answer to {}", arrival.id()).into_bytes();
    if draw_per_mille(arrival.id(), salt) >= engine_faults.per_mille.load(Ordering::SeqCst) {
        return Plan::Delayed(
            Duration::from_millis(u64::from(draw_per_mille(arrival.id(), 7) % 40)),
            200,
            body,
        );
    }
    match draw_per_mille(arrival.id(), salt + 1) % 6 {
        0 => Plan::Reset,
        1 => engine_faults.refusal(),
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

/// Returns the plan of a model engine for a request.
fn plan_model(arrival: &Arrival, engine_faults: &EngineFaults, salt: u64) -> Plan {
    let id = arrival.id();
    let normal = StreamPlan {
        events: 6,
        pause: Duration::from_millis(10),
        confidence: Some((draw_per_mille(id, 3) % 100) as u8),
        ..StreamPlan::default()
    };
    if draw_per_mille(id, salt) >= engine_faults.per_mille.load(Ordering::SeqCst) {
        return Plan::Stream(normal);
    }
    match draw_per_mille(id, salt + 1) % 5 {
        0 => Plan::Reset,
        1 => engine_faults.refusal(),
        2 => Plan::Stream(StreamPlan {
            cut_after: Some(u64::from(draw_per_mille(id, 5) % 6)),
            ..normal
        }),
        3 => Plan::Stream(StreamPlan { silent_after: Some(2), ..normal }),
        _ => Plan::Answer(500, b"failure".to_vec()),
    }
}

/// The fleet, and the controls to inject faults into it.
#[derive(Debug)]
pub(crate) struct Testbed {
    pub(crate) fleet: PlatformFleet,
    pub(crate) engine_faults: Arc<EngineFaults>,
    pub(crate) config: Config,
    /// State of the connections to the store while no fault is set: unrestricted, or limited to a slow rate.
    pub(crate) normal_store_link: LinkFault,
    /// Engines that have drained or announced that they are leaving.
    pub(crate) withdrawn_engines: HashSet<String>,
    last_engine_number: u64,
    /// Whether half of the engines are in another failure domain.
    has_domains: bool,
}

impl Testbed {
    /// Starts gateways and engines.
    pub(crate) fn start(settings: &Settings) -> Self {
        let fleet = PlatformFleet::new(&settings.program.display().to_string()).with_proxies();
        let idle_routes = settings.idle_routes;
        let normal_store_link =
            if idle_routes > 0 { LinkFault::Rate(SLOW_STORE_BYTES_PER_S) } else { LinkFault::None };
        let mut config = Config { idle_routes, ..Config::default() };
        let mut fleet = fleet;
        if settings.crowds {
            fleet.limits = crate::crowds::limits();
        }
        if settings.domains {
            let cold = |name| {
                json!({
                    "name": name,
                    "cold_s": COLD_DURATION.as_secs(),
                    "cold_per_s": COLD_MEAN_REQUESTS_PER_S
                })
            };
            config.services = ["plain", "models"].into_iter().map(cold).collect();
            fleet.bounds = json!({"cold_over": 1.5, "cold_slack": 5});
        }
        for (route, timeout) in [(0, 3_000), (1, 3_000), (2, 8_000), (3, 8_000)] {
            let overrides = config.routes[route].overrides.as_object_mut();
            overrides.map(|overrides| overrides.insert("timeout_ms".to_owned(), timeout.into()));
        }
        fleet.publish(&config);
        let mut testbed = Self {
            fleet,
            engine_faults: Arc::new(EngineFaults {
                sends_retry_after: settings.reports.into(),
                ..EngineFaults::default()
            }),
            config,
            normal_store_link,
            withdrawn_engines: HashSet::new(),
            last_engine_number: 0,
            has_domains: settings.domains,
        };
        for _ in 0..settings.engines {
            testbed.add_engine("plain", "v1");
            testbed.add_engine("models", "v1");
        }
        (0..settings.gateways).for_each(|_| {
            testbed.fleet.start();
        });
        (0..settings.gateways).for_each(|n| testbed.fleet.wait_ready(n));
        testbed
            .fleet
            .store_proxy
            .iter()
            .for_each(|proxy| proxy.set_fault(testbed.normal_store_link));
        testbed
    }

    /// Starts one more engine and registers it.
    pub(crate) fn add_engine(&mut self, service: &'static str, version: &str) -> Engine {
        self.start_engine(service, version, None)
    }

    /// Starts one more engine that is cold for the given time, in which it can handle at most the given number of
    /// requests within a second.
    pub(crate) fn add_cold_engine(&mut self, service: &'static str, cold: (Duration, usize)) {
        self.start_engine(service, "v1", Some(cold));
    }

    fn start_engine(
        &mut self,
        service: &'static str,
        version: &str,
        cold: Option<(Duration, usize)>,
    ) -> Engine {
        self.last_engine_number += 1;
        let is_in_test_domain = self.has_domains && (self.last_engine_number / 2).is_multiple_of(2);
        let domain = if is_in_test_domain { TEST_DOMAIN } else { "hall-1" };
        let (engine_faults, salt) = (self.engine_faults.clone(), self.last_engine_number * 16);
        let plan = move |arrival: &Arrival| match service {
            _ if is_deadly(arrival) => Plan::Crash(CRASH_DELAY),
            "plain" => plan_plain(arrival, &engine_faults, salt),
            _ => plan_model(arrival, &engine_faults, salt),
        };
        let id = format!("i-{}", self.last_engine_number);
        self.fleet.engine_from_spec(EngineSpec::new(&id, service, version, domain), cold, plan)
    }

    /// Writes the configuration and the records of engines to the store again, as the operator and the engines do
    /// after the store has lost data.
    pub(crate) fn rewrite_lost_data(&self) {
        self.fleet.publish(&self.config);
        let is_active = |engine: &&Engine| {
            !engine.is_down() && !self.withdrawn_engines.contains(&engine.spec.id)
        };
        self.fleet
            .engines
            .iter()
            .filter(is_active)
            .for_each(|engine| self.fleet.register(engine, "ready"));
    }

    /// Publishes the configuration as a new version.
    pub(crate) fn publish(&mut self) {
        self.config.version += 1;
        self.fleet.publish(&self.config);
    }
}
