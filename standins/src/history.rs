//! Events of a test double, which checkers read after a run.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

/// An event.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Event {
    /// Microseconds since the Unix epoch, by the system clock, which all processes of a test share.
    pub at_us: u64,
    /// Name of the event: `run`, `end`, `cancel`, `append`, `order` and so on.
    pub what: String,
    /// Subject of the event: a version, a stream or a path.
    pub of: String,
    /// Id or key of the request, if there is one.
    pub request: String,
    /// Further details; may be empty.
    pub detail: String,
}

/// Events in the order in which they happened.
#[derive(Clone, Debug, Default)]
pub struct History(Arc<Mutex<Vec<Event>>>);

impl History {
    /// Adds an event with the current time.
    pub fn add(&self, what: &str, of: &str, request: &str, detail: impl Into<String>) {
        let mut events = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        events.push(Event {
            at_us: now_us(),
            what: what.to_owned(),
            of: of.to_owned(),
            request: request.to_owned(),
            detail: detail.into(),
        });
    }

    /// Returns all events so far.
    pub fn events(&self) -> Vec<Event> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the events with a name.
    pub fn events_named(&self, what: &str) -> Vec<Event> {
        self.events().into_iter().filter(|e| e.what == what).collect()
    }

    /// Removes all events, which limits the memory of a long trial.
    pub fn clear(&self) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }
}

fn now_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64)
}

/// Returns milliseconds since the Unix epoch.
pub fn now_ms() -> u64 {
    now_us() / 1000
}
