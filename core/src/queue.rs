//! The queue before a backend server: fair between customers, by priority within one.

use std::collections::BTreeMap;

use crate::error::ErrorKind;
use crate::ids::{CustomerName, Millis};

/// Bounds of a queue.
#[derive(Clone, Copy, Debug)]
pub struct QueueLimits {
    /// Requests that wait at most, of all customers.
    pub max_waiting: usize,
    /// Requests of one customer that wait at most.
    pub max_per_customer: usize,
}

/// A request that waits.
#[derive(Clone, Debug)]
pub struct QueueEntry<T> {
    /// The request.
    pub item: T,
    /// Its customer.
    pub customer: CustomerName,
    /// Work that it is expected to make, in tokens.
    pub work: u64,
    /// Time by which it must have begun.
    pub deadline: Millis,
}

/// The requests of one customer, the most urgent first.
#[derive(Debug)]
struct CustomerQueue<T> {
    /// Virtual time at which its next request may run.
    next_start: u64,
    weight: u64,
    waiting: BTreeMap<(u8, u64), QueueEntry<T>>,
}

/// Start-time fair queueing over customers: each gets work in proportion to its weight, whatever
/// the others offer. Priorities order the requests of one customer only: were they to count between
/// customers, the one that calls everything urgent would take the server for itself.
#[derive(Debug)]
pub struct FairQueue<T> {
    limits: QueueLimits,
    virtual_time: u64,
    next_seq: u64,
    len: usize,
    customer_queues: BTreeMap<CustomerName, CustomerQueue<T>>,
}

/// Scale of virtual time, so that whole numbers divide finely enough by a weight.
const VIRTUAL_TIME_SCALE: u64 = 1_000;

impl<T> FairQueue<T> {
    /// Makes an empty queue.
    pub fn new(limits: QueueLimits) -> Self {
        Self { limits, virtual_time: 0, next_seq: 0, len: 0, customer_queues: BTreeMap::new() }
    }

    /// Adds a request; `priority` 0 is the most urgent.
    ///
    /// # Errors
    ///
    /// The request and [`ErrorKind::Overloaded`] if the queue or the customer's part of it is full.
    pub fn push(
        &mut self,
        request: QueueEntry<T>,
        weight: u32,
        priority: u8,
    ) -> Result<(), (QueueEntry<T>, ErrorKind)> {
        let count =
            self.customer_queues.get(&request.customer).map_or(0, |queue| queue.waiting.len());
        if count >= self.limits.max_per_customer || self.len >= self.limits.max_waiting {
            return Err((request, ErrorKind::Overloaded));
        }
        let queue = self.customer_queues.entry(request.customer.clone()).or_insert_with(|| {
            CustomerQueue { next_start: 0, weight: 1, waiting: BTreeMap::new() }
        });
        if queue.waiting.is_empty() {
            // One that was away starts now: it has no credit from the time of its absence.
            queue.next_start = queue.next_start.max(self.virtual_time);
        }
        queue.weight = u64::from(weight.max(1));
        self.next_seq += 1;
        queue.waiting.insert((priority, self.next_seq), request);
        self.len += 1;
        Ok(())
    }

    /// Takes the next request whose deadline has not passed; the late ones before it go to `late`.
    pub fn pop(&mut self, now: Millis, expired: &mut Vec<QueueEntry<T>>) -> Option<QueueEntry<T>> {
        loop {
            let backlogged =
                self.customer_queues.values_mut().filter(|queue| !queue.waiting.is_empty());
            let Some(queue) = backlogged.min_by_key(|queue| queue.next_start) else {
                // Nobody waits, so that nobody is owed anything.
                self.customer_queues.clear();
                self.virtual_time = 0;
                return None;
            };
            let (_, request) = queue.waiting.pop_first()?;
            self.len -= 1;
            if request.deadline <= now {
                expired.push(request);
                continue;
            }
            self.virtual_time = queue.next_start;
            queue.next_start += request.work.max(1) * VIRTUAL_TIME_SCALE / queue.weight;
            return Some(request);
        }
    }

    /// Takes out every request that `should_remove` names.
    pub fn remove_if(
        &mut self,
        mut should_remove: impl FnMut(&QueueEntry<T>) -> bool,
    ) -> Vec<QueueEntry<T>> {
        let mut removed = Vec::new();
        for queue in self.customer_queues.values_mut() {
            removed.extend(queue.waiting.extract_if(.., |_, request| should_remove(request)));
        }
        self.len -= removed.len();
        removed.into_iter().map(|(_, request)| request).collect()
    }

    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Says whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the work that waits, in tokens.
    pub fn work(&self) -> u64 {
        self.customer_queues.values().flat_map(|queue| queue.waiting.values()).map(|r| r.work).sum()
    }
}
