//! One attempt of a request at one backend server.

use std::sync::Arc;

use redwingfold_core::{ErrorKind, Offset, RunState};
use xxhash_rust::xxh3::Xxh3;

use super::answer::Failed;
use super::context::Entry;
use super::sides::SideLink;
use crate::peer::CallCount;
use crate::wire::{
    Call, CallHead, FrameReader, FrameWriter, RunCall, RunEnd, RunFrame, RunHead, WireError,
};

/// Why an attempt failed, and how far the side's configuration went.
#[derive(Debug)]
pub(crate) struct AttemptFailed {
    pub(crate) failed: Failed,
    pub(crate) side_offset: Offset,
}

impl From<Failed> for AttemptFailed {
    fn from(failed: Failed) -> Self {
        Self { failed, side_offset: Offset(0) }
    }
}

/// An answer on its way. Dropping it cancels the run.
pub(crate) struct Answering {
    rx: FrameReader<RunFrame>,
    // Dropped early, it would finish the sending half; the side reads nothing into that.
    _tx: FrameWriter<Call>,
    head: CallHead,
    backend: String,
    link: Arc<SideLink>,
    entry: Arc<Entry>,
    hash: Xxh3,
    length: u64,
    _count: CallCount,
}

/// The next part of an answer.
pub(crate) enum Piece {
    Chunk(Vec<u8>),
    End(Box<RunEnd>),
}

/// Sends a request to a side and waits for the head of its answer.
pub(crate) async fn begin(
    entry: &Arc<Entry>,
    link: &Arc<SideLink>,
    call: RunCall,
) -> Result<(RunHead, Answering), AttemptFailed> {
    let head = call.head;
    let backend = call.backend.clone();
    link.note_sent(&call.backend);
    let count = link.link.begin_call();
    let unsent = |e: String| Failed::new(ErrorKind::NoBackend, e);
    // Opening a stream sends nothing, so a failure here means that nothing has run.
    let (send, recv) = link.conn.open_bi().await.map_err(|e| unsent(e.to_string()))?;
    let mut tx = FrameWriter::new(send);
    tx.send(&Call::Run(Box::new(call))).await.map_err(|e| lost(&e))?;
    let mut answering = Answering {
        rx: FrameReader::new(recv),
        _tx: tx,
        head,
        backend,
        link: link.clone(),
        entry: entry.clone(),
        hash: Xxh3::new(),
        length: 0,
        _count: count,
    };
    let given_up = async {
        link.given_up(&entry.daemon).await;
        Err(Failed::new(ErrorKind::BackendLost, "connection is silent").into())
    };
    match smol::future::or(answering.frame(), given_up).await? {
        RunFrame::Head(_, run_head) => Ok((run_head, answering)),
        _ => Err(Failed::new(ErrorKind::TornFrame, "answer without a head").into()),
    }
}

fn lost(e: &WireError) -> Failed {
    let kind = match e {
        WireError::Lost(_) => ErrorKind::BackendLost,
        WireError::Torn(_) => ErrorKind::TornFrame,
    };
    Failed::new(kind, e.to_string())
}

impl Answering {
    /// Reads the next frame of this run; one of another run breaks the answer off.
    async fn frame(&mut self) -> Result<RunFrame, AttemptFailed> {
        let frame = self.rx.next().await.map_err(|e| lost(&e))?;
        self.link.link.heard(self.entry.daemon.now());
        match frame {
            None => Err(Failed::new(ErrorKind::BackendLost, "answer has no end").into()),
            Some(frame) if frame.head() != self.head => {
                Err(Failed::new(ErrorKind::TornFrame, "frame of another run").into())
            }
            Some(RunFrame::Failed(_, failed)) => Err(AttemptFailed {
                failed: Failed {
                    kind: failed.kind,
                    run: failed.run,
                    why: failed.why,
                    retry_after: failed.retry_after,
                },
                side_offset: failed.config.offset,
            }),
            Some(frame) => Ok(frame),
        }
    }

    /// Reads the next part. At the end, length and checksum must be those of what came before.
    pub(crate) async fn next(&mut self) -> Result<Piece, Failed> {
        let (link, entry) = (self.link.clone(), self.entry.clone());
        let dead = async {
            link.dead(&entry.daemon).await;
            Err(Failed::new(ErrorKind::BackendLost, "connection is dead").into())
        };
        let frame = smol::future::or(self.frame(), dead).await;
        match frame.map_err(|e| e.failed)? {
            RunFrame::Chunk(_, chunk) => {
                self.hash.update(&chunk);
                self.length += chunk.len() as u64;
                Ok(Piece::Chunk(chunk))
            }
            RunFrame::End(_, end)
                if end.length == self.length && end.checksum == self.hash.digest() =>
            {
                self.link.note_change(&self.backend, end.load);
                Ok(Piece::End(end))
            }
            RunFrame::End(..) => Err(Failed::new(ErrorKind::TornFrame, "length or checksum")),
            RunFrame::Failed(..) | RunFrame::Head(..) => Err(Failed {
                run: RunState::MayHaveRun,
                ..Failed::new(ErrorKind::TornFrame, "order")
            }),
        }
    }

    /// Reads the rest of the answer, up to `max` bytes.
    pub(crate) async fn whole(&mut self, max: usize) -> Result<(Vec<u8>, Box<RunEnd>), Failed> {
        let mut body = Vec::new();
        loop {
            match self.next().await? {
                Piece::Chunk(chunk) if body.len() + chunk.len() > max => {
                    return Err(Failed::new(ErrorKind::BackendLost, "answer is too large"));
                }
                Piece::Chunk(chunk) => body.extend_from_slice(&chunk),
                Piece::End(end) => return Ok((body, end)),
            }
        }
    }

    pub(crate) fn link(&self) -> &Arc<SideLink> {
        &self.link
    }
}
