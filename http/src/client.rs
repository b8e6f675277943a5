//! HTTP/1.1 client for servers given by socket address, with timeouts and connection reuse.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures_lite::{AsyncReadExt, FutureExt};
use http_types::{Method, Request, Response, StatusCode, Url, headers};
use serde::de::DeserializeOwned;
use smol::Timer;
use smol::net::TcpStream;

use crate::conn::Conn;

/// Idle connections kept per server.
const MAX_IDLE_PER_SERVER: usize = 64;

/// Buffer size for reading a body, in bytes.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// A response with its whole body in memory.
#[derive(Clone, Debug)]
pub struct BufferedResponse {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: Vec<u8>,
    /// Value of `Retry-After` in seconds, if the header was present and a whole number.
    pub retry_after: Option<u64>,
}

/// Timeout of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallTimeout {
    /// Maximum time without receiving a byte; the total time is unlimited.
    Idle(Duration),
    /// Maximum total time.
    Total(Duration),
}

impl CallTimeout {
    fn duration(self) -> Duration {
        match self {
            Self::Idle(duration) | Self::Total(duration) => duration,
        }
    }
}

/// Why a call has no response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallError {
    /// The body is larger than allowed.
    TooLarge,
    /// The server may have received the call, but its response is unknown.
    Unknown(String),
    /// No connection could be opened, so the server has not received the call.
    Unreachable(String),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge => f.write_str("answer too large"),
            Self::Unknown(reason) => write!(f, "answer unknown: {reason}"),
            Self::Unreachable(reason) => write!(f, "unreachable: {reason}"),
        }
    }
}

impl std::error::Error for CallError {}

impl BufferedResponse {
    /// Returns whether the status is 2xx.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// If the body isn't valid JSON for `T`.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, serde_json::Error> {
        serde_json::from_slice(&self.body)
    }
}

/// Opens a TCP connection with `TCP_NODELAY` set.
///
/// # Errors
///
/// [`CallError::Unreachable`] if the connection fails or isn't open after `timeout`.
pub(crate) async fn connect(addr: SocketAddr, timeout: Duration) -> Result<TcpStream, CallError> {
    let unreachable = |reason: String| CallError::Unreachable(format!("{addr}: {reason}"));
    let connected =
        async { TcpStream::connect(addr).await.map_err(|e| unreachable(e.to_string())) };
    let timed_out = async {
        Timer::after(timeout).await;
        Err(unreachable("connect timeout".to_owned()))
    };
    let stream = connected.or(timed_out).await?;
    stream.set_nodelay(true).ok();
    Ok(stream)
}

/// Sends a request on a new connection and returns the response with its body unread.
///
/// `timeout` applies to connecting only.
///
/// # Errors
///
/// [`CallError::Unreachable`] if no connection was opened and so nothing was sent,
/// [`CallError::Unknown`] otherwise.
pub async fn open_stream(
    addr: SocketAddr,
    req: Request,
    timeout: Duration,
) -> Result<Response, CallError> {
    let stream = connect(addr, timeout).await?;
    receive_head(stream, req).await
}

/// Sends a request and returns the response with its body unread. Fails if the response is an interim one, its head is
/// too large or its body has no known end.
async fn receive_head(stream: TcpStream, req: Request) -> Result<Response, CallError> {
    let conn = Conn { stream, state: Arc::default() };
    let received = async_h1::connect(conn.clone(), req).await;
    conn.state.is_head_read.store(true, Ordering::Relaxed);
    match received {
        // async-h1 does not wait for the response after an interim one.
        Ok(res) if res.status().is_informational() => {
            Err(CallError::Unknown(format!("interim response {}", u16::from(res.status()))))
        }
        // async-h1 returns such a response without its body.
        Ok(res) if !is_body_delimited(&res) => {
            Err(CallError::Unknown("answer without a length".to_owned()))
        }
        received => received.map_err(|e| CallError::Unknown(e.to_string())),
    }
}

/// Returns whether the head of a response tells where its body ends, or that it has none.
fn is_body_delimited(res: &Response) -> bool {
    let has = |name| res.header(name).is_some();
    let has_no_body = matches!(res.status(), StatusCode::NoContent | StatusCode::NotModified);
    has_no_body || has(headers::CONTENT_LENGTH) || has(headers::TRANSFER_ENCODING)
}

/// A client that reuses idle connections.
#[derive(Clone, Debug, Default)]
pub struct Client {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<TcpStream>>>>,
}

impl Client {
    /// Calls a server and reads the whole response.
    ///
    /// `target` is the path and query. A body is sent as JSON.
    ///
    /// # Errors
    ///
    /// See [`CallError`].
    pub async fn call(
        &self,
        method: Method,
        addr: SocketAddr,
        target: &str,
        body: Option<Vec<u8>>,
        timeout: CallTimeout,
        max_body: usize,
    ) -> Result<BufferedResponse, CallError> {
        let url = Url::parse(&format!("http://{addr}{target}"))
            .map_err(|e| CallError::Unreachable(format!("{target}: {e}")))?;
        let mut req = Request::new(method, url);
        if let Some(body) = body {
            req.set_body(body);
            req.insert_header(headers::CONTENT_TYPE, "application/json");
        }
        self.send(addr, req, timeout, max_body).await
    }

    /// Sends a request and reads the whole response.
    ///
    /// A call that fails on a reused connection is not retried here, as the server may have
    /// received it.
    ///
    /// # Errors
    ///
    /// See [`CallError`].
    pub async fn send(
        &self,
        addr: SocketAddr,
        req: Request,
        timeout: CallTimeout,
        max_body: usize,
    ) -> Result<BufferedResponse, CallError> {
        let stream = match self.take_idle(addr) {
            Some(stream) => stream,
            None => connect(addr, timeout.duration()).await?,
        };
        let pending_exchange = exchange(stream.clone(), req, max_body, timeout);
        let (response, is_reusable) = match timeout {
            CallTimeout::Idle(_) => pending_exchange.await?,
            CallTimeout::Total(duration) => pending_exchange.or(timed_out(duration)).await?,
        };
        if is_reusable {
            self.put_idle(addr, stream);
        }
        Ok(response)
    }

    /// Takes an idle connection that has nothing to read. One that the server has closed in the
    /// meantime is discarded: a call on it would fail with an unknown outcome.
    fn take_idle(&self, addr: SocketAddr) -> Option<TcpStream> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let streams = idle.get_mut(&addr)?;
        while let Some(stream) = streams.pop() {
            let mut buf = [0; 1];
            let peeked = smol::future::block_on(smol::future::poll_once(stream.peek(&mut buf)));
            if peeked.is_none() {
                return Some(stream);
            }
        }
        None
    }

    fn put_idle(&self, addr: SocketAddr, stream: TcpStream) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let streams = idle.entry(addr).or_default();
        if streams.len() < MAX_IDLE_PER_SERVER {
            streams.push(stream);
        }
    }
}

async fn timed_out<T>(duration: Duration) -> Result<T, CallError> {
    Timer::after(duration).await;
    Err(CallError::Unknown("timeout".to_owned()))
}

async fn exchange(
    stream: TcpStream,
    req: Request,
    max_body: usize,
    timeout: CallTimeout,
) -> Result<(BufferedResponse, bool), CallError> {
    let unknown = |e: String| CallError::Unknown(e);
    let mut res = receive_head(stream, req).or(timed_out(timeout.duration())).await?;
    let content_length =
        res.header(headers::CONTENT_LENGTH).and_then(|v| v.as_str().parse::<usize>().ok());
    let is_closing = res.header(headers::CONNECTION).is_some_and(|v| v.as_str() == "close");
    let retry_after = res.header(headers::RETRY_AFTER).and_then(|v| v.as_str().parse().ok());
    let limit = max_body as u64 + 1;
    let mut reader = res.take_body().into_reader().take(limit);
    let mut body = Vec::new();
    let mut buf = vec![0; READ_BUFFER_BYTES];
    loop {
        let chunk_received =
            async { reader.read(&mut buf).await.map_err(|e| unknown(e.to_string())) };
        match chunk_received.or(timed_out(timeout.duration())).await? {
            0 => break,
            len => body.extend_from_slice(&buf[..len]),
        }
    }
    match content_length {
        _ if body.len() > max_body => return Err(CallError::TooLarge),
        Some(content_length) if content_length != body.len() => {
            return Err(unknown("answer was cut".to_owned()));
        }
        _ => {}
    }
    let response = BufferedResponse { status: u16::from(res.status()), body, retry_after };
    Ok((response, content_length.is_some() && !is_closing))
}
