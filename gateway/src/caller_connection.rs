//! State of a caller's connection that its requests share.

use std::cell::Cell;

/// A connection of a caller.
#[derive(Debug, Default)]
pub(crate) struct CallerConnection {
    /// Whether its last response refuses a request whose body is not read to its end.
    has_unread_body: Cell<bool>,
}

impl CallerConnection {
    /// Records that a request is refused while its caller may still be sending its body.
    pub(crate) fn record_unread_body(&self) {
        self.has_unread_body.set(true);
    }

    /// Returns whether the caller may still be sending the body of a refused request.
    pub(crate) fn has_unread_body(&self) -> bool {
        self.has_unread_body.get()
    }
}
