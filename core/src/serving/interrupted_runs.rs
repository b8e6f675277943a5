//! Runs that were in flight on a backend server when its process ended, or shortly before.

use std::collections::{HashMap, VecDeque};

use super::catalog::BackendId;
use super::fingerprint::Fingerprint;
use crate::ids::Millis;

/// Time for which a run is kept while it is unknown whether its server has ended. The record of a crashed server
/// expires after three missed heartbeats.
const RETENTION: Millis = Millis(10_000);

/// Interval between removals of expired entries.
const PRUNE_INTERVAL: Millis = Millis(1_000);

/// Maximum number of servers; beyond it, the one with the oldest last run is evicted.
const MAX_SERVERS: usize = 1_024;

/// Maximum number of runs kept per server, for broken and abandoned runs each. A run counts once for the content of its
/// request, and once for each shared part of its prompt.
const MAX_RUNS: usize = 256;

/// Maximum time between the abandonment of a run and the end of its server for which the run may have caused that end.
const ABANDONED_WINDOW: Millis = Millis(500);

/// Minimum time from the end of a server to the expiry of its record, which the server renews about once a second.
const MIN_EXPIRY_DELAY: Millis = Millis(2_000);

/// A run that ended without a complete answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EndedRun {
    /// Fingerprint of the request, or of a part of its prompt.
    pub request: Fingerprint,
    /// Time at which the request was sent.
    pub sent_at: Millis,
}

/// Broken runs, until it is known whether their server ended or only the connection was lost, and recently abandoned
/// ones.
///
/// An answer may also break because its server corrupts one answer in many, or because a network element dropped the
/// connection. If such breaks counted as ends of servers, any request would become suspect. A server may also end some
/// 100 ms after a request was abandoned there, in favor of a larger model or because its caller has disconnected. If
/// only broken runs counted, such a request would end more servers before it is identified, or never be identified.
#[derive(Clone, Debug, Default)]
pub struct InterruptedRuns {
    servers: HashMap<BackendId, ServerRuns>,
    pruned_at: Millis,
}

#[derive(Clone, Debug, Default)]
struct ServerRuns {
    broken: Vec<EndedRun>,
    /// Abandoned runs since the last answer of the server, and the times of their abandonment.
    abandoned: VecDeque<(EndedRun, Millis)>,
    /// Time at which the first run broke.
    first_broken_at: Option<Millis>,
    /// Whether the server has been probed since.
    is_probed: bool,
    has_ended: bool,
    last_run_at: Millis,
}

/// How to proceed after a run broke.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BrokenRun {
    /// It is the first broken run of its server: probe whether the server still accepts connections.
    ProbeServer,
    /// The server has ended.
    ServerEnded,
    /// A probe of the server is in progress or done.
    ProbePending,
}

impl InterruptedRuns {
    /// Records a run that broke before its answer was complete.
    ///
    /// ```
    /// use redwingfold_core::{BackendId, BrokenRun, EndedRun, Fingerprint, InterruptedRuns, Millis};
    /// let mut runs = InterruptedRuns::default();
    /// let server = BackendId::from("e1");
    /// let run = EndedRun { request: Fingerprint(7), sent_at: Millis(0) };
    /// assert_eq!(runs.record_broken(&server, run, Millis(5)), BrokenRun::ProbeServer);
    /// assert_eq!(runs.record_broken(&server, run, Millis(5)), BrokenRun::ProbePending);
    /// assert_eq!(runs.record_end(&server, Millis(7)), [run, run]);
    /// assert_eq!(runs.record_broken(&server, run, Millis(8)), BrokenRun::ServerEnded);
    /// ```
    pub fn record_broken(&mut self, server: &BackendId, run: EndedRun, now: Millis) -> BrokenRun {
        let entry = self.server_runs(server, now);
        if entry.has_ended {
            return BrokenRun::ServerEnded;
        }
        if entry.broken.len() < MAX_RUNS {
            entry.broken.push(run);
        }
        let is_first = entry.first_broken_at.is_none();
        entry.first_broken_at.get_or_insert(now);
        if is_first { BrokenRun::ProbeServer } else { BrokenRun::ProbePending }
    }

    /// Records a run that this gateway abandoned.
    ///
    /// ```
    /// use redwingfold_core::{BackendId, EndedRun, Fingerprint, InterruptedRuns, Millis};
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
        let entry = self.server_runs(server, now);
        if entry.abandoned.len() >= MAX_RUNS {
            entry.abandoned.pop_front();
        }
        entry.abandoned.push_back((run, now));
    }

    /// Records an answer of a server: it survived the runs that were abandoned there some time before.
    pub fn record_answer(&mut self, server: &BackendId, now: Millis) {
        if let Some(entry) = self.servers.get_mut(server) {
            entry.abandoned.retain(|(_, at)| now.since(*at) <= ABANDONED_WINDOW);
        }
    }

    /// Records that a server has ended. Returns the runs that broke there before the end was known, and those abandoned
    /// shortly before.
    pub fn record_end(&mut self, server: &BackendId, now: Millis) -> Vec<EndedRun> {
        self.prune(now);
        let Some(entry) = self.servers.get_mut(server) else { return Vec::new() };
        entry.has_ended = true;
        // Without a broken run, the server may have ended at any time since its last answer.
        let ended_at = entry.first_broken_at.unwrap_or_default();
        let left = std::mem::take(&mut entry.abandoned);
        let just_before =
            left.into_iter().filter(|(_, at)| ended_at.since(*at) <= ABANDONED_WINDOW);
        let mut runs = std::mem::take(&mut entry.broken);
        runs.extend(just_before.map(|(run, _)| run));
        runs
    }

    /// Records that the record of a server is gone although the server had not announced its shutdown; returns the same
    /// as [`Self::record_end`].
    ///
    /// A server with a recent run and no broken one has shut down as planned, because the record of a crashed server
    /// takes longer to expire.
    pub fn record_expiry(&mut self, server: &BackendId, now: Millis) -> Vec<EndedRun> {
        let has_just_run = |entry: &ServerRuns| {
            let last = entry.abandoned.back().map(|(_, at)| *at);
            entry.first_broken_at.is_none()
                && last.is_some_and(|at| now.since(at) < MIN_EXPIRY_DELAY)
        };
        match self.servers.get(server) {
            Some(entry) if has_just_run(entry) => Vec::new(),
            _ => self.record_end(server, now),
        }
    }

    /// Records that a server was probed.
    pub fn record_probe(&mut self, server: &BackendId) {
        if let Some(entry) = self.servers.get_mut(server) {
            entry.is_probed = true;
        }
    }

    /// Returns whether a run broke at a server that has not been probed yet.
    pub fn awaits_probe(&self, server: &BackendId) -> bool {
        let awaits_probe = |entry: &ServerRuns| entry.first_broken_at.is_some() && !entry.is_probed;
        self.servers.get(server).is_some_and(|entry| awaits_probe(entry) && !entry.has_ended)
    }

    fn server_runs(&mut self, server: &BackendId, now: Millis) -> &mut ServerRuns {
        self.prune(now);
        let entry = self.servers.entry(server.clone()).or_default();
        entry.last_run_at = now;
        entry
    }

    fn prune(&mut self, now: Millis) {
        if now.since(self.pruned_at) >= PRUNE_INTERVAL {
            self.pruned_at = now;
            self.servers.retain(|_, entry| now.since(entry.last_run_at) < RETENTION);
        }
        if self.servers.len() >= MAX_SERVERS {
            let earliest = self.servers.iter().min_by_key(|(_, entry)| entry.last_run_at);
            let earliest = earliest.map(|(id, _)| id.clone());
            earliest.and_then(|id| self.servers.remove(&id));
        }
    }
}
