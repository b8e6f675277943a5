//! Places of a server's connections.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use redwingfold_core::{
    CallerConnections, ConnectionAdmission, ConnectionNumber, ConnectionPhase, Millis,
};

use crate::signal::Signal;

/// The open connections of a server.
#[derive(Debug)]
pub(crate) struct Places {
    table: Mutex<Table>,
    started_at: Instant,
    closed_for_new: AtomicU64,
    refused: AtomicU64,
}

#[derive(Debug)]
struct Table {
    connections: CallerConnections,
    signals: HashMap<ConnectionNumber, Arc<Signal>>,
}

/// The place of a connection, until it is dropped.
#[derive(Debug)]
pub(crate) struct Place {
    places: Arc<Places>,
    number: ConnectionNumber,
    /// Set when the place is needed for another connection.
    signal: Arc<Signal>,
}

impl Places {
    pub(crate) fn new(max: usize) -> Self {
        let table = Table { connections: CallerConnections::new(max), signals: HashMap::new() };
        Self {
            table: Mutex::new(table),
            started_at: Instant::now(),
            closed_for_new: AtomicU64::new(0),
            refused: AtomicU64::new(0),
        }
    }

    /// Returns the number of connections that were closed for new ones.
    pub(crate) fn closed_for_new(&self) -> u64 {
        self.closed_for_new.load(Ordering::Relaxed)
    }

    /// Returns the number of connections for which there was no place.
    pub(crate) fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Millis {
        Millis(self.started_at.elapsed().as_millis() as u64)
    }

    /// Returns a place for a new connection, for which another one may be closed; `None` if all are needed.
    pub(crate) fn open(self: &Arc<Self>) -> Option<Place> {
        let mut table = self.lock();
        let number = match table.connections.open(self.now()) {
            ConnectionAdmission::Admitted(number) => number,
            ConnectionAdmission::InsteadOf(number, closed) => {
                self.closed_for_new.fetch_add(1, Ordering::Relaxed);
                table.signals.remove(&closed).iter().for_each(|signal| signal.set());
                number
            }
            ConnectionAdmission::Full => {
                self.refused.fetch_add(1, Ordering::Relaxed);
                return None;
            }
        };
        let signal = Arc::new(Signal::default());
        table.signals.insert(number, signal.clone());
        Some(Place { places: self.clone(), number, signal })
    }
}

impl Place {
    /// Records what the connection does.
    pub(crate) fn set_phase(&self, phase: ConnectionPhase) {
        let now = self.places.now();
        self.places.lock().connections.set_phase(self.number, phase, now);
    }

    /// Waits until the place is needed for another connection.
    pub(crate) async fn wait_close(&self) {
        self.signal.wait().await;
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut table = self.places.lock();
        table.connections.close(self.number);
        table.signals.remove(&self.number);
    }
}
