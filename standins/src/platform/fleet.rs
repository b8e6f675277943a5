//! Gateways as child processes, with a store and engines that run in the test process.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::caller::{Got, get, request};
use super::engine::{Arrival, Engine, EngineSpec, Plan};
use super::store::Store;
use crate::fleet::Process;
use crate::tcp_proxy::TcpProxy;

/// Maximum time to wait for a condition in a test.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Lowest port that a gateway gets; lower ports may belong to well-known services.
const MIN_PORT: u16 = 10_000;

/// First ephemeral port to assume if the system's range cannot be read.
const DEFAULT_FIRST_EPHEMERAL_PORT: u16 = 32_768;

const POLL: Duration = Duration::from_millis(5);

/// A route of a test's configuration.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name, which is also its path: `/NAME/`.
    pub name: &'static str,
    /// Service that it routes to.
    pub service: &'static str,
    /// `idempotent`, `non_idempotent` or `stream`.
    pub kind: &'static str,
    /// Fields that replace or extend the defaults.
    pub overrides: Value,
}

/// A configuration as an operator writes it.
#[derive(Clone, Debug)]
pub struct Config {
    /// Version of the configuration.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Customers and their API keys.
    pub keys: Vec<(&'static str, Vec<&'static str>)>,
    /// Limits that replace or extend the defaults.
    pub limits: Value,
    /// Number of unused routes, which make the configuration larger; each takes about 200 bytes.
    pub idle_routes: usize,
    /// Settings of services.
    pub services: Value,
    /// Fields that replace or extend those of each customer.
    pub customers: Value,
}

impl Default for Config {
    fn default() -> Self {
        let none = json!({});
        let route = |name, service, kind| Route { name, service, kind, overrides: none.clone() };
        Self {
            version: 1,
            routes: vec![
                route("look", "plain", "idempotent"),
                route("send", "plain", "non_idempotent"),
                Route {
                    overrides: json!({"resume_streams": true, "max_attempts": 3}),
                    ..route("draft", "models", "stream")
                },
                Route {
                    overrides: json!({"resume_streams": true, "max_attempts": 3, "sizes": ["s", "m", "l"]}),
                    ..route("sized", "models", "stream")
                },
                route("once", "models", "stream"),
                Route {
                    overrides: json!({"public": true}),
                    ..route("open", "plain", "idempotent")
                },
            ],
            keys: vec![("ani", vec!["key-ani"]), ("haus", vec!["key-haus"])],
            limits: none,
            idle_routes: 0,
            services: json!([]),
            customers: json!({}),
        }
    }
}

impl Config {
    /// Returns it as the JSON text that an operator writes.
    pub fn text(&self) -> String {
        let mut routes: Vec<_> = self.routes.iter().map(route_json).collect();
        routes.extend((0..self.idle_routes).map(idle_route_json));
        let customer = |(name, keys): &(&str, Vec<&str>)| {
            merged(json!({"name": name, "api_keys": keys}), &self.customers)
        };
        let tenants: Vec<_> = self.keys.iter().map(customer).collect();
        let limits = json!({"max_header_bytes": 16384, "max_body_bytes": 100_000,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000});
        json!({"version": self.version, "routes": routes, "services": self.services, "tenants": tenants,
            "limits": merged(limits, &self.limits)})
        .to_string()
    }
}

fn route_json(route: &Route) -> Value {
    let base = json!({
        "name": route.name, "host": "a.example", "path_prefix": format!("/{}/", route.name),
        "kind": route.kind, "timeout_ms": 10_000, "target_latency_ms": 300, "priority": 1,
        "service": route.service, "max_attempts": 2, "public": false, "gap_aim_ms": 200,
    });
    merged(base, &route.overrides)
}

fn idle_route_json(n: usize) -> Value {
    json!({
        "name": format!("idle-{n}"), "host": "a.example", "path_prefix": format!("/idle-{n}/"),
        "kind": "idempotent", "timeout_ms": 10_000, "target_latency_ms": 300, "priority": 1,
        "service": "plain", "max_attempts": 2, "public": true,
    })
}

fn merged(mut base: Value, overrides: &Value) -> Value {
    if let (Some(base), Some(overrides)) = (base.as_object_mut(), overrides.as_object()) {
        base.extend(overrides.clone());
    }
    base
}

/// A running gateway.
#[derive(Debug)]
pub struct Gateway {
    /// Process of the gateway.
    pub process: Process,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address of the readiness check of the load balancer.
    pub ready: SocketAddr,
    /// Address of the metrics.
    pub metrics: SocketAddr,
    /// Address for other gateways.
    pub peers: SocketAddr,
    /// Path of the settings file.
    pub settings: PathBuf,
}

/// A store, engines, and gateways that use them.
#[derive(Debug)]
pub struct PlatformFleet {
    /// The store.
    pub store: Store,
    /// Engines, in the order in which they were added.
    pub engines: Vec<Engine>,
    /// Crashed engines that were replaced, with the requests that they received.
    pub crashed: Vec<Engine>,
    /// The gateways.
    pub gateways: Vec<Gateway>,
    /// Log lines of earlier gateway processes, with the index of the gateway.
    pub earlier_lines: Vec<(usize, Vec<String>)>,
    /// Proxies before the engines, by engine id; empty unless the fleet has proxies.
    pub engine_proxies: HashMap<String, TcpProxy>,
    /// Proxy before the store, if the fleet has proxies.
    pub store_proxy: Option<TcpProxy>,
    program: PathBuf,
    folder: PathBuf,
    /// `bounds` settings that differ from the defaults.
    pub bounds: Value,
    /// `limits` settings that differ from the defaults.
    pub limits: Value,
    /// Whether its gateways reuse idle connections to engines.
    pub connection_reuse: bool,
    /// Parts of the platform's rules that are in force, as in the settings files.
    pub contracts: Vec<&'static str>,
    /// Whether the gateways that are started are told that the whole deployment starts for the first time.
    pub is_first_start: bool,
    /// Region of each failure domain, as in the settings files.
    pub regions: Value,
    /// Loopback address of its gateways, which no other fleet uses.
    ip: Ipv4Addr,
    /// Peer ports of its gateways at that address.
    pub ports: Vec<u16>,
}

impl PlatformFleet {
    /// Creates a fleet with only a store; `program` is the path of the gateway's executable.
    ///
    /// # Panics
    ///
    /// If the folder for settings cannot be created.
    pub fn new(program: &str) -> Self {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let n = COUNT.fetch_add(1, Ordering::SeqCst);
        let folder = std::env::temp_dir().join(format!("redwingfold-{}-{n}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder for settings");
        Self {
            store: Store::start(),
            engines: Vec::new(),
            crashed: Vec::new(),
            gateways: Vec::new(),
            earlier_lines: Vec::new(),
            engine_proxies: HashMap::new(),
            store_proxy: None,
            program: Path::new(program).to_owned(),
            folder,
            bounds: json!({}),
            limits: json!({}),
            connection_reuse: false,
            contracts: Vec::new(),
            is_first_start: false,
            regions: json!({"hall-1": "region-1"}),
            ip: fleet_address(n),
            ports: Vec::new(),
        }
    }

    /// Adds a proxy that can inject faults before the store, and before each engine that is added later.
    ///
    /// # Panics
    ///
    /// If no port can be bound.
    #[must_use]
    pub fn with_proxies(mut self) -> Self {
        self.store_proxy =
            Some(TcpProxy::start(self.store.addr).expect("a proxy before the store"));
        self
    }

    /// Publishes a configuration.
    pub fn publish(&self, config: &Config) {
        self.store.put("keyed.op", "config", Some(&config.text()));
    }

    /// Starts an engine and registers it.
    pub fn engine(
        &mut self,
        id: &str,
        service: &str,
        plan: impl Fn(&Arrival) -> Plan + Send + Sync + 'static,
    ) -> Engine {
        self.engine_with_version(id, service, "v1", plan)
    }

    /// Starts an engine with a software version and registers it.
    pub fn engine_with_version(
        &mut self,
        id: &str,
        service: &str,
        version: &str,
        plan: impl Fn(&Arrival) -> Plan + Send + Sync + 'static,
    ) -> Engine {
        self.engine_from_spec(EngineSpec::new(id, service, version, "hall-1"), None, plan)
    }

    /// Starts an engine in a failure domain and registers it.
    pub fn engine_in_domain(
        &mut self,
        domain: &str,
        id: &str,
        service: &str,
        plan: impl Fn(&Arrival) -> Plan + Send + Sync + 'static,
    ) -> Engine {
        self.engine_from_spec(EngineSpec::new(id, service, "v1", domain), None, plan)
    }

    /// Starts an engine that is cold for a duration and crashes above a number of requests within a second of it, and
    /// registers it.
    pub fn cold_engine(
        &mut self,
        id: &str,
        service: &str,
        (duration, max_per_second): (Duration, usize),
        plan: impl Fn(&Arrival) -> Plan + Send + Sync + 'static,
    ) -> Engine {
        self.engine_from_spec(
            EngineSpec::new(id, service, "v1", "hall-1"),
            Some((duration, max_per_second)),
            plan,
        )
    }

    /// Starts an engine and registers it; `cold` is the duration of its cold period and the maximum number of requests
    /// within a second of it.
    pub fn engine_from_spec(
        &mut self,
        spec: EngineSpec,
        cold: Option<(Duration, usize)>,
        plan: impl Fn(&Arrival) -> Plan + Send + Sync + 'static,
    ) -> Engine {
        let id = spec.id.clone();
        let mut engine = Engine::start(spec, plan);
        cold.iter()
            .for_each(|(duration, max_per_second)| engine.set_cold(*duration, *max_per_second));
        if self.store_proxy.is_some() {
            let proxy = TcpProxy::start(engine.addr).expect("a proxy before the engine");
            engine.addr = proxy.addr;
            self.engine_proxies.insert(id, proxy);
        }
        self.register(&engine, "ready");
        self.engines.push(engine.clone());
        engine
    }

    /// Orders the evacuation of a failure domain, or cancels the order.
    pub fn set_evacuation(&self, domain: &str, is_ordered: bool) {
        let key = format!("evacuate/{domain}");
        self.store.put("keyed.op", &key, is_ordered.then_some("{}"));
    }

    /// Replaces each crashed engine by a new one at the same address, under a new id.
    pub fn replace_crashed(&mut self) {
        let (down, up) = std::mem::take(&mut self.engines).into_iter().partition(Engine::is_down);
        self.engines = up;
        for crashed in down {
            self.unregister(&crashed);
            let id = format!("{}+", crashed.spec.id);
            let mut next = crashed.restart_as(&id);
            next.addr = crashed.addr;
            self.register(&next, "ready");
            self.engines.push(next);
            self.crashed.push(crashed);
        }
    }

    /// Writes the record of an engine to the store.
    pub fn register(&self, engine: &Engine, state: &str) {
        self.store.put("keyed.servers", &engine.spec.id, Some(&engine.record(state)));
    }

    /// Removes the record of an engine from the store.
    pub fn unregister(&self, engine: &Engine) {
        self.store.put("keyed.servers", &engine.spec.id, None);
    }

    /// Starts a gateway and waits until it listens; returns its index.
    pub fn start(&mut self) -> usize {
        let store = self.store_proxy.as_ref().map_or(self.store.addr, |proxy| proxy.addr);
        self.start_with_store(store)
    }

    /// Starts a gateway that uses the store at `store`, and waits until it listens; returns its index.
    ///
    /// # Panics
    ///
    /// If it does not start.
    pub fn start_with_store(&mut self, store: SocketAddr) -> usize {
        let n = self.gateways.len();
        let settings = self.folder.join(format!("boot-{n}.json"));
        let port = unused_port(&self.ports);
        self.ports.push(port);
        std::fs::write(&settings, self.settings_json(n, store, port)).expect("a settings file");
        let gateway = self.launch(&settings, port);
        self.gateways.push(gateway);
        n
    }

    /// Starts a gateway and waits until it is ready; returns its index.
    pub fn start_ready(&mut self) -> usize {
        let n = self.start();
        self.wait_ready(n);
        n
    }

    /// Restarts a gateway whose process has ended, which is no longer a first start.
    ///
    /// # Panics
    ///
    /// If its settings cannot be rewritten.
    pub fn restart(&mut self, n: usize) {
        let settings = self.gateways[n].settings.clone();
        let text = std::fs::read_to_string(&settings).expect("a settings file");
        let text = text.replace("\"bootstrap\":true", "\"bootstrap\":false");
        std::fs::write(&settings, text).expect("a settings file");
        self.earlier_lines.push((n, self.gateways[n].process.lines()));
        self.gateways[n] = self.launch(&settings, self.ports[n]);
    }

    /// Waits until a gateway is ready.
    pub fn wait_ready(&self, n: usize) {
        let ready = self.gateways[n].ready;
        let is_ready = eventually(|| get(ready, "/ready").status() == 200);
        let lines = || self.gateways[n].process.lines().join("\n");
        assert!(is_ready, "not in time: a gateway is ready; its log:\n{}", lines());
    }

    fn settings_json(&self, n: usize, store: SocketAddr, port: u16) -> String {
        let bounds = json!({"grace_s": 4.0, "retry_budget_ratio": 0.9, "budget_window_s": 10,
            "session_s": 5});
        json!({
            "node_name": format!("gateway-{n}"), "zone": "hall-1", "ip": self.ip,
            "zones": self.regions,
            "listen": {"front": "127.0.0.1:0", "ready": "127.0.0.1:0"},
            "port_range": [port, port],
            "limits": merged(json!({"memory_mb": 200, "max_fds": 2000}), &self.limits),
            "bounds": merged(bounds, &self.bounds),
            "platform": {"address": store.to_string()},
            "connection_reuse": self.connection_reuse,
            "contracts": self.contracts,
            "bootstrap": self.is_first_start,
        })
        .to_string()
    }

    fn launch(&self, settings: &Path, port: u16) -> Gateway {
        let path = settings.display().to_string();
        let args = ["--settings", path.as_str(), "--metrics-port", "0"];
        let process = Process::start("gateway", &self.program, &args).expect("a process");
        let line = process.wait_for_line("event=started", TIMEOUT).expect("the gateway starts");
        let addr = |key: &str| -> SocketAddr {
            let from = line.find(&format!(" {key}=")).expect("an address") + key.len() + 2;
            let text = line[from..].split(' ').next().unwrap_or_default();
            text.parse().expect("an address")
        };
        Gateway {
            callers: addr("callers"),
            ready: addr("ready"),
            metrics: addr("metrics"),
            peers: SocketAddr::from((self.ip, port)),
            settings: settings.to_owned(),
            process,
        }
    }

    /// Returns the log lines of all gateway processes, each with the index of its gateway, sorted by time.
    pub fn lines(&self) -> Vec<String> {
        let present = self.gateways.iter().enumerate().map(|(n, g)| (n, g.process.lines()));
        let all = self.earlier_lines.iter().cloned().chain(present);
        let numbered =
            all.flat_map(|(n, lines)| lines.into_iter().map(move |l| format!("{l} gateway={n}")));
        let mut lines: Vec<_> = numbered.collect();
        lines.sort_unstable();
        lines
    }

    /// Sends a request to the gateway with index `n`; `id` is its `Attempt-Id`, and `headers` are further header lines.
    pub fn send(
        &self,
        n: usize,
        method: &str,
        path: &str,
        id: &str,
        headers: &str,
        body: &str,
    ) -> Got {
        request(self.gateways[n].callers, message(method, path, id, headers, body).as_bytes())
    }

    /// Returns all requests that arrived at engines.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.crashed.iter().chain(&self.engines).flat_map(Engine::arrivals).collect()
    }

    /// Returns the requests with an `Attempt-Id` that engines ran.
    pub fn runs(&self, id: &str) -> Vec<Arrival> {
        self.arrivals().into_iter().filter(|a| a.was_run && a.id() == id).collect()
    }
}

impl Drop for PlatformFleet {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.folder).ok();
    }
}

/// Returns the text of a request. Unless `headers` sets them, it has the key of the customer `ani` and a deadline of
/// ten seconds.
pub fn message(method: &str, path: &str, id: &str, headers: &str, body: &str) -> String {
    let key = if headers.contains("Credential:") { "" } else { "Credential: key-ani\r\n" };
    let deadline = if headers.contains("Deadline-Ms:") { "" } else { "Deadline-Ms: 10000\r\n" };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {id}\r\n{key}{deadline}{headers}\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Waits until a condition holds.
///
/// # Panics
///
/// If it does not hold in time.
pub fn wait_for(what: &str, holds: impl Fn() -> bool) {
    assert!(eventually(holds), "not in time: {what}");
}

/// Returns a loopback address for a fleet of this process.
///
/// A restarted gateway uses the same port, which no other process may bind in the meantime. At an address that only
/// this fleet uses, no other process binds ports.
fn fleet_address(fleet: u32) -> Ipv4Addr {
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 64 + high % 128, low, 1 + (fleet % 250) as u8)
}

/// Returns the first port of the system's ephemeral range.
fn first_ephemeral_port() -> u16 {
    let range = std::fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range");
    let first = range.ok().and_then(|text| text.split_whitespace().next()?.parse().ok());
    first.unwrap_or(DEFAULT_FIRST_EPHEMERAL_PORT)
}

/// Returns a port below the ephemeral range that no other gateway of the fleet uses.
///
/// It does not test the port with a bind. The system could assign a port that is bound and released here to the metrics
/// listener of another gateway, which binds port 0. A process that another test forks at that moment would also keep
/// the test socket until it runs its own program. In both cases a gateway failed to start with "Address already in
/// use".
fn unused_port(used: &[u16]) -> u16 {
    let ports = std::iter::repeat_with(|| fastrand::u16(MIN_PORT..first_ephemeral_port()));
    let mut free = ports.filter(|port| !used.contains(port));
    free.next().expect("an endless choice")
}

/// Waits until a condition holds; returns `false` if it does not hold in time.
pub fn eventually(holds: impl Fn() -> bool) -> bool {
    let started_at = Instant::now();
    while started_at.elapsed() < TIMEOUT {
        if holds() {
            return true;
        }
        std::thread::sleep(POLL);
    }
    false
}
