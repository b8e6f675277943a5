//! Places for callers' connections: which one is closed for a new one when all are taken.

use std::collections::BTreeMap;

use crate::ids::Millis;

/// What a connection does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionPhase {
    /// A request is processed, or its response is written.
    Busy,
    /// Its last response was written, and what its caller still sends is discarded.
    Closing,
    /// A part of the head of a request was received.
    Head,
    /// Nothing of a request was received.
    Idle,
    /// It was accepted and is not read yet.
    Queued,
}

/// Number of an open connection.
pub type ConnectionNumber = u64;

/// Whether there is a place for a new connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionAdmission {
    /// There is a free place.
    Admitted(ConnectionNumber),
    /// The second connection has to be closed for the new one.
    InsteadOf(ConnectionNumber, ConnectionNumber),
    /// All places are taken by connections that are needed.
    Full,
}

#[derive(Clone, Copy, Debug)]
struct OpenConnection {
    phase: ConnectionPhase,
    /// When the phase began.
    since: Millis,
    /// Whether it has sent a whole head.
    has_request: bool,
}

impl OpenConnection {
    /// Returns the order in which connections are closed, lowest first; `None` for those that are needed.
    fn closing_rank(&self) -> Option<u8> {
        match self.phase {
            ConnectionPhase::Busy | ConnectionPhase::Queued => None,
            ConnectionPhase::Closing => Some(0),
            _ if !self.has_request => Some(1),
            ConnectionPhase::Idle => Some(2),
            ConnectionPhase::Head => Some(3),
        }
    }
}

/// The open connections of callers.
///
/// Load pattern: callers open connections and send no request on them, until all places are taken. Without a choice, new
/// callers are turned away for as long as a connection may be idle. Therefore a connection without a request gives its
/// place to a new one, the oldest first: an ordinary caller sends its request long before as many others have come.
///
/// ```
/// use redwingfold_core::{CallerConnections, ConnectionAdmission, ConnectionPhase, Millis};
/// let mut connections = CallerConnections::new(1);
/// assert_eq!(connections.open(Millis(0)), ConnectionAdmission::Admitted(0));
/// assert_eq!(connections.open(Millis(1)), ConnectionAdmission::Full);
/// connections.set_phase(0, ConnectionPhase::Idle, Millis(1));
/// assert_eq!(connections.open(Millis(2)), ConnectionAdmission::InsteadOf(1, 0));
/// ```
#[derive(Debug)]
pub struct CallerConnections {
    max: usize,
    open: BTreeMap<ConnectionNumber, OpenConnection>,
    next: ConnectionNumber,
}

impl CallerConnections {
    /// Creates an empty table with `max` places.
    pub fn new(max: usize) -> Self {
        Self { max, open: BTreeMap::new(), next: 0 }
    }

    /// Changes the number of places. If fewer are left than connections are open, these stay open.
    pub fn set_max(&mut self, max: usize) {
        self.max = max;
    }

    /// Returns the number of open connections.
    pub fn count(&self) -> usize {
        self.open.len()
    }

    /// Returns the number of connections with a request in progress.
    pub fn busy(&self) -> usize {
        self.open.values().filter(|connection| connection.phase == ConnectionPhase::Busy).count()
    }

    /// Adds a new connection if there is a place for it.
    pub fn open(&mut self, now: Millis) -> ConnectionAdmission {
        let closed = match self.count() < self.max {
            true => None,
            false => match self.next_to_close() {
                Some(number) => Some(number),
                None => return ConnectionAdmission::Full,
            },
        };
        closed.iter().for_each(|number| self.close(*number));
        let number = self.next;
        self.next += 1;
        let connection =
            OpenConnection { phase: ConnectionPhase::Queued, since: now, has_request: false };
        self.open.insert(number, connection);
        match closed {
            Some(closed) => ConnectionAdmission::InsteadOf(number, closed),
            None => ConnectionAdmission::Admitted(number),
        }
    }

    /// Records what a connection does.
    pub fn set_phase(&mut self, number: ConnectionNumber, phase: ConnectionPhase, now: Millis) {
        if let Some(connection) = self.open.get_mut(&number) {
            connection.has_request |= phase == ConnectionPhase::Busy;
            (connection.phase, connection.since) = (phase, now);
        }
    }

    /// Removes a connection.
    pub fn close(&mut self, number: ConnectionNumber) {
        self.open.remove(&number);
    }

    /// Returns the connection that is closed first when a place is needed.
    fn next_to_close(&self) -> Option<ConnectionNumber> {
        let ranked = self.open.iter().filter_map(|(number, connection)| {
            Some((connection.closing_rank()?, connection.since, *number))
        });
        ranked.min().map(|(_, _, number)| number)
    }
}
