//! A streaming response body with chunks from a channel.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use futures_lite::{AsyncBufRead, AsyncRead, Stream};
use http_types::Body;
use smol::channel::{Receiver, Sender, bounded};

/// Chunks buffered between the sender and the connection; when it is full, the sender waits for the
/// reader (backpressure).
const MAX_BUFFERED_CHUNKS: usize = 16;

/// The sending half of a body. Dropping it ends the body normally; [`BodySender::abort`] truncates
/// it.
#[derive(Debug)]
pub struct BodySender(Sender<io::Result<Vec<u8>>>);

impl BodySender {
    /// Sends a chunk.
    ///
    /// # Errors
    ///
    /// Returns the chunk if the reader was dropped.
    pub async fn send(&self, chunk: Vec<u8>) -> Result<(), Vec<u8>> {
        self.0.send(Ok(chunk)).await.map_err(|e| e.into_inner().unwrap_or_default())
    }

    /// Aborts the body with an error, so that the reader can tell it from a complete one.
    pub async fn abort(self, reason: &str) {
        self.0
            .send(Err(io::Error::new(io::ErrorKind::ConnectionAborted, reason.to_owned())))
            .await
            .ok();
    }

    /// Waits until the reader is dropped.
    pub async fn closed(&self) {
        self.0.closed().await;
    }
}

/// Creates a body and its sending half.
pub fn channel_body() -> (BodySender, Body) {
    let (tx, rx) = bounded(MAX_BUFFERED_CHUNKS);
    let reader = ChannelReader { rx: Box::pin(rx), chunk: Vec::new(), offset: 0 };
    (BodySender(tx), Body::from_reader(reader, None))
}

struct ChannelReader {
    rx: Pin<Box<Receiver<io::Result<Vec<u8>>>>>,
    chunk: Vec<u8>,
    offset: usize,
}

impl AsyncBufRead for ChannelReader {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        while this.offset == this.chunk.len() {
            match ready!(this.rx.as_mut().poll_next(cx)) {
                Some(Ok(chunk)) => (this.chunk, this.offset) = (chunk, 0),
                Some(Err(e)) => return Poll::Ready(Err(e)),
                None => return Poll::Ready(Ok(&[])),
            }
        }
        Poll::Ready(Ok(&this.chunk[this.offset..]))
    }

    fn consume(self: Pin<&mut Self>, n: usize) {
        self.get_mut().offset += n;
    }
}

impl AsyncRead for ChannelReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let data = ready!(self.as_mut().poll_fill_buf(cx))?;
        let n = data.len().min(buf.len());
        buf[..n].copy_from_slice(&data[..n]);
        self.consume(n);
        Poll::Ready(Ok(n))
    }
}
