//! Requests that were answered recently.

use crate::ids::Millis;
use crate::serving::fingerprint::Fingerprint;
use crate::serving::interrupted_runs::EndedRun;

/// Number of slots in the table. A newer request replaces an older one in the same slot.
const TABLE_SIZE: u64 = 2_048;

/// For how long, and for how many ends, a complete answer excuses what was answered.
#[derive(Clone, Copy, Debug)]
pub(super) struct ExcusePolicy {
    /// Time for which an answer counts.
    pub(super) retention: Millis,
    /// Number of consecutive ends, without an answer in between, that are excused. What is popular is on many servers
    /// that end together by coincidence; a series of separate ends is not a coincidence.
    pub(super) max_ends: u8,
}

/// Policy for the content of requests.
pub(super) const CONTENT_EXCUSES: ExcusePolicy =
    ExcusePolicy { retention: Millis(60_000), max_ends: 2 };

/// Policy for prompt parts. If a part has become deadly, each excused end costs one more server.
pub(super) const PART_EXCUSES: ExcusePolicy =
    ExcusePolicy { retention: Millis(10_000), max_ends: 1 };

/// Time within which ends that other gateways report count as one, as when a rack loses power.
const SAME_EVENT: Millis = Millis(500);

/// Requests, or prompt parts, that a server has answered completely, in a hash table of fixed size without chaining.
///
/// Load pattern: a request that many callers send is in flight on most servers at any time, and so on each one that
/// ends for any reason. If it were suspected, it would be refused to all callers until a trial is answered.
#[derive(Clone, Debug)]
pub(super) struct AnsweredRequests {
    policy: ExcusePolicy,
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
    /// Creates an empty table.
    pub(super) fn new(policy: ExcusePolicy) -> Self {
        Self { policy, entries: Vec::new() }
    }

    /// Records a complete answer to a request.
    pub(super) fn record_answer(&mut self, request: Fingerprint, now: Millis) {
        if self.entries.is_empty() {
            self.entries = vec![None; TABLE_SIZE as usize];
        }
        let slot = (request.0 % TABLE_SIZE) as usize;
        self.entries[slot] =
            Some(AnsweredRequest { request, at: now, ends: 0, ended_at: Millis(0) });
    }

    /// Returns the entry of a request that was answered recently.
    fn recent_entry(
        &mut self,
        request: Fingerprint,
        now: Millis,
    ) -> Option<&mut Option<AnsweredRequest>> {
        let entry = self.entries.get_mut((request.0 % TABLE_SIZE) as usize)?;
        let retention = self.policy.retention;
        let is_recent =
            |entry: AnsweredRequest| entry.request == request && now.since(entry.at) < retention;
        entry.is_some_and(is_recent).then_some(entry)
    }

    /// Records that a server ended while it ran a request. Returns whether the request is excused.
    ///
    /// Ends of runs that were in flight together count once, however many there are: only a run that was sent after the
    /// last end was recorded counts again.
    pub(super) fn excuse_end(&mut self, run: EndedRun, now: Millis) -> bool {
        let max_ends = self.policy.max_ends;
        let Some(entry) = self.recent_entry(run.request, now) else { return false };
        match entry {
            Some(entry) if run.sent_at < entry.ended_at => true,
            Some(entry) if entry.ends < max_ends => {
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

    /// Records that a server ended at `ended_at` while it ran a request for another gateway. Returns whether the request
    /// is excused.
    ///
    /// Such ends count with those of this gateway. If each answer excused all of them, a request that becomes deadly could
    /// end one server after the other while any gateway remembers an answer from before.
    pub(super) fn excuse_reported_end(
        &mut self,
        request: Fingerprint,
        ended_at: Millis,
        now: Millis,
    ) -> bool {
        let max_ends = self.policy.max_ends;
        match self.recent_entry(request, now) {
            Some(Some(entry)) if ended_at < entry.at => true,
            Some(Some(entry)) if entry.ends > 0 && ended_at < entry.ended_at.after(SAME_EVENT) => {
                true
            }
            Some(Some(entry)) if entry.ends < max_ends => {
                entry.ends += 1;
                entry.ended_at = ended_at;
                true
            }
            _ => false,
        }
    }
}
