//! Timeout for receiving the head of a request.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use redwingfold_core::Millis;
use smol::io::{AsyncRead, AsyncWrite};

use crate::clock::{Clock, sleep};
use crate::response::ResponseBody;

/// No byte of the next head has been received.
const IDLE: u64 = 0;

/// A request is being processed.
const BUSY: u64 = 1;

/// Offset added to the start time of a head in milliseconds, so that it differs from `IDLE` and `BUSY`.
const STARTED: u64 = 2;

/// State of a caller's connection: idle, busy, or receiving a head since some time.
///
/// The HTTP parser has a single timer for idle connections and heads. With it alone, a caller that sends a byte now and
/// then keeps its connection for as long as an idle one may be kept, and about a thousand of them exhaust the gateway's
/// connections. Therefore the head has a separate, shorter timeout.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeaderTimer(Arc<AtomicU64>);

impl HeaderTimer {
    fn record_bytes(&self, now: Millis) {
        let started_at = now.0.saturating_add(STARTED);
        // Bytes received while a request is processed belong to it, or to a pipelined request that has to wait.
        self.0.compare_exchange(IDLE, started_at, Ordering::Relaxed, Ordering::Relaxed).ok();
    }

    /// Records that a complete head was received.
    pub(crate) fn record_complete(&self) {
        self.0.store(BUSY, Ordering::Relaxed);
    }

    /// Returns when the first byte of an incomplete head was received.
    fn started_at(&self) -> Option<Millis> {
        self.0.load(Ordering::Relaxed).checked_sub(STARTED).map(Millis)
    }

    /// Waits until a head has been incomplete for `limit`. Detection takes at most twice as long.
    pub(crate) async fn wait_for_timeout(&self, limit: Millis) {
        loop {
            sleep(limit).await;
            let started_at = self.started_at();
            if started_at.is_some_and(|started_at| Clock.now().since(started_at) >= limit) {
                return;
            }
        }
    }

    /// Wraps a connection to record received bytes.
    pub(crate) fn wrap_stream<S>(&self, inner: S) -> TimedStream<S> {
        TimedStream { inner, timer: self.clone() }
    }

    /// Wraps a response body; when it is dropped, the connection is idle again.
    pub(crate) fn wrap_body(&self, body: ResponseBody) -> TimedBody {
        TimedBody { inner: body, timer: self.clone() }
    }
}

/// A connection that records when the head of a request starts.
#[derive(Debug)]
pub(crate) struct TimedStream<S> {
    inner: S,
    timer: HeaderTimer,
}

impl<S: AsyncRead + Unpin> AsyncRead for TimedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let len = ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        if len > 0 {
            self.timer.record_bytes(Clock.now());
        }
        Poll::Ready(Ok(len))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for TimedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}

/// A response body that marks the connection as idle when dropped.
pub(crate) struct TimedBody {
    inner: ResponseBody,
    timer: HeaderTimer,
}

impl Body for TimedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        Pin::new(&mut self.inner).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl Drop for TimedBody {
    fn drop(&mut self) {
        self.timer.0.store(IDLE, Ordering::Relaxed);
    }
}
