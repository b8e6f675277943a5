//! Responses that are forwarded to their callers as they arrive.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use async_channel::{Receiver, SendError, Sender, bounded};
use bytes::Bytes;
use futures_lite::Stream;
use http_body::Frame;
use redwingfold_core::MemoryPhase;

use crate::request_memory::HeldMemory;

/// Capacity of the buffer between server and caller; a full one applies backpressure to the server.
const MAX_BUFFERED_CHUNKS: usize = 4;

/// Returns a copy of received bytes, as a slice would keep the whole buffer that it was read into.
pub(crate) fn own_copy(chunk: &Bytes) -> Bytes {
    Bytes::copy_from_slice(chunk)
}

/// Returns the two ends of a response that is forwarded as it arrives.
pub(crate) fn caller_channel(memory: &Rc<HeldMemory>) -> (CallerSender, ChannelBody) {
    let (tx, rx) = bounded(MAX_BUFFERED_CHUNKS);
    let body = ChannelBody { rx: Box::pin(rx), memory: memory.clone() };
    (CallerSender { tx, memory: memory.clone() }, body)
}

/// The sending end, which records that the caller has something to read.
pub(crate) struct CallerSender {
    tx: Sender<io::Result<Bytes>>,
    memory: Rc<HeldMemory>,
}

impl CallerSender {
    /// Sends a chunk, or waits until the caller has read enough; an error if it is gone.
    pub(crate) async fn send(
        &self,
        chunk: io::Result<Bytes>,
    ) -> Result<(), SendError<io::Result<Bytes>>> {
        if self.tx.is_empty() {
            self.memory.set_phase(MemoryPhase::Sending);
        }
        self.tx.send(chunk).await
    }

    /// Waits until the caller is gone.
    pub(crate) async fn closed(&self) {
        self.tx.closed().await;
    }
}

pub(crate) struct ChannelBody {
    rx: Pin<Box<Receiver<io::Result<Bytes>>>>,
    memory: Rc<HeldMemory>,
}

impl http_body::Body for ChannelBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let next = ready!(self.rx.as_mut().poll_next(cx));
        match self.rx.is_empty() {
            true => self.memory.set_phase(MemoryPhase::Working),
            false => self.memory.record_progress(1),
        }
        Poll::Ready(next.map(|chunk| chunk.map(Frame::data)))
    }
}
