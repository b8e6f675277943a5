//! Requests that were answered recently.

use crate::ids::Millis;
use crate::serving::fingerprint::Fingerprint;
use crate::serving::interrupted_runs::EndedRun;

/// Number of slots in the table. A newer request replaces an older one in the same slot.
const TABLE_SIZE: u64 = 2_048;

/// Time for which an answer counts.
const RETENTION: Millis = Millis(60_000);

/// Number of consecutive ends, without an answer in between, that an answered request is excused for. A popular request
/// is on many servers that end together by coincidence; a series of separate ends is not a coincidence.
const MAX_EXCUSED_ENDS: u8 = 2;

/// Requests that a server has answered completely, in a hash table of fixed size without chaining.
///
/// Load pattern: a request that many callers send is in flight on most servers at any time, and so on each one that
/// ends for any reason. If it were suspected, it would be refused to all callers until a trial is answered.
#[derive(Clone, Debug, Default)]
pub(super) struct AnsweredRequests {
    entries: Vec<Option<AnsweredRequest>>,
}

#[derive(Clone, Copy, Debug)]
struct AnsweredRequest {
    request: Fingerprint,
    at: Millis,
    /// Number of ends since the answer, and the time at which the last one was recorded.
    ends: u8,
    ended_at: Millis,
}

impl AnsweredRequests {
    /// Records a complete answer to a request.
    pub(super) fn record_answer(&mut self, request: Fingerprint, now: Millis) {
        if self.entries.is_empty() {
            self.entries = vec![None; TABLE_SIZE as usize];
        }
        let slot = (request.0 % TABLE_SIZE) as usize;
        self.entries[slot] =
            Some(AnsweredRequest { request, at: now, ends: 0, ended_at: Millis(0) });
    }

    /// Returns whether a request was answered recently.
    pub(super) fn contains(&self, request: Fingerprint, now: Millis) -> bool {
        let entry = self.entries.get((request.0 % TABLE_SIZE) as usize).copied().flatten();
        entry.is_some_and(|entry| entry.request == request && now.since(entry.at) < RETENTION)
    }

    /// Records that a server ended while it ran a request. Returns whether the request is excused.
    ///
    /// Ends of runs that were in flight together count once, however many there are: only a run that was sent after the
    /// last end was recorded counts again.
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
