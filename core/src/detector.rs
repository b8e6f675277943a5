//! Tells a live peer from one that is silent, by its heartbeats.

use crate::ids::Millis;

/// When a peer loses trust and when it gets it back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Policy {
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
pub enum Health {
    /// The connection is to be opened anew.
    Dead,
    /// New work goes to it.
    Live,
    /// New work goes elsewhere while there is an elsewhere.
    Suspect,
}

/// Watches one connection. Every frame that arrives counts as a heartbeat.
#[derive(Clone, Debug)]
pub struct Detector {
    policy: Policy,
    heard: Millis,
    asked: Option<Millis>,
}

impl Detector {
    /// Starts watching at `now`, as if something had just arrived.
    pub fn new(policy: Policy, now: Millis) -> Self {
        Self { policy, heard: now, asked: None }
    }

    /// Notes that something arrived.
    pub fn heard(&mut self, now: Millis) {
        self.heard = now;
        self.asked = None;
    }

    /// Says whether a heartbeat is to be sent: nothing arrived for an interval.
    ///
    /// While answers are awaited a silent peer costs time at once; an idle one can be asked less
    /// often, and is asked as soon as a request goes to it.
    pub fn should_ask(&self, now: Millis, is_busy: bool) -> bool {
        let last = self.asked.unwrap_or(self.heard);
        let every = match is_busy || self.asked.is_some() {
            true => self.policy.interval,
            false => self.policy.idle_interval,
        };
        now.since(last) >= every
    }

    /// Says whether a heartbeat is out that was not answered.
    pub fn is_asking(&self) -> bool {
        self.asked.is_some()
    }

    /// Notes that a heartbeat was sent.
    pub fn asked(&mut self, now: Millis) {
        self.asked.get_or_insert(now);
    }

    /// Returns the peer's health.
    ///
    /// A miss is a heartbeat that was sent and not answered within an interval. Before anything
    /// was asked nothing can be missed, so a watcher that was itself paused does not suspect its
    /// peers when it wakes.
    ///
    /// ```
    /// use redwingfold_core::{Detector, Health, Millis, Policy};
    /// let policy = Policy {
    ///     interval: Millis(100), idle_interval: Millis(300), misses: 1, dead_misses: 5,
    /// };
    /// let mut detector = Detector::new(policy, Millis(0));
    /// detector.asked(Millis(100));
    /// assert_eq!(detector.health(Millis(199)), Health::Live);
    /// assert_eq!(detector.health(Millis(200)), Health::Suspect);
    /// detector.heard(Millis(210));
    /// assert_eq!(detector.health(Millis(211)), Health::Live);
    /// ```
    pub fn health(&self, now: Millis) -> Health {
        let missed = match self.asked {
            Some(asked) => now.since(asked).0 / self.policy.interval.0.max(1),
            None => 0,
        };
        match missed {
            n if n >= u64::from(self.policy.dead_misses) => Health::Dead,
            n if n >= u64::from(self.policy.misses) => Health::Suspect,
            _ => Health::Live,
        }
    }
}
