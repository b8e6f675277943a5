//! Exponential decay of recorded work.

use crate::ids::Millis;

/// Half-life of recorded work. Shares are enforced over a window of seconds.
const HALF_LIFE: Millis = Millis(5_000);

/// Time after which the reference time moves. Amounts grow by 2^64 at most until then, far below the limits of `f64`.
const MAX_REFERENCE_AGE: Millis = Millis(64 * HALF_LIFE.0);

/// The time to which amounts of work refer.
///
/// An amount is stored as the work that would have to be recorded at the reference time to have the same effect. All
/// amounts decay by the same factor, so their order and sum need no update while time passes.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DecayReference(Millis);

impl DecayReference {
    /// Returns the stored amount of work that is recorded at `now`.
    pub(super) fn amount(self, work: Millis, now: Millis) -> f64 {
        work.0 as f64 / self.remaining(now)
    }

    /// Returns the part of a stored amount that remains at `now`; 1 if `now` is before the reference time.
    pub(super) fn remaining(self, now: Millis) -> f64 {
        remaining_after(now.since(self.0))
    }

    /// Moves the reference time to `now` if it is old. Returns the factor by which stored amounts must be multiplied.
    pub(super) fn advance(&mut self, now: Millis) -> Option<f64> {
        if now.since(self.0) <= MAX_REFERENCE_AGE {
            return None;
        }
        let remaining = self.remaining(now);
        self.0 = now;
        Some(remaining)
    }
}

/// Returns the part of recorded work that remains after a time.
pub(super) fn remaining_after(time: Millis) -> f64 {
    (-(time.0 as f64) / HALF_LIFE.0 as f64).exp2()
}
