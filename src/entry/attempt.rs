//! One attempt to run a request on one backend server.

use std::sync::Arc;

use redwingfold_core::{ErrorKind, Offset, RunState};
use xxhash_rust::xxh3::Xxh3;

use super::context::Entry;
use super::response::RequestError;
use super::sides::SideLink;
use crate::peer::CallGuard;
use crate::wire::{
    Call, FrameReader, FrameWriter, RunCall, RunEnd, RunFrame, RunHead, RunId, WireError,
};

/// Why an attempt failed, and the offset of the side's configuration if the side reported it.
#[derive(Debug)]
pub(crate) struct AttemptError {
    pub(crate) error: RequestError,
    pub(crate) side_offset: Offset,
}

impl From<RequestError> for AttemptError {
    fn from(error: RequestError) -> Self {
        Self { error, side_offset: Offset(0) }
    }
}

/// A response that is being received. Dropping it cancels the run.
pub(crate) struct ResponseStream {
    rx: FrameReader<RunFrame>,
    // Kept so that the sending half is open until the response ends. Dropping it earlier would
    // finish that half, which has no effect at the side.
    _tx: FrameWriter<Call>,
    run_id: RunId,
    backend: String,
    link: Arc<SideLink>,
    entry: Arc<Entry>,
    hasher: Xxh3,
    received_bytes: u64,
    _call_guard: CallGuard,
}

/// A part of a response.
pub(crate) enum ResponsePart {
    Chunk(Vec<u8>),
    End(Box<RunEnd>),
}

/// Sends a request to a side and waits for the head of its response.
pub(crate) async fn start_run(
    entry: &Arc<Entry>,
    link: &Arc<SideLink>,
    call: RunCall,
) -> Result<(RunHead, ResponseStream), AttemptError> {
    let run_id = call.run_id;
    let backend = call.backend.clone();
    link.count_sent(&call.backend);
    let call_guard = link.peer_link.begin_call();
    let not_sent = |e: String| RequestError::new(ErrorKind::NoBackend, e);
    // Opening a stream sends nothing, so a failure here means that nothing has run.
    let (send, recv) = link.conn.open_bi().await.map_err(|e| not_sent(e.to_string()))?;
    let mut tx = FrameWriter::new(send);
    tx.send(&Call::Run(Box::new(call))).await.map_err(|e| wire_error(&e))?;
    let mut response_stream = ResponseStream {
        rx: FrameReader::new(recv),
        _tx: tx,
        run_id,
        backend,
        link: link.clone(),
        entry: entry.clone(),
        hasher: Xxh3::new(),
        received_bytes: 0,
        _call_guard: call_guard,
    };
    let connection_lost = async {
        link.until_dead_or_replaced(&entry.daemon).await;
        Err(RequestError::new(ErrorKind::BackendLost, "connection is silent").into())
    };
    match smol::future::or(response_stream.read_frame(), connection_lost).await? {
        RunFrame::Head(_, run_head) => Ok((run_head, response_stream)),
        _ => Err(RequestError::new(ErrorKind::TornFrame, "answer without a head").into()),
    }
}

fn wire_error(e: &WireError) -> RequestError {
    let kind = match e {
        WireError::Lost(_) => ErrorKind::BackendLost,
        WireError::Torn(_) => ErrorKind::TornFrame,
    };
    RequestError::new(kind, e.to_string())
}

impl ResponseStream {
    /// Reads the next frame; a frame of another run is an error.
    async fn read_frame(&mut self) -> Result<RunFrame, AttemptError> {
        let frame = self.rx.next().await.map_err(|e| wire_error(&e))?;
        self.link.peer_link.record_receipt(self.entry.daemon.now());
        match frame {
            None => Err(RequestError::new(ErrorKind::BackendLost, "answer has no end").into()),
            Some(frame) if frame.run_id() != self.run_id => {
                Err(RequestError::new(ErrorKind::TornFrame, "frame of another run").into())
            }
            Some(RunFrame::Failed(_, failed)) => Err(AttemptError {
                error: RequestError {
                    kind: failed.kind,
                    run_state: failed.run,
                    detail: failed.reason,
                    retry_after: failed.retry_after,
                },
                side_offset: failed.config.offset,
            }),
            Some(frame) => Ok(frame),
        }
    }

    /// Reads the next part. At the end, the length and checksum are verified against the received
    /// chunks.
    pub(crate) async fn next_part(&mut self) -> Result<ResponsePart, RequestError> {
        let (link, entry) = (self.link.clone(), self.entry.clone());
        let connection_dead = async {
            link.until_dead(&entry.daemon).await;
            Err(RequestError::new(ErrorKind::BackendLost, "connection is dead").into())
        };
        let frame = smol::future::or(self.read_frame(), connection_dead).await;
        match frame.map_err(|e| e.error)? {
            RunFrame::Chunk(_, chunk) => {
                self.hasher.update(&chunk);
                self.received_bytes += chunk.len() as u64;
                Ok(ResponsePart::Chunk(chunk))
            }
            RunFrame::End(_, end)
                if end.length == self.received_bytes && end.checksum == self.hasher.digest() =>
            {
                self.link.apply_load_change(&self.backend, end.load);
                Ok(ResponsePart::End(end))
            }
            RunFrame::End(..) => Err(RequestError::new(ErrorKind::TornFrame, "length or checksum")),
            RunFrame::Failed(..) | RunFrame::Head(..) => Err(RequestError {
                run_state: RunState::MayHaveRun,
                ..RequestError::new(ErrorKind::TornFrame, "order")
            }),
        }
    }

    /// Reads the rest of the response, up to `max` bytes.
    pub(crate) async fn read_all(
        &mut self,
        max: usize,
    ) -> Result<(Vec<u8>, Box<RunEnd>), RequestError> {
        let mut body = Vec::new();
        loop {
            match self.next_part().await? {
                ResponsePart::Chunk(chunk) if body.len() + chunk.len() > max => {
                    return Err(RequestError::new(ErrorKind::BackendLost, "answer is too large"));
                }
                ResponsePart::Chunk(chunk) => body.extend_from_slice(&chunk),
                ResponsePart::End(end) => return Ok((body, end)),
            }
        }
    }

    pub(crate) fn link(&self) -> &Arc<SideLink> {
        &self.link
    }
}
