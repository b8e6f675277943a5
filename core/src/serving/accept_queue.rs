//! New connections of callers that wait until the gateway reads them.

use std::collections::VecDeque;

use crate::ids::Millis;

/// Number of measured reads from which their mean interval is used.
const MIN_READS: u32 = 8;

/// Weight of a new read in the mean interval.
const READ_WEIGHT: f64 = 1.0 / 16.0;

/// When new connections are closed before they are read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AcceptPolicy {
    /// Wait above which a gateway is behind, if no connection waits less for a whole `interval`. Callers leave when their
    /// request has not been read for a second, or a third of their time.
    pub standing_wait: Millis,
    /// Time for which the wait has to stand, and after the last closed connection also that until the gateway is no
    /// longer behind. A process that has a quota of processor time pauses for up to a tenth of a second.
    pub interval: Millis,
    /// Expected wait up to which connections are kept while the gateway is behind. It covers the pauses of a process that
    /// has a quota, so that the processor never idles for want of connections.
    pub target_wait: Millis,
}

impl Default for AcceptPolicy {
    fn default() -> Self {
        Self { standing_wait: Millis(200), interval: Millis(300), target_wait: Millis(100) }
    }
}

/// Connections that were accepted and not read yet, oldest first.
///
/// Load pattern: the load balancer sends most new connections of a zone to one gateway, which has the processor time for
/// a part of them. If it reads all of them, each request is slowed by all others, and all are answered after their
/// callers have left. Therefore a request that is read is finished before further ones are read, and the connections
/// that would wait too long are closed unread: their callers try another gateway at once.
///
/// Only a wait that stands counts. In a burst all connections wait as well, but the gateway has time for them.
///
/// ```
/// use redwingfold_core::{AcceptPolicy, AcceptQueue, Millis};
/// let mut queue = AcceptQueue::new(AcceptPolicy::default());
/// assert!(queue.push("a", Millis(0)).is_empty());
/// assert_eq!(queue.pop(Millis(5)), Some(("a", Millis(5))));
/// assert!(!queue.is_behind(Millis(5)));
/// ```
#[derive(Debug)]
pub struct AcceptQueue<T> {
    policy: AcceptPolicy,
    waiting: VecDeque<(T, Millis)>,
    /// Mean time between two reads while connections waited, in milliseconds, and the number of reads in it.
    read_interval: (f64, u32),
    /// The last read, if connections have waited ever since.
    last_read: Option<Millis>,
    /// When the queue was last empty.
    last_empty: Millis,
    /// Since when each connection that was read had waited longer than the standing wait.
    above_since: Option<Millis>,
    /// The last time at which the gateway was behind: at its beginning, or when a connection was closed.
    last_behind: Option<Millis>,
}

impl<T> AcceptQueue<T> {
    /// Creates an empty queue.
    pub fn new(policy: AcceptPolicy) -> Self {
        Self {
            policy,
            waiting: VecDeque::new(),
            read_interval: (0.0, 0),
            last_read: None,
            last_empty: Millis(0),
            above_since: None,
            last_behind: None,
        }
    }

    /// Adds an accepted connection. Returns the connections to close, which may include it.
    pub fn push(&mut self, connection: T, now: Millis) -> Vec<T> {
        if self.waiting.is_empty() {
            self.start_busy_period(now);
        }
        self.waiting.push_back((connection, now));
        self.take_excess(now)
    }

    /// Removes the next connection to read, and returns it with its wait. The connections to close because of this wait
    /// are returned by [`AcceptQueue::take_excess`].
    pub fn pop(&mut self, now: Millis) -> Option<(T, Millis)> {
        let (connection, accepted_at) = self.waiting.pop_front()?;
        let wait = now.since(accepted_at);
        if let Some(last_read) = self.last_read {
            self.record_interval(now.since(last_read));
        }
        self.last_read = (!self.waiting.is_empty()).then_some(now);
        if self.waiting.is_empty() {
            self.last_empty = now;
        }
        self.record_wait(wait, now);
        Some((connection, wait))
    }

    /// Removes the connections that are to be closed: while the gateway is behind, those that would wait longer than the
    /// target, newest first.
    pub fn take_excess(&mut self, now: Millis) -> Vec<T> {
        let Some(interval) = self.known_read_interval().filter(|_| self.is_behind(now)) else {
            return Vec::new();
        };
        let max = (self.policy.target_wait.0 as f64 / interval.max(f64::MIN_POSITIVE)) as usize;
        // One connection is kept in any case, so that the estimate is measured again.
        let excess = self.waiting.split_off(self.waiting.len().min(max.max(1)));
        if !excess.is_empty() {
            self.last_behind = Some(now);
        }
        excess.into_iter().map(|(connection, _)| connection).collect()
    }

    /// Returns whether connections are closed unread at present.
    pub fn is_behind(&self, now: Millis) -> bool {
        self.last_behind.is_some_and(|at| now.since(at) < self.policy.interval)
    }

    /// Returns the number of connections that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no connection waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the mean time between two reads in milliseconds; `None` if it is not known yet.
    pub fn known_read_interval(&self) -> Option<f64> {
        let (mean, reads) = self.read_interval;
        (reads >= MIN_READS).then_some(mean)
    }

    /// Discards the interval of reads if it is from another load: after a time in which the host was slow, a burst
    /// would be closed that the gateway has time for.
    fn start_busy_period(&mut self, now: Millis) {
        if !self.is_behind(now) && now.since(self.last_empty) >= self.policy.interval {
            self.read_interval = (0.0, 0);
        }
    }

    fn record_interval(&mut self, interval: Millis) {
        let (mean, reads) = self.read_interval;
        let weight = READ_WEIGHT.max(1.0 / f64::from(reads + 1));
        self.read_interval = (
            mean + (interval.0 as f64 - mean) * weight,
            reads.saturating_add(1).min(MIN_READS * 8),
        );
    }

    fn record_wait(&mut self, wait: Millis, now: Millis) {
        if wait <= self.policy.standing_wait {
            self.above_since = None;
            return;
        }
        let since = *self.above_since.get_or_insert(now);
        if now.since(since) >= self.policy.interval {
            self.last_behind = Some(now);
        }
    }
}
