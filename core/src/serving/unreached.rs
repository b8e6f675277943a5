//! Servers that gateways of a fleet could not connect to.

use std::collections::HashMap;
use std::hash::Hash;

use super::feed::random_wait;
use crate::ids::Millis;

/// Gateways that must have failed to connect before a server is left out: one alone may be cut off itself. While
/// it has not answered anybody since, one more is enough to leave it out again.
const VOICES: usize = 2;

/// Time for which a gateway's word counts: a fleet whose servers get a request a second each has two by then.
const WORD_KEPT: Millis = Millis(3_000);

/// Time for which a server is left out. Gateways come back to it over as long again, the early ones the rarer the larger
/// the fleet is: the first that fails keeps the others away, and the first that is answered brings all back.
const OUT: Millis = Millis(2_000);

/// Time without an answer of any server after which a gateway takes itself for cut off.
const HEARD_NOBODY: Millis = Millis(300);

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
/// the server, whoever got it, is newer than their words. A server that some cannot reach, and others can,
/// answers those, and stays in.
#[derive(Clone, Debug)]
pub struct Unreached<G> {
    servers: HashMap<u32, Suspect<G>>,
    /// When any server last answered this gateway.
    heard_at: Millis,
}

#[derive(Clone, Debug)]
struct Suspect<G> {
    words: Vec<(G, Millis)>,
    /// Until when words change nothing.
    settled_until: Millis,
    out_until: Millis,
    was_out: bool,
    last: Millis,
}

impl<G: Copy + Eq + Hash> Unreached<G> {
    /// Makes an empty table.
    ///
    /// ```
    /// use redwingfold_core::{Millis, Unreached};
    /// let mut unreached = Unreached::new();
    /// let mut failed = |gateway, now| unreached.failed(7, gateway, 3, Millis(now), 0);
    /// assert!(!failed('a', 0) && !failed('a', 50) && failed('b', 100));
    /// assert!(unreached.is_out(7, Millis(200)));
    /// assert!(unreached.answered(7));
    /// assert!(!unreached.is_out(7, Millis(200)));
    /// ```
    pub fn new() -> Self {
        Self { servers: HashMap::new(), heard_at: Millis(0) }
    }

    /// Takes that a gateway of a fleet could not connect to a server; `true` if it is left out from now on. `draw` is a
    /// random number.
    pub fn failed(
        &mut self,
        server: u32,
        gateway: G,
        fleet: usize,
        now: Millis,
        draw: u64,
    ) -> bool {
        self.make_room(now);
        let none = || Suspect {
            words: Vec::new(),
            settled_until: Millis(0),
            out_until: Millis(0),
            was_out: false,
            last: now,
        };
        let suspect = self.servers.entry(server).or_insert_with(none);
        suspect.last = now;
        if now < suspect.settled_until {
            return false;
        }
        suspect.words.retain(|(by, at)| *by != gateway && now.since(*at) < WORD_KEPT);
        suspect.words.push((gateway, now));
        if suspect.words.len() < VOICES && !suspect.was_out {
            return false;
        }
        suspect.settled_until = now.after(OUT);
        suspect.out_until = now.after(OUT).after(random_wait(OUT, fleet, draw));
        suspect.was_out = true;
        suspect.words.clear();
        true
    }

    /// Notes that this gateway tries a server. One that was left out and has not answered since gets no other of its
    /// requests meanwhile: nobody knows of any work there, so that it looks idle and would get all of them.
    pub fn tried(&mut self, server: u32, now: Millis) {
        match self.servers.get_mut(&server) {
            Some(suspect) if suspect.was_out => {
                suspect.out_until = suspect.out_until.max(now.after(OUT));
            }
            _ => {}
        }
    }

    /// Takes that a server has answered somebody; `true` if somebody could not reach it before, so that the others
    /// should know.
    pub fn answered(&mut self, server: u32) -> bool {
        self.servers.remove(&server).is_some()
    }

    /// Notes that some server has answered this gateway.
    pub fn heard(&mut self, now: Millis) {
        self.heard_at = now;
    }

    /// Says whether this gateway hears nobody: its words on servers are of no use then.
    pub fn is_cut_off(&self, now: Millis) -> bool {
        now.since(self.heard_at) >= HEARD_NOBODY
    }

    /// Says whether a server is left out.
    pub fn is_out(&self, server: u32, now: Millis) -> bool {
        self.servers.get(&server).is_some_and(|suspect| now < suspect.out_until)
    }

    fn make_room(&mut self, now: Millis) {
        if self.servers.len() >= MAX_SERVERS {
            self.servers.retain(|_, suspect| now.since(suspect.last) < WORD_KEPT);
        }
    }
}

impl<G: Copy + Eq + Hash> Default for Unreached<G> {
    fn default() -> Self {
        Self::new()
    }
}
