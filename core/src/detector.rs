//! Tells a live peer from one that is silent, by its heartbeats.

use crate::ids::Millis;

/// When a peer loses trust and when it gets it back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeartbeatPolicy {
    /// Time between heartbeats while answers are awaited, and the time that one may take.
    pub interval: Millis,
    /// Time between heartbeats while nothing is awaited.
    pub idle_interval: Millis,
    /// Heartbeats missed in a row before new work goes elsewhere.
    pub misses: u32,
    /// Heartbeats missed in a row before the connection is given up and opened anew.
    pub dead_misses: u32,
}

/// What a peer is trusted with.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerHealth {
    /// The connection is to be opened anew.
    Dead,
    /// New work goes to it.
    Live,
    /// New work goes elsewhere while there is an elsewhere.
    Suspect,
}

/// Watches one connection. Every frame that arrives counts as a heartbeat.
#[derive(Clone, Debug)]
pub struct FailureDetector {
    policy: HeartbeatPolicy,
    last_received: Millis,
    unanswered_since: Option<Millis>,
}

impl FailureDetector {
    /// Starts watching at `now`, as if something had just arrived.
    pub fn new(policy: HeartbeatPolicy, now: Millis) -> Self {
        Self { policy, last_received: now, unanswered_since: None }
    }

    /// Notes that something arrived.
    pub fn record_receipt(&mut self, now: Millis) {
        self.last_received = now;
        self.unanswered_since = None;
    }

    /// Says whether a heartbeat is to be sent: nothing arrived for an interval.
    ///
    /// While answers are awaited a silent peer costs time at once; an idle one can be asked less
    /// often, and is asked as soon as a request goes to it.
    pub fn is_heartbeat_due(&self, now: Millis, is_busy: bool) -> bool {
        let last = self.unanswered_since.unwrap_or(self.last_received);
        let interval = match is_busy || self.unanswered_since.is_some() {
            true => self.policy.interval,
            false => self.policy.idle_interval,
        };
        now.since(last) >= interval
    }

    /// Says whether a heartbeat is out that was not answered.
    pub fn awaits_response(&self) -> bool {
        self.unanswered_since.is_some()
    }

    /// Notes that a heartbeat was sent.
    pub fn record_heartbeat(&mut self, now: Millis) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Returns the peer's health.
    ///
    /// A miss is a heartbeat that was sent and not answered within an interval. Before anything
    /// was asked nothing can be missed, so a watcher that was itself paused does not suspect its
    /// peers when it wakes.
    ///
    /// ```
    /// use redwingfold_core::{FailureDetector, HeartbeatPolicy, Millis, PeerHealth};
    /// let policy = HeartbeatPolicy {
    ///     interval: Millis(100), idle_interval: Millis(300), misses: 1, dead_misses: 5,
    /// };
    /// let mut detector = FailureDetector::new(policy, Millis(0));
    /// detector.record_heartbeat(Millis(100));
    /// assert_eq!(detector.health(Millis(199)), PeerHealth::Live);
    /// assert_eq!(detector.health(Millis(200)), PeerHealth::Suspect);
    /// detector.record_receipt(Millis(210));
    /// assert_eq!(detector.health(Millis(211)), PeerHealth::Live);
    /// ```
    pub fn health(&self, now: Millis) -> PeerHealth {
        let missed = match self.unanswered_since {
            Some(sent) => now.since(sent).0 / self.policy.interval.0.max(1),
            None => 0,
        };
        match missed {
            n if n >= u64::from(self.policy.dead_misses) => PeerHealth::Dead,
            n if n >= u64::from(self.policy.misses) => PeerHealth::Suspect,
            _ => PeerHealth::Live,
        }
    }
}
