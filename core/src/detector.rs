//! Failure detector: derives the health of a peer from its heartbeats.

use crate::ids::Millis;

/// Heartbeat intervals, and the numbers of missed heartbeats that change a peer's health.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeartbeatPolicy {
    /// Time between heartbeats while requests are in flight, and the timeout of one heartbeat.
    pub interval: Millis,
    /// Time between heartbeats while no request is in flight.
    pub idle_interval: Millis,
    /// Heartbeats missed in a row before the peer is suspected.
    pub misses: u32,
    /// Heartbeats missed in a row before the connection is closed and reopened.
    pub dead_misses: u32,
}

/// Health of a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerHealth {
    /// The connection has to be closed and reopened.
    Dead,
    /// New requests are sent to it.
    Live,
    /// New requests are sent to other peers, if there are any.
    Suspect,
}

/// Monitors one connection. Every received frame counts as a heartbeat.
#[derive(Clone, Debug)]
pub struct FailureDetector {
    policy: HeartbeatPolicy,
    last_received: Millis,
    unanswered_since: Option<Millis>,
}

impl FailureDetector {
    /// Starts monitoring as if a frame had been received at `now`.
    pub fn new(policy: HeartbeatPolicy, now: Millis) -> Self {
        Self { policy, last_received: now, unanswered_since: None }
    }

    /// Records that a frame was received.
    pub fn record_receipt(&mut self, now: Millis) {
        self.last_received = now;
        self.unanswered_since = None;
    }

    /// Returns whether a heartbeat is due: no frame was received for an interval.
    ///
    /// While requests are in flight, a silent peer delays them, so heartbeats are frequent. An idle
    /// peer gets fewer, and the short interval applies as soon as a request is sent to it.
    pub fn is_heartbeat_due(&self, now: Millis, is_busy: bool) -> bool {
        let last = self.unanswered_since.unwrap_or(self.last_received);
        let interval = match is_busy || self.unanswered_since.is_some() {
            true => self.policy.interval,
            false => self.policy.idle_interval,
        };
        now.since(last) >= interval
    }

    /// Returns whether a heartbeat is unanswered.
    pub fn awaits_response(&self) -> bool {
        self.unanswered_since.is_some()
    }

    /// Records that a heartbeat was sent.
    pub fn record_heartbeat(&mut self, now: Millis) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Returns the peer's health.
    ///
    /// A heartbeat is missed if no frame follows it within an interval. Without a heartbeat sent
    /// none can be missed, so a process that was itself paused does not suspect its peers when it
    /// resumes.
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
