//! Servers that gateways of a fleet failed to connect to.

use std::collections::HashMap;
use std::hash::Hash;

use super::feed::random_wait;
use crate::ids::Millis;

/// Number of gateways that must have failed to connect before a server is excluded; a single one may itself be cut off.
/// For a server that was excluded and has not answered since, one report is enough.
const MIN_REPORTERS: usize = 2;

/// Time for which a report counts. In a fleet whose servers get one request a second each, two gateways report within
/// that time.
const REPORT_RETENTION: Millis = Millis(3_000);

/// Minimum time for which a server is excluded. Gateways then retry it at random times over the same time again, with
/// early times rarer in larger fleets. The first retry that fails excludes the server at all gateways again, and the
/// first one that is answered readmits it at all.
const EXCLUSION: Millis = Millis(2_000);

/// Time without an answer from any server after which a gateway considers itself cut off.
const CUT_OFF_AFTER: Millis = Millis(300);

/// Maximum number of servers in the table.
const MAX_SERVERS: usize = 20_000;

/// Servers that are excluded because gateways reported that they cannot connect to them.
///
/// Failure: a rack with 54 of 180 servers loses power, and each of 103 gateways sends ten requests a second. A gateway
/// uses each server about once in 18 s, so that no gateway finds out on its own which servers are down. As no gateway
/// reports requests in flight on them, these servers look idle and are preferred. Each request waits 0.25 s for each of
/// two or three servers that do not answer, until the records of the servers expire. With this table, the reports of
/// the first two gateways exclude a server everywhere.
///
/// A false report does not exclude a working server: two gateways have to report it, a gateway that reaches no server
/// at all sends no reports, and any answer of the server, to any gateway, clears earlier reports. A server that is
/// reachable for only some gateways answers those and remains in use.
#[derive(Clone, Debug)]
pub struct UnreachableServers<G> {
    servers: HashMap<u32, Suspect<G>>,
    /// Time of the last answer from any server to this gateway.
    last_contact_at: Millis,
}

#[derive(Clone, Debug)]
struct Suspect<G> {
    reports: Vec<(G, Millis)>,
    /// Time until which reports are ignored.
    ignore_reports_until: Millis,
    excluded_until: Millis,
    was_excluded: bool,
    last_failure_at: Millis,
}

impl<G: Copy + Eq + Hash> UnreachableServers<G> {
    /// Creates an empty table.
    ///
    /// ```
    /// use redwingfold_core::{Millis, UnreachableServers};
    /// let mut unreached = UnreachableServers::new();
    /// let mut failed = |gateway, now| unreached.record_failure(7, gateway, 3, Millis(now), 0);
    /// assert!(!failed('a', 0) && !failed('a', 50) && failed('b', 100));
    /// assert!(unreached.is_excluded(7, Millis(200)));
    /// assert!(unreached.record_answer(7));
    /// assert!(!unreached.is_excluded(7, Millis(200)));
    /// ```
    pub fn new() -> Self {
        Self { servers: HashMap::new(), last_contact_at: Millis(0) }
    }

    /// Records that a gateway in a fleet of size `fleet` could not connect to a server. Returns whether the server is
    /// excluded from now on. `draw` is a random number.
    pub fn record_failure(
        &mut self,
        server: u32,
        gateway: G,
        fleet: usize,
        now: Millis,
        draw: u64,
    ) -> bool {
        self.make_room(now);
        let none = || Suspect {
            reports: Vec::new(),
            ignore_reports_until: Millis(0),
            excluded_until: Millis(0),
            was_excluded: false,
            last_failure_at: now,
        };
        let suspect = self.servers.entry(server).or_insert_with(none);
        suspect.last_failure_at = now;
        if now < suspect.ignore_reports_until {
            return false;
        }
        suspect.reports.retain(|(by, at)| *by != gateway && now.since(*at) < REPORT_RETENTION);
        suspect.reports.push((gateway, now));
        if suspect.reports.len() < MIN_REPORTERS && !suspect.was_excluded {
            return false;
        }
        suspect.ignore_reports_until = now.after(EXCLUSION);
        suspect.excluded_until = now.after(EXCLUSION).after(random_wait(EXCLUSION, fleet, draw));
        suspect.was_excluded = true;
        suspect.reports.clear();
        true
    }

    /// Records that this gateway is connecting to a server. A server that was excluded and has not answered since gets
    /// no other request of this gateway in the meantime: no work on it is reported, so that it looks idle and would get
    /// all requests.
    pub fn record_attempt(&mut self, server: u32, now: Millis) {
        match self.servers.get_mut(&server) {
            Some(suspect) if suspect.was_excluded => {
                suspect.excluded_until = suspect.excluded_until.max(now.after(EXCLUSION));
            }
            _ => {}
        }
    }

    /// Records that a server answered any gateway. Returns whether a gateway could not reach it before, so that the
    /// others need to be informed.
    pub fn record_answer(&mut self, server: u32) -> bool {
        self.servers.remove(&server).is_some()
    }

    /// Records that any server answered this gateway.
    pub fn record_contact(&mut self, now: Millis) {
        self.last_contact_at = now;
    }

    /// Returns whether this gateway reaches no server, so that its reports are meaningless.
    pub fn is_cut_off(&self, now: Millis) -> bool {
        now.since(self.last_contact_at) >= CUT_OFF_AFTER
    }

    /// Returns whether a server is excluded.
    pub fn is_excluded(&self, server: u32, now: Millis) -> bool {
        self.servers.get(&server).is_some_and(|suspect| now < suspect.excluded_until)
    }

    fn make_room(&mut self, now: Millis) {
        if self.servers.len() >= MAX_SERVERS {
            self.servers.retain(|_, suspect| now.since(suspect.last_failure_at) < REPORT_RETENTION);
        }
    }
}

impl<G: Copy + Eq + Hash> Default for UnreachableServers<G> {
    fn default() -> Self {
        Self::new()
    }
}
