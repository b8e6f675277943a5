//! Test double of a model engine, with continuous batching, a cache of prompt prefixes, and load reports with a lag.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use futures_lite::FutureExt;
use redwingfold_http::{BodySender, Peer, Request, Response, StatusCode, channel_body};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use smol::Timer;

use crate::history::History;
use crate::rating::BAD_MARK;
use crate::serve;

/// Settings of an engine without faults.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Model versions that are loaded at the start.
    pub versions: Vec<String>,
    /// Maximum number of requests that run at once.
    pub slots: usize,
    /// Prefill time of 1,000 characters of an uncached prompt, in milliseconds.
    pub prefill_ms: u64,
    /// Time per token while one request runs, in milliseconds; each further request adds a tenth.
    pub token_ms: u64,
    /// Maximum number of cached prompt prefixes.
    pub cache: usize,
    /// Lag of the load reports and cache events.
    pub report_lag: Duration,
    /// Time that an order takes if it loads a version, in milliseconds.
    pub load_ms: u64,
    /// Whether orders with a lower fencing number than an earlier one are refused.
    pub fencing: bool,
    /// Seed of the random choice of bad answers and lost events.
    pub seed: u64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            versions: vec!["slip-1".to_owned()],
            slots: 8,
            prefill_ms: 2,
            token_ms: 1,
            cache: 64,
            report_lag: Duration::from_millis(200),
            load_ms: 0,
            fencing: true,
            seed: 1,
        }
    }
}

/// Faults that an engine injects.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct EngineFaults {
    /// Number of bad answers in 1,000, by version.
    pub bad: BTreeMap<String, u32>,
    /// Accepts requests and sends no response.
    pub silent: bool,
    /// Aborts each stream after this number of tokens.
    pub die_after: Option<u32>,
    /// Additional time that each step takes, in percent; 0 for none.
    pub slow_percent: u64,
    /// Number of running requests that it reports instead of the actual load.
    pub lie: Option<usize>,
    /// Responds to every request with 500.
    pub fail: bool,
    /// Number of 1,000 cache events that are never published.
    pub lose_events: u32,
}

#[derive(Debug)]
struct State {
    settings: EngineSettings,
    faults: EngineFaults,
    running: usize,
    waiting: usize,
    load_samples: VecDeque<(Instant, usize, usize)>,
    cache: VecDeque<String>,
    /// Events of cached and evicted prefixes, with the time at which each is published.
    cache_events: Vec<(Instant, Value)>,
    /// Priorities of the waiting requests, with their order of arrival.
    queue: BTreeSet<(u8, u64)>,
    next_ticket: u64,
    /// Interrupted streams, by request id, with the index of the next token.
    interrupted_streams: BTreeMap<String, (Run, u64)>,
    highest_fence: u64,
    rng: fastrand::Rng,
}

/// A running test double. Clones share its state.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Listening address.
    pub addr: SocketAddr,
    /// Events of runs, ends, cancellations and orders.
    pub history: History,
    state: Arc<Mutex<State>>,
    _task: Arc<smol::Task<()>>,
}

const PREFIX_CHARS: usize = 64;
const DEFAULT_TOKENS: u64 = 8;
const MAX_CACHE_EVENTS: usize = 1_000;
const MAX_INTERRUPTED_STREAMS: usize = 100;
const DEFAULT_PRIORITY: u8 = 5;
const QUEUE_POLL: Duration = Duration::from_millis(1);

/// Returns the token at an index of an answer. It contains the version and the request id, so that a checker detects
/// a token of another answer.
fn token(version: &str, request: &str, prompt: &str, index: u64, is_bad: bool) -> String {
    let hash = xxhash_rust::xxh3::xxh3_64(prompt.as_bytes()) as u16;
    let tail = if is_bad { BAD_MARK } else { "ok" };
    let short = &request[..request.len().min(8)];
    format!("{index}:{version}:{short}:{hash:04x}:{tail} ")
}

/// Returns the complete text of an answer that is not bad.
pub fn answer_text(version: &str, request: &str, prompt: &str, tokens: u64) -> String {
    (0..tokens).map(|i| token(version, request, prompt, i, false)).collect()
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Engine {
    /// Starts the engine.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub fn start(addr: SocketAddr, settings: EngineSettings) -> std::io::Result<Self> {
        let state = Arc::new(Mutex::new(State {
            rng: fastrand::Rng::with_seed(settings.seed),
            settings,
            faults: EngineFaults::default(),
            running: 0,
            waiting: 0,
            load_samples: VecDeque::new(),
            cache: VecDeque::new(),
            cache_events: Vec::new(),
            queue: BTreeSet::new(),
            next_ticket: 0,
            interrupted_streams: BTreeMap::new(),
            highest_fence: 0,
        }));
        let history = History::default();
        let (inner, events) = (state.clone(), history.clone());
        let (addr, task) =
            serve::start(addr, move |req, peer| handle(req, peer, inner.clone(), events.clone()))?;
        Ok(Self { addr, history, state, _task: Arc::new(task) })
    }

    /// Changes the faults.
    pub fn set(&self, change: impl FnOnce(&mut EngineFaults)) {
        change(&mut lock(&self.state).faults);
    }

    /// Returns the versions that are loaded.
    pub fn versions(&self) -> Vec<String> {
        lock(&self.state).settings.versions.clone()
    }
}

impl State {
    fn record_load(&mut self) {
        let lag = self.settings.report_lag;
        self.load_samples.push_back((Instant::now(), self.running, self.waiting));
        while self.load_samples.len() > 1 && self.load_samples[1].0.elapsed() >= lag {
            self.load_samples.pop_front();
        }
    }

    fn load_report(&mut self) -> Value {
        self.record_load();
        let (_, running, waiting) =
            self.load_samples.front().copied().unwrap_or((Instant::now(), 0, 0));
        json!({
            "running": self.faults.lie.unwrap_or(running),
            "waiting": self.faults.lie.map_or(waiting, |_| 0),
            "slots": self.settings.slots,
            "versions": self.settings.versions,
        })
    }

    /// Caches the prefix of a prompt and returns whether it was cached before.
    fn cache_prefix(&mut self, version: &str, prompt: &str) -> bool {
        let prefix: String = prompt.chars().take(PREFIX_CHARS).collect();
        let key = format!("{version} {prefix}");
        let hit = match self.cache.iter().position(|k| *k == key) {
            Some(i) => self.cache.remove(i).is_some(),
            None => false,
        };
        if !hit {
            self.publish_cache_event("cached", &key);
        }
        self.cache.push_back(key);
        while self.cache.len() > self.settings.cache {
            if let Some(old) = self.cache.pop_front() {
                self.publish_cache_event("evicted", &old);
            }
        }
        hit
    }

    /// Publishes an event after the lag. A lost event is never published, but uses a number, which leaves a gap.
    fn publish_cache_event(&mut self, what: &str, key: &str) {
        let number = self.next_ticket;
        self.next_ticket += 1;
        let lost = self.faults.lose_events;
        if lost == 0 || self.rng.u32(0..1000) >= lost {
            let due = Instant::now() + self.settings.report_lag;
            self.cache_events.push((due, json!({"number": number, "what": what, "prefix": key})));
        }
        let excess = self.cache_events.len().saturating_sub(MAX_CACHE_EVENTS);
        self.cache_events.drain(..excess);
    }

    fn scaled_duration(&self, ms: u64) -> Duration {
        let load_factor = 10 + self.running.saturating_sub(1) as u64;
        Duration::from_micros(ms * 100 * load_factor * (100 + self.faults.slow_percent) / 100)
    }
}

/// Counts a request as waiting until [`Slot::acquire`] returns, then as running until the slot is dropped.
struct Slot {
    state: Arc<Mutex<State>>,
    ticket: (u8, u64),
    is_running: bool,
}

impl Slot {
    fn new(state: Arc<Mutex<State>>, priority: u8) -> Self {
        let ticket = {
            let mut s = lock(&state);
            let ticket = (priority, s.next_ticket);
            s.next_ticket += 1;
            s.queue.insert(ticket);
            s.waiting += 1;
            s.record_load();
            ticket
        };
        Self { state, ticket, is_running: false }
    }

    async fn acquire(&mut self) {
        loop {
            {
                let mut s = lock(&self.state);
                // The lowest priority number runs first, and among equals the earliest request.
                let is_next = s.queue.first() == Some(&self.ticket);
                if s.running < s.settings.slots && is_next {
                    s.queue.remove(&self.ticket);
                    s.waiting -= 1;
                    s.running += 1;
                    s.record_load();
                    self.is_running = true;
                    return;
                }
            }
            Timer::after(QUEUE_POLL).await;
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut s = lock(&self.state);
        if self.is_running {
            s.running -= 1;
        } else {
            s.queue.remove(&self.ticket);
            s.waiting -= 1;
        }
        s.record_load();
    }
}

async fn handle(
    mut req: Request,
    peer: Peer,
    state: Arc<Mutex<State>>,
    history: History,
) -> Response {
    let get = || lock(&state).faults.clone();
    let set = |faults| lock(&state).faults = faults;
    if let Some(res) = serve::control(&mut req, &history, get, set).await {
        return res;
    }
    match req.url().path() {
        "/v1/load" => serve::json(&lock(&state).load_report()),
        "/v1/cache_events" => cache_events(&req, &state),
        "/v1/resume" => resume(&mut req, state, history).await,
        "/v1/orders" => order(&mut req, &state, &history).await,
        "/v1/chat/completions" => chat(req, peer, state, history).await,
        _ => serve::status(404, "no such path"),
    }
}

/// Returns the published events from a number on; missing numbers are lost events.
fn cache_events(req: &Request, state: &Mutex<State>) -> Response {
    let from = serve::query(req, "from").unwrap_or(0);
    let s = lock(state);
    let due = s.cache_events.iter().filter(|(due, _)| *due <= Instant::now());
    let wanted = due.filter(|(_, event)| event["number"].as_u64() >= Some(from));
    serve::json(&json!({"events": wanted.map(|(_, event)| event).collect::<Vec<_>>()}))
}

/// Resumes an interrupted stream from a token on.
async fn resume(req: &mut Request, state: Arc<Mutex<State>>, history: History) -> Response {
    let body = serve::body_json(req).await.unwrap_or_default();
    let request = body["request_id"].as_str().unwrap_or_default();
    let found = lock(&state).interrupted_streams.get(request).cloned();
    let Some((run, next_token)) = found else {
        return serve::status(404, "no such stream broke off");
    };
    let from = body["from_token"].as_u64().unwrap_or(next_token).min(next_token);
    history.add("resume", &run.version, &run.request, from.to_string());
    stream_response(run, from, state, history)
}

fn stream_response(run: Run, from: u64, state: Arc<Mutex<State>>, history: History) -> Response {
    let (tx, body) = channel_body();
    smol::spawn(stream(run, from, tx, state, history)).detach();
    let mut res = Response::new(StatusCode::Ok);
    res.insert_header("content-type", "text/event-stream");
    res.set_body(body);
    res
}

async fn order(req: &mut Request, state: &Mutex<State>, history: &History) -> Response {
    let body = serve::body_json(req).await.unwrap_or_default();
    let fence = body["fencing"].as_u64().unwrap_or(0);
    let wanted = body["versions"].as_array().cloned().unwrap_or_default();
    let wanted: Vec<_> = wanted.iter().filter_map(|v| v.as_str().map(str::to_owned)).collect();
    let wait = {
        let mut s = lock(state);
        if s.settings.fencing && fence < s.highest_fence {
            history.add("order_refused", "", &fence.to_string(), body.to_string());
            return serve::status(409, "old fencing number");
        }
        s.highest_fence = s.highest_fence.max(fence);
        let loads = wanted.iter().any(|v| !s.settings.versions.contains(v));
        Duration::from_millis(if loads { s.settings.load_ms } else { 0 })
    };
    history.add("order", &wanted.join(","), &fence.to_string(), "");
    Timer::after(wait).await;
    history.add("loaded", &wanted.join(","), &fence.to_string(), "");
    let mut s = lock(state);
    s.settings.versions = wanted;
    serve::json(&json!({"fencing": fence, "versions": s.settings.versions}))
}

#[derive(Clone, Debug)]
struct Run {
    version: String,
    request: String,
    prompt: String,
    tokens: u64,
    priority: u8,
    is_bad: bool,
}

async fn chat(
    mut req: Request,
    peer: Peer,
    state: Arc<Mutex<State>>,
    history: History,
) -> Response {
    let request = req.header("x-request-id").map_or(String::new(), |v| v.as_str().to_owned());
    let Some(body) = serve::body_json(&mut req).await else {
        return serve::status(400, "not JSON");
    };
    let version = body["model"].as_str().unwrap_or_default().to_owned();
    let faults = lock(&state).faults.clone();
    if faults.fail {
        return serve::status(500, "failed");
    }
    if !lock(&state).settings.versions.contains(&version) {
        return serve::status(404, "version is not loaded");
    }
    history.add("run", &version, &request, "");
    if faults.silent {
        peer.disconnected().await;
        history.add("cancel", &version, &request, "silent");
        return serve::status(500, "silent");
    }
    let prompt = body["messages"]
        .as_array()
        .and_then(|m| m.last())
        .and_then(|m| m["content"].as_str())
        .unwrap_or_default()
        .to_owned();
    let bad_share = faults.bad.get(&version).copied().unwrap_or(0);
    let is_bad = lock(&state).rng.u32(0..1000) < bad_share;
    let tokens = body["max_tokens"].as_u64().unwrap_or(DEFAULT_TOKENS);
    let priority = body["priority"].as_u64().map_or(DEFAULT_PRIORITY, |p| p.min(9) as u8);
    let run = Run { version, request, prompt, tokens, priority, is_bad };
    if body["stream"].as_bool() == Some(true) {
        return stream_response(run, 0, state, history);
    }
    let complete_response = complete_response(&run, state, &history);
    let disconnected = async {
        peer.disconnected().await;
        history.add("cancel", &run.version, &run.request, "");
        serve::status(500, "caller is gone")
    };
    complete_response.or(disconnected).await
}

async fn prefill(run: &Run, slot: &mut Slot) {
    slot.acquire().await;
    let wait = {
        let mut s = lock(&slot.state);
        let hit = s.cache_prefix(&run.version, &run.prompt);
        let chars = if hit { run.prompt.len() as u64 / 10 } else { run.prompt.len() as u64 };
        let per_thousand = s.settings.prefill_ms;
        s.scaled_duration(per_thousand * (chars / 100).max(1)) / 10
    };
    Timer::after(wait).await;
}

async fn complete_response(run: &Run, state: Arc<Mutex<State>>, history: &History) -> Response {
    let mut slot = Slot::new(state, run.priority);
    prefill(run, &mut slot).await;
    let mut text = String::new();
    for index in 0..run.tokens {
        let wait = { lock(&slot.state).token_duration() };
        Timer::after(wait).await;
        text += &token(&run.version, &run.request, &run.prompt, index, run.is_bad);
    }
    history.add("end", &run.version, &run.request, if run.is_bad { "bad" } else { "good" });
    serve::json(&json!({
        "id": run.request,
        "object": "chat.completion",
        "model": run.version,
        "choices": [{
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "finish_reason": "stop",
        }],
        "usage": usage(run),
    }))
}

fn usage(run: &Run) -> Value {
    let prompt = run.prompt.len() as u64 / 4;
    json!({
        "prompt_tokens": prompt,
        "completion_tokens": run.tokens,
        "total_tokens": prompt + run.tokens,
    })
}

impl State {
    fn token_duration(&self) -> Duration {
        self.scaled_duration(self.settings.token_ms)
    }
}

async fn stream(run: Run, from: u64, tx: BodySender, state: Arc<Mutex<State>>, history: History) {
    let mut slot = Slot::new(state.clone(), run.priority);
    let sending = async {
        prefill(&run, &mut slot).await;
        for index in from..run.tokens {
            let (wait, die_after) = {
                let s = lock(&slot.state);
                (s.token_duration(), s.faults.die_after)
            };
            if die_after.is_some_and(|n| index >= u64::from(n)) {
                history.add("die", &run.version, &run.request, "");
                let mut s = lock(&state);
                if s.interrupted_streams.len() < MAX_INTERRUPTED_STREAMS {
                    s.interrupted_streams.insert(run.request.clone(), (run.clone(), index));
                }
                return Err(true);
            }
            Timer::after(wait).await;
            let text = token(&run.version, &run.request, &run.prompt, index, run.is_bad);
            let last = index + 1 == run.tokens;
            let mut event = json!({
                "id": run.request,
                "object": "chat.completion.chunk",
                "model": run.version,
                "choices": [{
                    "index": 0,
                    "delta": {"content": text},
                    "finish_reason": if last { json!("stop") } else { Value::Null },
                }],
            });
            if last {
                event["usage"] = usage(&run);
            }
            tx.send(format!("data: {event}\n\n").into_bytes()).await.map_err(|_| false)?;
        }
        tx.send(b"data: [DONE]\n\n".to_vec()).await.map_err(|_| false)
    };
    let disconnected = async {
        tx.closed().await;
        Err(false)
    };
    match sending.or(disconnected).await {
        Ok(()) => {
            history.add("end", &run.version, &run.request, if run.is_bad { "bad" } else { "good" })
        }
        Err(true) => tx.abort("died").await,
        Err(false) => history.add("cancel", &run.version, &run.request, ""),
    }
}
