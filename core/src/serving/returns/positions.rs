//! Positions of promised returns after each other.

use std::collections::HashMap;

use crate::ids::Millis;

/// Time between promises while no usable rate is known, as on a gateway that has just started. Its callers then return
/// one a second, rather than all within the same second.
const DEFAULT_SPACING: Spacing = Spacing(1_000_000);

/// Minimum number of services before those without promises in the future are removed.
const MIN_CLEANUP_THRESHOLD: usize = 256;

/// Time between two promises in microseconds, as a gateway may complete more than a thousand requests per second.
#[derive(Clone, Copy, Debug)]
pub(super) struct Spacing(u64);

/// A time in microseconds.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Position(u64);

impl From<Millis> for Position {
    fn from(time: Millis) -> Self {
        Self(time.0.saturating_mul(1_000))
    }
}

impl Spacing {
    /// Returns the time between returns at a rate per second, at most `max`.
    pub(super) fn from_rate(rate: f64, max: Millis) -> Self {
        if !rate.is_finite() || rate <= 0.0 {
            return DEFAULT_SPACING;
        }
        Self(((1e6 / rate) as u64).min(max.0.saturating_mul(1_000)))
    }

    /// Returns a random time within one position from `start`.
    pub(super) fn spread(self, start: Millis, draw: u64) -> Millis {
        self.spread_from(start.into(), draw)
    }

    /// Returns a random time within a position.
    pub(super) fn spread_from(self, start: Position, draw: u64) -> Millis {
        let part = (u128::from(self.0) * u128::from(draw as u32)) >> 32;
        Millis(start.0.saturating_add(part as u64) / 1_000)
    }
}

/// The next free position of each service, keyed by the hash of its name.
#[derive(Clone, Debug, Default)]
pub(super) struct Positions {
    next: HashMap<u32, Position>,
    /// Number of services at which those without promises in the future are next removed.
    cleanup_threshold: usize,
}

impl Positions {
    /// Takes the next position of a service that is not before `ready_at`. The one after it is not later than `latest`.
    pub(super) fn take(
        &mut self,
        service: u32,
        ready_at: Millis,
        spacing: Spacing,
        latest: Millis,
    ) -> Position {
        self.make_room(ready_at);
        let next = self.next.entry(service).or_insert(ready_at.into());
        let position = (*next).max(ready_at.into());
        *next = Position(position.0.saturating_add(spacing.0)).min(latest.into());
        position
    }

    fn make_room(&mut self, ready_at: Millis) {
        if self.next.len() < self.cleanup_threshold.max(MIN_CLEANUP_THRESHOLD) {
            return;
        }
        self.next.retain(|_, next| *next > ready_at.into());
        // Doubling keeps the amortized cost of a promise constant.
        self.cleanup_threshold = self.next.len() * 2;
    }
}
