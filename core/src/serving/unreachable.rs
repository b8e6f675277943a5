//! Servers that gateways of a fleet could not connect to.

use std::collections::HashMap;
use std::hash::Hash;

use super::feed::wait;
use crate::ids::Millis;

/// Gateways that must have failed to connect before a server is left out: one alone may be cut off itself. While
/// it has not answered anybody since, one more is enough to leave it out again.
const MIN_REPORTERS: usize = 2;

/// Time for which a gateway's word counts: a fleet whose servers get a request a second each has two by then.
const REPORT_RETENTION: Millis = Millis(3_000);

/// Time for which a server is left out. Gateways come back to it over as long again, the early ones the rarer the larger
/// the fleet is: the first that fails keeps the others away, and the first that is answered brings all back.
const EXCLUSION: Millis = Millis(2_000);

/// Time without an answer of any server after which a gateway takes itself for cut off.
const CUT_OFF_AFTER: Millis = Millis(300);

/// Servers that are remembered at most.
const MAX_SERVERS: usize = 20_000;

/// What gateways have told each other of servers that cannot be reached.
///
/// Load pattern: a rack loses power, 54 of 180 servers, before 103 gateways with ten requests a second each. A gateway
/// meets one server once in 18 s, so that none learns by itself which are dark; and as nobody hears of requests that
/// run there, they look idle and are chosen first. Each request waited 0.25 s for each of two or three that did
/// not answer: 12,162 such tries in 4.3 s, until the servers' records lapsed. Here the first two gateways that
/// fail are enough for all: 1,197 tries, and callers of the same 16 s got 0.673 of what they were owed, less prices,
/// in place of 0.627 (one play each, without processor time).
///
/// A false word puts no good server out: it takes two gateways, one that hears nobody tells nothing, and any answer of
/// the server, whoever got it, is newer than their reports. A server that some cannot reach, and others can,
/// answers those, and stays in.
#[derive(Clone, Debug)]
pub struct UnreachableServers<G> {
    servers: HashMap<u32, Suspect<G>>,
    /// When any server last answered this gateway.
    last_contact_at: Millis,
}

#[derive(Clone, Debug)]
struct Suspect<G> {
    reports: Vec<(G, Millis)>,
    /// Until when reports change nothing.
    ignore_reports_until: Millis,
    excluded_until: Millis,
    was_excluded: bool,
    last_failure_at: Millis,
}

impl<G: Copy + Eq + Hash> UnreachableServers<G> {
    /// Makes an empty table.
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

    /// Takes that a gateway of a fleet could not connect to a server; `true` if it is left out from now on. `draw` is a
    /// random number.
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
        suspect.excluded_until = now.after(EXCLUSION).after(wait(EXCLUSION, fleet, draw));
        suspect.was_excluded = true;
        suspect.reports.clear();
        true
    }

    /// Notes that this gateway tries a server. One that was left out and has not answered since gets no other of its
    /// requests meanwhile: nobody knows of any work there, so that it looks idle and would get all of them.
    pub fn record_attempt(&mut self, server: u32, now: Millis) {
        match self.servers.get_mut(&server) {
            Some(suspect) if suspect.was_excluded => {
                suspect.excluded_until = suspect.excluded_until.max(now.after(EXCLUSION));
            }
            _ => {}
        }
    }

    /// Takes that a server has answered somebody; `true` if somebody could not reach it before, so that the others
    /// should know.
    pub fn record_answer(&mut self, server: u32) -> bool {
        self.servers.remove(&server).is_some()
    }

    /// Notes that some server has answered this gateway.
    pub fn record_contact(&mut self, now: Millis) {
        self.last_contact_at = now;
    }

    /// Says whether this gateway hears nobody: its reports on servers are of no use then.
    pub fn is_cut_off(&self, now: Millis) -> bool {
        now.since(self.last_contact_at) >= CUT_OFF_AFTER
    }

    /// Says whether a server is left out.
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
