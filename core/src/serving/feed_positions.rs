//! Selection of another gateway from which to fetch the part of a feed that this gateway lacks.

use std::collections::HashMap;
use std::hash::Hash;

use crate::ids::Millis;

/// Offsets up to which other gateways have a feed, as they last reported them, by their addresses.
///
/// The store may be unreachable for one host for minutes while it serves the others, and a read over a slow link may
/// take a second for what another gateway can send in a few hundred bytes. So a gateway fetches from a gateway that
/// reports a higher offset than its own.
#[derive(Clone, Debug)]
pub struct FeedPositions<P> {
    positions: HashMap<P, Position>,
}

#[derive(Clone, Copy, Debug)]
struct Position {
    next: u64,
    recorded_at: Millis,
    /// Earliest time of the next request, after a failed one.
    retry_at: Millis,
}

/// Time for which a reported offset is used; the gateway may have stopped since.
const RETENTION: Millis = Millis(5_000);

/// Delay before a gateway that failed to answer is asked again. It may be at its limit of concurrent answers.
const RETRY_DELAY: Millis = Millis(300);

impl<P: Copy + Eq + Hash> FeedPositions<P> {
    /// Creates an empty table.
    ///
    /// ```
    /// use redwingfold_core::{FeedPositions, Millis};
    /// let mut positions = FeedPositions::new();
    /// positions.record('a', 7, Millis(0));
    /// assert_eq!(positions.pick_ahead(Some(6), 0, Millis(10)), Some('a'));
    /// assert_eq!(positions.pick_ahead(Some(7), 0, Millis(10)), None);
    /// ```
    pub fn new() -> Self {
        Self { positions: HashMap::new() }
    }

    /// Records that a gateway has the feed up to an offset.
    pub fn record(&mut self, gateway: P, next: u64, now: Millis) {
        self.positions.retain(|_, position| now.since(position.recorded_at) < RETENTION);
        let position = self.positions.entry(gateway).or_insert(Position {
            next,
            recorded_at: now,
            retry_at: now,
        });
        (position.next, position.recorded_at) = (next, now);
    }

    /// Records that a gateway did not answer.
    pub fn record_failure(&mut self, gateway: P, now: Millis) {
        if let Some(position) = self.positions.get_mut(&gateway) {
            position.retry_at = now.after(RETRY_DELAY);
        }
    }

    /// Records that a gateway serves callers and so has the feed up to some offset, unless one is known.
    pub fn record_any(&mut self, gateway: P, now: Millis) {
        let position = Position { next: 0, recorded_at: now, retry_at: now };
        self.positions.entry(gateway).or_insert(position);
    }

    /// Removes the gateways recorded by [`Self::record_any`] of which no offset is known.
    pub fn forget_unproven(&mut self) {
        self.positions.retain(|_, position| position.next > 0);
    }

    /// Picks one of the gateways with the highest offset above `own`; `draw` is a random number.
    pub fn pick_ahead(&self, own: Option<u64>, draw: u64, now: Millis) -> Option<P> {
        let ahead = self.ahead(own, now);
        let furthest = ahead.iter().map(|(_, next)| *next).max()?;
        pick(ahead.into_iter().filter(|(_, next)| *next == furthest).collect(), draw)
    }

    /// Picks one of the gateways that are ahead of `own` by at least half as much as the furthest; `draw` is a random
    /// number.
    ///
    /// Load pattern: a feed grows with each read, so that only the last reader has the highest offset. If all other
    /// gateways asked that one, it would reject most of them.
    ///
    /// ```
    /// use redwingfold_core::{FeedPositions, Millis};
    /// let mut positions = FeedPositions::new();
    /// (0..8).for_each(|n| positions.record(n, 100 + n, Millis(0)));
    /// let picked = |draw| positions.pick_well_ahead(Some(50), draw, Millis(10));
    /// assert!((0..8).all(|gateway| (0..8).any(|draw| picked(draw) == Some(gateway))));
    /// ```
    pub fn pick_well_ahead(&self, own: Option<u64>, draw: u64, now: Millis) -> Option<P> {
        let ahead = self.ahead(own, now);
        let furthest = ahead.iter().map(|(_, next)| *next).max()?;
        let enough = furthest - (furthest - own.unwrap_or(0)) / 2;
        pick(ahead.into_iter().filter(|(_, next)| *next >= enough).collect(), draw)
    }

    /// Returns the gateways ahead of `own` that may be asked now, with their offsets, in an arbitrary order.
    fn ahead(&self, own: Option<u64>, now: Millis) -> Vec<(P, u64)> {
        let is_candidate = |position: &Position| {
            own.is_none_or(|own| position.next > own)
                && now >= position.retry_at
                && now.since(position.recorded_at) < RETENTION
        };
        let ahead = self.positions.iter().filter(|(_, position)| is_candidate(position));
        ahead.map(|(gateway, position)| (*gateway, position.next)).collect()
    }
}

fn pick<P: Copy>(candidates: Vec<(P, u64)>, draw: u64) -> Option<P> {
    let n = draw.checked_rem(candidates.len() as u64)?;
    candidates.get(n as usize).map(|(gateway, _)| *gateway)
}

impl<P: Copy + Eq + Hash> Default for FeedPositions<P> {
    fn default() -> Self {
        Self::new()
    }
}
