//! The queue before a backend server: fair between customers, by priority within one.

use std::collections::{BTreeMap, HashMap};

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
pub struct Waiting<T> {
    /// The request.
    pub item: T,
    /// Its customer.
    pub customer: CustomerName,
    /// Work that it is expected to make, in tokens.
    pub work: u64,
    /// Time by which it must have begun.
    pub deadline: Millis,
}

/// Start-time fair queueing over customers: each gets work in proportion to its weight, whatever
/// the others offer.
#[derive(Debug)]
pub struct FairQueue<T> {
    limits: QueueLimits,
    virtual_time: u64,
    next_seq: u64,
    finish: HashMap<CustomerName, u64>,
    counts: HashMap<CustomerName, usize>,
    waiting: BTreeMap<(u64, u64), Waiting<T>>,
}

/// Scale of virtual time, so that whole numbers divide finely enough by a weight.
const SCALE: u64 = 1_000;

/// How much one step of priority moves a request forward or back within its customer, in tokens.
const PRIORITY_STEP: u64 = 2_000;

impl<T> FairQueue<T> {
    /// Makes an empty queue.
    pub fn new(limits: QueueLimits) -> Self {
        Self {
            limits,
            virtual_time: 0,
            next_seq: 0,
            finish: HashMap::new(),
            counts: HashMap::new(),
            waiting: BTreeMap::new(),
        }
    }

    /// Adds a request; `priority` 0 is the most urgent.
    ///
    /// # Errors
    ///
    /// The request and [`ErrorKind::Overloaded`] if the queue or the customer's part of it is full.
    pub fn push(
        &mut self,
        request: Waiting<T>,
        weight: u32,
        priority: u8,
    ) -> Result<(), (Waiting<T>, ErrorKind)> {
        let count = self.counts.get(&request.customer).copied().unwrap_or(0);
        if count >= self.limits.max_per_customer || self.waiting.len() >= self.limits.max_waiting {
            return Err((request, ErrorKind::Overloaded));
        }
        let weight = u64::from(weight.max(1));
        let last = self.finish.get(&request.customer).copied().unwrap_or(0);
        let start = last.max(self.virtual_time);
        let finish = start + request.work.max(1) * SCALE / weight;
        self.finish.insert(request.customer.clone(), finish);
        *self.counts.entry(request.customer.clone()).or_default() += 1;
        self.next_seq += 1;
        let rank = start + u64::from(priority) * PRIORITY_STEP * SCALE / weight;
        self.waiting.insert((rank, self.next_seq), request);
        Ok(())
    }

    /// Takes the next request whose deadline has not passed; the late ones before it go to `late`.
    pub fn pop(&mut self, now: Millis, late: &mut Vec<Waiting<T>>) -> Option<Waiting<T>> {
        while let Some(((rank, _), request)) = self.waiting.pop_first() {
            self.forget_one(&request.customer);
            if request.deadline <= now {
                late.push(request);
                continue;
            }
            self.virtual_time = self.virtual_time.max(rank);
            return Some(request);
        }
        self.finish.clear();
        None
    }

    /// Takes out every request that `is_void` names.
    pub fn take_if(&mut self, mut is_void: impl FnMut(&Waiting<T>) -> bool) -> Vec<Waiting<T>> {
        let ranks: Vec<_> =
            self.waiting.iter().filter(|(_, r)| is_void(r)).map(|(k, _)| *k).collect();
        let taken: Vec<_> = ranks.iter().filter_map(|rank| self.waiting.remove(rank)).collect();
        for request in &taken {
            self.forget_one(&request.customer);
        }
        taken
    }

    fn forget_one(&mut self, customer: &CustomerName) {
        match self.counts.get_mut(customer) {
            Some(1) => {
                self.counts.remove(customer);
            }
            Some(n) => *n -= 1,
            None => {}
        }
    }

    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Says whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the work that waits, in tokens.
    pub fn work(&self) -> u64 {
        self.waiting.values().map(|r| r.work).sum()
    }
}
