//! A caller: sends requests to an entry and records the responses.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_lite::{AsyncReadExt, FutureExt};
use redwingfold_http::{Method, Request, Url, open_stream};
use serde_json::{Value, json};
use smol::Timer;

use super::objects::key_of;

/// A response, or the failure to get one.
#[derive(Clone, Debug, Default)]
pub struct Answered {
    /// HTTP status; 0 if no head was received.
    pub status: u16,
    /// Headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body, as far as it was received.
    pub body: Vec<u8>,
    /// Whether the body is complete by its HTTP framing.
    pub whole: bool,
    /// Time to the first byte of the body.
    pub first_byte: Duration,
    /// Time to the end of the response.
    pub took: Duration,
    /// Error of the connection or of the response; empty if there was none.
    pub error: String,
}

impl Answered {
    /// Returns the value of a header; `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// Returns the body as JSON; null if it is not JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the text of a chat completion, streamed or not.
    pub fn content(&self) -> String {
        let text = self.text();
        if let Some(content) = self.json()["choices"][0]["message"]["content"].as_str() {
            return content.to_owned();
        }
        let events = text.lines().filter_map(|line| line.strip_prefix("data: "));
        let values = events.filter_map(|e| serde_json::from_str::<Value>(e).ok());
        values
            .filter_map(|v| v["choices"][0]["delta"]["content"].as_str().map(str::to_owned))
            .collect()
    }

    /// Returns whether a streamed chat completion is complete and has its `[DONE]` event.
    pub fn is_complete_stream(&self) -> bool {
        self.whole && self.text().contains("data: [DONE]")
    }

    /// Returns the code and the run state of the error in the body.
    pub fn error_code(&self) -> (String, String) {
        let error = &self.json()["error"];
        let text = |v: &Value| v.as_str().unwrap_or_default().to_owned();
        (text(&error["code"]), text(&error["run_state"]))
    }
}

/// A request to send.
#[derive(Clone, Debug)]
pub struct Ask {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Headers.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl Ask {
    /// Creates a chat request.
    pub fn chat(customer: &str, model: &str, prompt: &str) -> Self {
        let body = json!({"model": model, "messages": [{"role": "user", "content": prompt}]});
        Self::new(Method::Post, "/v1/chat/completions", customer).body(body.to_string())
    }

    /// Creates a request of any kind, with the key of the customer.
    pub fn new(method: Method, target: &str, customer: &str) -> Self {
        let headers = vec![("authorization".to_owned(), format!("Bearer {}", key_of(customer)))];
        Self { method, target: target.to_owned(), headers, body: Vec::new() }
    }

    /// Sets the body.
    #[must_use]
    pub fn body(mut self, body: impl Into<Vec<u8>>) -> Self {
        self.body = body.into();
        self
    }

    /// Sets a field of the JSON body.
    #[must_use]
    pub fn field(mut self, name: &str, value: Value) -> Self {
        let mut body: Value = serde_json::from_slice(&self.body).unwrap_or_default();
        body[name] = value;
        self.body = body.to_string().into_bytes();
        self
    }

    /// Requests a streamed completion of `tokens` tokens.
    #[must_use]
    pub fn stream(self, tokens: u64) -> Self {
        self.field("stream", json!(true)).field("max_tokens", json!(tokens))
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Sets the session id.
    #[must_use]
    pub fn session(self, id: &str) -> Self {
        self.header("x-session-id", id)
    }

    /// Sets the idempotency key.
    #[must_use]
    pub fn key(self, key: &str) -> Self {
        self.header("idempotency-key", key)
    }
}

/// Sends requests to one entry.
#[derive(Clone, Copy, Debug)]
pub struct Caller {
    /// The entry's address for callers.
    pub addr: SocketAddr,
}

const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(120);

impl Caller {
    /// Sends a request and reads the response.
    pub async fn send(&self, ask: &Ask) -> Answered {
        let started_at = Instant::now();
        let mut answered = Answered::default();
        let late = async {
            Timer::after(RESPONSE_TIMEOUT).await;
            "late".to_owned()
        };
        answered.error = self.exchange(ask, &mut answered, started_at).or(late).await;
        answered.took = started_at.elapsed();
        answered
    }

    /// Sends a request and blocks the thread until the response has ended.
    pub fn send_blocking(&self, ask: &Ask) -> Answered {
        smol::block_on(self.send(ask))
    }

    async fn exchange(&self, ask: &Ask, answered: &mut Answered, started_at: Instant) -> String {
        let url = match Url::parse(&format!("http://{}{}", self.addr, ask.target)) {
            Ok(url) => url,
            Err(e) => return e.to_string(),
        };
        let mut req = Request::new(ask.method, url);
        for (name, value) in &ask.headers {
            req.insert_header(name.as_str(), value.as_str());
        }
        if !ask.body.is_empty() {
            req.set_body(ask.body.clone());
            req.insert_header("content-type", "application/json");
        }
        let mut res = match open_stream(self.addr, req, CONNECT_TIMEOUT).await {
            Ok(res) => res,
            Err(e) => return e.to_string(),
        };
        answered.status = u16::from(res.status());
        answered.headers =
            res.iter().map(|(k, v)| (k.as_str().to_lowercase(), v.as_str().to_owned())).collect();
        let content_length =
            answered.header("content-length").and_then(|v| v.parse::<usize>().ok());
        let mut reader = res.take_body().into_reader();
        let mut buf = vec![0; 16 * 1024];
        loop {
            match reader.read(&mut buf).await {
                Ok(0) => break,
                Ok(n) => {
                    if answered.body.is_empty() {
                        answered.first_byte = started_at.elapsed();
                    }
                    answered.body.extend_from_slice(&buf[..n]);
                }
                Err(e) => return e.to_string(),
            }
        }
        answered.whole = content_length.is_none_or(|len| len == answered.body.len());
        String::new()
    }
}
