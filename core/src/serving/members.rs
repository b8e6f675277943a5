//! Which other gateways there are.

use std::collections::HashMap;
use std::hash::Hash;

use crate::ids::Millis;

/// Silence after which a gateway gets no more messages.
const LIVENESS_TIMEOUT: Millis = Millis(20_000);

/// Gateways that are told of others that were learned, and that answer a newcomer. Each tells on what is new to it,
/// so that all have it after three rounds; with eight each, one in three thousand is left out.
const GOSSIP_FANOUT: usize = 8;

/// Gateways of which a fleet is taken to have at least so many: who knows only a few as yet would tell each newcomer.
const MIN_ASSUMED_FLEET: usize = 64;

/// The other gateways, by their addresses.
///
/// Load pattern: all gateways of a fleet come back within half a second. Few read in the store where the others are;
/// what they read goes on from gateway to gateway, eight at a time. Those that are not up yet miss it. They are
/// heard of by all that have it, and hear them, but not each other: 19 of 103 stayed so, and as each was
/// heard by all but the 18, no other gateway read the store any more, and they read it 20 times as often
/// as one would. So who hears a newcomer tells it of the others, with a chance that makes eight of all do so.
#[derive(Clone, Debug)]
pub struct Members<A> {
    own: A,
    known: HashMap<A, Member>,
    /// Whether some were learned that others may not know.
    is_changed: bool,
    /// Some that this one should tell of the others.
    newcomers: Vec<A>,
}

#[derive(Clone, Copy, Debug)]
struct Member {
    /// When it was last heard, or named first.
    last_seen_at: Millis,
    /// Since when it is known.
    known_since: Millis,
    /// Whether it was ever heard itself.
    has_sent: bool,
}

impl<A: Copy + Eq + Hash> Members<A> {
    /// Makes the members as a gateway at `own` knows them that knows nobody.
    ///
    /// ```
    /// use redwingfold_core::{Members, Millis};
    /// let mut members = Members::new('a');
    /// assert!(members.add(&['a', 'b'], Millis(0)) && members.take_changed());
    /// members.record_message('c', Millis(5), 0);
    /// assert_eq!((members.len(), members.take_newcomers()), (2, vec!['c']));
    /// ```
    pub fn new(own: A) -> Self {
        Self { own, known: HashMap::new(), is_changed: false, newcomers: Vec::new() }
    }

    /// Returns the address of this gateway.
    pub fn own(&self) -> A {
        self.own
    }

    /// Adds gateways that somebody named; `true` if one of them is new.
    pub fn add(&mut self, named: &[A], now: Millis) -> bool {
        let before = self.known.len();
        for addr in named.iter().filter(|addr| **addr != self.own) {
            self.known.entry(*addr).or_insert(Member {
                last_seen_at: now,
                known_since: now,
                has_sent: false,
            });
        }
        let has_added = self.known.len() > before;
        self.is_changed |= has_added;
        has_added
    }

    /// Notes that a gateway was heard; `draw` is a random number.
    pub fn record_message(&mut self, from: A, now: Millis, draw: u64) {
        let known_since = self.known.get(&from).map_or(now, |member| member.known_since);
        let before =
            self.known.insert(from, Member { last_seen_at: now, known_since, has_sent: true });
        let is_newcomer = !before.is_some_and(|member| member.has_sent);
        if is_newcomer && draw % (self.len().max(MIN_ASSUMED_FLEET) as u64) < GOSSIP_FANOUT as u64 {
            self.newcomers.push(from);
        }
    }

    /// Says whether gateways were learned since this was last asked, so that a few should be told.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.is_changed)
    }

    /// Returns the newcomers that this gateway should tell of all others.
    pub fn take_newcomers(&mut self) -> Vec<A> {
        std::mem::take(&mut self.newcomers)
    }

    /// Returns those of some, in an order drawn anew, that are told of what was learned.
    pub fn gossip_targets(present: &[A]) -> &[A] {
        &present[..present.len().min(GOSSIP_FANOUT)]
    }

    /// Returns those that were heard of late.
    pub fn live(&mut self, now: Millis) -> Vec<A> {
        self.known.retain(|_, member| now.since(member.last_seen_at) < LIVENESS_TIMEOUT);
        self.known.keys().copied().collect()
    }

    /// Returns those that were heard of late and have been known for a time.
    ///
    /// ```
    /// use redwingfold_core::{Members, Millis};
    /// let mut members = Members::new('a');
    /// members.add(&['b'], Millis(0));
    /// members.add(&['c'], Millis(9_000));
    /// assert_eq!(members.live_for(Millis(5_000), Millis(10_000)), vec!['b']);
    /// ```
    pub fn live_for(&self, time: Millis, now: Millis) -> Vec<A> {
        let is_known = |member: &Member| {
            now.since(member.last_seen_at) < LIVENESS_TIMEOUT
                && now.since(member.known_since) >= time
        };
        self.known.iter().filter(|(_, m)| is_known(m)).map(|(addr, _)| *addr).collect()
    }

    /// Returns the number of other gateways.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Says whether no other is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}
