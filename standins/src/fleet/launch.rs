//! Starts daemons that use the test doubles.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use redwingfold_http::Method;
use serde_json::{Value, json};

use super::caller::{Ask, Caller};
use super::objects::Objects;
use super::process::Process;
use crate::engine::{Engine, EngineSettings};
use crate::host_list::{HostEntry, HostList};
use crate::log_service::LogService;
use crate::rating::Rating;
use crate::service::Service;
use crate::tcp_proxy::TcpProxy;
use crate::udp_proxy::UdpProxy;
use crate::weight_store::WeightStore;

/// Maximum time to wait for a condition.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum number of log lines of each daemon that a failed test prints.
const MAX_SHOWN_LOG_LINES: usize = 40;

const POLL: Duration = Duration::from_millis(5);

/// Waits until a condition holds.
///
/// # Panics
///
/// If it does not hold in time.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let started_at = Instant::now();
    while !holds() {
        assert!(started_at.elapsed() < TIMEOUT, "waited too long: {what}");
        std::thread::sleep(POLL);
    }
}

/// A running daemon.
#[derive(Debug)]
struct Daemon {
    process: Process,
    peer: SocketAddr,
    listen: Option<SocketAddr>,
}

/// A fleet: test doubles in this process, daemons as child processes. Dropping it kills the daemons.
#[derive(Debug)]
pub struct Fleet {
    /// The log service.
    pub log: LogService,
    /// The host list.
    pub hosts: HostList,
    /// The rating service.
    pub rating: Rating,
    /// The weight store.
    pub weights: WeightStore,
    /// Engines, by the host of their side.
    pub engines: BTreeMap<String, Engine>,
    /// Plain services, by the host of their side.
    pub services: BTreeMap<String, Service>,
    daemons: BTreeMap<String, Daemon>,
    entries: Vec<String>,
    log_proxies: BTreeMap<String, TcpProxy>,
    peer_proxies: BTreeMap<String, UdpProxy>,
    bin_dir: PathBuf,
    dir: PathBuf,
    setting_overrides: Value,
}

/// Builder of a [`Fleet`].
#[derive(Debug)]
pub struct FleetBuilder {
    bin_dir: PathBuf,
    entries: usize,
    sides: Vec<(String, String, Backend)>,
    setting_overrides: Value,
}

#[derive(Clone, Debug)]
enum Backend {
    Engine(EngineSettings),
    Service(String),
}

static NEXT_DIR: AtomicU32 = AtomicU32::new(0);

/// Failure domains that daemons are assigned to in turn.
const DOMAINS: [&str; 3] = ["hall-a", "hall-b", "hall-c"];

impl FleetBuilder {
    /// Creates a builder; the executables of the daemons are in `bin_dir`.
    pub fn new(bin_dir: &Path) -> Self {
        let setting_overrides = json!({"entry": {}, "side": {}});
        Self { bin_dir: bin_dir.to_owned(), entries: 1, sides: Vec::new(), setting_overrides }
    }

    /// Sets the number of entries; their hosts are `entry-0`, `entry-1` and so on.
    #[must_use]
    pub fn entries(mut self, n: usize) -> Self {
        self.entries = n;
        self
    }

    /// Adds a side with an engine.
    #[must_use]
    pub fn engine(mut self, host: &str, settings: EngineSettings) -> Self {
        let domain = DOMAINS[self.sides.len() % DOMAINS.len()].to_owned();
        self.sides.push((host.to_owned(), domain, Backend::Engine(settings)));
        self
    }

    /// Adds a side with a plain service.
    #[must_use]
    pub fn service(mut self, host: &str, service: &str) -> Self {
        let domain = DOMAINS[self.sides.len() % DOMAINS.len()].to_owned();
        self.sides.push((host.to_owned(), domain, Backend::Service(service.to_owned())));
        self
    }

    /// Sets a group of settings of all daemons with a role, `entry` or `side`.
    #[must_use]
    pub fn settings(mut self, role: &str, group: &str, value: Value) -> Self {
        self.setting_overrides[role][group] = value;
        self
    }

    /// Starts the fleet, publishes the objects and waits until every entry is ready.
    ///
    /// # Panics
    ///
    /// If a part of the fleet does not start.
    pub fn start(self, objects: &Objects) -> Fleet {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let n = NEXT_DIR.fetch_add(1, Ordering::Relaxed);
        let dir = std::env::temp_dir().join(format!("redwingfold-{}-{n}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("folder for settings");
        let mut fleet = Fleet {
            log: LogService::start(any, 1).expect("log"),
            hosts: HostList::start(any).expect("hosts"),
            rating: Rating::start(any).expect("rating"),
            weights: WeightStore::start(any).expect("weight store"),
            engines: BTreeMap::new(),
            services: BTreeMap::new(),
            daemons: BTreeMap::new(),
            entries: (0..self.entries).map(|i| format!("entry-{i}")).collect(),
            log_proxies: BTreeMap::new(),
            peer_proxies: BTreeMap::new(),
            bin_dir: self.bin_dir,
            dir,
            setting_overrides: self.setting_overrides,
        };
        let mut names: Vec<_> = fleet.entries.clone();
        names.extend(self.sides.iter().map(|(host, ..)| host.clone()));
        names.push("ctl".to_owned());
        fleet.make_keys(&names);
        for name in &names {
            let proxy = TcpProxy::start(fleet.log.addr).expect("proxy before the log");
            fleet.log_proxies.insert(name.clone(), proxy);
        }
        fleet.write_ctl_settings();
        for (host, domain, backend) in self.sides {
            match backend {
                Backend::Engine(settings) => {
                    let engine = Engine::start(any, settings).expect("engine");
                    fleet.engines.insert(host.clone(), engine);
                }
                Backend::Service(name) => {
                    let service = Service::start(any).expect("service");
                    std::fs::write(fleet.dir.join(format!("{host}.service")), name).expect("note");
                    fleet.services.insert(host.clone(), service);
                }
            }
            fleet.start_side(&host, &domain);
        }
        for (i, host) in fleet.entries.clone().iter().enumerate() {
            fleet.start_entry(host, DOMAINS[i % DOMAINS.len()]);
        }
        fleet.list_hosts(Duration::ZERO);
        if !objects.is_empty() {
            fleet.publish(objects);
        }
        for host in fleet.entries.clone() {
            fleet.wait_ready(&host);
        }
        fleet
    }

    /// Starts the test doubles and creates TLS keys, without any daemon.
    ///
    /// # Panics
    ///
    /// If a part of the fleet does not start.
    pub fn start_without_daemons(self) -> Fleet {
        self.entries(0).start(&Objects::default())
    }
}

impl Fleet {
    fn make_keys(&self, names: &[String]) {
        let keys = self.dir.join("keys");
        let output = Command::new(self.bin_dir.join("redwingfold-ctl"))
            .args(["keys", "--out"])
            .arg(&keys)
            .args(names)
            .output()
            .expect("redwingfold-ctl");
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    }

    fn tls(&self, name: &str) -> Value {
        let file = |f: String| self.dir.join("keys").join(f);
        json!({
            "fleet": file("fleet.pem".to_owned()),
            "cert": file(format!("{name}.pem")),
            "key": file(format!("{name}.key")),
        })
    }

    fn write_ctl_settings(&self) {
        let settings = json!({
            "log": {"address": self.log.addr},
            "host_list": {"address": self.hosts.addr},
            "tls": self.tls("ctl"),
        });
        std::fs::write(self.dir.join("ctl.json"), settings.to_string()).expect("ctl settings");
    }

    fn common_settings(&self, host: &str, domain: &str, role: &str) -> Value {
        let mut settings = json!({
            "host": host,
            "failure_domain": domain,
            "peer_listen": "127.0.0.1:0",
            "log": {"address": self.log_proxies[host].addr},
            "host_list": {"address": self.hosts.addr, "every_ms": 200},
            "tls": self.tls(host),
            "batch": {"every_ms": 200},
        });
        let setting_overrides =
            self.setting_overrides[role].as_object().cloned().unwrap_or_default();
        for (group, value) in setting_overrides {
            match (settings[&group].as_object_mut(), value) {
                (Some(existing), Value::Object(new)) => existing.extend(new),
                (_, value) => settings[&group] = value,
            }
        }
        settings
    }

    fn launch(&mut self, host: &str, domain: &str, role: &str, settings: &Value) {
        let path = self.dir.join(format!("{host}.json"));
        std::fs::write(&path, settings.to_string()).expect("settings");
        std::fs::write(self.dir.join(format!("{host}.domain")), domain).expect("domain");
        let program = self.bin_dir.join(format!("redwingfold-{role}"));
        let args = ["--settings", path.to_str().expect("path")];
        let process = Process::start(host, &program, &args).expect("daemon");
        let line = process.wait_for_line(&format!("event={role}_started"), TIMEOUT);
        let line = line.unwrap_or_else(|printed| panic!("{printed}"));
        let addr = |key: &str| {
            let value = line.split(' ').find_map(|pair| pair.strip_prefix(key));
            value.and_then(|v| v.parse::<SocketAddr>().ok())
        };
        let daemon =
            Daemon { peer: addr("peer=").expect("peer address"), listen: addr("listen="), process };
        self.daemons.insert(host.to_owned(), daemon);
    }

    /// Starts a side, or restarts it after it ended.
    pub fn start_side(&mut self, host: &str, domain: &str) {
        let mut settings = self.common_settings(host, domain, "side");
        settings["backends"] = match (self.engines.get(host), self.services.get(host)) {
            (Some(e), _) => {
                json!([{"name": "engine-0", "address": e.addr, "kind": "engine", "slots": 64}])
            }
            (_, Some(s)) => {
                let name = std::fs::read_to_string(self.dir.join(format!("{host}.service")));
                json!([{"name": "svc-0", "address": s.addr, "kind": "service", "service": name.unwrap_or_default()}])
            }
            _ => json!([]),
        };
        if settings["orders"]["weight_store"] == true {
            settings["orders"]["weight_store"] = json!(self.weights.addr);
        }
        self.launch(host, domain, "side", &settings);
    }

    /// Starts an entry, or restarts it after it ended.
    pub fn start_entry(&mut self, host: &str, domain: &str) {
        let mut settings = self.common_settings(host, domain, "entry");
        settings["listen"] = json!("127.0.0.1:0");
        if settings["limits"]["drain_accept_ms"].is_null() {
            settings["limits"]["drain_accept_ms"] = json!(100);
        }
        if settings["rating"]["sample_per_mille"].as_u64().is_some() {
            settings["rating"]["address"] = json!(self.rating.addr);
        }
        self.launch(host, domain, "entry", &settings);
    }

    /// Restarts a daemon that ended, and updates its address in the host list.
    pub fn restart(&mut self, host: &str) {
        let domain = std::fs::read_to_string(self.dir.join(format!("{host}.domain")));
        let domain = domain.expect("domain");
        match self.entries.iter().any(|e| e == host) {
            true => self.start_entry(host, &domain),
            false => self.start_side(host, &domain),
        }
        self.list_hosts(Duration::ZERO);
    }

    /// Starts a new process of a side while the old one still runs, and returns the old one.
    pub fn replace(&mut self, host: &str) -> Process {
        let old = self.daemons.remove(host).expect("a running daemon");
        self.restart(host);
        old.process
    }

    /// Sets the host list to all daemons, as live; readers see it after `lag`.
    pub fn list_hosts(&self, lag: Duration) {
        let hosts = self.daemons.iter().map(|(host, daemon)| {
            let domain = std::fs::read_to_string(self.dir.join(format!("{host}.domain")));
            HostEntry {
                host: host.clone(),
                address: self.peer_proxies.get(host).map_or(daemon.peer, |proxy| proxy.addr),
                failure_domain: domain.expect("domain"),
                role: if daemon.listen.is_some() { "entry" } else { "side" }.to_owned(),
                state: "live".to_owned(),
                pool: String::new(),
            }
        });
        self.hosts.set(hosts.collect(), lag);
    }

    /// Disconnects a daemon from the log service, or connects it again.
    pub fn set_log_cut(&self, host: &str, cut: bool) {
        self.log_proxies[host].set_cut(cut);
    }

    /// Starts a proxy that can drop the flows of a daemon's peer connections, and lists the daemon at its address.
    pub fn add_peer_proxy(&mut self, host: &str) {
        let proxy = UdpProxy::start(self.daemons[host].peer).expect("proxy");
        self.peer_proxies.insert(host.to_owned(), proxy);
        self.list_hosts(Duration::ZERO);
    }

    /// Returns the proxy that [`Self::add_peer_proxy`] started.
    pub fn peer_proxy(&self, host: &str) -> &UdpProxy {
        &self.peer_proxies[host]
    }

    /// Returns the process of a daemon.
    pub fn process(&self, host: &str) -> &Process {
        &self.daemons[host].process
    }

    /// Returns the address of a daemon for its peers.
    pub fn peer_addr(&self, host: &str) -> SocketAddr {
        self.daemons[host].peer
    }

    /// Returns a caller of an entry.
    pub fn caller(&self, entry: usize) -> Caller {
        let host = format!("entry-{entry}");
        Caller { addr: self.daemons[&host].listen.expect("an entry") }
    }

    /// Returns the folder with the settings and TLS keys.
    pub fn dir(&self) -> &Path {
        &self.dir
    }

    /// Waits until an entry is ready and lists every side in its status.
    pub fn wait_ready(&self, host: &str) {
        let index = host.trim_start_matches("entry-").parse().expect("an entry");
        let caller: Caller = self.caller(index);
        let ready = Ask::new(Method::Get, "/readyz", "nobody");
        wait_until("entry is ready", || caller.send_blocking(&ready).status == 200);
        let sides = self.engines.len() + self.services.len();
        let status = || self.daemon_status(host)["sides"].as_array().map_or(0, Vec::len);
        wait_until("entry lists the sides", || status() >= sides);
    }

    /// Returns the status of a daemon; null if it has none.
    pub fn daemon_status(&self, host: &str) -> Value {
        let output = self.ctl(&["status", "--json"]);
        let all: Value = serde_json::from_slice(&output.stdout).unwrap_or_default();
        let daemons = all.as_array().cloned().unwrap_or_default();
        daemons.into_iter().find(|d| d["host"] == host).unwrap_or_default()
    }

    /// Runs `redwingfold-ctl`.
    pub fn ctl(&self, args: &[&str]) -> Output {
        Command::new(self.bin_dir.join("redwingfold-ctl"))
            .arg("--settings")
            .arg(self.dir.join("ctl.json"))
            .args(args)
            .output()
            .expect("redwingfold-ctl")
    }

    /// Writes objects to a file for `redwingfold-ctl`, and returns its path.
    pub fn write_objects(&self, name: &str, objects: &Objects) -> String {
        let path = self.dir.join(format!("{name}.objects"));
        std::fs::write(&path, objects.json()).expect("objects");
        path.to_str().expect("path").to_owned()
    }

    /// Publishes objects as the configuration.
    ///
    /// # Panics
    ///
    /// If they are not accepted.
    pub fn publish(&self, objects: &Objects) {
        let file = self.write_objects("publish", objects);
        let output = self.ctl(&["publish", &file, "--reason", "test", "--allow-empty"]);
        let stderr_text = String::from_utf8_lossy(&output.stderr);
        assert!(
            output.status.success(),
            "publish: {stderr_text} {}",
            String::from_utf8_lossy(&output.stdout)
        );
    }

    /// Waits until the latest configuration is in force at every running daemon.
    pub fn wait_in_force(&self) {
        let newest = || self.log.records("config").last().map_or(0, |(offset, _)| *offset);
        wait_until("configuration in force everywhere", || {
            let output = self.ctl(&["status", "--json"]);
            let all: Value = serde_json::from_slice(&output.stdout).unwrap_or_default();
            let daemons = all.as_array().cloned().unwrap_or_default();
            !daemons.is_empty() && daemons.iter().all(|d| d["offset"] == newest())
        });
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::thread::panicking() {
            for (host, daemon) in &self.daemons {
                let lines = daemon.process.lines();
                let last = &lines[lines.len().saturating_sub(MAX_SHOWN_LOG_LINES)..];
                eprintln!("--- {host}\n{}", last.join("\n"));
            }
        }
        self.daemons.clear();
        std::fs::remove_dir_all(&self.dir).ok();
    }
}
