//! Rate limits that backend servers report.

use std::collections::HashMap;

use crate::ids::{Millis, RequestRate};

/// How long a cleared limit is remembered, so that a late, older answer does not restore it.
const CLEARED_LIMIT_RETENTION: Millis = Millis(10_000);

/// Maximum number of servers recorded; beyond it, the one with the oldest answer is evicted.
const MAX_SERVERS: usize = 20_000;

/// How an answer changes the recorded limit of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// The server reports a new or different limit.
    Set(RequestRate),
    /// The server no longer reports a limit.
    Cleared,
}

/// Limits that servers report, each as of the newest known answer.
///
/// Keyed by a hash of the server's incarnation, because a limit does not carry over a restart.
///
/// ```
/// use redwingfold_core::{LimitChange, Millis, RequestRate, ServerLimits};
/// let (mut limits, rate) = (ServerLimits::default(), RequestRate::new(2.0));
/// assert_eq!(limits.record(7, rate, Millis(10)), rate.map(LimitChange::Set));
/// assert_eq!(limits.get(7), rate);
/// assert_eq!(limits.record(7, None, Millis(20)), Some(LimitChange::Cleared));
/// // An older answer that arrives late changes nothing.
/// assert_eq!(limits.record(7, rate, Millis(15)), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ServerLimits(HashMap<u64, ReportedLimit>);

#[derive(Clone, Copy, Debug)]
struct ReportedLimit {
    limit: Option<RequestRate>,
    reported_at: Millis,
}

impl ServerLimits {
    /// Records the limit in a server's answer, or its absence, and returns what changed.
    ///
    /// Answers older than the recorded one are ignored.
    pub fn record(
        &mut self,
        server: u64,
        limit: Option<RequestRate>,
        reported_at: Millis,
    ) -> Option<LimitChange> {
        let previous = self.0.get(&server).copied();
        match (previous, limit) {
            (None, None) => return None,
            (Some(previous), _) if reported_at < previous.reported_at => return None,
            (None, Some(_)) => self.make_room(reported_at),
            (Some(_), _) => {}
        }
        self.0.insert(server, ReportedLimit { limit, reported_at });
        match (previous.and_then(|previous| previous.limit), limit) {
            (previous, current) if previous == current => None,
            (_, Some(rate)) => Some(LimitChange::Set(rate)),
            (_, None) => Some(LimitChange::Cleared),
        }
    }

    /// Returns the current limit of a server, if it reports one.
    pub fn get(&self, server: u64) -> Option<RequestRate> {
        self.0.get(&server).and_then(|report| report.limit)
    }

    /// Returns whether no limits, current or cleared, are recorded.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    fn make_room(&mut self, now: Millis) {
        let is_kept = |report: &ReportedLimit| {
            report.limit.is_some() || now.since(report.reported_at) < CLEARED_LIMIT_RETENTION
        };
        self.0.retain(|_, report| is_kept(report));
        if self.0.len() >= MAX_SERVERS {
            let oldest = self
                .0
                .iter()
                .min_by_key(|(_, report)| report.reported_at)
                .map(|(server, _)| *server);
            oldest.iter().for_each(|server| {
                self.0.remove(server);
            });
        }
    }
}
