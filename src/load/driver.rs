//! Sending requests, closed loop or at a rate.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use futures_lite::AsyncReadExt;
use redwingfold_http::{CallTimeout, Client, Method, Request, Url, open_stream};
use serde_json::{Value, json};
use smol::Timer;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// What requests look like.
#[derive(Clone, Debug)]
pub struct RequestShape {
    /// Name in `model`.
    pub model: String,
    /// Customer's key; none is sent to an engine.
    pub key: Option<String>,
    /// Characters of the prompt.
    pub prompt_chars: usize,
    /// Different beginnings of prompts, which requests share.
    pub prefixes: usize,
    /// Tokens of an answer.
    pub tokens: u64,
    /// Whether answers are streamed.
    pub stream: bool,
    /// More headers.
    pub headers: Vec<(String, String)>,
}

impl RequestShape {
    /// Returns the body of the `n`th request.
    pub fn body(&self, n: u64) -> String {
        // Not in turn: with four engines in turn too, each would see a quarter of the beginnings.
        let random = xxhash_rust::xxh3::xxh3_64(&n.to_be_bytes()) as usize;
        let prefix = format!("prefix {} ", random % self.prefixes.max(1));
        let mut prompt = prefix.repeat(self.prompt_chars / prefix.len() + 1);
        prompt.truncate(self.prompt_chars);
        let message = json!({"role": "user", "content": format!("{prompt} request {n}")});
        let mut body =
            json!({"model": self.model, "messages": [message], "max_tokens": self.tokens});
        if self.stream {
            body["stream"] = Value::from(true);
        }
        body.to_string()
    }
}

/// How requests are paced.
#[derive(Clone, Copy, Debug)]
pub enum Pace {
    /// So many callers, each sending its next request when the last has ended.
    Callers(usize),
    /// So many requests a second at random times, whatever becomes of them.
    Rate(f64),
}

/// A load on one address.
#[derive(Clone, Debug)]
pub struct Load {
    /// Where to.
    pub addr: SocketAddr,
    /// What.
    pub shape: RequestShape,
    /// How fast.
    pub pace: Pace,
    /// How long.
    pub duration: Duration,
    /// Seed of the times.
    pub seed: u64,
}

/// What became of one request.
#[derive(Clone, Debug)]
pub struct Sample {
    /// When it was sent, since the start of the load.
    pub sent_at: Duration,
    /// HTTP status; 0 if no answer came.
    pub status: u16,
    /// Time to the first byte of the body.
    pub time_to_first_byte: Duration,
    /// Time to the end.
    pub total_time: Duration,
    /// Tokens of the answer.
    pub tokens: u64,
    /// Whether the answer came whole.
    pub is_complete: bool,
    /// Version that answered.
    pub version: String,
    /// Longest pause between two reads of a streamed answer.
    pub longest_gap: Duration,
}

/// Sends one request.
pub async fn send_request(
    client: &Client,
    addr: SocketAddr,
    shape: &RequestShape,
    n: u64,
) -> Sample {
    let started_at = Instant::now();
    let mut sample = Sample {
        sent_at: Duration::ZERO,
        status: 0,
        time_to_first_byte: Duration::ZERO,
        total_time: Duration::ZERO,
        tokens: 0,
        is_complete: false,
        version: String::new(),
        longest_gap: Duration::ZERO,
    };
    let exchange = exchange(client, addr, shape, n, &mut sample, started_at);
    crate::clock::with_timeout(
        redwingfold_core::Millis(REQUEST_TIMEOUT.as_millis() as u64),
        exchange,
    )
    .await;
    sample.total_time = started_at.elapsed();
    sample
}

async fn exchange(
    client: &Client,
    addr: SocketAddr,
    shape: &RequestShape,
    n: u64,
    sample: &mut Sample,
    started_at: Instant,
) -> Option<()> {
    let url = Url::parse(&format!("http://{addr}/v1/chat/completions")).ok()?;
    let mut req = Request::new(Method::Post, url);
    req.insert_header("content-type", "application/json");
    req.insert_header("x-request-id", format!("{n:032x}"));
    if let Some(key) = &shape.key {
        req.insert_header("authorization", format!("Bearer {key}"));
    }
    for (name, value) in &shape.headers {
        req.insert_header(name.as_str(), value.as_str());
    }
    req.set_body(shape.body(n));
    if !shape.stream {
        let answer = client
            .send(addr, req, CallTimeout::Total(REQUEST_TIMEOUT), MAX_RESPONSE_BYTES)
            .await
            .ok()?;
        sample.time_to_first_byte = started_at.elapsed();
        sample.status = answer.status;
        let value: Value = answer.json().ok()?;
        sample.tokens = value["usage"]["completion_tokens"].as_u64().unwrap_or(0);
        sample.version = value["model"].as_str().unwrap_or_default().to_owned();
        sample.is_complete = answer.status == 200;
        return Some(());
    }
    let mut res = open_stream(addr, req, REQUEST_TIMEOUT).await.ok()?;
    sample.status = u16::from(res.status());
    sample.version =
        res.header("x-model-version").map(|v| v.as_str().to_owned()).unwrap_or_default();
    let mut reader = res.take_body().into_reader();
    let mut buf = vec![0; 16 * 1024];
    let mut tail = Vec::new();
    let mut last_read_at = started_at;
    loop {
        let n = reader.read(&mut buf).await.ok()?;
        if n == 0 {
            break;
        }
        if sample.time_to_first_byte.is_zero() {
            sample.time_to_first_byte = started_at.elapsed();
        } else {
            sample.longest_gap = sample.longest_gap.max(last_read_at.elapsed());
        }
        last_read_at = Instant::now();
        let chunk = &buf[..n];
        sample.tokens += chunk.windows(7).filter(|w| w == b"\"delta\"").count() as u64;
        tail.extend_from_slice(chunk);
        let excess = tail.len().saturating_sub(64);
        tail.drain(..excess);
    }
    sample.is_complete = sample.status == 200 && tail.windows(6).any(|w| w == b"[DONE]");
    Some(())
}

/// Drives a load and returns what became of each request.
pub async fn run_load(load: &Load) -> Vec<Sample> {
    let load = Arc::new(load.clone());
    let client = Client::default();
    let started_at = Instant::now();
    let next = Arc::new(AtomicU64::new(load.seed << 32));
    match load.pace {
        Pace::Callers(callers) => {
            let tasks: Vec<_> = (0..callers)
                .map(|_| {
                    smol::spawn(run_caller(load.clone(), client.clone(), next.clone(), started_at))
                })
                .collect();
            let mut samples = Vec::new();
            for task in tasks {
                samples.extend(task.await);
            }
            samples
        }
        Pace::Rate(rate) => run_open_loop(&load, rate, &client, started_at).await,
    }
}

async fn run_caller(
    load: Arc<Load>,
    client: Client,
    next: Arc<AtomicU64>,
    started_at: Instant,
) -> Vec<Sample> {
    let mut samples = Vec::new();
    while started_at.elapsed() < load.duration {
        let sent_at = started_at.elapsed();
        let n = next.fetch_add(1, Ordering::Relaxed);
        let sample = send_request(&client, load.addr, &load.shape, n).await;
        if sample.status == 0 {
            // A refused connection answers at once: without a pause the loop would spin on it.
            Timer::after(Duration::from_millis(20)).await;
        }
        samples.push(Sample { sent_at, ..sample });
    }
    samples
}

async fn run_open_loop(
    load: &Arc<Load>,
    rate: f64,
    client: &Client,
    started_at: Instant,
) -> Vec<Sample> {
    let mut rng = fastrand::Rng::with_seed(load.seed);
    let mut sent_at = Duration::ZERO;
    let mut tasks = Vec::new();
    let mut n = load.seed << 32;
    while sent_at < load.duration {
        Timer::at(started_at + sent_at).await;
        let (load, client) = (load.clone(), client.clone());
        tasks.push(smol::spawn(async move {
            let sample = send_request(&client, load.addr, &load.shape, n).await;
            Sample { sent_at, ..sample }
        }));
        n += 1;
        sent_at += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / rate);
    }
    let mut samples = Vec::new();
    for task in tasks {
        samples.push(task.await);
    }
    samples
}
