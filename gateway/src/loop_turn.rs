//! Turns of the event loop.

use std::io::{self, Write};
use std::os::unix::net::UnixStream;

use smol::Async;

/// Lets a task wait for the next turn of the event loop.
///
/// A task that only yields runs again before the event loop looks for new input and due timers, so that it can delay all
/// others.
#[derive(Debug)]
pub(crate) struct LoopTurn {
    /// Always readable, as its byte is never read. Its readiness is reported in each turn that it is asked for.
    readable: Async<UnixStream>,
    /// Kept open, as the other end would otherwise be closed.
    _other_end: UnixStream,
}

impl LoopTurn {
    /// Prepares the waiting.
    ///
    /// # Errors
    ///
    /// If no socket pair can be created.
    pub(crate) fn new() -> io::Result<Self> {
        let (readable, mut other_end) = UnixStream::pair()?;
        other_end.write_all(&[0])?;
        Ok(Self { readable: Async::new(readable)?, _other_end: other_end })
    }

    /// Waits until the event loop has processed all that was ready at the call.
    ///
    /// # Errors
    ///
    /// If the event loop fails.
    pub(crate) async fn next(&self) -> io::Result<()> {
        self.readable.readable().await
    }
}
