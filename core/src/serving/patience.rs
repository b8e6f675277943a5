//! How long a silent service is waited for.

use crate::ids::Millis;

/// Time for which a call bears silence, fitted to what the calls before it had to bear.
///
/// A bound on a whole call ends each read that is longer than the link is fast, and the next one begins from
/// its start: 16 of 24 gateways with 10 Mbit/s kept a configuration for 33 s after 1.7 MB were due,
/// with 700 ms a call. Bytes that come show that the service lives, so only the time between them is bounded.
/// A bound that never moved would fail in the same way before a service that takes longer than it to
/// begin; so each silence that was borne in vain doubles the next one.
///
/// ```
/// use redwingfold_core::{Millis, Patience};
/// let mut patience = Patience::new(Millis(700), Millis(1_400));
/// patience.was_in_vain();
/// assert_eq!(patience.span(), Millis(1_400));
/// patience.was_enough(Millis(20));
/// assert_eq!(patience.span(), Millis(700));
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Patience {
    least: Millis,
    most: Millis,
    span: Millis,
}

/// What is waited, as a multiple of the longest silence of the last answer.
const MARGIN: u64 = 2;

impl Patience {
    /// Waits for `least` at first, and for `most` at last.
    pub fn new(least: Millis, most: Millis) -> Self {
        Self { least, most: most.max(least), span: least }
    }

    /// Returns the silence that the next call bears.
    pub fn span(&self) -> Millis {
        self.span
    }

    /// Notes a call that ended in silence.
    pub fn was_in_vain(&mut self) {
        self.span = Millis(self.span.0.saturating_mul(2)).min(self.most);
    }

    /// Notes an answer, and the longest silence before it and within it.
    pub fn was_enough(&mut self, longest: Millis) {
        let wanted = Millis(longest.0.saturating_mul(MARGIN)).max(Millis(self.span.0 / 2));
        self.span = wanted.clamp(self.least, self.most);
    }
}
