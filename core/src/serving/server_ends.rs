//! Which requests ran on a backend server when it ended, or just before.

use std::collections::{HashMap, VecDeque};

use super::catalog::BackendId;
use super::fingerprint::Fingerprint;
use crate::ids::Millis;

/// Time for which a run is remembered, and a broken one waits to be told that its server has ended. The record of one
/// that crashed lapses after three of its heartbeats.
const KEPT: Millis = Millis(10_000);

/// Time between looks for what need not be remembered any more.
const PRUNED_EVERY: Millis = Millis(1_000);

/// Servers that are remembered at most; beyond it, those that nothing has run on for longest are forgotten.
const MAX_SERVERS: usize = 1_024;

/// Runs that are remembered of a server at most, of each kind.
const MAX_RUNS: usize = 64;

/// Time from the end of a run to the end of its server in which the run may have brought that about.
const ENDS_WITHIN: Millis = Millis(500);

/// Least time from the end of a server to that of its record, of which it renews one in a second or so.
const LEAST_LAPSE: Millis = Millis(2_000);

/// A run that has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EndedRun {
    /// What ran.
    pub request: Fingerprint,
    /// When it was sent.
    pub sent_at: Millis,
}

/// Runs that broke off, until it is known whether their server ended or only their connection, and those that were given
/// up a moment ago.
///
/// An answer may also break because its server spoils one in many, or because something on the way lost a
/// connection. Taken for ends of servers, these would make any request look guilty. And a server may end under a
/// request some 100 ms after it was given up there, for a larger model or because its caller has gone: looked for among
/// broken runs alone, such a request ends more servers before it is known, or is never found.
#[derive(Clone, Debug, Default)]
pub struct ServerEnds {
    servers: HashMap<BackendId, Known>,
    pruned_at: Millis,
}

#[derive(Clone, Debug, Default)]
struct Known {
    broken: Vec<EndedRun>,
    /// Runs that were given up, and when, since the server last answered.
    left: VecDeque<(EndedRun, Millis)>,
    /// When the first run broke off.
    broke_at: Option<Millis>,
    /// Whether it was looked at since.
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
    /// use redwingfold_core::{BackendId, Broke, EndedRun, Fingerprint, Millis, ServerEnds};
    /// let mut ends = ServerEnds::default();
    /// let server = BackendId::from("e1");
    /// let run = EndedRun { request: Fingerprint(7), sent_at: Millis(0) };
    /// assert_eq!(ends.broke(&server, run, Millis(5)), Broke::First);
    /// assert_eq!(ends.broke(&server, run, Millis(5)), Broke::Waits);
    /// assert_eq!(ends.ended(&server, Millis(7)), [run, run]);
    /// assert_eq!(ends.broke(&server, run, Millis(8)), Broke::Ended);
    /// ```
    pub fn broke(&mut self, server: &BackendId, run: EndedRun, now: Millis) -> Broke {
        let known = self.known(server, now);
        if known.has_ended {
            return Broke::Ended;
        }
        if known.broken.len() < MAX_RUNS {
            known.broken.push(run);
        }
        let is_first = known.broke_at.is_none();
        known.broke_at.get_or_insert(now);
        if is_first { Broke::First } else { Broke::Waits }
    }

    /// Takes a run that was given up by who sent it.
    ///
    /// ```
    /// use redwingfold_core::{BackendId, EndedRun, Fingerprint, Millis, ServerEnds};
    /// let mut ends = ServerEnds::default();
    /// let server = BackendId::from("e1");
    /// let run = |request| EndedRun { request: Fingerprint(request), sent_at: Millis(0) };
    /// ends.left(&server, run(1), Millis(1_000));
    /// ends.answered(&server, Millis(2_000));
    /// ends.left(&server, run(2), Millis(3_000));
    /// ends.left(&server, run(3), Millis(3_100));
    /// assert_eq!(ends.ended(&server, Millis(7_000)), [run(2), run(3)]);
    /// ```
    pub fn left(&mut self, server: &BackendId, run: EndedRun, now: Millis) {
        let known = self.known(server, now);
        if known.left.len() >= MAX_RUNS {
            known.left.pop_front();
        }
        known.left.push_back((run, now));
    }

    /// Takes that a server has answered: it bears what was given up there some time before.
    pub fn answered(&mut self, server: &BackendId, now: Millis) {
        if let Some(known) = self.servers.get_mut(server) {
            known.left.retain(|(_, at)| now.since(*at) <= ENDS_WITHIN);
        }
    }

    /// Takes that a server has ended; returns the runs that broke off there before it was known, and those that were given
    /// up just before.
    pub fn ended(&mut self, server: &BackendId, now: Millis) -> Vec<EndedRun> {
        self.prune(now);
        let Some(known) = self.servers.get_mut(server) else { return Vec::new() };
        known.has_ended = true;
        // Where none broke off, it may have ended at any time since its last answer.
        let ended_at = known.broke_at.unwrap_or_default();
        let left = std::mem::take(&mut known.left);
        let just_before = left.into_iter().filter(|(_, at)| ended_at.since(*at) <= ENDS_WITHIN);
        let mut runs = std::mem::take(&mut known.broken);
        runs.extend(just_before.map(|(run, _)| run));
        runs
    }

    /// Takes that a server's record is gone though it had not announced its end; returns what [`Self::ended`] does. One that
    /// still answered a moment ago has left by plan: records of servers that crash take longer to lapse.
    pub fn lapsed(&mut self, server: &BackendId, now: Millis) -> Vec<EndedRun> {
        let has_just_run = |known: &Known| {
            let last = known.left.back().map(|(_, at)| *at);
            known.broke_at.is_none() && last.is_some_and(|at| now.since(at) < LEAST_LAPSE)
        };
        match self.servers.get(server) {
            Some(known) if has_just_run(known) => Vec::new(),
            _ => self.ended(server, now),
        }
    }

    /// Takes that a server was looked at.
    pub fn looked_at(&mut self, server: &BackendId) {
        if let Some(known) = self.servers.get_mut(server) {
            known.is_seen = true;
        }
    }

    /// Says whether a run broke off at a server that was not looked at yet.
    pub fn is_unseen(&self, server: &BackendId) -> bool {
        let is_unseen = |known: &Known| known.broke_at.is_some() && !known.is_seen;
        self.servers.get(server).is_some_and(|known| is_unseen(known) && !known.has_ended)
    }

    fn known(&mut self, server: &BackendId, now: Millis) -> &mut Known {
        self.prune(now);
        let known = self.servers.entry(server.clone()).or_default();
        known.last = now;
        known
    }

    fn prune(&mut self, now: Millis) {
        if now.since(self.pruned_at) >= PRUNED_EVERY {
            self.pruned_at = now;
            self.servers.retain(|_, known| now.since(known.last) < KEPT);
        }
        if self.servers.len() >= MAX_SERVERS {
            let earliest = self.servers.iter().min_by_key(|(_, known)| known.last);
            let earliest = earliest.map(|(id, _)| id.clone());
            earliest.and_then(|id| self.servers.remove(&id));
        }
    }
}
