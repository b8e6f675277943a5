//! The sequential test that stops a version with too large a share of bad answers.

use serde::{Deserialize, Serialize};

use crate::ids::PerMille;

/// Counts of the ratings of one version; tallies of several daemons can be added in any order.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Tally {
    /// Answers that were rated good.
    pub good: u64,
    /// Answers that were rated bad.
    pub bad: u64,
}

impl Tally {
    /// Returns the sum of two tallies.
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

/// Result of the test.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TestVerdict {
    /// The ratings don't show yet that the share of bad answers is too large.
    Continue,
    /// The share of bad answers is above the allowed one.
    Stop,
}

/// A sequential test of the null hypothesis that at most a share `allowed` of the answers is bad.
///
/// The test statistic is the wealth of a bet that bad answers are more frequent than allowed. Under
/// the null hypothesis it is a supermartingale, so by Ville's inequality it ever reaches
/// `1 / alpha` with a probability of at most `alpha`, however often the test is evaluated. The bet
/// mixes several alternatives, because the share of bad answers of a bad version is unknown. The
/// wealth depends on the counts only, so tallies of several daemons can be added in any order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SequentialTest {
    allowed: f64,
    alpha: f64,
}

impl SequentialTest {
    /// Creates a test; `alpha` bounds the probability of stopping a version that is as good as
    /// allowed.
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
