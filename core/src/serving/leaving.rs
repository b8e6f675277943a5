//! Backend servers that announce in an answer that they are leaving.

use std::collections::HashMap;

use crate::ids::Millis;

/// Minimum time for which an announcement is kept; longer than a server takes to leave.
const RETENTION: Millis = Millis(3_600_000);

/// Number of entries from which an insertion first removes those older than `RETENTION`.
const CLEANUP_THRESHOLD: usize = 1_024;

/// Servers that have announced that they are leaving.
///
/// Keyed by a hash of the server's incarnation, because an announcement does not carry over a restart.
///
/// ```
/// use redwingfold_core::{LeavingServers, Millis};
/// let mut leaving = LeavingServers::default();
/// assert!(leaving.record(7, Millis(0)));
/// assert!(!leaving.record(7, Millis(10)));
/// assert!(leaving.contains(7) && !leaving.contains(8));
/// ```
#[derive(Clone, Debug, Default)]
pub struct LeavingServers(HashMap<u64, Millis>);

impl LeavingServers {
    /// Records an announcement and returns whether none was recorded for the server.
    pub fn record(&mut self, server: u64, now: Millis) -> bool {
        if self.0.len() >= CLEANUP_THRESHOLD {
            self.0.retain(|_, at| now.since(*at) < RETENTION);
        }
        self.0.insert(server, now).is_none()
    }

    /// Returns whether an announcement of a server is recorded.
    pub fn contains(&self, server: u64) -> bool {
        self.0.contains_key(&server)
    }

    /// Returns whether no announcements are recorded.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
