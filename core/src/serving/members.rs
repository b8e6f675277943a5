//! Membership of the fleet: the other gateways that are running.

use std::collections::HashMap;
use std::hash::Hash;

use crate::ids::Millis;

/// Time without a message after which a gateway is removed.
const LIVENESS_TIMEOUT: Millis = Millis(20_000);

/// Number of gateways that forward newly added members, and that answer a new gateway. Each one forwards what is new to
/// it, so that a change reaches all gateways in three rounds; with a fan-out of eight, one gateway in three thousand is
/// missed.
const GOSSIP_FANOUT: usize = 8;

/// Minimum fleet size to assume when deciding whether to answer a new gateway. Otherwise gateways that have only a few
/// members yet would answer every one.
const MIN_ASSUMED_FLEET: usize = 64;

/// The other gateways, by their addresses.
///
/// Load pattern: all gateways of a fleet start within half a second. A few of them read the addresses of the others
/// from the store and forward them by gossip, to eight gateways at a time. Gateways that are not up yet miss these
/// messages. All gateways that have the list send to them, which adds those to their lists, but not each other: 19 of
/// 103 gateways stayed in that state. What each of them read from the store reached all but the other 18, so no other
/// gateway read the store any more, and these 19 read it 20 times as often as one would. So a gateway that receives a
/// message from a new gateway sends it the member list, with a probability such that about eight of the fleet do.
#[derive(Clone, Debug)]
pub struct Members<A> {
    own: A,
    known: HashMap<A, Member>,
    /// Whether members were added that others may lack.
    is_changed: bool,
    /// New gateways that this one should send the member list to.
    newcomers: Vec<A>,
    /// Whether this gateway should send all others a message.
    greets_all: bool,
}

#[derive(Clone, Copy, Debug)]
struct Member {
    /// Time of its last message, or when it was first named.
    last_seen_at: Millis,
    /// Time when it was added.
    known_since: Millis,
    /// Whether a message from it has arrived.
    has_sent: bool,
}

impl<A: Copy + Eq + Hash> Members<A> {
    /// Creates the empty member list of a gateway at `own`.
    ///
    /// ```
    /// use redwingfold_core::{Members, Millis};
    /// let mut members = Members::new('a');
    /// assert!(members.add(&['a', 'b'], Millis(0)) && members.take_changed());
    /// members.record_message('c', Millis(5), 0);
    /// assert_eq!((members.len(), members.take_newcomers()), (2, vec!['c']));
    /// ```
    pub fn new(own: A) -> Self {
        Self {
            own,
            known: HashMap::new(),
            is_changed: false,
            newcomers: Vec::new(),
            greets_all: false,
        }
    }

    /// Returns the address of this gateway.
    pub fn own(&self) -> A {
        self.own
    }

    /// Adds gateways that another one named; returns whether one of them is new.
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

    /// Adds gateways that a peer listed. Unlike those added with [`Self::add`], they are not forwarded: the peer has sent
    /// them to others already.
    pub fn learn(&mut self, listed: &[A], now: Millis) {
        let is_changed = self.is_changed;
        self.add(listed, now);
        self.is_changed = is_changed;
    }

    /// Records a message from a gateway; `draw` is a random number.
    pub fn record_message(&mut self, from: A, now: Millis, draw: u64) {
        let known_since = self.known.get(&from).map_or(now, |member| member.known_since);
        let before =
            self.known.insert(from, Member { last_seen_at: now, known_since, has_sent: true });
        let is_newcomer = !before.is_some_and(|member| member.has_sent);
        if is_newcomer && draw % (self.len().max(MIN_ASSUMED_FLEET) as u64) < GOSSIP_FANOUT as u64 {
            self.newcomers.push(from);
        }
    }

    /// Returns and clears whether members were added, so that some others should be informed.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.is_changed)
    }

    /// Makes this gateway send all others a message: it has read their addresses, and none of them may know another one.
    pub fn greet_all(&mut self) {
        self.greets_all = true;
    }

    /// Returns and clears whether all others should get a message.
    pub fn take_greeting(&mut self) -> bool {
        std::mem::take(&mut self.greets_all)
    }

    /// Returns and clears the new gateways that this one should send the member list to.
    pub fn take_newcomers(&mut self) -> Vec<A> {
        std::mem::take(&mut self.newcomers)
    }

    /// Returns the gateways to forward added members to, given all in a random order.
    pub fn gossip_targets(present: &[A]) -> &[A] {
        &present[..present.len().min(GOSSIP_FANOUT)]
    }

    /// Removes gateways that have timed out, and returns the others.
    pub fn live(&mut self, now: Millis) -> Vec<A> {
        self.known.retain(|_, member| now.since(member.last_seen_at) < LIVENESS_TIMEOUT);
        self.known.keys().copied().collect()
    }

    /// Returns the live gateways that were added at least `time` ago.
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

    /// Returns whether there are no other gateways.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}
