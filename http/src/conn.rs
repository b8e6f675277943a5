//! A connection, with checks that async-h1 lacks: a limit on the bytes before a request,
//! and detection of a disconnected peer.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use futures_lite::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;

/// Maximum number of bytes read before the end of a head.
///
/// async-h1 checks the size of a head only at the end of a line: a head without a line break would grow in memory until
/// the timeout.
const MAX_HEAD_READ_BYTES: usize = 24 * 1024;

/// Head size at which async-h1 refuses a request.
pub(crate) const MAX_HEAD_BYTES: usize = 8 * 1024;

#[derive(Debug, Default)]
pub(crate) struct ConnState {
    /// Bytes read since the last request ended.
    pub(crate) bytes_read: AtomicUsize,
    /// Whether the head of the current request has been read.
    pub(crate) is_head_read: AtomicBool,
    /// Whether reads report the end of the stream, to leave the rest of the request's body unread.
    pub(crate) skip_body: AtomicBool,
    /// Whether the peer has closed its sending half.
    pub(crate) is_peer_closed: AtomicBool,
}

#[derive(Clone, Debug)]
pub(crate) struct Conn {
    pub(crate) stream: TcpStream,
    pub(crate) state: Arc<ConnState>,
}

impl AsyncRead for Conn {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.state.skip_body.load(Ordering::Relaxed) {
            return Poll::Ready(Ok(0));
        }
        let n = ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let bytes_before = self.state.bytes_read.fetch_add(n, Ordering::Relaxed);
        match n {
            0 => self.state.is_peer_closed.store(true, Ordering::Relaxed),
            _ if self.state.is_head_read.load(Ordering::Relaxed) => {}
            n if bytes_before + n > MAX_HEAD_READ_BYTES => {
                return Poll::Ready(Err(io::Error::new(
                    io::ErrorKind::InvalidData,
                    "head exceeds the size limit",
                )));
            }
            _ => {}
        }
        Poll::Ready(Ok(n))
    }
}

impl AsyncWrite for Conn {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}

/// The peer of a connection, for use by a handler.
#[derive(Clone, Debug)]
pub struct Peer {
    pub(crate) conn: Conn,
    /// The peer's address.
    pub addr: SocketAddr,
}

impl Peer {
    /// Waits until the caller has closed its connection. Use it only after the request's body has
    /// been read: while there are unread bytes, it never completes.
    ///
    /// A write detects a disconnected caller too, but while nothing is written, such as before the
    /// first token, engine time would be spent on a response that nobody receives.
    pub async fn disconnected(&self) {
        let mut buf = [0; 1];
        match self.conn.stream.peek(&mut buf).await {
            Ok(n) if n > 0 => std::future::pending().await,
            _ => {}
        }
    }

    /// Leaves the rest of the request's body unread and closes the connection after the response.
    pub fn skip_body(&self) {
        self.conn.state.skip_body.store(true, Ordering::Relaxed);
    }
}
