//! Byte streams for the HTTP library.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use futures_lite::{AsyncRead, AsyncWrite};
use hyper::rt::{Read, ReadBufCursor, Write};

/// Maximum number of bytes of one read. It is below the size of the library's read buffers, which grow when a read fills
/// them, and then stay large for as long as the connection is open.
const MAX_READ_BYTES: usize = 6 * 1024;

/// A byte stream that is read in small parts, and written from several buffers at once. Otherwise the library would copy
/// the bodies that it writes.
#[derive(Debug)]
pub(crate) struct HyperIo<T>(pub(crate) T);

impl<T: AsyncRead + Unpin> Read for HyperIo<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut part = [0; MAX_READ_BYTES];
        let len = buf.remaining().min(MAX_READ_BYTES);
        let read = ready!(Pin::new(&mut self.0).poll_read(cx, &mut part[..len]))?;
        buf.put_slice(&part[..read]);
        Poll::Ready(Ok(()))
    }
}

impl<T: AsyncWrite + Unpin> Write for HyperIo<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_close(cx)
    }
}
