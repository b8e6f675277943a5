//! Runs one seed: callers send requests while faults are injected.

use std::collections::HashSet;
use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use redwingfold_standins::platform::{Arrival, Conn, Got, StoreFault, message};

use crate::checks::{RequestRecord, violations};
use crate::crowds;
use crate::deadly;
use crate::domains::Domains;
use crate::faults::{clear_link_faults, inject, schedule};
use crate::reports::Reports;
use crate::restores::Restores;
use crate::testbed::Testbed;

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Path of the gateway binary.
    pub program: PathBuf,
    /// Seed of the random faults and requests.
    pub seed: u64,
    /// How long faults are injected.
    pub duration: Duration,
    /// Number of gateways.
    pub gateways: usize,
    /// Number of engines of each service.
    pub engines: usize,
    /// Number of concurrent callers.
    pub callers: usize,
    /// Number of unused routes that enlarge the configuration. If there are any, connections to the store are slow even
    /// while no fault is set.
    pub idle_routes: usize,
    /// Whether to send a deadly request, which crashes each engine that runs it.
    pub deadly: bool,
    /// Whether to restore the store from older copies.
    pub restores: bool,
    /// Whether to evacuate a failure domain and return it, and to start cold engines.
    pub domains: bool,
    /// Whether engines report limits, announce that they are leaving, or refuse requests with `Retry-After`.
    pub reports: bool,
    /// Whether crowds of callers misbehave beside the others, at gateways with lowered limits.
    pub crowds: bool,
}

/// Result of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Number of requests that were sent.
    pub requests: usize,
    /// Number of these that received a complete response with status 200.
    pub served: usize,
    /// Number of these that were quarantined because engines had crashed while running them, although they were not the
    /// cause.
    pub quarantined: usize,
    /// Faults that were injected, in order.
    pub faults: Vec<String>,
    /// Violations of guarantees.
    pub broken: Vec<String>,
    /// Log lines of the gateways, if a guarantee was violated.
    pub lines: Vec<String>,
}

/// How long a caller waits for a response.
const CALLER_TIMEOUT: Duration = Duration::from_secs(10);

/// Time within which a wrongly quarantined request must be served again.
const QUARANTINE_CLEAR_TIMEOUT: Duration = Duration::from_secs(8);

/// Maximum time between two attempts of the deadly request.
const DEADLY_MAX_INTERVAL_MS: u64 = 800;

/// Margin beyond the caller's timeout after which a response counts as late: processes are suspended for 1.2 s, and the
/// machine may be busy.
const LATE_MARGIN: Duration = Duration::from_secs(5);

/// Time within which the fleet must serve requests again after the last fault.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs a seed.
///
/// # Panics
///
/// Panics if a process cannot be started.
pub fn run_seed(settings: &Settings) -> Outcome {
    let mut testbed = Testbed::start(settings);
    let scheduled = schedule(settings.seed, settings.gateways, settings.duration);
    let mut outcome = Outcome::default();
    let (stop, next_request) = (AtomicBool::new(false), AtomicU64::new(0));
    let records = Mutex::new(Vec::new());
    let mut reports = Reports::new(settings.seed);
    // A restart gives a gateway a new address, so callers look up the addresses for each request.
    let addresses = Mutex::new(addresses(&testbed));
    std::thread::scope(|scope| {
        for caller in 0..settings.callers {
            let (stop, next_request, records, addresses) =
                (&stop, &next_request, &records, &addresses);
            let mut rng = fastrand::Rng::with_seed(settings.seed ^ caller as u64);
            scope.spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let n = next_request.fetch_add(1, Ordering::SeqCst);
                    let all = addresses.lock().expect("no caller panics").clone();
                    let request =
                        send_random_request(&mut rng, n, all[round_robin_index(n, all.len())]);
                    records.lock().expect("no caller panics").push(request);
                }
            });
        }
        if settings.deadly {
            let (stop, addresses) = (&stop, &addresses);
            let mut rng = fastrand::Rng::with_seed(settings.seed);
            scope.spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let all = addresses.lock().expect("no caller panics").clone();
                    deadly::send(&mut rng, &all);
                    std::thread::sleep(Duration::from_millis(rng.u64(..DEADLY_MAX_INTERVAL_MS)));
                }
            });
        }
        if settings.crowds {
            let (stop, addresses) = (&stop, &addresses);
            let mut rng = fastrand::Rng::with_seed(settings.seed);
            scope.spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let all = addresses.lock().expect("no caller panics").clone();
                    crowds::play(&mut rng, &all);
                }
            });
        }
        let mut restores = Restores::new(settings.seed);
        let mut domains = Domains::new(settings.seed);
        for scheduled in scheduled {
            std::thread::sleep(scheduled.delay);
            testbed.fleet.replace_crashed();
            if settings.restores {
                outcome.faults.extend(restores.step(&testbed));
            }
            if settings.domains {
                outcome.faults.extend(domains.step(&mut testbed));
            }
            if settings.reports {
                outcome.faults.extend(reports.step(&mut testbed));
            }
            domains.record_fault(scheduled.fault);
            let started_at = Instant::now();
            outcome.faults.push(scheduled.fault.to_string());
            if let Err(violation) = inject(&mut testbed, scheduled.fault) {
                outcome.broken.push(violation);
            }
            reports.record_fault(&testbed, scheduled.fault, started_at);
            *addresses.lock().expect("no caller panics") = self::addresses(&testbed);
            if settings.crowds {
                outcome.broken.extend(crowds::check_memory(&testbed));
            }
        }
        stop.store(true, Ordering::SeqCst);
    });
    testbed.fleet.store.set_fault(StoreFault::None);
    testbed.engine_faults.per_mille.store(0, Ordering::SeqCst);
    clear_link_faults(&testbed);
    testbed.fleet.replace_crashed();
    if settings.restores {
        testbed.rewrite_lost_data();
    }
    if settings.domains {
        outcome.broken.extend(Domains::check(&testbed));
    }
    outcome.broken.extend(check_recovery(&testbed));
    outcome.broken.extend(check_config_version(&testbed));
    if settings.deadly {
        outcome.broken.extend(deadly::check_refused(&mut testbed, settings.seed));
    }
    let mut records = records.into_inner().expect("no caller panics");
    let is_checked = |a: &Arrival| {
        !a.id().starts_with("after") && !a.id().starts_with("crowd") && !deadly::is_deadly(a)
    };
    let arrivals: Vec<_> = testbed.fleet.arrivals().into_iter().filter(is_checked).collect();
    records.sort_by(|a, b| a.id.cmp(&b.id));
    outcome.requests = records.len();
    outcome.served =
        records.iter().filter(|r| r.response.status() == 200 && r.response.is_whole).count();
    let is_quarantined = |response: &Got| response.text().starts_with("quarantined");
    let quarantined_paths: HashSet<_> =
        records.iter().filter(|r| is_quarantined(&r.response)).map(|r| &r.path).collect();
    outcome.quarantined = records.iter().filter(|r| is_quarantined(&r.response)).count();
    let never_cleared = quarantined_paths.iter().filter(|path| !is_served(&testbed, path));
    outcome.broken.extend(never_cleared.map(|path| format!("{path}: innocent, and still refused")));
    outcome.broken.extend(violations(&records, &arrivals));
    if settings.reports {
        outcome.broken.extend(reports.check(&arrivals, &records, settings.gateways));
    }
    if !outcome.broken.is_empty() {
        outcome.lines = testbed.fleet.lines();
    }
    outcome
}

/// Returns whether a request that was quarantined before is served within the timeout.
fn is_served(testbed: &Testbed, path: &str) -> bool {
    let (method, extra_headers) = match path.split('/').nth(1) {
        Some("look") => ("GET", ""),
        Some("sized") => ("POST", "Model: *\r\nToken-Usage: 900,50\r\n"),
        _ => ("POST", "Model: s\r\nToken-Usage: 900,50\r\n"),
    };
    let started_at = Instant::now();
    while started_at.elapsed() < QUARANTINE_CLEAR_TIMEOUT {
        if testbed.fleet.send(0, method, path, "after", extra_headers, "body").status() == 200 {
            return true;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    false
}

fn round_robin_index(n: u64, len: usize) -> usize {
    (n % len as u64) as usize
}

fn addresses(testbed: &Testbed) -> Vec<std::net::SocketAddr> {
    testbed.fleet.gateways.iter().map(|g| g.callers).collect()
}

/// Sends a random request and records the response.
fn send_random_request(
    rng: &mut fastrand::Rng,
    n: u64,
    addr: std::net::SocketAddr,
) -> RequestRecord {
    let id = format!("r{n:06}");
    let kind = rng.usize(..4);
    let (method, name) =
        [("GET", "look"), ("POST", "send"), ("POST", "draft"), ("POST", "sized")][kind];
    let path = format!("/{name}/{}", rng.u32(..50));
    let model = if kind == 3 { "*" } else { "s" };
    let extra_headers = match kind {
        0 | 1 => String::new(),
        _ => format!(
            "Model: {model}\r\nToken-Usage: 900,50\r\nPrompt-Prefix: {:x}:600,{:x}:300\r\n",
            rng.u32(1..9),
            rng.u32(10..)
        ),
    };
    let started_at = Instant::now();
    let response = send(addr, &message(method, &path, &id, &extra_headers, "body"));
    let is_late = started_at.elapsed() > CALLER_TIMEOUT + LATE_MARGIN;
    RequestRecord { id, path, customer: "ani", response, is_late }
}

fn send(addr: std::net::SocketAddr, text: &str) -> Got {
    let no_response = Got { head: Default::default(), body: Vec::new(), is_whole: false };
    let Ok(mut conn) = Conn::open(addr) else {
        // A gateway that is restarting has no listener for a moment.
        std::thread::sleep(Duration::from_millis(20));
        return no_response;
    };
    match conn.write(text.as_bytes()) {
        Ok(()) => conn.read_response(),
        Err(_) => no_response,
    }
}

/// Checks that each gateway applies the latest configuration within the recovery timeout.
fn check_config_version(testbed: &Testbed) -> Option<String> {
    let version = testbed.config.version;
    let line = format!("event=config_in_force version={version} ");
    let mut gateways = testbed.fleet.gateways.iter();
    let failure = gateways.find_map(|g| g.process.wait_for_line(&line, RECOVERY_TIMEOUT).err());
    failure
        .map(|log| format!("version {version} is not in force after {RECOVERY_TIMEOUT:?}: {log}"))
}

/// Checks that each gateway serves requests again within the recovery timeout after the last fault.
fn check_recovery(testbed: &Testbed) -> Option<String> {
    let started_at = Instant::now();
    for n in 0..testbed.fleet.gateways.len() {
        let mut attempts = 0;
        loop {
            attempts += 1;
            let response =
                testbed.fleet.send(n, "GET", "/look/a", &format!("after{n}-{attempts}"), "", "");
            match response.status() {
                200 => break,
                _ if started_at.elapsed() > RECOVERY_TIMEOUT => {
                    return Some(format!(
                        "gateway {n} does not serve after {RECOVERY_TIMEOUT:?}: {response:?}"
                    ));
                }
                _ => std::thread::sleep(Duration::from_millis(50)),
            }
        }
    }
    None
}
