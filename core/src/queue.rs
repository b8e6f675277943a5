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

/// The requests of one customer, the most urgent first.
#[derive(Debug)]
struct Line<T> {
    /// Virtual time at which its next request may run.
    start: u64,
    weight: u64,
    waiting: BTreeMap<(u8, u64), Waiting<T>>,
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
    lines: BTreeMap<CustomerName, Line<T>>,
}

/// Scale of virtual time, so that whole numbers divide finely enough by a weight.
const SCALE: u64 = 1_000;

impl<T> FairQueue<T> {
    /// Makes an empty queue.
    pub fn new(limits: QueueLimits) -> Self {
        Self { limits, virtual_time: 0, next_seq: 0, len: 0, lines: BTreeMap::new() }
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
        let count = self.lines.get(&request.customer).map_or(0, |line| line.waiting.len());
        if count >= self.limits.max_per_customer || self.len >= self.limits.max_waiting {
            return Err((request, ErrorKind::Overloaded));
        }
        let line = self.lines.entry(request.customer.clone()).or_insert_with(|| Line {
            start: 0,
            weight: 1,
            waiting: BTreeMap::new(),
        });
        if line.waiting.is_empty() {
            // One that was away starts now: it has no credit from the time of its absence.
            line.start = line.start.max(self.virtual_time);
        }
        line.weight = u64::from(weight.max(1));
        self.next_seq += 1;
        line.waiting.insert((priority, self.next_seq), request);
        self.len += 1;
        Ok(())
    }

    /// Takes the next request whose deadline has not passed; the late ones before it go to `late`.
    pub fn pop(&mut self, now: Millis, late: &mut Vec<Waiting<T>>) -> Option<Waiting<T>> {
        loop {
            let backlogged = self.lines.values_mut().filter(|line| !line.waiting.is_empty());
            let Some(line) = backlogged.min_by_key(|line| line.start) else {
                // Nobody waits, so that nobody is owed anything.
                self.lines.clear();
                self.virtual_time = 0;
                return None;
            };
            let (_, request) = line.waiting.pop_first()?;
            self.len -= 1;
            if request.deadline <= now {
                late.push(request);
                continue;
            }
            self.virtual_time = line.start;
            line.start += request.work.max(1) * SCALE / line.weight;
            return Some(request);
        }
    }

    /// Takes out every request that `is_void` names.
    pub fn take_if(&mut self, mut is_void: impl FnMut(&Waiting<T>) -> bool) -> Vec<Waiting<T>> {
        let mut taken = Vec::new();
        for line in self.lines.values_mut() {
            taken.extend(line.waiting.extract_if(.., |_, request| is_void(request)));
        }
        self.len -= taken.len();
        taken.into_iter().map(|(_, request)| request).collect()
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
        self.lines.values().flat_map(|line| line.waiting.values()).map(|r| r.work).sum()
    }
}
