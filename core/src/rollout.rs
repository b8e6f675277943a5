//! The test that stops a version which answers worse than it may.

use serde::{Deserialize, Serialize};

use crate::ids::PerMille;

/// Ratings of one version, as counts, so that daemons can add theirs up in any order.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Tally {
    /// Answers that were rated good.
    pub good: u64,
    /// Answers that were rated bad.
    pub bad: u64,
}

impl Tally {
    /// Adds another tally.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self { good: self.good + other.good, bad: self.bad + other.bad }
    }

    /// Returns the number of rated answers.
    pub fn rated(self) -> u64 {
        self.good + self.bad
    }

    /// Returns the lower confidence bound of the share of good answers, with a prior of `quality`
    /// that weighs as much as `weight` ratings (Wilson's interval, z = 1.64).
    pub fn lower_bound(self, quality: PerMille, weight: u32) -> PerMille {
        const Z: f64 = 1.64;
        let prior = f64::from(quality.0) / 1000.0;
        let n = (self.good + self.bad) as f64 + f64::from(weight);
        if n == 0.0 {
            return PerMille(0);
        }
        let p = (self.good as f64 + prior * f64::from(weight)) / n;
        let centre = p + Z * Z / (2.0 * n);
        let spread = Z * (p * (1.0 - p) / n + Z * Z / (4.0 * n * n)).sqrt();
        let bound = (centre - spread) / (1.0 + Z * Z / n);
        PerMille((bound.clamp(0.0, 1.0) * 1000.0) as u16)
    }
}

/// What the test says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TestVerdict {
    /// Nothing is shown yet.
    Continue,
    /// The share of bad answers is above its bound.
    Stop,
}

/// A sequential test of "at most a share `allowed` of answers is bad".
///
/// The wealth of a bet that bad answers come more often than allowed is a supermartingale while
/// the claim holds, so by Ville's inequality it ever reaches `1 / alpha` with a probability of at
/// most `alpha`, however often one looks. The bet mixes several alternatives, because it is not
/// known how bad a bad version is. The wealth depends on the counts alone: tallies from many
/// daemons can be added in any order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SequentialTest {
    allowed: f64,
    alpha: f64,
}

impl SequentialTest {
    /// Makes a test; `alpha` is the probability of stopping a version that is as good as allowed.
    ///
    /// ```
    /// use redwingfold_core::{PerMille, SequentialTest, Tally, TestVerdict};
    /// let test = SequentialTest::new(PerMille(50), 0.001);
    /// assert_eq!(test.verdict(Tally { good: 95, bad: 5 }), TestVerdict::Continue);
    /// assert_eq!(test.verdict(Tally { good: 5, bad: 10 }), TestVerdict::Stop);
    /// ```
    pub fn new(allowed: PerMille, alpha: f64) -> Self {
        Self { allowed: (f64::from(allowed.0) / 1000.0).clamp(0.001, 0.99), alpha }
    }

    /// Returns the verdict on a tally.
    pub fn verdict(&self, tally: Tally) -> TestVerdict {
        if self.wealth(tally) >= 1.0 / self.alpha {
            TestVerdict::Stop
        } else {
            TestVerdict::Continue
        }
    }

    fn wealth(&self, tally: Tally) -> f64 {
        const STEPS: u32 = 8;
        let log_bet = |step: u32| {
            let alternative =
                self.allowed + (1.0 - self.allowed) * f64::from(step) / f64::from(STEPS + 1);
            tally.bad as f64 * (alternative / self.allowed).ln()
                + tally.good as f64 * ((1.0 - alternative) / (1.0 - self.allowed)).ln()
        };
        (1..=STEPS).map(|step| log_bet(step).min(700.0).exp()).sum::<f64>() / f64::from(STEPS)
    }
}
