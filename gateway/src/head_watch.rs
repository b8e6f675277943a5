//! How long a caller takes to send the head of a request.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use redwingfold_core::Millis;
use smol::io::{AsyncRead, AsyncWrite};

use crate::answer::ResponseBody;
use crate::clock::{Clock, sleep};

/// No byte of a further head has come.
const IDLE: u64 = 0;

/// A request is being answered.
const BUSY: u64 = 1;

/// Added to the time at which a head began, so that it is neither of the above.
const BEGUN: u64 = 2;

/// Where a caller's connection stands.
///
/// The parser has one timer for idle connections and heads. With that alone a caller that sends a byte
/// now and then keeps its connection for as long as an idle one may be kept, and some thousand such
/// take all that a gateway has. So the head's own time is watched beside it.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeadWatch(Arc<AtomicU64>);

impl HeadWatch {
    fn read(&self, now: Millis) {
        let begun = now.0.saturating_add(BEGUN);
        // Bytes that come while a request is answered belong to it, or to one that has to wait.
        self.0.compare_exchange(IDLE, begun, Ordering::Relaxed, Ordering::Relaxed).ok();
    }

    /// Notes that a head has come whole.
    pub(crate) fn is_whole(&self) {
        self.0.store(BUSY, Ordering::Relaxed);
    }

    /// Returns since when a head is on its way.
    fn begun(&self) -> Option<Millis> {
        self.0.load(Ordering::Relaxed).checked_sub(BEGUN).map(Millis)
    }

    /// Waits until a head has taken longer than `limit`, up to twice of it.
    pub(crate) async fn is_late(&self, limit: Millis) {
        loop {
            sleep(limit).await;
            let begun = self.begun();
            if begun.is_some_and(|begun| Clock.now().since(begun) >= limit) {
                return;
            }
        }
    }

    /// Watches a connection's bytes.
    pub(crate) fn stream<S>(&self, inner: S) -> Watched<S> {
        Watched { inner, watch: self.clone() }
    }

    /// Watches an answer: once it is gone, the next head may come.
    pub(crate) fn answer(&self, body: ResponseBody) -> WatchedBody {
        WatchedBody { inner: body, watch: self.clone() }
    }
}

/// A connection of which it is known when a head begins.
#[derive(Debug)]
pub(crate) struct Watched<S> {
    inner: S,
    watch: HeadWatch,
}

impl<S: AsyncRead + Unpin> AsyncRead for Watched<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let len = ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        if len > 0 {
            self.watch.read(Clock.now());
        }
        Poll::Ready(Ok(len))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Watched<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}

/// The body of an answer, after which the connection is idle.
pub(crate) struct WatchedBody {
    inner: ResponseBody,
    watch: HeadWatch,
}

impl Body for WatchedBody {
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

impl Drop for WatchedBody {
    fn drop(&mut self) {
        self.watch.0.store(IDLE, Ordering::Relaxed);
    }
}
