//! Marks that are to be written to the store, or withdrawn from it.

use std::collections::HashMap;

use super::{Mark, MarkChange};
use crate::ids::Millis;
use crate::serving::fingerprint::Fingerprint;

/// Changes that wait at most. In a long outage of the store those that wait longest give way: ends of servers that are
/// so long ago say less than new ones.
const MAX_WAITING: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct Waiting {
    made_at: Millis,
    due: Millis,
    is_withdrawal: bool,
}

/// Changes that wait until they are written.
#[derive(Clone, Debug, Default)]
pub(super) struct Unwritten {
    waiting: HashMap<(Fingerprint, Mark), Waiting>,
}

impl Unwritten {
    /// Adds a mark of a time that is to be written by another.
    pub(super) fn add(&mut self, request: Fingerprint, mark: Mark, due: Millis, made_at: Millis) {
        self.put((request, mark), Waiting { made_at, due, is_withdrawal: false });
    }

    /// Withdraws marks by a time. One that is due may have been written, though no answer says so.
    pub(super) fn withdraw(
        &mut self,
        request: Fingerprint,
        marks: Vec<Mark>,
        due: Millis,
        now: Millis,
    ) {
        let is_held = |waiting: &Waiting| !waiting.is_withdrawal && waiting.due > now;
        for key in marks.into_iter().map(|mark| (request, mark)) {
            match self.waiting.get(&key) {
                Some(waiting) if is_held(waiting) => {
                    self.waiting.remove(&key);
                }
                _ => self.put(key, Waiting { made_at: now, due, is_withdrawal: true }),
            }
        }
    }

    fn put(&mut self, key: (Fingerprint, Mark), waiting: Waiting) {
        if self.waiting.len() >= MAX_WAITING {
            let oldest = self.waiting.iter().min_by_key(|(_, waiting)| waiting.made_at);
            let oldest = oldest.map(|(key, _)| key.clone());
            oldest.and_then(|key| self.waiting.remove(&key));
        }
        self.waiting.insert(key, waiting);
    }

    /// Holds marks of a request back until a time, unless they are due.
    pub(super) fn hold(&mut self, request: Fingerprint, until: Millis, now: Millis) {
        let held = |waiting: &Waiting| !waiting.is_withdrawal && waiting.due > now;
        let of_request = self.waiting.iter_mut().filter(|((of, _), w)| *of == request && held(w));
        of_request.for_each(|(_, waiting)| waiting.due = waiting.due.max(until));
    }

    /// Writes what waits of a request at once.
    pub(super) fn hurry(&mut self, request: Fingerprint, now: Millis) {
        let of_request = self.waiting.iter_mut().filter(|((of, _), _)| *of == request);
        of_request.for_each(|(_, waiting)| waiting.due = waiting.due.min(now));
    }

    pub(super) fn has(&self, request: Fingerprint, mark: &Mark) -> bool {
        self.waiting.contains_key(&(request, mark.clone()))
    }

    /// Takes that the store has a mark; `false` if it is about to be withdrawn.
    pub(super) fn is_there(&mut self, request: Fingerprint, mark: &Mark) -> bool {
        let key = (request, mark.clone());
        if self.waiting.get(&key).is_some_and(|waiting| waiting.is_withdrawal) {
            return false;
        }
        self.waiting.remove(&key);
        true
    }

    /// Takes that a mark was withdrawn.
    pub(super) fn is_gone(&mut self, request: Fingerprint, mark: &Mark) {
        self.waiting.remove(&(request, mark.clone()));
    }

    pub(super) fn due(&self, now: Millis, max: usize) -> Vec<MarkChange> {
        let due = self.waiting.iter().filter(|(_, waiting)| waiting.due <= now);
        let change = |((request, mark), waiting): (&(Fingerprint, Mark), &Waiting)| MarkChange {
            request: *request,
            mark: mark.clone(),
            age: (!waiting.is_withdrawal).then(|| now.since(waiting.made_at)),
        };
        due.take(max).map(change).collect()
    }

    pub(super) fn due_at(&self) -> Option<Millis> {
        self.waiting.values().map(|waiting| waiting.due).min()
    }

    /// Takes that changes were written. One that was turned round meanwhile is still to be written.
    pub(super) fn written(&mut self, changes: &[MarkChange]) {
        for change in changes {
            let key = (change.request, change.mark.clone());
            let is_same = |waiting: &Waiting| waiting.is_withdrawal == change.age.is_none();
            if self.waiting.get(&key).is_some_and(is_same) {
                self.waiting.remove(&key);
            }
        }
    }
}
