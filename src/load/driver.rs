//! Sends requests, in a closed loop or at a given rate.

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

/// Shape of the requests.
#[derive(Clone, Debug)]
pub struct RequestShape {
    /// Value of `model` in the body.
    pub model: String,
    /// Customer's key. `None` for requests that go to an engine directly.
    pub key: Option<String>,
    /// Length of the prompt in characters.
    pub prompt_chars: usize,
    /// Number of distinct prompt prefixes, each shared by many requests.
    pub prefixes: usize,
    /// Maximum number of tokens of a response.
    pub tokens: u64,
    /// Whether responses are streamed.
    pub stream: bool,
    /// Additional headers.
    pub headers: Vec<(String, String)>,
}

impl RequestShape {
    /// Returns the body of the `n`th request.
    pub fn body(&self, n: u64) -> String {
        // A hash in place of round robin: with four engines that are also chosen by round robin,
        // each would get only a quarter of the prefixes.
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

/// When requests are sent.
#[derive(Clone, Copy, Debug)]
pub enum Pace {
    /// Closed loop: this many callers, each of which sends its next request when its last has
    /// ended.
    Callers(usize),
    /// Open loop: this many requests per second at random times, whether or not earlier ones have
    /// ended.
    Rate(f64),
}

/// A load that is sent to one address.
#[derive(Clone, Debug)]
pub struct Load {
    /// Address that receives the requests.
    pub addr: SocketAddr,
    /// Shape of the requests.
    pub shape: RequestShape,
    /// When requests are sent.
    pub pace: Pace,
    /// Time during which requests are sent.
    pub duration: Duration,
    /// Seed of the random times and of the request numbers.
    pub seed: u64,
}

/// Result of one request.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Time from the start of the load until the request was sent.
    pub sent_at: Duration,
    /// HTTP status, or 0 if no response was received.
    pub status: u16,
    /// Time to the first byte of the body. For a response that is not streamed, time to its end.
    pub time_to_first_byte: Duration,
    /// Time to the end of the response, or until the request failed.
    pub total_time: Duration,
    /// Tokens of the response.
    pub tokens: u64,
    /// Whether a successful response was received in full.
    pub is_complete: bool,
    /// Model version that produced the response.
    pub version: String,
    /// Longest pause between two reads of a streamed response.
    pub longest_gap: Duration,
}

/// Sends the `n`th request and measures the response.
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
        let response = client
            .send(addr, req, CallTimeout::Total(REQUEST_TIMEOUT), MAX_RESPONSE_BYTES)
            .await
            .ok()?;
        sample.time_to_first_byte = started_at.elapsed();
        sample.status = response.status;
        let value: Value = response.json().ok()?;
        sample.tokens = value["usage"]["completion_tokens"].as_u64().unwrap_or(0);
        sample.version = value["model"].as_str().unwrap_or_default().to_owned();
        sample.is_complete = response.status == 200;
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

/// Sends a load and returns the result of each request.
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
            // A refused connection fails immediately. Without a pause, the loop would spin.
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
