//! Calling HTTP/1.1 servers by IP number, with timeouts and connections that are used again.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures_lite::{AsyncReadExt, FutureExt};
use http_types::{Method, Request, Response, Url, headers};
use serde::de::DeserializeOwned;
use smol::Timer;
use smol::net::TcpStream;

/// Idle connections kept for one server.
const MAX_IDLE: usize = 64;

/// Bytes of a body that are read at a time.
const READ_BYTES: usize = 16 * 1024;

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: Vec<u8>,
    /// Value of `Retry-After`, in seconds, if there was one.
    pub retry_after: Option<u64>,
}

/// How long a call may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Bound {
    /// So long without a byte, and as long as the bytes need.
    Silence(Duration),
    /// So long in all.
    Whole(Duration),
}

impl Bound {
    fn span(self) -> Duration {
        match self {
            Self::Silence(span) | Self::Whole(span) => span,
        }
    }
}

/// Why a call has no answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallError {
    /// The body is larger than allowed.
    TooLarge,
    /// The server may have received the call, but its answer is not known.
    Unknown(String),
    /// No connection could be made, so the server has not received the call.
    Unreachable(String),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge => f.write_str("answer too large"),
            Self::Unknown(why) => write!(f, "answer unknown: {why}"),
            Self::Unreachable(why) => write!(f, "unreachable: {why}"),
        }
    }
}

impl std::error::Error for CallError {}

impl Answer {
    /// Says whether the status is 2xx.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Reads the body as JSON.
    ///
    /// # Errors
    ///
    /// What does not fit.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, serde_json::Error> {
        serde_json::from_slice(&self.body)
    }
}

/// Connects with the small-write delay switched off.
///
/// # Errors
///
/// [`CallError::Unreachable`] if there is no connection after `timeout`.
pub(crate) async fn connect(addr: SocketAddr, timeout: Duration) -> Result<TcpStream, CallError> {
    let unreachable = |why: String| CallError::Unreachable(format!("{addr}: {why}"));
    let connected =
        async { TcpStream::connect(addr).await.map_err(|e| unreachable(e.to_string())) };
    let late = async {
        Timer::after(timeout).await;
        Err(unreachable("connect timeout".to_owned()))
    };
    let stream = connected.or(late).await?;
    stream.set_nodelay(true).ok();
    Ok(stream)
}

/// Sends a request on a connection of its own and returns the answer's head, its body unread.
///
/// # Errors
///
/// [`CallError::Unreachable`] if nothing was sent, [`CallError::Unknown`] otherwise.
pub async fn open_stream(
    addr: SocketAddr,
    req: Request,
    timeout: Duration,
) -> Result<Response, CallError> {
    let stream = connect(addr, timeout).await?;
    async_h1::connect(stream, req).await.map_err(|e| CallError::Unknown(e.to_string()))
}

/// A client that keeps idle connections.
#[derive(Clone, Debug, Default)]
pub struct Client {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<TcpStream>>>>,
}

impl Client {
    /// Calls a server and reads the whole answer.
    ///
    /// `target` is the path and query, and a body is JSON.
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
        bound: Bound,
        max_body: usize,
    ) -> Result<Answer, CallError> {
        let url = Url::parse(&format!("http://{addr}{target}"))
            .map_err(|e| CallError::Unreachable(format!("{target}: {e}")))?;
        let mut req = Request::new(method, url);
        if let Some(body) = body {
            req.set_body(body);
            req.insert_header(headers::CONTENT_TYPE, "application/json");
        }
        self.send(addr, req, bound, max_body).await
    }

    /// Sends a request and reads the whole answer.
    ///
    /// A call that fails on a connection that was used before is not repeated here: the server may
    /// have received it.
    ///
    /// # Errors
    ///
    /// See [`CallError`].
    pub async fn send(
        &self,
        addr: SocketAddr,
        req: Request,
        bound: Bound,
        max_body: usize,
    ) -> Result<Answer, CallError> {
        let stream = match self.take_idle(addr) {
            Some(stream) => stream,
            None => connect(addr, bound.span()).await?,
        };
        let exchanged = exchange(stream.clone(), req, max_body, bound);
        let (answer, reusable) = match bound {
            Bound::Silence(_) => exchanged.await?,
            Bound::Whole(span) => exchanged.or(late(span)).await?,
        };
        if reusable {
            self.put_idle(addr, stream);
        }
        Ok(answer)
    }

    /// Takes an idle connection on which nothing has arrived: one that the server closed in the
    /// meantime would make the call fail with its fate unknown.
    fn take_idle(&self, addr: SocketAddr) -> Option<TcpStream> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let streams = idle.get_mut(&addr)?;
        while let Some(stream) = streams.pop() {
            let mut buf = [0; 1];
            let quiet = smol::future::block_on(smol::future::poll_once(stream.peek(&mut buf)));
            if quiet.is_none() {
                return Some(stream);
            }
        }
        None
    }

    fn put_idle(&self, addr: SocketAddr, stream: TcpStream) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let streams = idle.entry(addr).or_default();
        if streams.len() < MAX_IDLE {
            streams.push(stream);
        }
    }
}

async fn late<T>(span: Duration) -> Result<T, CallError> {
    Timer::after(span).await;
    Err(CallError::Unknown("timeout".to_owned()))
}

async fn exchange(
    stream: TcpStream,
    req: Request,
    max_body: usize,
    bound: Bound,
) -> Result<(Answer, bool), CallError> {
    let unknown = |e: String| CallError::Unknown(e);
    let begun = async { async_h1::connect(stream, req).await.map_err(|e| unknown(e.to_string())) };
    let mut res = begun.or(late(bound.span())).await?;
    let length = res.header(headers::CONTENT_LENGTH).and_then(|v| v.as_str().parse::<usize>().ok());
    let closes = res.header(headers::CONNECTION).is_some_and(|v| v.as_str() == "close");
    let retry_after = res.header(headers::RETRY_AFTER).and_then(|v| v.as_str().parse().ok());
    let limit = max_body as u64 + 1;
    let mut reader = res.take_body().into_reader().take(limit);
    let mut body = Vec::new();
    let mut buf = vec![0; READ_BYTES];
    loop {
        let more = async { reader.read(&mut buf).await.map_err(|e| unknown(e.to_string())) };
        match more.or(late(bound.span())).await? {
            0 => break,
            len => body.extend_from_slice(&buf[..len]),
        }
    }
    match length {
        _ if body.len() > max_body => return Err(CallError::TooLarge),
        Some(length) if length != body.len() => return Err(unknown("answer was cut".to_owned())),
        _ => {}
    }
    let answer = Answer { status: u16::from(res.status()), body, retry_after };
    Ok((answer, length.is_some() && !closes))
}
