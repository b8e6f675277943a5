//! Which requests ran on a backend server when it ended.

use std::collections::HashMap;

use super::catalog::BackendId;
use super::fingerprint::Fingerprint;
use crate::ids::Millis;

/// Time for which a broken run waits to be told that its server has ended. The record of one that crashed
/// lapses after three of its heartbeats.
const KEPT: Millis = Millis(10_000);

/// Servers that are remembered at most; beyond it, those that broke off earliest are forgotten.
const MAX_SERVERS: usize = 512;

/// Runs that are remembered of a server at most.
const MAX_RUNS: usize = 256;

/// A run that broke off.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BrokenRun {
    /// What ran.
    pub request: Fingerprint,
    /// When it was sent.
    pub sent_at: Millis,
}

/// Runs that broke off, until it is known whether their server ended or only their connection.
///
/// An answer may also break because its server spoils one in many, or because something on the way lost a
/// connection. Taken for ends of servers, these would make any request look guilty.
#[derive(Clone, Debug, Default)]
pub struct ServerEnds {
    servers: HashMap<BackendId, Broken>,
}

#[derive(Clone, Debug, Default)]
struct Broken {
    runs: Vec<BrokenRun>,
    /// Whether it was looked at since the first of them.
    is_seen: bool,
    has_ended: bool,
    last: Millis,
}

/// What is to be done about a broken run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Broke {
    /// It is the first one of its server: whether the server still listens should be looked at.
    First,
    /// Its server has ended.
    Ended,
    /// Its server is being looked at.
    Waits,
}

impl ServerEnds {
    /// Takes a run that broke off.
    ///
    /// ```
    /// use redwingfold_core::{BackendId, Broke, BrokenRun, Fingerprint, Millis, ServerEnds};
    /// let mut ends = ServerEnds::default();
    /// let server = BackendId::from("e1");
    /// let run = BrokenRun { request: Fingerprint(7), sent_at: Millis(0) };
    /// assert_eq!(ends.broke(&server, run, Millis(5)), Broke::First);
    /// assert_eq!(ends.broke(&server, run, Millis(5)), Broke::Waits);
    /// assert_eq!(ends.ended(&server, Millis(7)), [run, run]);
    /// assert_eq!(ends.broke(&server, run, Millis(8)), Broke::Ended);
    /// ```
    pub fn broke(&mut self, server: &BackendId, run: BrokenRun, now: Millis) -> Broke {
        self.make_room(now);
        let is_known = self.servers.contains_key(server);
        let broken = self.servers.entry(server.clone()).or_default();
        broken.last = now;
        match (broken.has_ended, is_known) {
            (true, _) => return Broke::Ended,
            _ if broken.runs.len() < MAX_RUNS => broken.runs.push(run),
            _ => {}
        }
        if is_known { Broke::Waits } else { Broke::First }
    }

    /// Takes that a server has ended; returns the runs that broke off there before it was known.
    pub fn ended(&mut self, server: &BackendId, now: Millis) -> Vec<BrokenRun> {
        self.make_room(now);
        let Some(broken) = self.servers.get_mut(server) else { return Vec::new() };
        broken.has_ended = true;
        std::mem::take(&mut broken.runs)
    }

    /// Takes that a server was looked at.
    pub fn looked_at(&mut self, server: &BackendId) {
        if let Some(broken) = self.servers.get_mut(server) {
            broken.is_seen = true;
        }
    }

    /// Says whether a run broke off at a server that was not looked at yet.
    pub fn is_unseen(&self, server: &BackendId) -> bool {
        self.servers.get(server).is_some_and(|broken| !broken.is_seen && !broken.has_ended)
    }

    fn make_room(&mut self, now: Millis) {
        self.servers.retain(|_, broken| now.since(broken.last) < KEPT);
        if self.servers.len() >= MAX_SERVERS {
            let earliest = self.servers.iter().min_by_key(|(_, broken)| broken.last);
            let earliest = earliest.map(|(id, _)| id.clone());
            earliest.and_then(|id| self.servers.remove(&id));
        }
    }
}
