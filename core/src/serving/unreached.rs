//! Servers that gateways of a fleet could not connect to.

use std::collections::HashMap;
use std::hash::Hash;

use crate::ids::Millis;

/// Gateways that must have failed to connect before a server is left out: one alone may be cut off itself. While
/// it has not answered anybody since, one more is enough to leave it out again.
const VOICES: usize = 2;

/// Time for which a gateway's word counts: a fleet whose servers get a request a second each has two by then.
const WORD_KEPT: Millis = Millis(3_000);

/// Time for which a server is left out. Gateways come back to it over as long again: the first that fails keeps the
/// others away, and the first that is answered brings all back.
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
/// fail are enough for all.
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
    /// assert!(!unreached.failed(7, 'a', Millis(0), 0));
    /// assert!(!unreached.failed(7, 'a', Millis(50), 0));
    /// assert!(unreached.failed(7, 'b', Millis(100), 0));
    /// assert!(unreached.is_out(7, Millis(200)));
    /// assert!(unreached.answered(7));
    /// assert!(!unreached.is_out(7, Millis(200)));
    /// ```
    pub fn new() -> Self {
        Self { servers: HashMap::new(), heard_at: Millis(0) }
    }

    /// Takes that a gateway could not connect to a server; `true` if it is left out from now on. `draw` is a random
    /// number.
    pub fn failed(&mut self, server: u32, gateway: G, now: Millis, draw: u64) -> bool {
        self.make_room(now);
        let none =
            || Suspect { words: Vec::new(), out_until: Millis(0), was_out: false, last: now };
        let suspect = self.servers.entry(server).or_insert_with(none);
        suspect.last = now;
        if now < suspect.out_until {
            return false;
        }
        suspect.words.retain(|(by, at)| *by != gateway && now.since(*at) < WORD_KEPT);
        suspect.words.push((gateway, now));
        if suspect.words.len() < VOICES && !suspect.was_out {
            return false;
        }
        suspect.out_until = now.after(OUT).after(Millis(draw % OUT.0));
        suspect.was_out = true;
        suspect.words.clear();
        true
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
