//! Bodies that are in memory as a whole, in segments of a fixed size.
//!
//! A buffer that grows is copied each time, and leaves gaps in the heap that other bodies cannot use: many bodies that are
//! received at once took up to twice their size. Segments are neither copied nor larger than needed.

use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use redwingfold_core::MemoryPhase;

use crate::request_memory::HeldMemory;

/// Size of a segment.
const SEGMENT_BYTES: usize = 8 * 1024;

/// Smallest first segment of a body whose length is unknown.
const MIN_SEGMENT_BYTES: usize = 256;

/// A body that is being received.
#[derive(Debug, Default)]
pub(crate) struct GrowingBody {
    full: Vec<Bytes>,
    last: Vec<u8>,
    /// Capacity of all segments.
    allocated: usize,
    /// Length of the whole body, if it is known.
    announced: Option<usize>,
}

impl GrowingBody {
    /// Creates an empty body; `announced` is the length of the whole one, if it is known.
    pub(crate) fn new(announced: Option<usize>) -> Self {
        Self { announced, ..Self::default() }
    }

    /// Returns the number of bytes received.
    pub(crate) fn len(&self) -> usize {
        self.allocated - self.spare()
    }

    /// Moves bytes to the end of the body. `reserve` is called with the memory of the whole body before more is allocated.
    ///
    /// # Errors
    ///
    /// The error of `reserve`; `data` has the bytes that are left.
    pub(crate) fn push<E>(
        &mut self,
        data: &mut Bytes,
        reserve: impl Fn(usize) -> Result<(), E>,
    ) -> Result<(), E> {
        while !data.is_empty() {
            if self.spare() == 0 {
                let capacity = self.next_capacity(data.len());
                reserve(self.allocated + capacity)?;
                self.allocated += capacity;
                let filled = std::mem::replace(&mut self.last, Vec::with_capacity(capacity));
                self.full.extend((!filled.is_empty()).then(|| filled.into()));
            }
            let part = data.split_to(data.len().min(self.spare()));
            self.last.extend_from_slice(&part);
        }
        Ok(())
    }

    /// Returns the whole body.
    pub(crate) fn finish(self) -> WholeBody {
        let len = self.len();
        let Self { full: mut segments, last, allocated, .. } = self;
        segments.extend((!last.is_empty()).then(|| last.into()));
        WholeBody { segments, len, allocated }
    }

    /// Returns the bytes that fit into the last segment.
    fn spare(&self) -> usize {
        self.last.capacity() - self.last.len()
    }

    fn next_capacity(&self, needed: usize) -> usize {
        let wanted = match self.announced {
            Some(announced) => announced.saturating_sub(self.len()).max(1),
            None if self.allocated == 0 => needed.max(MIN_SEGMENT_BYTES),
            None => SEGMENT_BYTES,
        };
        wanted.min(SEGMENT_BYTES)
    }
}

/// A body that was received. Clones share its bytes.
#[derive(Clone, Debug, Default)]
pub(crate) struct WholeBody {
    segments: Vec<Bytes>,
    len: usize,
    /// Capacity of all segments.
    allocated: usize,
}

impl WholeBody {
    /// Returns the memory that it takes up.
    pub(crate) fn allocated(&self) -> usize {
        self.allocated
    }

    /// Returns its segments.
    pub(crate) fn into_segments(self) -> Vec<Bytes> {
        self.segments
    }

    /// Returns its segments in order.
    pub(crate) fn segments(&self) -> impl Iterator<Item = &[u8]> {
        self.segments.iter().map(|segment| &**segment)
    }
}

/// A body that is sent segment by segment, so that the HTTP library never buffers more than a few.
#[derive(Debug, Default)]
pub struct SegmentedBody {
    rest: VecDeque<Bytes>,
    len: usize,
    /// Memory that is reserved for what is left.
    memory: Option<Rc<HeldMemory>>,
}

impl SegmentedBody {
    /// Returns the body of a response, whose memory is given back as its caller reads it.
    pub(crate) fn for_caller(body: WholeBody, memory: Rc<HeldMemory>) -> Self {
        memory.set_phase(MemoryPhase::Sending);
        Self { memory: Some(memory), ..body.into() }
    }
}

impl From<Bytes> for SegmentedBody {
    fn from(mut bytes: Bytes) -> Self {
        let len = bytes.len();
        let segments = std::iter::from_fn(|| {
            let segment = bytes.split_to(bytes.len().min(SEGMENT_BYTES));
            (!segment.is_empty()).then_some(segment)
        });
        Self { rest: segments.collect(), len, memory: None }
    }
}

impl From<WholeBody> for SegmentedBody {
    fn from(body: WholeBody) -> Self {
        Self { len: body.len, rest: body.segments.into(), memory: None }
    }
}

impl Body for SegmentedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let next = self.rest.pop_front();
        let len = next.as_ref().map_or(0, Bytes::len);
        self.len -= len;
        if let Some(memory) = &self.memory {
            memory.record_progress(len);
            memory.shrink(self.len);
        }
        Poll::Ready(next.map(|segment| Ok(Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.len as u64)
    }
}
