//! Sends most new connections to one gateway, while each gateway has a small share of a core.

use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::Scope;
use std::time::{Duration, Instant};

use redwingfold_standins::fleet::throttle;
use redwingfold_standins::platform::{
    Arrival, Config, Conn, EngineSpec, Plan, PlatformFleet, StreamPlan, get, message,
};

/// Time for which a caller waits for a connection, and then for its request to be read.
const PATIENCE: Duration = Duration::from_secs(1);

/// Pause between two requests on a kept connection.
const KEPT_PAUSE: Duration = Duration::from_millis(200);

/// Events of a long stream, and the pause before each.
const STREAM_EVENTS: u64 = 60;
const STREAM_PAUSE: Duration = Duration::from_millis(50);

/// Number of backend servers.
const ENGINES: usize = 4;

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct SkewSettings {
    /// Path of the gateway binary.
    pub program: PathBuf,
    /// Seed of the choice of gateways.
    pub seed: u64,
    /// Number of gateways.
    pub gateways: usize,
    /// Share of a core that each gateway has; all of a core from 1.
    pub core_share: f64,
    /// Requests per second on new connections while they are spread evenly.
    pub even_rate: f64,
    /// Requests per second on new connections while most go to one gateway.
    pub skewed_rate: f64,
    /// Share of the new connections that go to that gateway.
    pub skewed_share: f64,
    /// How long the load is even before the skew, and again after it.
    pub even: Duration,
    /// Time from the beginning of the skew that is not measured.
    pub settling: Duration,
    /// How long the skew is measured.
    pub skewed: Duration,
    /// Time after which the connections go to a second gateway instead.
    pub moves_after: Option<Duration>,
    /// Connections to the first gateway that are kept, with a request every 200 ms on each.
    pub kept_connections: usize,
    /// Callers of the first gateway that receive one stream of 3 s after the other.
    pub streams: usize,
    /// Time that a backend server takes for a request on a new connection.
    pub call_duration: Duration,
    /// Whether these requests are streams, of one event, rather than calls.
    pub sends_streams: bool,
    /// Whether the backend servers report their load.
    pub reports_load: bool,
    /// Parts of the platform's rules that are in force.
    pub contracts: Vec<&'static str>,
}

/// What became of a request at the first attempt that a gateway read.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum FirstRead {
    /// It was served.
    Served,
    /// It got another status.
    Failed(u16),
    /// The caller left before it got a response.
    TimedOut,
    /// Its connections were refused, or closed before the request was read.
    Unread,
}

/// Requests of one phase.
#[derive(Clone, Debug, Default)]
pub struct PhaseResult {
    /// Number of requests by what became of their first read.
    pub first_reads: BTreeMap<FirstRead, usize>,
    /// Connections that were refused, or not open in time.
    pub unconnected: usize,
    /// Connections that were closed before their request was read.
    pub closed_unread: usize,
    /// Times of the served requests.
    pub took: Vec<Duration>,
}

impl PhaseResult {
    /// Returns the number of requests.
    pub fn requests(&self) -> usize {
        self.first_reads.values().sum()
    }

    /// Returns the share of the requests that were served at their first read.
    pub fn served_share(&self) -> f64 {
        let served = self.first_reads.get(&FirstRead::Served).copied().unwrap_or(0);
        served as f64 / self.requests().max(1) as f64
    }

    /// Returns the time within which a share of the served requests was served.
    pub fn quantile(&self, share: f64) -> Duration {
        let mut took = self.took.clone();
        took.sort_unstable();
        let index = (took.len() as f64 * share) as usize;
        took.get(index.min(took.len().saturating_sub(1))).copied().unwrap_or_default()
    }
}

/// Result of a run.
#[derive(Clone, Debug, Default)]
pub struct SkewOutcome {
    /// Before the skew.
    pub before: PhaseResult,
    /// From the beginning of the skew until it has settled.
    pub settling: PhaseResult,
    /// During the skew.
    pub during: PhaseResult,
    /// In the first second after the skew.
    pub ending: PhaseResult,
    /// From then on.
    pub after: PhaseResult,
    /// Requests on kept connections: those served, and all.
    pub kept: (usize, usize),
    /// Streams that were complete, and all.
    pub streams: (usize, usize),
    /// Log lines of the gateways.
    pub lines: Vec<String>,
    /// Metrics of the first gateway at the end.
    pub metrics: String,
    /// Processor time of the first gateway during the skew, as a share of a core.
    pub processor_share: f64,
}

/// Phases of a run, by the time at which a request is sent.
struct Phases {
    skew: Duration,
    measured: Duration,
    ending: Duration,
    after: Duration,
    end: Duration,
}

impl Phases {
    fn new(settings: &SkewSettings) -> Self {
        let measured = settings.even + settings.settling;
        let ending = measured + settings.skewed;
        let after = ending + Duration::from_secs(1);
        Self { skew: settings.even, measured, ending, after, end: after + settings.even }
    }

    fn is_skewed(&self, at: Duration) -> bool {
        (self.skew..self.ending).contains(&at)
    }

    fn result<'a>(&self, outcome: &'a mut SkewOutcome, at: Duration) -> &'a mut PhaseResult {
        match at {
            at if at < self.skew => &mut outcome.before,
            at if at < self.measured => &mut outcome.settling,
            at if at < self.ending => &mut outcome.during,
            at if at < self.after => &mut outcome.ending,
            _ => &mut outcome.after,
        }
    }
}

/// Outcome of one attempt.
enum Attempt {
    Answered(u16),
    TimedOut,
    /// The connection was refused, or not open in time.
    Unconnected,
    /// The connection was closed without a response.
    Closed,
}

/// What became of one request.
struct RequestResult {
    first_read: FirstRead,
    unconnected: usize,
    closed_unread: usize,
    took: Duration,
}

/// Plays a skew.
///
/// # Panics
///
/// Panics if a process cannot be started.
pub fn run_skew(settings: &SkewSettings) -> SkewOutcome {
    let fleet = start_fleet(settings);
    let callers: Vec<SocketAddr> = fleet.gateways.iter().map(|g| g.callers).collect();
    let phases = Phases::new(settings);
    let outcome = Mutex::new(SkewOutcome::default());
    let stop = AtomicBool::new(false);
    let started_at = Instant::now();
    std::thread::scope(|scope| {
        if settings.core_share < 1.0 {
            for gateway in &fleet.gateways {
                let (stop, share) = (&stop, settings.core_share);
                scope.spawn(move || throttle(&gateway.process, share, stop));
            }
        }
        scope.spawn(|| sample_processor_share(&fleet, &phases, started_at, &outcome));
        send_beside(scope, settings, callers[0], &stop, &outcome);
        send_load(scope, settings, &phases, &callers, started_at, &outcome);
        stop.store(true, Ordering::SeqCst);
    });
    let mut outcome = outcome.into_inner().expect("no caller panics");
    outcome.lines = fleet.lines();
    outcome.metrics = get(fleet.gateways[0].metrics, "/metrics").text();
    outcome
}

fn start_fleet(settings: &SkewSettings) -> PlatformFleet {
    let mut fleet = PlatformFleet::new(&settings.program.display().to_string());
    fleet.contracts.clone_from(&settings.contracts);
    fleet.publish(&Config::default());
    for n in 0..ENGINES {
        let spec = |id: &str, service: &str| EngineSpec {
            reports_load: settings.reports_load,
            ..EngineSpec::new(id, service, "v1", "hall-1")
        };
        let duration = settings.call_duration;
        let call = move |_: &Arrival| Plan::Delayed(duration, 200, b"done".to_vec());
        fleet.engine_from_spec(spec(&format!("p{n}"), "plain"), None, call);
        fleet.engine_from_spec(spec(&format!("m{n}"), "models"), None, move |a| {
            plan_stream(a, duration)
        });
    }
    (0..settings.gateways).for_each(|_| {
        fleet.start_ready();
    });
    fleet
}

/// Streams of the path `/draft/long` take 3 s, others as long as a call.
fn plan_stream(arrival: &Arrival, call_duration: Duration) -> Plan {
    let is_long = arrival.head.line.contains("/draft/long");
    let (events, pause) = if is_long { (STREAM_EVENTS, STREAM_PAUSE) } else { (1, call_duration) };
    Plan::Stream(StreamPlan { events, pause, ..StreamPlan::default() })
}

/// Sends requests on new connections, each from a thread of its own, at the rates and to the gateways of the phases.
fn send_load<'scope, 'env>(
    scope: &'scope Scope<'scope, 'env>,
    settings: &SkewSettings,
    phases: &Phases,
    callers: &[SocketAddr],
    started_at: Instant,
    outcome: &'scope Mutex<SkewOutcome>,
) {
    let mut rng = fastrand::Rng::with_seed(settings.seed);
    let (mut at, mut number) = (Duration::ZERO, 0_u64);
    let sends_streams = settings.sends_streams;
    let mut threads = Vec::new();
    while at < phases.end {
        std::thread::sleep(at.saturating_sub(started_at.elapsed()));
        let first = choose_gateway(settings, phases, at, &mut rng);
        let second = (first + rng.usize(1..settings.gateways)) % settings.gateways;
        let addresses = [callers[first], callers[second]];
        threads.push((at, scope.spawn(move || send_request(sends_streams, number, addresses))));
        number += 1;
        let rate = if phases.is_skewed(at) { settings.skewed_rate } else { settings.even_rate };
        at += Duration::from_secs_f64(1.0 / rate);
    }
    let mut outcome = outcome.lock().expect("no caller panics");
    for (sent_at, thread) in threads {
        let sent = thread.join().expect("no caller panics");
        let result = phases.result(&mut outcome, sent_at);
        *result.first_reads.entry(sent.first_read).or_default() += 1;
        result.unconnected += sent.unconnected;
        result.closed_unread += sent.closed_unread;
        result.took.extend((sent.first_read == FirstRead::Served).then_some(sent.took));
    }
}

fn choose_gateway(
    settings: &SkewSettings,
    phases: &Phases,
    at: Duration,
    rng: &mut fastrand::Rng,
) -> usize {
    let has_moved = settings.moves_after.is_some_and(|after| at >= phases.skew + after);
    let hot = usize::from(has_moved);
    if phases.is_skewed(at) && rng.f64() < settings.skewed_share {
        return hot;
    }
    match phases.is_skewed(at) {
        true => (hot + rng.usize(1..settings.gateways)) % settings.gateways,
        false => rng.usize(..settings.gateways),
    }
}

/// Measures the share of a core that the first gateway uses during the skew.
fn sample_processor_share(
    fleet: &PlatformFleet,
    phases: &Phases,
    started_at: Instant,
    outcome: &Mutex<SkewOutcome>,
) {
    let sample_at = |at: Duration| {
        std::thread::sleep(at.saturating_sub(started_at.elapsed()));
        let used = processor_time(fleet);
        (Instant::now(), used)
    };
    let (since, before) = sample_at(phases.measured);
    let (until, after) = sample_at(phases.ending);
    let share = (after - before) / until.duration_since(since).as_secs_f64();
    outcome.lock().expect("no caller panics").processor_share = share;
}

/// Returns the processor time that the first gateway has used, in seconds.
fn processor_time(fleet: &PlatformFleet) -> f64 {
    let page = get(fleet.gateways[0].metrics, "/metrics").text();
    let line = page.lines().find_map(|line| line.strip_prefix("redwingfold_process_cpu_ms "));
    line.and_then(|ms| ms.parse::<f64>().ok()).map_or(0.0, |ms| ms / 1_000.0)
}

/// Sends an idempotent request, and once more to another gateway if it was not read.
fn send_request(is_stream: bool, number: u64, addresses: [SocketAddr; 2]) -> RequestResult {
    let began = Instant::now();
    let (mut unconnected, mut closed_unread) = (0, 0);
    let mut first_read = FirstRead::Unread;
    for (attempt, address) in addresses.into_iter().enumerate() {
        let id = format!("r{number}-{attempt}");
        let text = match is_stream {
            true => {
                let headers = format!("{CALL_HEADERS}{STREAM_HEADERS}");
                message("POST", "/draft/short", &id, &headers, "x")
            }
            false => message("GET", "/look/a", &id, CALL_HEADERS, ""),
        };
        match send_attempt(address, text.as_bytes()) {
            Attempt::Unconnected => unconnected += 1,
            Attempt::Closed => closed_unread += 1,
            Attempt::Answered(200) => first_read = FirstRead::Served,
            Attempt::Answered(status) => first_read = FirstRead::Failed(status),
            Attempt::TimedOut => first_read = FirstRead::TimedOut,
        }
        if first_read != FirstRead::Unread {
            break;
        }
    }
    RequestResult { first_read, unconnected, closed_unread, took: began.elapsed() }
}

fn send_attempt(address: SocketAddr, bytes: &[u8]) -> Attempt {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, PATIENCE) else {
        return Attempt::Unconnected;
    };
    stream.set_nodelay(true).ok();
    stream.set_read_timeout(Some(PATIENCE)).ok();
    let mut response = Vec::new();
    match stream.write_all(bytes).and_then(|()| stream.read_to_end(&mut response)) {
        Ok(_) if response.is_empty() => Attempt::Closed,
        Ok(_) => Attempt::Answered(parse_status(&response)),
        Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
            Attempt::TimedOut
        }
        Err(_) if response.is_empty() => Attempt::Closed,
        Err(_) => Attempt::Answered(0),
    }
}

/// Returns the status of a response; 0 if it cannot be read.
fn parse_status(response: &[u8]) -> u16 {
    let status = response.get("HTTP/1.1 ".len().."HTTP/1.1 200".len()).unwrap_or_default();
    std::str::from_utf8(status).ok().and_then(|status| status.parse().ok()).unwrap_or(0)
}

/// Sends requests on kept connections and receives streams beside the load.
fn send_beside<'scope, 'env>(
    scope: &'scope Scope<'scope, 'env>,
    settings: &SkewSettings,
    address: SocketAddr,
    stop: &'scope AtomicBool,
    outcome: &'scope Mutex<SkewOutcome>,
) {
    for caller in 0..settings.kept_connections {
        scope.spawn(move || {
            let mut conn = Conn::open(address).expect("a connection");
            for n in 0.. {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                let text = message("GET", "/look/a", &format!("k{caller}-{n}"), "", "");
                let is_served =
                    conn.write(text.as_bytes()).is_ok() && conn.read_response().status() == 200;
                let mut outcome = outcome.lock().expect("no caller panics");
                outcome.kept.0 += usize::from(is_served);
                outcome.kept.1 += 1;
                drop(outcome);
                if !is_served {
                    conn = Conn::open(address).expect("a connection");
                }
                std::thread::sleep(KEPT_PAUSE);
            }
        });
    }
    for caller in 0..settings.streams {
        scope.spawn(move || {
            let mut conn = Conn::open(address).expect("a connection");
            for n in 0.. {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                let text =
                    message("POST", "/draft/long", &format!("s{caller}-{n}"), STREAM_HEADERS, "x");
                let is_whole = conn.write(text.as_bytes()).is_ok() && conn.read_response().is_whole;
                let mut outcome = outcome.lock().expect("no caller panics");
                outcome.streams.0 += usize::from(is_whole);
                outcome.streams.1 += 1;
                drop(outcome);
                if !is_whole {
                    conn = Conn::open(address).expect("a connection");
                }
            }
        });
    }
}

/// Headers of a request on a connection of its own.
const CALL_HEADERS: &str = "Deadline-Ms: 4000\r\nConnection: close\r\n";

/// Headers of a stream.
const STREAM_HEADERS: &str =
    "Model: s\r\nToken-Usage: 900,50\r\nPrompt-Prefix: 1a:500,2b:300,3c:100\r\n";
