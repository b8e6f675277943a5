//! Which requests ran on a backend server when it ended, or just before.

use std::collections::{HashMap, VecDeque};

use super::catalog::BackendId;
use super::fingerprint::Fingerprint;
use crate::ids::Millis;

/// Time for which a run is remembered, and a broken one waits to be told that its server has ended. The record of one
/// that crashed lapses after three of its heartbeats.
const RETENTION: Millis = Millis(10_000);

/// Time between looks for what need not be remembered any more.
const PRUNE_INTERVAL: Millis = Millis(1_000);

/// Servers that are remembered at most; beyond it, those that nothing has run on for longest are forgotten.
const MAX_SERVERS: usize = 1_024;

/// Runs that are remembered of a server at most, of each kind.
const MAX_RUNS: usize = 64;

/// Time from the end of a run to the end of its server in which the run may have brought that about.
const ABANDONED_WINDOW: Millis = Millis(500);

/// Least time from the end of a server to that of its record, of which it renews one in a second or so.
const MIN_EXPIRY_DELAY: Millis = Millis(2_000);

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
/// connection. Taken for runs of servers, these would make any request look guilty. And a server may end under a
/// request some 100 ms after it was given up there, for a larger model or because its caller has gone: looked for among
/// broken runs alone, such a request runs more servers before it is known, or is never found.
#[derive(Clone, Debug, Default)]
pub struct InterruptedRuns {
    servers: HashMap<BackendId, ServerRuns>,
    pruned_at: Millis,
}

#[derive(Clone, Debug, Default)]
struct ServerRuns {
    broken: Vec<EndedRun>,
    /// Runs that were given up, and when, since the server last answered.
    abandoned: VecDeque<(EndedRun, Millis)>,
    /// When the first run broke off.
    first_broken_at: Option<Millis>,
    /// Whether it was looked at since.
    is_probed: bool,
    has_ended: bool,
    last_run_at: Millis,
}

/// What is to be done about a broken run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BrokenRun {
    /// It is the first one of its server: whether the server still listens should be looked at.
    ProbeServer,
    /// Its server has ended.
    ServerEnded,
    /// Its server is being looked at.
    ProbePending,
}

impl InterruptedRuns {
    /// Takes a run that broke off.
    ///
    /// ```
    /// use redwingfold_core::{BackendId, BrokenRun, EndedRun, Fingerprint, Millis, InterruptedRuns};
    /// let mut runs = InterruptedRuns::default();
    /// let server = BackendId::from("e1");
    /// let run = EndedRun { request: Fingerprint(7), sent_at: Millis(0) };
    /// assert_eq!(runs.record_broken(&server, run, Millis(5)), BrokenRun::ProbeServer);
    /// assert_eq!(runs.record_broken(&server, run, Millis(5)), BrokenRun::ProbePending);
    /// assert_eq!(runs.record_end(&server, Millis(7)), [run, run]);
    /// assert_eq!(runs.record_broken(&server, run, Millis(8)), BrokenRun::ServerEnded);
    /// ```
    pub fn record_broken(&mut self, server: &BackendId, run: EndedRun, now: Millis) -> BrokenRun {
        let known = self.known(server, now);
        if known.has_ended {
            return BrokenRun::ServerEnded;
        }
        if known.broken.len() < MAX_RUNS {
            known.broken.push(run);
        }
        let is_first = known.first_broken_at.is_none();
        known.first_broken_at.get_or_insert(now);
        if is_first { BrokenRun::ProbeServer } else { BrokenRun::ProbePending }
    }

    /// Takes a run that was given up by who sent it.
    ///
    /// ```
    /// use redwingfold_core::{BackendId, EndedRun, Fingerprint, Millis, InterruptedRuns};
    /// let mut runs = InterruptedRuns::default();
    /// let server = BackendId::from("e1");
    /// let run = |request| EndedRun { request: Fingerprint(request), sent_at: Millis(0) };
    /// runs.record_abandoned(&server, run(1), Millis(1_000));
    /// runs.record_answer(&server, Millis(2_000));
    /// runs.record_abandoned(&server, run(2), Millis(3_000));
    /// runs.record_abandoned(&server, run(3), Millis(3_100));
    /// assert_eq!(runs.record_end(&server, Millis(7_000)), [run(2), run(3)]);
    /// ```
    pub fn record_abandoned(&mut self, server: &BackendId, run: EndedRun, now: Millis) {
        let known = self.known(server, now);
        if known.abandoned.len() >= MAX_RUNS {
            known.abandoned.pop_front();
        }
        known.abandoned.push_back((run, now));
    }

    /// Takes that a server has answered: it bears what was given up there some time before.
    pub fn record_answer(&mut self, server: &BackendId, now: Millis) {
        if let Some(known) = self.servers.get_mut(server) {
            known.abandoned.retain(|(_, at)| now.since(*at) <= ABANDONED_WINDOW);
        }
    }

    /// Takes that a server has ended; returns the runs that broke off there before it was known, and those that were given
    /// up just before.
    pub fn record_end(&mut self, server: &BackendId, now: Millis) -> Vec<EndedRun> {
        self.prune(now);
        let Some(known) = self.servers.get_mut(server) else { return Vec::new() };
        known.has_ended = true;
        // Where none broke off, it may have ended at any time since its last answer.
        let ended_at = known.first_broken_at.unwrap_or_default();
        let left = std::mem::take(&mut known.abandoned);
        let just_before =
            left.into_iter().filter(|(_, at)| ended_at.since(*at) <= ABANDONED_WINDOW);
        let mut runs = std::mem::take(&mut known.broken);
        runs.extend(just_before.map(|(run, _)| run));
        runs
    }

    /// Takes that a server's record is gone though it had not announced its end; returns what [`Self::record_end`] does. One that
    /// still answered a moment ago has left by plan: records of servers that crash take longer to lapse.
    pub fn record_expiry(&mut self, server: &BackendId, now: Millis) -> Vec<EndedRun> {
        let has_just_run = |known: &ServerRuns| {
            let last = known.abandoned.back().map(|(_, at)| *at);
            known.first_broken_at.is_none()
                && last.is_some_and(|at| now.since(at) < MIN_EXPIRY_DELAY)
        };
        match self.servers.get(server) {
            Some(known) if has_just_run(known) => Vec::new(),
            _ => self.record_end(server, now),
        }
    }

    /// Takes that a server was looked at.
    pub fn record_probe(&mut self, server: &BackendId) {
        if let Some(known) = self.servers.get_mut(server) {
            known.is_probed = true;
        }
    }

    /// Says whether a run broke off at a server that was not looked at yet.
    pub fn awaits_probe(&self, server: &BackendId) -> bool {
        let awaits_probe = |known: &ServerRuns| known.first_broken_at.is_some() && !known.is_probed;
        self.servers.get(server).is_some_and(|known| awaits_probe(known) && !known.has_ended)
    }

    fn known(&mut self, server: &BackendId, now: Millis) -> &mut ServerRuns {
        self.prune(now);
        let known = self.servers.entry(server.clone()).or_default();
        known.last_run_at = now;
        known
    }

    fn prune(&mut self, now: Millis) {
        if now.since(self.pruned_at) >= PRUNE_INTERVAL {
            self.pruned_at = now;
            self.servers.retain(|_, known| now.since(known.last_run_at) < RETENTION);
        }
        if self.servers.len() >= MAX_SERVERS {
            let earliest = self.servers.iter().min_by_key(|(_, known)| known.last_run_at);
            let earliest = earliest.map(|(id, _)| id.clone());
            earliest.and_then(|id| self.servers.remove(&id));
        }
    }
}
