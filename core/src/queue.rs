//! The queue of a backend server: fair between customers, by priority within a customer.

use std::collections::BTreeMap;

use crate::error::ErrorKind;
use crate::ids::{CustomerName, Millis};

/// Bounds of a queue.
#[derive(Clone, Copy, Debug)]
pub struct QueueLimits {
    /// Maximum of waiting requests of all customers.
    pub max_waiting: usize,
    /// Maximum of waiting requests of one customer.
    pub max_per_customer: usize,
}

/// A waiting request.
#[derive(Clone, Debug)]
pub struct QueueEntry<T> {
    /// The request.
    pub item: T,
    /// Its customer.
    pub customer: CustomerName,
    /// Its expected work, in tokens.
    pub work: u64,
    /// Time by which it must start to run.
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

/// Start-time fair queueing over customers: each gets a share of the work in proportion to its
/// weight, whatever load the others offer. Priorities order only the requests of one customer. If
/// they applied between customers, one that marks every request as urgent would starve the others.
#[derive(Debug)]
pub struct FairQueue<T> {
    limits: QueueLimits,
    virtual_time: u64,
    next_seq: u64,
    len: usize,
    customer_queues: BTreeMap<CustomerName, CustomerQueue<T>>,
}

/// Scale of virtual time, which keeps the rounding error of an integer division by a weight small.
const VIRTUAL_TIME_SCALE: u64 = 1_000;

impl<T> FairQueue<T> {
    /// Creates an empty queue.
    pub fn new(limits: QueueLimits) -> Self {
        Self { limits, virtual_time: 0, next_seq: 0, len: 0, customer_queues: BTreeMap::new() }
    }

    /// Adds a request; `priority` 0 is the most urgent.
    ///
    /// # Errors
    ///
    /// Returns the request and [`ErrorKind::Overloaded`] if the queue or the customer's share of it
    /// is full.
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
            // A customer without waiting requests accrues no credit for the time that it was idle.
            queue.next_start = queue.next_start.max(self.virtual_time);
        }
        queue.weight = u64::from(weight.max(1));
        self.next_seq += 1;
        queue.waiting.insert((priority, self.next_seq), request);
        self.len += 1;
        Ok(())
    }

    /// Removes and returns the next request whose deadline has not passed; moves the requests
    /// before it, which are past theirs, to `expired`.
    pub fn pop(&mut self, now: Millis, expired: &mut Vec<QueueEntry<T>>) -> Option<QueueEntry<T>> {
        loop {
            let backlogged =
                self.customer_queues.values_mut().filter(|queue| !queue.waiting.is_empty());
            let Some(queue) = backlogged.min_by_key(|queue| queue.next_start) else {
                // An empty queue has no backlog to divide, so virtual time restarts.
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

    /// Removes and returns every request for which `should_remove` is true.
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

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the work of the waiting requests, in tokens.
    pub fn work(&self) -> u64 {
        self.customer_queues.values().flat_map(|queue| queue.waiting.values()).map(|r| r.work).sum()
    }
}
