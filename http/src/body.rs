//! A response body that is fed chunk by chunk.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use futures_lite::{AsyncBufRead, AsyncRead, Stream};
use http_types::Body;
use smol::channel::{Receiver, Sender, bounded};

/// Chunks that wait between the feeder and the connection; a slow reader holds the feeder back.
const MAX_BUFFERED_CHUNKS: usize = 16;

/// The feeding end of a body. Dropping it ends the body; [`BodySender::abort`] breaks it off.
#[derive(Debug)]
pub struct BodySender(Sender<io::Result<Vec<u8>>>);

impl BodySender {
    /// Sends a chunk.
    ///
    /// # Errors
    ///
    /// Returns the chunk if the reader is gone.
    pub async fn send(&self, chunk: Vec<u8>) -> Result<(), Vec<u8>> {
        self.0.send(Ok(chunk)).await.map_err(|e| e.into_inner().unwrap_or_default())
    }

    /// Breaks the body off, so that the reader sees it cut and not ended.
    pub async fn abort(self, why: &str) {
        self.0
            .send(Err(io::Error::new(io::ErrorKind::ConnectionAborted, why.to_owned())))
            .await
            .ok();
    }

    /// Waits until the reader is gone.
    pub async fn closed(&self) {
        self.0.closed().await;
    }
}

/// Makes a body and its feeding end.
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
