//! HTTP client connections.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Request, Response, StatusCode, response};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use redwingfold_core::Millis;
use smol::{LocalExecutor, Task};

use crate::clock::{Clock, within};
use crate::hyper_io::HyperIo;
use crate::interim_limit::{InterimCount, InterimLimit};
use crate::net::connect;
use crate::segments::SegmentedBody;

/// Largest head of a response.
const MAX_RESPONSE_HEAD_BYTES: usize = 64 * 1024;

/// Error of a call without a complete response.
#[derive(Debug)]
pub enum CallError {
    /// No connection was established, so the server has not received the request.
    Unreachable(io::Error),
    /// The server may have received the request, and sent nothing for the duration of the idle timeout.
    TimedOut(String),
    /// The server may have received the request, but there is no complete response.
    Unknown(String),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(e) => write!(f, "unreachable: {e}"),
            Self::TimedOut(why) | Self::Unknown(why) => write!(f, "answer unknown: {why}"),
        }
    }
}

impl std::error::Error for CallError {}

impl CallError {
    /// Returns whether the connection was refused, as no process listens at the address.
    pub(crate) fn is_refused(&self) -> bool {
        matches!(self, Self::Unreachable(e) if e.kind() == io::ErrorKind::ConnectionRefused)
    }

    /// Returns whether connecting timed out.
    pub(crate) fn is_timeout(&self) -> bool {
        matches!(self, Self::Unreachable(e) if e.kind() == io::ErrorKind::TimedOut)
    }
}

/// Why a request on a connection has no response head.
#[derive(Debug)]
pub(crate) enum SendError {
    /// The connection was closed before any part of the request was written.
    NotWritten(String),
    /// The connection was closed or broke off before a response; the request may have been written.
    Closed(String),
    /// The server sent no valid response head.
    Invalid(String),
}

impl SendError {
    fn from_hyper(e: &hyper::Error, is_unsent: bool) -> Self {
        let why = error_chain(e);
        match () {
            () if is_unsent => Self::NotWritten(why),
            () if e.is_parse() || e.is_parse_too_large() || is_invalid_data(e) => {
                Self::Invalid(why)
            }
            () => Self::Closed(why),
        }
    }
}

/// A connection to a server. Dropping it closes it, which makes the server stop working on its request.
#[derive(Debug)]
pub struct HttpConnection {
    tx: SendRequest<SegmentedBody>,
    interim_count: InterimCount,
    /// Task that drives the connection; dropping it closes the connection.
    _conn: Task<()>,
}

impl HttpConnection {
    /// Connects to `addr` within `limit`.
    ///
    /// # Errors
    ///
    /// [`CallError::Unreachable`]: nothing was sent.
    pub async fn connect(
        executor: &Rc<LocalExecutor<'static>>,
        addr: SocketAddr,
        limit: Millis,
    ) -> Result<Self, CallError> {
        let stream = connect(addr, limit).await.map_err(CallError::Unreachable)?;
        let interim_count = InterimCount::default();
        let stream = InterimLimit { stream, count: interim_count.clone() };
        let made = http1::Builder::new()
            .max_buf_size(MAX_RESPONSE_HEAD_BYTES)
            .handshake(HyperIo(stream))
            .await;
        let (tx, conn) = made.map_err(|e| CallError::Unreachable(io::Error::other(e)))?;
        let driven = async move {
            // Errors are returned by the request on this connection.
            conn.await.ok();
        };
        Ok(Self { tx, interim_count, _conn: executor.spawn(driven) })
    }

    /// Sends a request and returns the response with its body unread.
    ///
    /// # Errors
    ///
    /// [`CallError::Unknown`]: the server may have received it.
    pub async fn send(
        &mut self,
        mut req: Request<SegmentedBody>,
    ) -> Result<Response<Incoming>, CallError> {
        self.interim_count.restart_for(&mut req);
        self.tx.send_request(req).await.map_err(|e| CallError::Unknown(error_chain(&e)))
    }

    /// Sends a request like [`HttpConnection::send`], and tells whether it was written.
    pub(crate) async fn try_send(
        &mut self,
        mut req: Request<SegmentedBody>,
    ) -> Result<Response<Incoming>, SendError> {
        self.interim_count.restart_for(&mut req);
        self.tx.try_send_request(req).await.map_err(|mut e| {
            // The request is returned only if it was not passed to the connection.
            let is_unsent = e.take_message().is_some();
            SendError::from_hyper(e.error(), is_unsent)
        })
    }

    /// Waits until a request can be sent, and returns `false` if the connection ends instead: the server has closed it, or
    /// has sent bytes beyond its response.
    pub(crate) async fn ready(&mut self) -> bool {
        self.tx.ready().await.is_ok()
    }

    /// Returns whether a request can be sent now.
    pub(crate) fn is_ready(&self) -> bool {
        self.tx.is_ready()
    }

    /// Sends a request and returns a reader for the response, whose body may have up to `max` bytes, with no pause longer
    /// than `idle_timeout`.
    ///
    /// # Errors
    ///
    /// [`CallError::TimedOut`] if nothing was received for `idle_timeout`, else [`CallError::Unknown`]. In both cases the
    /// server may have received the request.
    pub async fn send_and_read(
        &mut self,
        req: Request<SegmentedBody>,
        max: usize,
        idle_timeout: Millis,
    ) -> Result<ResponseReader, CallError> {
        let began = Clock.now();
        let timed_out = || Err(CallError::TimedOut(format!("no answer in {idle_timeout} ms")));
        let res = within(idle_timeout, self.send(req)).await.unwrap_or_else(timed_out)?;
        let (head, body) = res.into_parts();
        let content_length = body.size_hint().exact();
        let longest_idle = Clock.now().since(began);
        Ok(ResponseReader {
            head,
            body,
            buf: BytesMut::new(),
            content_length,
            max,
            idle_timeout,
            longest_idle,
        })
    }
}

/// Reads the body of a response.
///
/// There is no limit on the total time, only on the time without any bytes: see [`redwingfold_core::IdleTimeout`].
#[derive(Debug)]
pub struct ResponseReader {
    head: response::Parts,
    body: Incoming,
    buf: BytesMut,
    /// Length of the body, if the head declares it.
    content_length: Option<u64>,
    max: usize,
    idle_timeout: Millis,
    /// The longest time without any bytes so far.
    longest_idle: Millis,
}

impl ResponseReader {
    /// Returns the status.
    pub fn status(&self) -> StatusCode {
        self.head.status
    }

    /// Returns the headers.
    pub fn headers(&self) -> &HeaderMap {
        &self.head.headers
    }

    /// Returns the length of the body in bytes, if the head declares it.
    pub fn content_length(&self) -> Option<u64> {
        self.content_length
    }

    /// Returns the longest time without any bytes, before or within the response.
    pub fn longest_idle(&self) -> Millis {
        self.longest_idle
    }

    /// Reads until `len` bytes are buffered or the body ends, and returns the buffered bytes.
    ///
    /// # Errors
    ///
    /// [`CallError::TimedOut`] if nothing was received for the duration of the idle timeout; [`CallError::Unknown`] if the
    /// body broke off or is too long.
    pub async fn read_until(&mut self, len: usize) -> Result<&[u8], CallError> {
        while self.buf.len() < len && self.read_frame().await? {}
        Ok(&self.buf)
    }

    /// Reads the rest of the body.
    ///
    /// # Errors
    ///
    /// See [`ResponseReader::read_until`].
    pub async fn read_to_end(&mut self) -> Result<Bytes, CallError> {
        while self.read_frame().await? {}
        Ok(self.buf.split().freeze())
    }

    async fn read_frame(&mut self) -> Result<bool, CallError> {
        let began = Clock.now();
        let Some(frame) = within(self.idle_timeout, self.body.frame()).await else {
            let why = format!("silent for {} ms after {}", self.idle_timeout, self.progress());
            return Err(CallError::TimedOut(why));
        };
        self.longest_idle = self.longest_idle.max(Clock.now().since(began));
        match frame {
            None => Ok(false),
            Some(Err(e)) => {
                Err(CallError::Unknown(format!("{} after {}", error_chain(&e), self.progress())))
            }
            Some(Ok(frame)) => {
                self.buf.extend_from_slice(frame.data_ref().map_or(&[], |data| data));
                match self.buf.len() > self.max {
                    false => Ok(true),
                    true => {
                        Err(CallError::Unknown(format!("body is longer than {} bytes", self.max)))
                    }
                }
            }
        }
    }

    /// Describes how much was received, so that an error shows whether the server sent nothing or was too slow.
    fn progress(&self) -> String {
        match self.content_length {
            Some(content_length) => format!("{} of {content_length} bytes", self.buf.len()),
            None => format!("{} bytes", self.buf.len()),
        }
    }
}

/// Returns whether a connection failed because of the bytes that were received.
fn is_invalid_data(e: &hyper::Error) -> bool {
    let source = std::error::Error::source(e).and_then(|e| e.downcast_ref::<io::Error>());
    source.is_some_and(|e| e.kind() == io::ErrorKind::InvalidData)
}

/// Formats an error with its sources.
pub(crate) fn error_chain(e: &dyn std::error::Error) -> String {
    let mut text = e.to_string();
    let mut cause = e.source();
    while let Some(e) = cause {
        text.push_str(": ");
        text.push_str(&e.to_string());
        cause = e.source();
    }
    text
}
