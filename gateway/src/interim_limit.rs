//! Limit on the interim responses (1xx) that a server may send before its response.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::task::{Context, Poll};

use futures_lite::{AsyncRead, AsyncWrite};
use http::Request;
use hyper::ext::on_informational;

/// Interim responses to a request above which its connection fails.
const MAX_INTERIM_RESPONSES: u32 = 16;

/// Counts the interim responses to the current request of a connection. Clones share the count.
#[derive(Clone, Debug, Default)]
pub(crate) struct InterimCount(Arc<AtomicU32>);

impl InterimCount {
    /// Counts from zero for a request that is about to be sent.
    pub(crate) fn restart_for<B>(&self, req: &mut Request<B>) {
        self.0.store(0, Ordering::Relaxed);
        let count = self.0.clone();
        on_informational(req, move |_| {
            count.fetch_add(1, Ordering::Relaxed);
        });
    }

    fn is_exceeded(&self) -> bool {
        self.0.load(Ordering::Relaxed) > MAX_INTERIM_RESPONSES
    }
}

/// A byte stream whose reads fail once the limit is exceeded.
///
/// The HTTP client skips interim responses in a loop that ends only when no bytes are left to read. A server that sends
/// them faster than they are parsed would hold up all other tasks of the process.
#[derive(Debug)]
pub(crate) struct InterimLimit<T> {
    pub(crate) stream: T,
    pub(crate) count: InterimCount,
}

impl<T: AsyncRead + Unpin> AsyncRead for InterimLimit<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.count.is_exceeded() {
            let why = format!("more than {MAX_INTERIM_RESPONSES} interim responses");
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, why)));
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for InterimLimit<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
