//! What a server has yet to do, in milliseconds of its time.

use std::collections::HashMap;

use super::catalog::ServiceName;
use crate::ids::Millis;

/// How long servers take for a token of a prompt, learned from first bytes.
///
/// The times contain waits and lack what was cached, so a low quantile is followed: neither a queue
/// nor a lucky cache moves it far.
#[derive(Clone, Debug, Default)]
pub struct ReadRates(HashMap<(ServiceName, usize), f64>);

/// The quantile that is followed.
const QUANTILE: f64 = 0.35;

/// Part of the present value by which one time moves it.
const STEP: f64 = 0.06;

/// Prompts below this say little: their time is mostly that of a step.
const MIN_TOKENS: u64 = 2_000;

/// Milliseconds a token until something is learned: common engines read some tens a millisecond.
const DEFAULT_RATE: f64 = 0.02;

impl ReadRates {
    /// Takes the time from a send to the first byte for a prompt of `tokens`.
    ///
    /// ```
    /// use redwingfold_core::{Millis, ReadRates};
    /// let mut rates = ReadRates::default();
    /// (0..200).for_each(|_| rates.record(&"slips".into(), 0, 4_000, Millis(200)));
    /// let ms = rates.estimate(&"slips".into(), 0, 2_000);
    /// assert!((80..=120).contains(&ms.0));
    /// ```
    pub fn record(&mut self, service: &ServiceName, size: usize, tokens: u64, took: Millis) {
        if tokens < MIN_TOKENS {
            return;
        }
        let seen = took.0.max(1) as f64 / tokens as f64;
        let rate = self.0.entry((service.clone(), size)).or_insert(seen);
        let factor = if seen < *rate { -(1.0 - QUANTILE) } else { QUANTILE };
        *rate += *rate * STEP * factor;
    }

    /// Estimates the time in which a server without a queue reads `tokens`.
    pub fn estimate(&self, service: &ServiceName, size: usize, tokens: u64) -> Millis {
        let rate = self.0.get(&(service.clone(), size)).copied().unwrap_or(DEFAULT_RATE);
        Millis((rate * tokens as f64) as u64)
    }
}

/// What the other gateways have sent to each server, and what they last saw there.
#[derive(Clone, Debug, Default)]
pub struct PeerLoads(HashMap<u32, PeerLoad>);

/// What is known of one server through others.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PeerLoad {
    backlog: Millis,
    as_of: Millis,
    /// The newest report of its load, and when it was made.
    pub report: Option<(ServerReport, Millis)>,
}

/// A server's report of its load.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServerReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// Servers that are remembered at most; those that were idle longest go.
const MAX_SERVERS: usize = 20_000;

impl PeerLoads {
    /// Takes that a prompt was sent to a server which reads it in a time.
    ///
    /// A server reads at its own pace whoever asks, so what is left of all prompts shrinks by a
    /// millisecond each millisecond: nobody has to tell when a prompt was read.
    ///
    /// ```
    /// use redwingfold_core::{Millis, PeerLoads};
    /// let mut peers = PeerLoads::default();
    /// peers.record_sent(7, Millis(300), Millis(0));
    /// peers.record_sent(7, Millis(300), Millis(100));
    /// assert_eq!(peers.backlog(7, Millis(200)), Millis(400));
    /// assert_eq!(peers.backlog(7, Millis(900)), Millis(0));
    /// ```
    pub fn record_sent(&mut self, server: u32, takes: Millis, now: Millis) {
        self.make_room();
        let load = self.0.entry(server).or_default();
        load.backlog = load.backlog_at(now).after(takes);
        load.as_of = now;
    }

    /// Takes a report that another gateway got.
    pub fn record_report(&mut self, server: u32, report: ServerReport, now: Millis) {
        self.make_room();
        self.0.entry(server).or_default().report = Some((report, now));
    }

    /// Returns the time that a server will still take for the prompts of others.
    pub fn backlog(&self, server: u32, now: Millis) -> Millis {
        self.0.get(&server).map_or(Millis(0), |load| load.backlog_at(now))
    }

    /// Returns what is known of a server.
    pub fn get(&self, server: u32) -> PeerLoad {
        self.0.get(&server).copied().unwrap_or_default()
    }

    /// Forgets a server that has started again: it holds none of what was sent before.
    ///
    /// ```
    /// use redwingfold_core::{Millis, PeerLoads};
    /// let mut peers = PeerLoads::default();
    /// peers.record_sent(7, Millis(300), Millis(0));
    /// peers.forget(7);
    /// assert_eq!(peers.backlog(7, Millis(0)), Millis(0));
    /// ```
    pub fn forget(&mut self, server: u32) {
        self.0.remove(&server);
    }

    fn make_room(&mut self) {
        if self.0.len() >= MAX_SERVERS {
            let newest = self.0.values().map(|load| load.as_of).max().unwrap_or_default();
            self.0.retain(|_, load| newest.since(load.as_of) < Millis(10_000));
        }
    }
}

impl PeerLoad {
    fn backlog_at(&self, now: Millis) -> Millis {
        self.backlog.since(now.since(self.as_of))
    }
}
