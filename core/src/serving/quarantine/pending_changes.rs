//! Marks that have yet to be written to the store or withdrawn from it.

use std::collections::HashMap;

use super::{Mark, MarkChange};
use crate::ids::Millis;
use crate::serving::fingerprint::Fingerprint;

/// Maximum number of pending changes. In a long outage of the store the oldest ones are dropped, because recent ends
/// are better evidence than old ones.
const MAX_PENDING: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct PendingChange {
    made_at: Millis,
    due: Millis,
    is_withdrawal: bool,
}

/// Changes of marks that have not been written to the store.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingChanges {
    changes: HashMap<(Fingerprint, Mark), PendingChange>,
}

impl PendingChanges {
    /// Adds a mark for an event at `made_at`, to be written at `due`.
    pub(super) fn add(&mut self, request: Fingerprint, mark: Mark, due: Millis, made_at: Millis) {
        self.put((request, mark), PendingChange { made_at, due, is_withdrawal: false });
    }

    /// Withdraws marks at `due`. A mark that is not due yet is dropped; one that is due may have reached the store in a
    /// write that was not confirmed, so that its withdrawal has to be written.
    pub(super) fn withdraw(
        &mut self,
        request: Fingerprint,
        marks: Vec<Mark>,
        due: Millis,
        now: Millis,
    ) {
        let is_deferred = |change: &PendingChange| !change.is_withdrawal && change.due > now;
        for key in marks.into_iter().map(|mark| (request, mark)) {
            match self.changes.get(&key) {
                Some(change) if is_deferred(change) => {
                    self.changes.remove(&key);
                }
                _ => self.put(key, PendingChange { made_at: now, due, is_withdrawal: true }),
            }
        }
    }

    fn put(&mut self, key: (Fingerprint, Mark), change: PendingChange) {
        if self.changes.len() >= MAX_PENDING {
            let oldest = self.changes.iter().min_by_key(|(_, change)| change.made_at);
            let oldest = oldest.map(|(key, _)| key.clone());
            oldest.and_then(|key| self.changes.remove(&key));
        }
        self.changes.insert(key, change);
    }

    /// Postpones the marks of a request to `until`, except those that are already due.
    pub(super) fn postpone(&mut self, request: Fingerprint, until: Millis, now: Millis) {
        let is_deferred = |change: &PendingChange| !change.is_withdrawal && change.due > now;
        let of_request = self
            .changes
            .iter_mut()
            .filter(|((of, _), change)| *of == request && is_deferred(change));
        of_request.for_each(|(_, change)| change.due = change.due.max(until));
    }

    /// Makes all pending changes of a request due.
    pub(super) fn expedite(&mut self, request: Fingerprint, now: Millis) {
        let of_request = self.changes.iter_mut().filter(|((of, _), _)| *of == request);
        of_request.for_each(|(_, change)| change.due = change.due.min(now));
    }

    pub(super) fn contains(&self, request: Fingerprint, mark: &Mark) -> bool {
        self.changes.contains_key(&(request, mark.clone()))
    }

    /// Records that the store has a mark. Returns `false` if a withdrawal of the mark is pending.
    pub(super) fn confirm_present(&mut self, request: Fingerprint, mark: &Mark) -> bool {
        let key = (request, mark.clone());
        if self.changes.get(&key).is_some_and(|change| change.is_withdrawal) {
            return false;
        }
        self.changes.remove(&key);
        true
    }

    /// Records that a mark was withdrawn from the store.
    pub(super) fn confirm_withdrawn(&mut self, request: Fingerprint, mark: &Mark) {
        self.changes.remove(&(request, mark.clone()));
    }

    pub(super) fn due(&self, now: Millis, max: usize) -> Vec<MarkChange> {
        let due = self.changes.iter().filter(|(_, change)| change.due <= now);
        let to_mark_change =
            |((request, mark), change): (&(Fingerprint, Mark), &PendingChange)| MarkChange {
                request: *request,
                mark: mark.clone(),
                age: (!change.is_withdrawal).then(|| now.since(change.made_at)),
            };
        due.take(max).map(to_mark_change).collect()
    }

    pub(super) fn next_due_at(&self) -> Option<Millis> {
        self.changes.values().map(|change| change.due).min()
    }

    /// Removes changes that were written. A mark with an opposite change made in the meantime remains pending.
    pub(super) fn confirm_written(&mut self, changes: &[MarkChange]) {
        for change in changes {
            let key = (change.request, change.mark.clone());
            let is_same = |pending: &PendingChange| pending.is_withdrawal == change.age.is_none();
            if self.changes.get(&key).is_some_and(is_same) {
                self.changes.remove(&key);
            }
        }
    }
}
