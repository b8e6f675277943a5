//! Playing one seed: callers press on while faults come.

use std::collections::HashSet;
use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use redwingfold_standins::platform::{Arrival, Conn, Got, StoreFault, message};

use crate::checks::{Seen, violations};
use crate::deadly;
use crate::domains::Domains;
use crate::faults::{bring_about, clear_ways, schedule};
use crate::reports::Reports;
use crate::restores::Restores;
use crate::world::World;

/// What to play.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The gateway's program.
    pub program: PathBuf,
    /// The seed.
    pub seed: u64,
    /// How long faults come.
    pub length: Duration,
    /// Gateways.
    pub gateways: usize,
    /// Engines of each service.
    pub engines: usize,
    /// Callers that press on at a time.
    pub callers: usize,
    /// Routes that make the configuration large; with any, the way to the store is slow in calm times, too.
    pub idle_routes: usize,
    /// Whether a request comes under which each engine ends that runs it.
    pub deadly: bool,
    /// Whether the store comes back from older copies.
    pub restores: bool,
    /// Whether a failure domain is emptied and returned, and engines are cold.
    pub domains: bool,
    /// Whether engines report limits, announce that they are leaving, or refuse requests with `Retry-After`.
    pub reports: bool,
}

/// What came of a play.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Requests that were sent.
    pub requests: usize,
    /// Of these, answered with success and whole.
    pub served: usize,
    /// Of these, refused because engines had ended under them, though they are innocent.
    pub quarantined: usize,
    /// The faults, in order.
    pub faults: Vec<String>,
    /// Promises that were broken.
    pub broken: Vec<String>,
    /// What the gateways logged, if a promise was broken.
    pub lines: Vec<String>,
}

/// Time that a caller waits.
const PATIENCE: Duration = Duration::from_secs(10);

/// Time in which an innocent request must have been tried again.
const CLEARED_AFTER: Duration = Duration::from_secs(8);

/// Longest time between two comings of the deadly request, in milliseconds.
const DEADLY_EVERY: u64 = 800;

/// Time beyond a caller's patience at which an answer counts as held: processes are frozen for
/// 1.2 s, and the machine may be busy.
const HELD: Duration = Duration::from_secs(5);

/// Time after the last fault in which the fleet must serve again.
const RECOVERY: Duration = Duration::from_secs(20);

/// Plays a seed.
///
/// # Panics
///
/// If a process cannot be started.
pub fn play(settings: &Settings) -> Outcome {
    let mut world = World::start(settings);
    let planned = schedule(settings.seed, settings.gateways, settings.length);
    let mut outcome = Outcome::default();
    let (stop, count) = (AtomicBool::new(false), AtomicU64::new(0));
    let seen = Mutex::new(Vec::new());
    let mut reports = Reports::new(settings.seed);
    // Gateways get new addresses at a restart; callers look them up for each request.
    let addresses = Mutex::new(addresses(&world));
    std::thread::scope(|scope| {
        for caller in 0..settings.callers {
            let (stop, count, seen, addresses) = (&stop, &count, &seen, &addresses);
            let mut rng = fastrand::Rng::with_seed(settings.seed ^ caller as u64);
            scope.spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let n = count.fetch_add(1, Ordering::SeqCst);
                    let all = addresses.lock().expect("no caller panics").clone();
                    let request = ask(&mut rng, n, all[rng_index(n, all.len())]);
                    seen.lock().expect("no caller panics").push(request);
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
                    std::thread::sleep(Duration::from_millis(rng.u64(..DEADLY_EVERY)));
                }
            });
        }
        let mut restores = Restores::new(settings.seed);
        let mut domains = Domains::new(settings.seed);
        for planned in planned {
            std::thread::sleep(planned.after);
            world.fleet.replace_crashed();
            if settings.restores {
                outcome.faults.extend(restores.step(&world));
            }
            if settings.domains {
                outcome.faults.extend(domains.step(&mut world));
            }
            if settings.reports {
                outcome.faults.extend(reports.step(&mut world));
            }
            domains.notes(planned.fault);
            let began = Instant::now();
            outcome.faults.push(planned.fault.to_string());
            if let Err(why) = bring_about(&mut world, planned.fault) {
                outcome.broken.push(why);
            }
            reports.notes(&world, planned.fault, began);
            *addresses.lock().expect("no caller panics") = self::addresses(&world);
        }
        stop.store(true, Ordering::SeqCst);
    });
    world.fleet.store.set_fault(StoreFault::None);
    world.mishaps.any.store(0, Ordering::SeqCst);
    clear_ways(&world);
    world.fleet.replace_crashed();
    if settings.restores {
        world.write_again();
    }
    if settings.domains {
        outcome.broken.extend(Domains::check(&world));
    }
    outcome.broken.extend(recovers(&world));
    outcome.broken.extend(is_up_to_date(&world));
    if settings.deadly {
        outcome.broken.extend(deadly::is_known(&mut world, settings.seed));
    }
    let mut seen = seen.into_inner().expect("no caller panics");
    let is_checked = |a: &Arrival| !a.id().starts_with("after") && !deadly::is_deadly(a);
    let arrivals: Vec<_> = world.fleet.arrivals().into_iter().filter(is_checked).collect();
    seen.sort_by(|a, b| a.id.cmp(&b.id));
    outcome.requests = seen.len();
    outcome.served = seen.iter().filter(|s| s.got.status() == 200 && s.got.is_whole).count();
    let refused = |got: &Got| got.text().starts_with("quarantined");
    let innocent: HashSet<_> = seen.iter().filter(|s| refused(&s.got)).map(|s| &s.path).collect();
    outcome.quarantined = seen.iter().filter(|s| refused(&s.got)).count();
    let never_cleared = innocent.iter().filter(|path| !is_served(&world, path));
    outcome.broken.extend(never_cleared.map(|path| format!("{path}: innocent, and still refused")));
    outcome.broken.extend(violations(&seen, &arrivals));
    if settings.reports {
        outcome.broken.extend(reports.check(&arrivals, &seen, settings.gateways));
    }
    if !outcome.broken.is_empty() {
        outcome.lines = world.fleet.lines();
    }
    outcome
}

/// Says whether a request that was refused before is answered now.
fn is_served(world: &World, path: &str) -> bool {
    let (method, more) = match path.split('/').nth(1) {
        Some("look") => ("GET", ""),
        Some("sized") => ("POST", "Model: *\r\nToken-Usage: 900,50\r\n"),
        _ => ("POST", "Model: s\r\nToken-Usage: 900,50\r\n"),
    };
    let begun = Instant::now();
    while begun.elapsed() < CLEARED_AFTER {
        if world.fleet.send(0, method, path, "after", more, "body").status() == 200 {
            return true;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    false
}

fn rng_index(n: u64, len: usize) -> usize {
    (n % len as u64) as usize
}

fn addresses(world: &World) -> Vec<std::net::SocketAddr> {
    world.fleet.gateways.iter().map(|g| g.callers).collect()
}

/// Sends one request, and another on the same connection while it stays open.
fn ask(rng: &mut fastrand::Rng, n: u64, addr: std::net::SocketAddr) -> Seen {
    let id = format!("r{n:06}");
    let kind = rng.usize(..4);
    let (method, name) =
        [("GET", "look"), ("POST", "send"), ("POST", "draft"), ("POST", "sized")][kind];
    let path = format!("/{name}/{}", rng.u32(..50));
    let model = if kind == 3 { "*" } else { "s" };
    let more = match kind {
        0 | 1 => String::new(),
        _ => format!(
            "Model: {model}\r\nToken-Usage: 900,50\r\nPrompt-Prefix: {:x}:600,{:x}:300\r\n",
            rng.u32(1..9),
            rng.u32(10..)
        ),
    };
    let begun = Instant::now();
    let got = send(addr, &message(method, &path, &id, &more, "body"));
    let is_late = begun.elapsed() > PATIENCE + HELD;
    Seen { id, path, customer: "ani", got, is_late }
}

fn send(addr: std::net::SocketAddr, text: &str) -> Got {
    let nothing = Got { head: Default::default(), body: Vec::new(), is_whole: false };
    let Ok(mut conn) = Conn::open(addr) else {
        // A gateway that starts anew has no listener for a moment.
        std::thread::sleep(Duration::from_millis(20));
        return nothing;
    };
    match conn.write(text.as_bytes()) {
        Ok(()) => conn.read_response(),
        Err(_) => nothing,
    }
}

/// After the last fault, each gateway serves again before long.
/// Checks that each gateway comes to have the newest configuration in force.
fn is_up_to_date(world: &World) -> Option<String> {
    let version = world.config.version;
    let line = format!("event=config_in_force version={version} ");
    let mut gateways = world.fleet.gateways.iter();
    let late = gateways.find_map(|g| g.process.wait_for_line(&line, RECOVERY).err());
    late.map(|log| format!("version {version} is not in force after {RECOVERY:?}: {log}"))
}

fn recovers(world: &World) -> Option<String> {
    let begun = Instant::now();
    for n in 0..world.fleet.gateways.len() {
        let mut tries = 0;
        loop {
            tries += 1;
            let got = world.fleet.send(n, "GET", "/look/a", &format!("after{n}-{tries}"), "", "");
            match got.status() {
                200 => break,
                _ if begun.elapsed() > RECOVERY => {
                    return Some(format!("gateway {n} does not serve after {RECOVERY:?}: {got:?}"));
                }
                _ => std::thread::sleep(Duration::from_millis(50)),
            }
        }
    }
    None
}
