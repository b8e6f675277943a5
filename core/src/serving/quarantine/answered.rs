//! Requests that were answered of late.

use crate::ids::Millis;
use crate::serving::fingerprint::Fingerprint;
use crate::serving::interrupted_runs::EndedRun;

/// Places of the table; a newer request takes the entry of an older one that has the same.
const TABLE_SIZE: u64 = 2_048;

/// Time for which an answer counts.
const RETENTION: Millis = Millis(60_000);

/// Ends of servers, one after the other and without an answer between, that an answered request is not held to account
/// for. A popular one is on many servers that end together; that it ends them one by one is no chance.
const MAX_EXCUSED_ENDS: u8 = 2;

/// Requests that a server has answered to the end, in a table of a fixed size.
///
/// Load pattern: a request that many callers send runs on most servers at any time, so that it is on each that ends,
/// for whatever reason. Suspected for that, it would be refused to all of them until a trial ended.
#[derive(Clone, Debug, Default)]
pub(super) struct AnsweredRequests {
    entries: Vec<Option<AnsweredRequest>>,
}

#[derive(Clone, Copy, Debug)]
struct AnsweredRequest {
    request: Fingerprint,
    at: Millis,
    /// Ends since, and when the last of them was known.
    ends: u8,
    ended_at: Millis,
}

impl AnsweredRequests {
    /// Takes that a request was answered.
    pub(super) fn record_answer(&mut self, request: Fingerprint, now: Millis) {
        if self.entries.is_empty() {
            self.entries = vec![None; TABLE_SIZE as usize];
        }
        let slot = (request.0 % TABLE_SIZE) as usize;
        self.entries[slot] =
            Some(AnsweredRequest { request, at: now, ends: 0, ended_at: Millis(0) });
    }

    /// Says whether a request was answered of late.
    pub(super) fn contains(&self, request: Fingerprint, now: Millis) -> bool {
        let entry = self.entries.get((request.0 % TABLE_SIZE) as usize).copied().flatten();
        entry.is_some_and(|entry| entry.request == request && now.since(entry.at) < RETENTION)
    }

    /// Takes that a server has ended while it ran a request; `true` if the request is not held to account for it.
    ///
    /// Runs that were under way together say the same, however many they are: only one that was sent after the
    /// last end was known counts once more.
    pub(super) fn excuse_end(&mut self, run: EndedRun, now: Millis) -> bool {
        if !self.contains(run.request, now) {
            return false;
        }
        let entry = &mut self.entries[(run.request.0 % TABLE_SIZE) as usize];
        match entry {
            Some(entry) if run.sent_at < entry.ended_at => true,
            Some(entry) if entry.ends < MAX_EXCUSED_ENDS => {
                entry.ends += 1;
                entry.ended_at = now;
                true
            }
            _ => {
                *entry = None;
                false
            }
        }
    }
}
