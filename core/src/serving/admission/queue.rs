//! Requests that wait at a gateway for a slot of a service.

use std::cmp::Ordering;
use std::fmt;

use super::Demand;
use crate::ids::Millis;

/// Maximum number of waiting requests of a service. On the deployments of the design page a gateway has 90 to 120 slots
/// for itself; with runs of a second it starts about 100 requests per second. Callers wait for up to about 10 s, so
/// that requests beyond 1,000 could not begin in time.
const MAX_WAITING: usize = 1_024;

/// A waiting request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Waiting {
    /// Number that identifies the request at this gateway. It must be unique among the waiting requests.
    pub id: u64,
    /// Hash of its customer.
    pub customer: u32,
    /// What it needs, and by when.
    pub demand: Demand,
    /// Whether its caller was refused before and returns at the time that it was given.
    pub has_promise: bool,
}

/// The queue is full of requests that are at least as urgent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueueFull;

impl fmt::Display for QueueFull {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{MAX_WAITING} requests that are at least as urgent are waiting")
    }
}

impl std::error::Error for QueueFull {}

/// The waiting requests of one service, at most 1,024.
///
/// Requests are ordered by their effective rank, promised returns first, the least used share of the customer, the
/// least time to the latest useful start, the fewest tokens, and arrival. The effective rank improves by one for each
/// two latency targets waited. As the order changes with time and usage, it is computed when it is needed, in one pass
/// over the requests.
///
/// ```
/// use redwingfold_core::{Demand, Millis, Priority, WaitQueue, Waiting};
/// let demand = |rank, at| Demand {
///     rank: Priority(rank),
///     tokens: 400,
///     arrived_at: Millis(at),
///     latency_target: Millis(500),
///     patience: Millis(4_000),
///     deadline: Millis(9_000),
///     prefill: Millis(100),
///     duration: Millis(900),
/// };
/// let waiting = |id, rank, at| Waiting { id, customer: 7, demand: demand(rank, at), has_promise: false };
/// let (mut queue, usage) = (WaitQueue::default(), |_| 0.0);
/// queue.push(waiting(1, 1, 0), Millis(0), usage).unwrap();
/// queue.push(waiting(2, 0, 0), Millis(0), usage).unwrap();
/// assert_eq!(queue.pop(Millis(0), usage).unwrap().id, 2);
/// // After two latency targets, the request of rank 1 goes before a new one of rank 0.
/// queue.push(waiting(3, 0, 1_000), Millis(1_000), usage).unwrap();
/// assert_eq!(queue.pop(Millis(1_000), usage).unwrap().id, 1);
/// assert_eq!(queue.take_hopeless(Millis(9_000)).len(), 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct WaitQueue(Vec<Waiting>);

/// Position of a request in the order at one time; the smallest goes first.
#[derive(Clone, Copy, Debug)]
struct OrderKey {
    /// Whether it cannot begin in time any longer, so that it is never sent.
    is_hopeless: bool,
    effective_rank: i64,
    is_new: bool,
    usage: f64,
    latest_start: Millis,
    tokens: u64,
    arrived_at: Millis,
    id: u64,
}

impl OrderKey {
    fn new(waiting: &Waiting, now: Millis, usage: &impl Fn(u32) -> f64) -> Self {
        let (usage, demand) = (usage(waiting.customer), &waiting.demand);
        Self {
            is_hopeless: is_hopeless(demand, now),
            effective_rank: demand.effective_rank(now),
            is_new: !waiting.has_promise,
            usage: if usage.is_nan() { f64::INFINITY } else { usage },
            latest_start: demand.latest_start(),
            tokens: demand.tokens,
            arrived_at: demand.arrived_at,
            id: waiting.id,
        }
    }

    fn urgency(&self) -> (bool, i64) {
        (self.is_hopeless, self.effective_rank)
    }

    fn cmp(&self, other: &Self) -> Ordering {
        let last = |key: &Self| (key.latest_start, key.tokens, key.arrived_at, key.id);
        (self.urgency(), self.is_new)
            .cmp(&(other.urgency(), other.is_new))
            .then(self.usage.total_cmp(&other.usage))
            .then(last(self).cmp(&last(other)))
    }
}

fn is_hopeless(demand: &Demand, now: Millis) -> bool {
    demand.latest_start() < now
}

impl WaitQueue {
    /// Adds a request. If the queue is full, it replaces the last one in order, if that has a lower effective rank or
    /// cannot begin in time any longer. Returns the replaced request, which is to be refused.
    ///
    /// # Errors
    ///
    /// [`QueueFull`] if the queue is full and the request is not more urgent than the last one. It is not added.
    pub fn push(
        &mut self,
        waiting: Waiting,
        now: Millis,
        usage: impl Fn(u32) -> f64,
    ) -> Result<Option<Waiting>, QueueFull> {
        if self.0.len() < MAX_WAITING {
            self.0.push(waiting);
            return Ok(None);
        }
        let newcomer = OrderKey::new(&waiting, now, &usage);
        match self.keys(now, &usage).max_by(|(a, _), (b, _)| a.cmp(b)) {
            Some((last, i)) if newcomer.urgency() < last.urgency() => {
                Ok(Some(std::mem::replace(&mut self.0[i], waiting)))
            }
            _ => Err(QueueFull),
        }
    }

    /// Removes and returns the first request in order that can still begin in time. `usage` returns the use that a
    /// customer has made of its share.
    pub fn pop(&mut self, now: Millis, usage: impl Fn(u32) -> f64) -> Option<Waiting> {
        let (first, i) = self.keys(now, &usage).min_by(|(a, _), (b, _)| a.cmp(b))?;
        (!first.is_hopeless).then(|| self.0.swap_remove(i))
    }

    /// Removes a request, for example because its caller is gone. Returns whether it was waiting.
    pub fn remove(&mut self, id: u64) -> bool {
        let found = self.0.iter().position(|waiting| waiting.id == id);
        found.map(|i| self.0.swap_remove(i)).is_some()
    }

    /// Removes and returns the requests whose latest useful start has passed, which are to be refused.
    pub fn take_hopeless(&mut self, now: Millis) -> Vec<Waiting> {
        self.0.extract_if(.., |waiting| is_hopeless(&waiting.demand, now)).collect()
    }

    /// Returns the number of waiting requests that go before a new one: those of the same or a higher effective rank
    /// that can still begin in time.
    pub fn ahead_of(&self, demand: &Demand, now: Millis) -> usize {
        self.count_ahead(demand, now, |_| true)
    }

    /// Returns the number of waiting requests that go before a promised return: those of a higher effective rank, and
    /// promised returns of the same one.
    pub fn ahead_of_return(&self, demand: &Demand, now: Millis) -> usize {
        self.count_ahead(demand, now, |same_rank| same_rank.has_promise)
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    fn count_ahead(
        &self,
        demand: &Demand,
        now: Millis,
        is_ahead: impl Fn(&Waiting) -> bool,
    ) -> usize {
        let rank = demand.effective_rank(now);
        let in_time = self.0.iter().filter(|waiting| !is_hopeless(&waiting.demand, now));
        in_time
            .filter(|waiting| match waiting.demand.effective_rank(now).cmp(&rank) {
                Ordering::Less => true,
                Ordering::Equal => is_ahead(waiting),
                Ordering::Greater => false,
            })
            .count()
    }

    fn keys(
        &self,
        now: Millis,
        usage: &impl Fn(u32) -> f64,
    ) -> impl Iterator<Item = (OrderKey, usize)> {
        self.0.iter().enumerate().map(move |(i, waiting)| (OrderKey::new(waiting, now, usage), i))
    }
}
