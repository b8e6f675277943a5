//! Which other gateway to ask for what it knows and this one does not.

use std::collections::HashMap;
use std::hash::Hash;

use crate::ids::Millis;

/// How far other gateways know a feed, as they told, by their addresses.
///
/// The store may turn a host away for minutes while it serves the others, and a slow link may take a second for
/// what a neighbour can say in a few hundred bytes. A gateway that hears that another one is ahead asks it.
#[derive(Clone, Debug)]
pub struct FeedPositions<P> {
    positions: HashMap<P, Position>,
}

#[derive(Clone, Copy, Debug)]
struct Position {
    next: u64,
    recorded_at: Millis,
    /// Not asked before: it has just failed.
    retry_at: Millis,
}

/// Time for which what a gateway told is of use: it may have ended since.
const RETENTION: Millis = Millis(5_000);

/// Time until a gateway that failed to answer is asked again. It may serve as many as it can at once.
const RETRY_DELAY: Millis = Millis(300);

impl<P: Copy + Eq + Hash> FeedPositions<P> {
    /// Makes a table of nobody.
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

    /// Notes that a gateway knows the feed up to an offset.
    pub fn record(&mut self, gateway: P, next: u64, now: Millis) {
        self.positions.retain(|_, position| now.since(position.recorded_at) < RETENTION);
        let position = self.positions.entry(gateway).or_insert(Position {
            next,
            recorded_at: now,
            retry_at: now,
        });
        (position.next, position.recorded_at) = (next, now);
    }

    /// Notes that a gateway did not answer.
    pub fn record_failure(&mut self, gateway: P, now: Millis) {
        if let Some(position) = self.positions.get_mut(&gateway) {
            position.retry_at = now.after(RETRY_DELAY);
        }
    }

    /// Picks one of those that are furthest ahead of `own`; `draw` is a random number.
    pub fn pick_ahead(&self, own: Option<u64>, draw: u64, now: Millis) -> Option<P> {
        let is_candidate = |position: &Position| {
            own.is_none_or(|own| position.next > own)
                && now >= position.retry_at
                && now.since(position.recorded_at) < RETENTION
        };
        let ahead: Vec<_> =
            self.positions.iter().filter(|(_, position)| is_candidate(position)).collect();
        let furthest = ahead.iter().map(|(_, position)| position.next).max()?;
        let best: Vec<_> = ahead.iter().filter(|(_, position)| position.next == furthest).collect();
        best.get((draw % best.len() as u64) as usize).map(|(gateway, _)| **gateway)
    }
}

impl<P: Copy + Eq + Hash> Default for FeedPositions<P> {
    fn default() -> Self {
        Self::new()
    }
}
