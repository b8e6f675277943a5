//! Calls to HTTP servers, each on a connection of its own unless it is kept by hand.

use std::cell::Cell;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use redwingfold_core::Millis;
use smol::{LocalExecutor, Task};
use smol_hyper::rt::FuturesIo;

use crate::clock::within;
use crate::net::connect;

/// Why a call has no answer.
#[derive(Debug)]
pub enum CallError {
    /// No connection could be made: the server has not received the call.
    Unreachable(io::Error),
    /// The server may have received the call; its answer is not known.
    Unknown(String),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(e) => write!(f, "unreachable: {e}"),
            Self::Unknown(why) => write!(f, "answer unknown: {why}"),
        }
    }
}

impl std::error::Error for CallError {}

/// A connection to a server. Dropping it closes it, which stops what the server does for it.
#[derive(Debug)]
pub struct Caller {
    tx: SendRequest<Full<Bytes>>,
    /// Drives the connection; it ends when this is dropped.
    _conn: Task<()>,
}

impl Caller {
    /// Connects.
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
        let made = http1::Builder::new().handshake(FuturesIo::new(stream)).await;
        let (tx, conn) = made.map_err(|e| CallError::Unreachable(io::Error::other(e)))?;
        let driven = async move {
            // What ends the connection is seen by the call that it carries.
            conn.await.ok();
        };
        Ok(Self { tx, _conn: executor.spawn(driven) })
    }

    /// Sends a request and returns the answer's head, its body unread.
    ///
    /// # Errors
    ///
    /// [`CallError::Unknown`]: the server may have received it.
    pub async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, CallError> {
        self.tx.send_request(req).await.map_err(|e| CallError::Unknown(chain(&e)))
    }

    /// Sends a request and reads the whole answer, up to `max` bytes, within a time.
    ///
    /// # Errors
    ///
    /// [`CallError::Unknown`]: the server may have received it.
    pub async fn whole(
        &mut self,
        req: Request<Full<Bytes>>,
        max: usize,
        limit: Millis,
    ) -> Result<Response<Bytes>, CallError> {
        let progress = Progress::default();
        let answered = async {
            let (head, body) = self.send(req).await?.into_parts();
            let body = read_body(body, max, &progress).await?;
            Ok(Response::from_parts(head, body))
        };
        let timeout = || Err(CallError::Unknown(format!("timeout after {progress}")));
        within(limit, answered).await.unwrap_or_else(timeout)
    }
}

/// How much of an answer's body has been read.
///
/// A call that was given up says by this whether nothing came, or too slowly.
#[derive(Debug, Default)]
struct Progress {
    bytes: Cell<usize>,
    /// Length that the head names.
    of: Cell<Option<u64>>,
}

impl fmt::Display for Progress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.of.get() {
            Some(of) => write!(f, "{} of {of} bytes", self.bytes.get()),
            None => write!(f, "{} bytes", self.bytes.get()),
        }
    }
}

async fn read_body(
    mut body: Incoming,
    max: usize,
    progress: &Progress,
) -> Result<Bytes, CallError> {
    progress.of.set(body.size_hint().exact());
    let mut buf = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| CallError::Unknown(chain(&e)))?;
        buf.extend_from_slice(frame.data_ref().map_or(&[], |data| data));
        progress.bytes.set(buf.len());
        if buf.len() > max {
            return Err(CallError::Unknown(format!("longer than {max} bytes: {progress}")));
        }
    }
    Ok(buf.freeze())
}

/// Calls a server on a connection of its own and reads the whole answer.
///
/// # Errors
///
/// See [`CallError`].
pub async fn call(
    executor: &Rc<LocalExecutor<'static>>,
    addr: SocketAddr,
    req: Request<Full<Bytes>>,
    max: usize,
    limit: Millis,
) -> Result<Response<Bytes>, CallError> {
    Caller::connect(executor, addr, limit).await?.whole(req, max, limit).await
}

/// Writes an error with its causes.
pub(crate) fn chain(e: &dyn std::error::Error) -> String {
    let mut text = e.to_string();
    let mut cause = e.source();
    while let Some(e) = cause {
        text.push_str(": ");
        text.push_str(&e.to_string());
        cause = e.source();
    }
    text
}
