//! Notices of promised returns to the peers.

use std::collections::{BTreeSet, VecDeque};

use super::super::fingerprint::Fingerprint;
use super::promises::PromiseId;
use crate::ids::Millis;

/// Maximum time between a notice and its repetition. Promises that are due earlier are repeated earlier, as a
/// repetition after the return would be useless.
const MAX_REPEAT_INTERVAL: Millis = Millis(1_000);

/// Maximum number of promises whose first notice is yet to be sent, and of those to be repeated.
const MAX_QUEUED: usize = 1_024;

/// Notice of a promise, by which one gateway tells the others of it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReturnNotice {
    /// The refused request.
    pub request: Fingerprint,
    /// Distinguishes promises for equal requests.
    pub number: u16,
    /// Hash of the service's name.
    pub service: u32,
    /// Time until the promised return.
    pub due_in: Millis,
}

/// Promises of which the peers are yet to be notified.
#[derive(Clone, Debug, Default)]
pub(super) struct NoticeQueue {
    first: VecDeque<(PromiseId, Millis)>,
    /// Times of repetitions.
    repeated: BTreeSet<(Millis, PromiseId)>,
}

impl NoticeQueue {
    /// Adds a promise. If the queue is full, the oldest is dropped, because its caller usually returns first and a
    /// notice must arrive before that.
    pub(super) fn push(&mut self, id: PromiseId, due_at: Millis, now: Millis) {
        if now >= due_at {
            return;
        }
        if self.first.len() >= MAX_QUEUED {
            self.first.pop_front();
        }
        self.first.push_back((id, due_at));
    }

    /// Removes and returns the next promise to send: first ones before repetitions.
    pub(super) fn pop(&mut self, now: Millis) -> Option<PromiseId> {
        if let Some((id, due_at)) = self.first.pop_front() {
            let interval = due_at.since(now).0 / 2;
            let interval = Millis(interval.clamp(1, MAX_REPEAT_INTERVAL.0));
            self.repeated.insert((now.after(interval), id));
            if self.repeated.len() > MAX_QUEUED {
                self.repeated.pop_first();
            }
            return Some(id);
        }
        let (at, id) = *self.repeated.first().filter(|(at, _)| *at <= now)?;
        self.repeated.remove(&(at, id));
        Some(id)
    }
}
