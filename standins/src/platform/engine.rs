//! Test double of a backend server, a model engine or a plain service: it responds as the test's plan says.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use super::http::{Head, read_body, read_head};

/// A request as it arrived.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Id of the engine that received it.
    pub server: String,
    /// Head of the request.
    pub head: Head,
    /// Body of the request.
    pub body: Vec<u8>,
    /// Whether the engine started to run it.
    pub was_run: bool,
    /// Whether its connection was closed while the engine was processing it.
    pub caller_closed: bool,
    /// When it arrived.
    pub at: Instant,
}

impl Arrival {
    /// Returns the value of its `Attempt-Id` header.
    pub fn id(&self) -> &str {
        self.head.get("attempt-id").unwrap_or_default()
    }
}

/// What an engine does with a request.
#[derive(Clone, Debug)]
pub enum Plan {
    /// Responds with this status and body, and the usual headers of an engine.
    Answer(u16, Vec<u8>),
    /// Responds so after a delay.
    Delayed(Duration, u16, Vec<u8>),
    /// Writes these bytes and closes the connection.
    RawBytes(Vec<u8>),
    /// Writes these bytes and keeps the connection open.
    RawBytesOpen(Vec<u8>),
    /// Writes the first bytes, and then the second ones again and again until the connection is closed.
    Endless(Vec<u8>, Vec<u8>),
    /// The same, but one byte of the second ones at a time, with pauses.
    Trickle(Vec<u8>, Vec<u8>),
    /// Runs it and crashes after a delay, even if the caller has disconnected: all connections break, and the engine
    /// stops listening.
    Crash(Duration),
    /// Responds with this status that the request was not run.
    NotRun(u16),
    /// Responds with 503 that the request was not run, with this delay as `Retry-After`.
    RetryAfter(Duration),
    /// Runs it and resets the connection.
    Reset,
    /// Runs it and sends no response until the caller closes the connection.
    Silent,
    /// Streams events.
    Stream(StreamPlan),
}

/// A streamed response.
#[derive(Clone, Debug)]
pub struct StreamPlan {
    /// Total number of events.
    pub events: u64,
    /// Delay before each event.
    pub pause: Duration,
    /// Confidence that the model reports, if any.
    pub confidence: Option<u8>,
    /// Resets the connection after this many events, within the next one.
    pub cut_after: Option<u64>,
    /// Closes the connection in order after this many events, within the next one.
    pub close_after: Option<u64>,
    /// Stops sending after this many events, with the connection open.
    pub silent_after: Option<u64>,
    /// Whether the body is chunked; otherwise the end of the connection ends it.
    pub is_framed: bool,
}

impl Default for StreamPlan {
    fn default() -> Self {
        Self {
            events: 5,
            pause: Duration::from_millis(2),
            confidence: None,
            cut_after: None,
            close_after: None,
            silent_after: None,
            is_framed: true,
        }
    }
}

/// Description of an engine.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// Id of the engine.
    pub id: String,
    /// Service that it belongs to.
    pub service: String,
    /// Software version.
    pub version: String,
    /// Models that it serves.
    pub models: Vec<String>,
    /// Failure domain.
    pub domain: String,
    /// Whether its responses report its load.
    pub reports_load: bool,
}

impl EngineSpec {
    /// Describes an engine of a service; an engine of the service `models` serves three models.
    pub fn new(id: &str, service: &str, version: &str, domain: &str) -> Self {
        let models: &[&str] = if service == "models" { &["s", "m", "l"] } else { &[] };
        Self {
            id: id.to_owned(),
            service: service.to_owned(),
            version: version.to_owned(),
            models: models.iter().map(|model| (*model).to_owned()).collect(),
            domain: domain.to_owned(),
            reports_load: true,
        }
    }
}

/// Cold period of an engine that has just started.
#[derive(Clone, Copy, Debug)]
struct Cold {
    since: Instant,
    until: Instant,
    /// Number of requests within a second above which it crashes.
    max_per_second: usize,
}

/// A rate limit that an engine reports.
#[derive(Clone, Copy, Debug)]
struct ReportedLimit {
    per_second: f64,
    since: Instant,
}

/// Time within which all gateways must comply with a newly set limit.
const LIMIT_GRACE_PERIOD: Duration = Duration::from_secs(3);

/// Sliding window over which the requests to a limited engine are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);

const SECOND: Duration = Duration::from_secs(1);

/// Pause before each byte of [`Plan::Trickle`].
const TRICKLE_PAUSE: Duration = Duration::from_millis(20);

/// Bytes after which [`Plan::Trickle`] stops all the same: a minute.
const MAX_TRICKLE_BYTES: usize = 3_000;

/// Smallest size of a write of [`Plan::Endless`].
const ENDLESS_BLOCK_BYTES: usize = 16 * 1024;

/// Writes after which [`Plan::Endless`] stops all the same, so that a test whose receiver never closes the connection
/// ends: 4 GB.
const MAX_ENDLESS_BLOCKS: usize = 256 * 1024;

type Planner = dyn Fn(&Arrival) -> Plan + Send + Sync;

/// An engine that runs in this process. Clones share its state.
#[derive(Clone)]
pub struct Engine {
    /// Description of the engine.
    pub spec: EngineSpec,
    /// Address in its record: its own, or that of a proxy before it.
    pub addr: SocketAddr,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    running: Arc<AtomicUsize>,
    plan: Arc<Mutex<Arc<Planner>>>,
    cold: Arc<Mutex<Option<Cold>>>,
    limit: Arc<Mutex<Option<ReportedLimit>>>,
    is_leaving: Arc<AtomicBool>,
    sockets: Arc<Sockets>,
}

/// Sockets that a crash closes.
#[derive(Debug)]
struct Sockets {
    addr: SocketAddr,
    listener: Mutex<Option<TcpListener>>,
    open: Mutex<HashMap<u64, TcpStream>>,
    accepted: AtomicUsize,
    is_down: AtomicBool,
}

impl Sockets {
    /// Registers a connection, to be closed by a crash; returns `false` if the engine has crashed already.
    fn track(&self, number: u64, stream: &TcpStream) -> bool {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        self.accepted.fetch_add(1, Ordering::SeqCst);
        open.extend(stream.try_clone().map(|stream| (number, stream)));
        !self.is_down.load(Ordering::SeqCst)
    }

    /// Removes a connection, which is then closed with its last handle.
    fn untrack(&self, number: u64) {
        self.open.lock().unwrap_or_else(PoisonError::into_inner).remove(&number);
    }

    fn close(&self) {
        self.is_down.store(true, Ordering::SeqCst);
        let listener = self.listener.lock().unwrap_or_else(PoisonError::into_inner).take();
        // Unblocks the accepting thread, which then drops its own handle.
        listener.map(|l| socket2::SockRef::from(&l).shutdown(Shutdown::Both));
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.drain().for_each(|(_, stream)| {
            stream.shutdown(Shutdown::Both).ok();
        });
    }
}

impl std::fmt::Debug for Engine {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Engine").field("spec", &self.spec).finish_non_exhaustive()
    }
}

impl Engine {
    /// Starts an engine.
    ///
    /// # Panics
    ///
    /// If no port can be opened.
    pub fn start(
        spec: EngineSpec,
        plan: impl Fn(&Arrival) -> Plan + Send + Sync + 'static,
    ) -> Self {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self::start_at(any, spec, Arc::new(Mutex::new(Arc::new(plan))))
    }

    /// Starts a crashed engine again at the same address, under a new id.
    ///
    /// # Panics
    ///
    /// If its port is in use.
    pub fn restart_as(&self, id: &str) -> Self {
        let spec = EngineSpec { id: id.to_owned(), ..self.spec.clone() };
        Self::start_at(self.listen_addr(), spec, self.plan.clone())
    }

    fn listen_addr(&self) -> SocketAddr {
        self.sockets.addr
    }

    fn start_at(addr: SocketAddr, spec: EngineSpec, plan: Arc<Mutex<Arc<Planner>>>) -> Self {
        let listener = TcpListener::bind(addr).expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let sockets = Sockets {
            addr,
            listener: Mutex::new(Some(listener.try_clone().expect("a socket"))),
            open: Mutex::default(),
            accepted: AtomicUsize::new(0),
            is_down: AtomicBool::new(false),
        };
        let engine = Self {
            spec,
            addr,
            arrivals: Arc::default(),
            running: Arc::default(),
            plan,
            cold: Arc::default(),
            limit: Arc::default(),
            is_leaving: Arc::default(),
            sockets: Arc::new(sockets),
        };
        let serving = engine.clone();
        std::thread::spawn(move || {
            for (number, stream) in (0..).zip(listener.incoming().map_while(Result::ok)) {
                if !serving.sockets.track(number, &stream) {
                    return;
                }
                let engine = serving.clone();
                std::thread::spawn(move || {
                    engine.serve(stream);
                    engine.sockets.untrack(number);
                });
            }
        });
        engine
    }

    /// Returns whether it has crashed.
    pub fn is_down(&self) -> bool {
        self.sockets.is_down.load(Ordering::SeqCst)
    }

    /// Returns the number of connections that it has accepted so far.
    pub fn accepted_connections(&self) -> usize {
        self.sockets.accepted.load(Ordering::SeqCst)
    }

    /// Returns the number of its open connections.
    pub fn open_connections(&self) -> usize {
        self.sockets.open.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    /// Writes bytes to all open connections.
    ///
    /// # Panics
    ///
    /// If a connection is broken.
    pub fn write_unrequested(&self, bytes: &[u8]) {
        let open = self.sockets.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.values().for_each(|mut stream| stream.write_all(bytes).expect("an open connection"));
    }

    /// Closes all connections in order, and continues to listen.
    pub fn close_connections(&self) {
        let open = self.sockets.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.values().for_each(|stream| {
            stream.shutdown(Shutdown::Both).ok();
        });
    }

    /// Closes all connections and stops listening.
    pub fn crash(&self) {
        self.sockets.close();
    }

    /// Replaces the plan for all later requests.
    pub fn set_plan(&self, plan: impl Fn(&Arrival) -> Plan + Send + Sync + 'static) {
        *self.plan.lock().unwrap_or_else(PoisonError::into_inner) = Arc::new(plan);
    }

    /// Makes it cold for `duration`: it crashes if more than `max_per_second` requests arrive within a second.
    pub fn set_cold(&self, duration: Duration, max_per_second: usize) {
        let since = Instant::now();
        let cold = Cold { since, until: since + duration, max_per_second };
        *self.cold.lock().unwrap_or_else(PoisonError::into_inner) = Some(cold);
    }

    /// Sets or clears the rate limit that it reports in its responses.
    pub fn set_limit(&self, per_second: Option<f64>) {
        let limit =
            per_second.map(|per_second| ReportedLimit { per_second, since: Instant::now() });
        *self.limit.lock().unwrap_or_else(PoisonError::into_inner) = limit;
    }

    fn limit(&self) -> Option<ReportedLimit> {
        *self.limit.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the arrival times of requests addressed to it since its limit was set, relative to that time.
    pub fn arrivals_under_limit(&self) -> Vec<Duration> {
        let Some(limit) = self.limit() else { return Vec::new() };
        let is_addressed =
            |a: &Arrival| a.head.get("expect-instance").is_none_or(|id| id == self.spec.id);
        let arrivals = self.arrivals();
        let addressed = arrivals.iter().filter(|a| is_addressed(a) && a.at >= limit.since);
        addressed.map(|a| a.at - limit.since).collect()
    }

    /// Returns the maximum number of requests that it got within any window after the grace period of its limit, and
    /// the maximum that the limit allows.
    pub fn max_in_window_under_limit(&self) -> (usize, usize) {
        let Some(limit) = self.limit() else { return (0, 0) };
        let arrivals: Vec<_> = self
            .arrivals_under_limit()
            .into_iter()
            .filter(|at| *at >= LIMIT_GRACE_PERIOD)
            .collect();
        let within = |first: &Duration| {
            arrivals.iter().filter(|at| *at >= first && **at < *first + LIMIT_WINDOW).count()
        };
        let allowed = limit.per_second * LIMIT_WINDOW.as_secs_f64() * 1.5 + 5.0;
        (arrivals.iter().map(within).max().unwrap_or(0), allowed as usize)
    }

    /// Announces in all later responses that it is leaving.
    pub fn announce_leaving(&self) {
        self.is_leaving.store(true, Ordering::SeqCst);
    }

    fn cold(&self) -> Option<Cold> {
        let cold = *self.cold.lock().unwrap_or_else(PoisonError::into_inner);
        cold.filter(|cold| cold.until > Instant::now())
    }

    /// Returns the maximum number of requests addressed to it within any second of its last cold period.
    pub fn max_per_second_while_cold(&self) -> usize {
        let cold = *self.cold.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(cold) = cold else { return 0 };
        let is_addressed = |a: &Arrival| {
            a.head.get("expect-instance").is_none_or(|id| id == self.spec.id)
                && (cold.since..cold.until).contains(&a.at)
        };
        let arrivals = self.arrivals();
        let arrivals: Vec<_> = arrivals.iter().filter(|a| is_addressed(a)).map(|a| a.at).collect();
        let within = |first: &Instant| {
            arrivals.iter().filter(|at| *at >= first && **at < *first + SECOND).count()
        };
        arrivals.iter().map(within).max().unwrap_or(0)
    }

    /// Returns the requests that arrived, in order.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns its record in the store.
    pub fn record(&self, state: &str) -> String {
        let models: Vec<_> =
            self.spec.models.iter().map(|m| serde_json::json!({"name": m, "version": 1})).collect();
        let now = Instant::now();
        let cold_left = self.cold().map_or(Duration::ZERO, |cold| cold.until - now);
        serde_json::json!({
            "service": self.spec.service, "address": self.addr.to_string(),
            "zone": self.spec.domain, "version": self.spec.version, "slots": 8, "state": state,
            "cold_left_ms": cold_left.as_millis() as u64, "models": models, "call_seq": 0,
        })
        .to_string()
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(out) = stream.try_clone() else { return };
        out.set_nodelay(true).ok();
        let mut stream = BufReader::new(stream);
        while let Ok(Some(head)) = read_head(&mut stream) {
            let Ok(body) = read_body(&mut stream, &head, false) else { return };
            let (server, at) = (self.spec.id.clone(), Instant::now());
            let arrival = Arrival { server, head, body, was_run: false, caller_closed: false, at };
            if !self.answer(&out, arrival) {
                return;
            }
        }
    }

    /// Responds to a request; returns `false` if the connection must be closed.
    fn answer(&self, out: &TcpStream, mut arrival: Arrival) -> bool {
        let expected = arrival.head.get("expect-instance").map(str::to_owned);
        let plan = self.plan.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let plan = match expected {
            Some(id) if id != self.spec.id => Plan::NotRun(421),
            _ => plan(&arrival),
        };
        arrival.was_run = !matches!(plan, Plan::NotRun(_) | Plan::RetryAfter(_));
        let index = {
            let mut arrivals = self.arrivals.lock().unwrap_or_else(PoisonError::into_inner);
            arrivals.push(arrival.clone());
            arrivals.len() - 1
        };
        self.running.fetch_add(1, Ordering::SeqCst);
        if self.cold().is_some_and(|cold| self.max_per_second_while_cold() > cold.max_per_second) {
            self.crash();
        }
        let keep_open = self.execute(out, &arrival, plan);
        self.running.fetch_sub(1, Ordering::SeqCst);
        if keep_open.is_err() {
            let mut arrivals = self.arrivals.lock().unwrap_or_else(PoisonError::into_inner);
            arrivals[index].caller_closed = true;
        }
        keep_open.unwrap_or(false)
    }

    fn execute(&self, out: &TcpStream, arrival: &Arrival, plan: Plan) -> std::io::Result<bool> {
        let mut writer = out;
        match plan {
            Plan::Answer(status, body) => {
                writer.write_all(&self.response_bytes(arrival, status, "", &body))?;
            }
            Plan::Delayed(pause, status, body) => {
                wait_unless_closed(out, pause)?;
                writer.write_all(&self.response_bytes(arrival, status, "", &body))?;
            }
            Plan::NotRun(status) => {
                let not_run = if status == 421 { "" } else { "Not-Executed: 1\r\n" };
                writer.write_all(&self.response_bytes(arrival, status, not_run, b""))?;
            }
            Plan::RetryAfter(delay) => {
                let extra_headers =
                    format!("Not-Executed: 1\r\nRetry-After: {:.3}\r\n", delay.as_secs_f64());
                writer.write_all(&self.response_bytes(arrival, 503, &extra_headers, b""))?;
            }
            Plan::RawBytes(bytes) => {
                writer.write_all(&bytes)?;
                return Ok(false);
            }
            Plan::RawBytesOpen(bytes) => writer.write_all(&bytes)?,
            Plan::Endless(first, rest) => {
                writer.write_all(&first)?;
                // Many repetitions in each write, as the receiver must be the slower side.
                let block = rest.repeat(ENDLESS_BLOCK_BYTES.div_ceil(rest.len().max(1)));
                (0..MAX_ENDLESS_BLOCKS).try_for_each(|_| writer.write_all(&block))?;
                return Ok(false);
            }
            Plan::Trickle(first, rest) => {
                writer.write_all(&first)?;
                for byte in rest.iter().cycle().take(MAX_TRICKLE_BYTES) {
                    wait_unless_closed(out, TRICKLE_PAUSE)?;
                    writer.write_all(&[*byte])?;
                }
                return Ok(false);
            }
            Plan::Crash(pause) => {
                std::thread::sleep(pause);
                self.crash();
                return Ok(false);
            }
            Plan::Reset => {
                reset_on_close(out);
                return Ok(false);
            }
            Plan::Silent => wait_unless_closed(out, Duration::from_secs(60))?,
            Plan::Stream(plan) => return self.stream(out, arrival, &plan),
        }
        Ok(true)
    }

    fn head(&self, arrival: &Arrival, status: u16, extra_headers: &str) -> String {
        let running = self.running.load(Ordering::SeqCst);
        let load = match self.spec.reports_load {
            true => format!("Instance-Load: {running},0,8\r\n"),
            false => String::new(),
        };
        let cold = self.cold().map_or_else(String::new, |cold| {
            format!("Cold-Ms: {}\r\n", (cold.until - Instant::now()).as_millis())
        });
        let limit = self
            .limit()
            .map_or_else(String::new, |limit| format!("Server-Limit: {}\r\n", limit.per_second));
        let is_leaving = self.is_leaving.load(Ordering::SeqCst);
        let leaving = if is_leaving { "Server-Leaving: 1\r\n" } else { "" };
        format!(
            "HTTP/1.1 {status} Any\r\nAttempt-Id: {}\r\nResponse-Stamp: by-{}\r\n\
             {load}{cold}{limit}{leaving}{extra_headers}",
            arrival.id(),
            self.spec.id,
        )
    }

    fn response_bytes(
        &self,
        arrival: &Arrival,
        status: u16,
        extra_headers: &str,
        body: &[u8],
    ) -> Vec<u8> {
        let mut bytes = self.head(arrival, status, extra_headers).into_bytes();
        bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
        bytes.extend_from_slice(body);
        bytes
    }

    fn stream(
        &self,
        out: &TcpStream,
        arrival: &Arrival,
        plan: &StreamPlan,
    ) -> std::io::Result<bool> {
        let mut extra_headers = String::from("Content-Type: text/event-stream\r\n");
        if let Some(confidence) = plan.confidence {
            extra_headers.push_str(&format!("Confidence: {confidence}\r\n"));
        }
        extra_headers.push_str(if plan.is_framed { "Transfer-Encoding: chunked\r\n" } else { "" });
        let mut writer = out;
        writer.write_all(self.head(arrival, 200, &extra_headers).as_bytes())?;
        writer.write_all(b"\r\n")?;
        let last = arrival.head.get("last-event-id").and_then(|id| id.parse::<u64>().ok());
        let from = last.map_or(0, |id| id + 1);
        for id in from..plan.events {
            wait_unless_closed(out, plan.pause)?;
            if plan.silent_after == Some(id) {
                wait_unless_closed(out, Duration::from_secs(60))?;
            }
            let event = format!("id: {id}\ndata: piece {id}\n\n");
            if plan.cut_after == Some(id) {
                write_part(writer, &event.as_bytes()[..6], plan.is_framed)?;
                reset_on_close(out);
                return Ok(false);
            }
            if plan.close_after == Some(id) {
                write_part(writer, &event.as_bytes()[..6], plan.is_framed)?;
                break;
            }
            write_part(writer, event.as_bytes(), plan.is_framed)?;
        }
        if plan.is_framed {
            writer.write_all(b"0\r\n\r\n")?;
        }
        Ok(plan.is_framed)
    }
}

fn write_part(mut out: &TcpStream, bytes: &[u8], is_framed: bool) -> std::io::Result<()> {
    if !is_framed {
        return out.write_all(bytes);
    }
    let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
    chunk.extend_from_slice(bytes);
    chunk.extend_from_slice(b"\r\n");
    out.write_all(&chunk)
}

/// Waits for `duration`; fails as soon as the peer closes the connection.
fn wait_unless_closed(out: &TcpStream, duration: Duration) -> std::io::Result<()> {
    out.set_read_timeout(Some(duration.max(Duration::from_millis(1))))?;
    let mut buf = [0; 1];
    let is_closed = matches!(out.peek(&mut buf), Ok(0));
    out.set_read_timeout(None)?;
    if is_closed { Err(std::io::ErrorKind::ConnectionAborted.into()) } else { Ok(()) }
}

/// Makes the connection end with a TCP reset once it is dropped.
pub(crate) fn reset_on_close(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    // The peer then gets a reset; if the option cannot be set, it gets a normal close.
    socket.set_linger(Some(Duration::ZERO)).ok();
    stream.shutdown(std::net::Shutdown::Read).ok();
}
