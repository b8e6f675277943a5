//! Splits a stream of server-sent events into whole events.

/// Id of an event; ids increase within a stream.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct EventId(pub u64);

impl std::fmt::Display for EventId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

impl std::str::FromStr for EventId {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// Complete events that can be forwarded.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WholeEvents {
    /// The bytes of the events, unchanged.
    pub bytes: Vec<u8>,
    /// Number of events.
    pub count: usize,
}

/// Buffers a partial event until the rest of it arrives.
///
/// A backend server may fail in the middle of an event. If the partial event had been forwarded,
/// its rest could not be fetched from another server, which resumes after a whole event, and the
/// caller would parse the two parts as one event.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
    /// Bytes of `pending` that were searched for the end of a line.
    searched: usize,
    /// Start of the line in which the search goes on.
    line_start: usize,
    last: Option<EventId>,
}

impl EventSplitter {
    /// Starts after the event `last`; events up to it are dropped if they are received again.
    pub fn after(last: Option<EventId>) -> Self {
        Self { last, ..Self::default() }
    }

    /// Adds bytes, and returns the events that they complete.
    ///
    /// ```
    /// use redwingfold_core::{EventId, EventSplitter};
    /// let mut events = EventSplitter::after(None);
    /// let whole = events.push(b"id: 1\ndata: a\n\nid: 2\nda");
    /// assert_eq!((whole.count, events.last()), (1, Some(EventId(1))));
    /// assert!(events.has_partial());
    /// ```
    pub fn push(&mut self, bytes: &[u8]) -> WholeEvents {
        self.pending.extend_from_slice(bytes);
        let mut whole = WholeEvents::default();
        let mut from = 0;
        while let Some(end) = self.next_event_end() {
            let event = &self.pending[from..end];
            from = end;
            match event_id(event) {
                Some(id) if self.last.is_some_and(|last| id <= last) => continue,
                Some(id) => self.last = Some(id),
                None => {}
            }
            whole.bytes.extend_from_slice(event);
            whole.count += 1;
        }
        self.pending.drain(..from);
        self.searched -= from;
        self.line_start -= from;
        whole
    }

    /// Returns the end of the next event in `pending`, including the empty line that ends it.
    ///
    /// The search goes on where the last one ended, so that the work for a byte does not grow with the bytes before it.
    fn next_event_end(&mut self) -> Option<usize> {
        while let Some(len) = self.pending[self.searched..].iter().position(|byte| *byte == b'\n') {
            let line = &self.pending[self.line_start..self.searched + len];
            let is_empty = line.strip_suffix(b"\r").unwrap_or(line).is_empty();
            self.searched += len + 1;
            self.line_start = self.searched;
            if is_empty {
                return Some(self.searched);
            }
        }
        self.searched = self.pending.len();
        None
    }

    /// Returns the id of the last complete event.
    pub fn last(&self) -> Option<EventId> {
        self.last
    }

    /// Returns whether a partial event is buffered.
    pub fn has_partial(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns the size of the buffered partial event in bytes.
    pub fn partial_len(&self) -> usize {
        self.pending.len()
    }

    /// Discards the partial event of a server that failed.
    pub fn discard_partial(&mut self) {
        *self = Self::after(self.last);
    }

    /// Returns the buffered bytes, for a stream that ended without an empty line after its last
    /// event.
    pub fn take_partial(&mut self) -> Vec<u8> {
        std::mem::replace(self, Self::after(self.last)).pending
    }
}

fn event_id(event: &[u8]) -> Option<EventId> {
    let text = std::str::from_utf8(event).ok()?;
    let id = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    id.trim().parse().ok()
}
