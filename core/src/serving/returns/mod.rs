//! Times at which refused callers should return, and recognition of those that do.

mod notices;
mod positions;
mod promises;

pub use notices::ReturnNotice;
pub use promises::Return;

use xxhash_rust::xxh3::xxh3_64;

use self::notices::NoticeQueue;
use self::positions::{Positions, Spacing};
use self::promises::{Promise, PromiseId, Promises};
use super::catalog::ServiceName;
use super::fingerprint::Fingerprint;
use crate::ids::Millis;

/// Maximum time until a promised return. Callers honour a third of their time left, so it covers deadlines of up to
/// three minutes; in milliseconds it fits the 16 bits of a notice.
const MAX_DELAY: Millis = Millis(60_000);

/// Time by which a caller may return before or after its promised time without being early or late: a quarter of a
/// second covers the round trip, a new connection and the rounding of timers.
const ARRIVAL_TOLERANCE: Millis = Millis(250);

/// Time after a promised return at which the promise expires. Callers that wait on whole seconds are a second late.
const EXPIRES_AFTER: Millis = Millis(2_000);

/// Numbers of promises whose callers returned or not, since the last reading.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReturnCounts {
    /// Callers that returned in time and whose request was sent, whichever gateway made the promise.
    pub kept: u64,
    /// Callers that returned in time and were refused again, whichever gateway made the promise.
    pub broken: u64,
    /// Promises of this gateway that expired without a return to this gateway. Callers that returned to others are
    /// counted there: over all gateways, promises made less kept and broken ones were unused.
    pub unused: u64,
    /// Notices that were ignored because of an absurd time.
    pub ignored: u64,
}

/// Promises to refused callers of a time at which there is capacity for them.
///
/// Load pattern: a wave of callers is refused at once. If they return at random times within a second, their number
/// again exceeds the capacity. Each promise therefore takes the next position after those already made, spaced by the
/// rate at which this gateway completes requests. Since callers return to any gateway, promises are sent to the peers.
///
/// A request has the same fingerprint as others with equal content of the same customer. It may have several promises,
/// each of which one return uses up.
///
/// ```
/// use redwingfold_core::{Fingerprint, Millis, ReturnSchedule};
/// let (mut returns, service) = (ReturnSchedule::default(), "chat".into());
/// let mut promise = |n| returns.promise(Fingerprint(n), &service, Millis(500), 2.0, Millis(0), 0);
/// assert_eq!([promise(1), promise(2), promise(3)], [500, 1_000, 1_500].map(Millis));
/// assert!(!returns.is_due(Fingerprint(2), Millis(0)));
/// assert!(returns.is_due(Fingerprint(2), Millis(1_010)));
/// assert!(returns.take(Fingerprint(2), Millis(1_010)).is_some());
/// assert_eq!(returns.pending(&service, Millis(1_010)), 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ReturnSchedule {
    promises: Promises,
    positions: Positions,
    notices: NoticeQueue,
    counts: ReturnCounts,
    /// Number of promises made, from which each gets a number that distinguishes it from others for equal requests.
    made: u16,
}

impl ReturnSchedule {
    /// Promises a refused caller capacity and returns the time until it should come back.
    ///
    /// That is at least `ready_in`, after all promises already made for the service, and at most a minute. `rate` is
    /// the number of requests per second that this gateway completes; without a usable one, promises are a second
    /// apart. `draw` is a random number, which moves the promise by a part of one position so that gateways do not
    /// coincide.
    ///
    /// The refusal of a caller that has returned in time breaks its promise. The new one is at `ready_in`, or at a
    /// random time from then until the next promise after the broken one.
    pub fn promise(
        &mut self,
        request: Fingerprint,
        service: &ServiceName,
        ready_in: Millis,
        rate: f64,
        now: Millis,
        draw: u64,
    ) -> Millis {
        self.expire(now);
        let service = service_hash(service);
        let spacing = Spacing::from_rate(rate, MAX_DELAY);
        let ready_at = now.after(ready_in.min(MAX_DELAY));
        let latest = now.after(MAX_DELAY);
        let position = self.positions.take(service, ready_at, spacing, latest);
        let broken = self.end_due(request, now);
        self.counts.broken += u64::from(broken.is_some());
        let due_at = match broken {
            Some(broken) if broken.service == service => {
                let next = self.promises.next_after(service, broken.due_at).unwrap_or(latest);
                spacing.spread(ready_at, draw).min(next.max(ready_at))
            }
            _ => spacing.spread_from(position, draw),
        };
        let due_at = due_at.min(latest);
        self.made = self.made.wrapping_add(1);
        let id = PromiseId { request, number: ((draw >> 48) as u16).wrapping_add(self.made) };
        self.promises.insert(id, Promise { service, due_at, is_own: true }, now);
        self.notices.push(id, due_at, now);
        due_at.since(now)
    }

    /// Returns whether a request returns at the time promised to it, by this gateway or a peer.
    pub fn is_due(&self, request: Fingerprint, now: Millis) -> bool {
        self.promises.find(request, window(now)).is_some()
    }

    /// Uses up the promise of a request that has returned in time and is sent to a server. A caller that returns too
    /// early or too late has none.
    pub fn take(&mut self, request: Fingerprint, now: Millis) -> Option<Return> {
        let taken = self.end_due(request, now)?;
        self.counts.kept += 1;
        Some(Return { due_at: taken.due_at, is_own: taken.is_own })
    }

    /// Returns the number of promised returns to a service that are still to come, by this gateway and its peers.
    ///
    /// A caller that is late has usually returned to another gateway, which does not announce that. It is therefore not
    /// counted, although its promise holds for longer.
    pub fn pending(&self, service: &ServiceName, now: Millis) -> usize {
        self.promises.count_from(service_hash(service), now.since(ARRIVAL_TOLERANCE))
    }

    /// Removes the promises that have expired and returns their number.
    pub fn expire(&mut self, now: Millis) -> usize {
        let mut expired = 0;
        while let Some(promise) = self.promises.end_first_before(now.since(EXPIRES_AFTER), now) {
            self.counts.unused += u64::from(promise.is_own);
            expired += 1;
        }
        self.promises.forget_ended(now);
        expired
    }

    /// Returns the next notices to the peers, at most `max`. Each promise has a second one after a second, or half of
    /// the time until the return if that is earlier, because messages may be lost.
    pub fn report(&mut self, max: usize, now: Millis) -> Vec<ReturnNotice> {
        let promises = &self.promises;
        let notice = |id: PromiseId| {
            let promise = promises.get(id).filter(|promise| now < promise.due_at)?;
            let due_in = promise.due_at.since(now);
            let PromiseId { request, number } = id;
            Some(ReturnNotice { request, number, service: promise.service, due_in })
        };
        let queue = &mut self.notices;
        std::iter::from_fn(|| queue.pop(now)).filter_map(notice).take(max).collect()
    }

    /// Applies a notice of a peer. One that has arrived before changes nothing, also if its promise was used up since.
    pub fn apply_peer(&mut self, notice: ReturnNotice, now: Millis) {
        self.expire(now);
        let ReturnNotice { request, number, service, due_in } = notice;
        if due_in > MAX_DELAY {
            self.counts.ignored += 1;
            return;
        }
        let promise = Promise { service, due_at: now.after(due_in), is_own: false };
        self.promises.insert(PromiseId { request, number }, promise, now);
    }

    /// Returns the counts since the last call and resets them.
    pub fn take_counts(&mut self) -> ReturnCounts {
        std::mem::take(&mut self.counts)
    }

    /// Returns the number of promises on record, which includes those that ended within the last seconds.
    pub fn len(&self) -> usize {
        self.promises.len()
    }

    /// Returns whether no promises are on record.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn end_due(&mut self, request: Fingerprint, now: Millis) -> Option<Promise> {
        let id = self.promises.find(request, window(now))?;
        self.promises.end(id, now)
    }
}

/// Returns the first and the last promised time with which a return at `now` is in time.
fn window(now: Millis) -> (Millis, Millis) {
    (now.since(EXPIRES_AFTER), now.after(ARRIVAL_TOLERANCE))
}

/// Identifies a service in messages between gateways. Services whose names have the same hash share promises and loans.
pub fn service_hash(service: &ServiceName) -> u32 {
    xxh3_64(service.as_str().as_bytes()) as u32
}
