//! Test double of the log service: append-only streams with offsets, a rate limit, retention and outages.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use redwingfold_http::{Method, Request, Response};
use serde::{Deserialize, Serialize};
use serde_json::json;
use smol::Timer;

use crate::history::History;
use crate::serve;

/// Faults and limits of the log service.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct LogFaults {
    /// Whether every call gets a 503.
    pub outage: bool,
    /// Time that each call waits before it is handled, in milliseconds.
    pub hang_ms: u64,
    /// Number of 1,000 successful appends whose response is lost: they get a 500.
    pub lose_answers: u32,
    /// Maximum number of appends per second, for all streams together.
    pub rate: u32,
    /// Maximum number of records that a stream keeps.
    pub retain: usize,
    /// Time that each append takes, in milliseconds.
    pub append_ms: u64,
}

impl Default for LogFaults {
    fn default() -> Self {
        Self {
            outage: false,
            hang_ms: 0,
            lose_answers: 0,
            rate: 500,
            retain: 100_000,
            append_ms: 0,
        }
    }
}

#[derive(Debug, Default)]
struct Stream {
    first: u64,
    records: VecDeque<String>,
}

#[derive(Debug)]
struct State {
    faults: LogFaults,
    streams: BTreeMap<String, Stream>,
    tokens: f64,
    refilled_at: Instant,
    rng: fastrand::Rng,
    appends: u64,
    reads: u64,
}

/// A running test double. Clones share its state.
#[derive(Clone, Debug)]
pub struct LogService {
    /// Listening address.
    pub addr: SocketAddr,
    /// Events of appends and refusals.
    pub history: History,
    state: Arc<Mutex<State>>,
    _task: Arc<smol::Task<()>>,
}

const POLL: Duration = Duration::from_millis(10);

impl LogService {
    /// Starts the service.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub fn start(addr: SocketAddr, seed: u64) -> std::io::Result<Self> {
        let faults = LogFaults::default();
        let state = Arc::new(Mutex::new(State {
            faults,
            streams: BTreeMap::new(),
            tokens: f64::from(faults.rate),
            refilled_at: Instant::now(),
            rng: fastrand::Rng::with_seed(seed),
            appends: 0,
            reads: 0,
        }));
        let history = History::default();
        let (inner, events) = (state.clone(), history.clone());
        let (addr, task) =
            serve::start(addr, move |req, _| handle(req, inner.clone(), events.clone()))?;
        Ok(Self { addr, history, state, _task: Arc::new(task) })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Changes the faults.
    pub fn set(&self, change: impl FnOnce(&mut LogFaults)) {
        change(&mut self.lock().faults);
    }

    /// Returns the records of a stream, with their offsets.
    pub fn records(&self, stream: &str) -> Vec<(u64, String)> {
        match self.lock().streams.get(stream) {
            Some(s) => (s.first..).zip(s.records.iter().cloned()).collect(),
            None => Vec::new(),
        }
    }

    /// Returns the names of all streams that ever had a record.
    pub fn streams(&self) -> Vec<String> {
        self.lock().streams.keys().cloned().collect()
    }

    /// Returns the numbers of appends and of reads so far.
    pub fn counts(&self) -> (u64, u64) {
        let state = self.lock();
        (state.appends, state.reads)
    }

    /// Appends a record as another client of the service would, and returns its offset.
    pub fn append(&self, stream: &str, record: &str) -> u64 {
        self.lock().append(stream, record.to_owned())
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl State {
    fn append(&mut self, stream: &str, record: String) -> u64 {
        let s = self
            .streams
            .entry(stream.to_owned())
            .or_insert(Stream { first: 1, ..Default::default() });
        s.records.push_back(record);
        while s.records.len() > self.faults.retain {
            s.records.pop_front();
            s.first += 1;
        }
        self.appends += 1;
        s.first + s.records.len() as u64 - 1
    }

    fn try_take_token(&mut self) -> bool {
        let rate = f64::from(self.faults.rate);
        self.tokens = (self.tokens + self.refilled_at.elapsed().as_secs_f64() * rate).min(rate);
        self.refilled_at = Instant::now();
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

async fn handle(mut req: Request, state: Arc<Mutex<State>>, history: History) -> Response {
    let (get, set) = (|| lock(&state).faults, |faults| lock(&state).faults = faults);
    if let Some(res) = serve::control(&mut req, &history, get, set).await {
        return res;
    }
    if req.url().path() == "/counts" {
        let s = lock(&state);
        return serve::json(&json!({"appends": s.appends, "reads": s.reads}));
    }
    let faults = lock(&state).faults;
    if faults.hang_ms > 0 {
        Timer::after(Duration::from_millis(faults.hang_ms)).await;
    }
    if faults.outage {
        return serve::status(503, "outage");
    }
    let path: Vec<_> = req.url().path().trim_matches('/').split('/').map(str::to_owned).collect();
    match (req.method(), path.as_slice()) {
        (Method::Post, [streams, name, append]) if streams == "streams" && append == "append" => {
            let name = name.clone();
            append_record(&mut req, &name, &state, &history).await
        }
        (Method::Get, [streams, name, records]) if streams == "streams" && records == "records" => {
            read_records(&req, name, &state).await
        }
        _ => serve::status(404, "no such path"),
    }
}

async fn append_record(
    req: &mut Request,
    stream: &str,
    state: &Mutex<State>,
    history: &History,
) -> Response {
    let Ok(record) = req.body_string().await else {
        return serve::status(400, "not UTF-8");
    };
    let wait = lock(state).faults.append_ms;
    if wait > 0 {
        Timer::after(Duration::from_millis(wait)).await;
    }
    let (offset, lost) = {
        let mut s = lock(state);
        if !s.try_take_token() {
            history.add("refused", stream, "", "rate");
            let mut res = serve::status(429, "too many appends");
            res.insert_header("retry-after", "1");
            return res;
        }
        let lose = s.faults.lose_answers;
        let lost = lose > 0 && s.rng.u32(0..1000) < lose;
        (s.append(stream, record), lost)
    };
    history.add("append", stream, "", if lost { "answer lost" } else { "" });
    if lost { serve::status(500, "answer lost") } else { serve::json(&json!({"offset": offset})) }
}

async fn read_records(req: &Request, stream: &str, state: &Mutex<State>) -> Response {
    let from = serve::query(req, "from").unwrap_or(1);
    let max = serve::query(req, "max").unwrap_or(1000) as usize;
    let wait = Duration::from_millis(serve::query(req, "wait_ms").unwrap_or(0).min(30_000));
    let started_at = Instant::now();
    lock(state).reads += 1;
    loop {
        {
            let s = lock(state);
            if s.faults.outage {
                return serve::status(503, "outage");
            }
            let empty = Stream { first: 1, ..Default::default() };
            let stream = s.streams.get(stream).unwrap_or(&empty);
            let next = stream.first + stream.records.len() as u64;
            if next > from || started_at.elapsed() >= wait {
                let start = from.max(stream.first);
                let skip = (start - stream.first) as usize;
                let records: Vec<_> = (start..)
                    .zip(stream.records.iter().skip(skip).take(max))
                    .map(|(offset, data)| json!({"offset": offset, "data": data}))
                    .collect();
                return serve::json(
                    &json!({"first": stream.first, "next": next, "records": records}),
                );
            }
        }
        Timer::after(POLL).await;
    }
}
