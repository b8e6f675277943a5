//! Bounded table of promised returns.

use std::collections::{BTreeSet, HashMap, VecDeque};

use super::super::fingerprint::Fingerprint;
use crate::ids::Millis;

/// Maximum number of promises on record, over all services.
const MAX_PROMISES: usize = 4_096;

/// Time for which the end of a promise is kept, so that a late notice does not restore it: a notice is repeated after
/// up to a second, and datagrams that are delayed by more than some seconds are rare.
const ENDED_RETENTION: Millis = Millis(6_000);

/// A promise that was used up by the return of its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Return {
    /// The promised time.
    pub due_at: Millis,
    /// Whether this gateway made the promise, rather than a peer.
    pub is_own: bool,
}

/// Identifies a promise on all gateways.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(super) struct PromiseId {
    pub(super) request: Fingerprint,
    /// Distinguishes promises for equal requests.
    pub(super) number: u16,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Promise {
    /// Hash of the service's name.
    pub(super) service: u32,
    pub(super) due_at: Millis,
    pub(super) is_own: bool,
}

/// Promises in force and those that ended within the last seconds.
///
/// The indexes contain those in force. As their size is bounded, so is the cost of each change: it evicts at most one
/// promise and takes at most 12 comparisons per index.
#[derive(Clone, Debug, Default)]
pub(super) struct Promises {
    /// `None` if the promise has ended.
    known: HashMap<PromiseId, Option<Promise>>,
    by_request: BTreeSet<(Fingerprint, Millis, u16)>,
    by_due: BTreeSet<(Millis, PromiseId)>,
    by_service: BTreeSet<(u32, Millis, PromiseId)>,
    /// Promises that have ended, in the order and with the times of their ends.
    ended: VecDeque<(Millis, PromiseId)>,
}

impl Promises {
    /// Adds a promise, unless one with this id is known. If the table is full, forgets the one that ended first, or the
    /// one that expires first if none has ended.
    pub(super) fn insert(&mut self, id: PromiseId, promise: Promise, now: Millis) {
        if self.known.contains_key(&id) {
            return;
        }
        self.known.insert(id, Some(promise));
        self.by_request.insert((id.request, promise.due_at, id.number));
        self.by_due.insert((promise.due_at, id));
        self.by_service.insert((promise.service, promise.due_at, id));
        if self.known.len() > MAX_PROMISES {
            if self.ended.is_empty() {
                self.end_first_before(Millis(u64::MAX), now);
            }
            self.forget_first_ended();
        }
    }

    /// Returns a promise in force.
    pub(super) fn get(&self, id: PromiseId) -> Option<Promise> {
        self.known.get(&id).copied().flatten()
    }

    /// Returns the first promise of a request with a promised time in a range.
    pub(super) fn find(
        &self,
        request: Fingerprint,
        (from, to): (Millis, Millis),
    ) -> Option<PromiseId> {
        let mut found = self.by_request.range((request, from, 0)..=(request, to, u16::MAX));
        found.next().map(|&(request, _, number)| PromiseId { request, number })
    }

    /// Ends a promise in force.
    pub(super) fn end(&mut self, id: PromiseId, now: Millis) -> Option<Promise> {
        let promise = self.known.get_mut(&id)?.take()?;
        self.by_request.remove(&(id.request, promise.due_at, id.number));
        self.by_due.remove(&(promise.due_at, id));
        self.by_service.remove(&(promise.service, promise.due_at, id));
        self.ended.push_back((now, id));
        Some(promise)
    }

    /// Ends the promise that is due first, if that is before `time`.
    pub(super) fn end_first_before(&mut self, time: Millis, now: Millis) -> Option<Promise> {
        let &(_, id) = self.by_due.first().filter(|(due_at, _)| *due_at < time)?;
        self.end(id, now)
    }

    /// Forgets promises that ended long ago.
    pub(super) fn forget_ended(&mut self, now: Millis) {
        let is_old = |(at, _): &(Millis, PromiseId)| now.since(*at) >= ENDED_RETENTION;
        while self.ended.front().is_some_and(is_old) {
            self.forget_first_ended();
        }
    }

    /// Returns the time of the first promise for a service after `time`.
    pub(super) fn next_after(&self, service: u32, time: Millis) -> Option<Millis> {
        self.from(service, time.after(Millis(1))).next()
    }

    /// Returns the number of promises for a service that are due at `time` or later.
    pub(super) fn count_from(&self, service: u32, time: Millis) -> usize {
        self.from(service, time).count()
    }

    pub(super) fn len(&self) -> usize {
        self.known.len()
    }

    fn from(&self, service: u32, time: Millis) -> impl Iterator<Item = Millis> {
        let id = |n, number| PromiseId { request: Fingerprint(n), number };
        let last = (service, Millis(u64::MAX), id(u64::MAX, u16::MAX));
        self.by_service.range((service, time, id(0, 0))..=last).map(|(_, due_at, _)| *due_at)
    }

    fn forget_first_ended(&mut self) {
        if let Some((_, id)) = self.ended.pop_front() {
            self.known.remove(&id);
        }
    }
}
