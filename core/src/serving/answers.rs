//! What gateways have seen of a version's answers, as sums that can be added up in any order.

use super::exposure::Sent;
use crate::rollout::Tally;

/// Times of answers, as sums that gateways can add up in any order.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Times {
    /// Their number.
    pub n: u64,
    /// Sum of the logarithms of each time over the usual one.
    pub sum: f64,
    /// Sum of their squares.
    pub squares: f64,
}

impl Times {
    /// Adds a time that is `ratio` times the usual one.
    pub fn add(&mut self, ratio: f64) {
        let x = ratio.max(MIN_RATIO).ln();
        self.n += 1;
        self.sum += x;
        self.squares += x * x;
    }

    fn plus(self, other: Self) -> Self {
        Self {
            n: self.n + other.n,
            sum: self.sum + other.sum,
            squares: self.squares + other.squares,
        }
    }

    fn minus(self, other: Self) -> Self {
        Self {
            n: self.n.saturating_sub(other.n),
            sum: self.sum - other.sum,
            squares: self.squares - other.squares,
        }
    }

    /// Returns the mean logarithm; 0 is the usual time.
    pub fn mean(self) -> f64 {
        if self.n == 0 { 0.0 } else { self.sum / self.n as f64 }
    }

    /// Returns the variance of the mean.
    fn error(self) -> f64 {
        let n = self.n.max(1) as f64;
        let variance = (self.squares / n - self.mean() * self.mean()).max(MIN_VARIANCE);
        variance / n
    }

    /// Says whether these times are longer than others beyond doubt.
    ///
    /// Times of one version differ by a factor of ten among themselves, so that counts of long ones
    /// say little until many have come: a version whose answers took three times as long passed its
    /// trial with 14 long ones in 73. Their logarithms are nearly normal, and a dozen tell.
    ///
    /// ```
    /// use redwingfold_core::Times;
    /// let (mut usual, mut long) = (Times::default(), Times::default());
    /// for ratio in [0.5, 1.0, 2.0, 1.0, 0.7, 1.4, 1.0, 1.0, 0.6, 1.6] {
    ///     usual.add(ratio);
    ///     long.add(ratio * 4.0);
    /// }
    /// assert!(long.is_longer(usual) && !usual.is_longer(usual));
    /// ```
    pub fn is_longer(self, usual: Self) -> bool {
        let longer = self.mean() - usual.mean();
        let doubt = (self.error() + usual.error()).sqrt();
        self.n >= MIN_TIMES && longer > MIN_LONGER && longer > doubt * sure(self.n)
    }
}

/// Smallest ratio that counts: one beginning at once must not outweigh ten late ones.
const MIN_RATIO: f64 = 0.1;

/// Least variance of a logarithm: a few equal times are no proof of steadiness.
const MIN_VARIANCE: f64 = 0.1;

/// Times without which nothing is said.
const MIN_TIMES: u64 = 8;

/// Difference of the logarithms from which a version is slow: 1.8 times as long.
const MIN_LONGER: f64 = 0.59;

/// Standard errors that the difference must have where their spread is known; looked at a few hundred
/// times in a roll-out, a good version passes this by chance less than once in a hundred roll-outs.
const SURE: f64 = 4.4;

/// Returns the standard errors that the difference must have after `n` times.
///
/// The spread of a dozen times is itself a guess, and a bar of five for few times as for many was
/// passed by chance by 7 of 1,200 played good versions. With the quantile of Student's distribution (its
/// first terms by Cornish and Fisher) it was by none. A version of which half of the answers are eight times
/// as slow got 37 requests in place of 34 at 60 a second (counted with the fleet of
/// core/tests/canary.rs).
fn sure(n: u64) -> f64 {
    let freedom = n.saturating_sub(1).max(1) as f64;
    SURE + (SURE.powi(3) + SURE) / (4.0 * freedom)
}

/// Answers of a version on one route, as sums that gateways can add up in any order.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// Answers that were no failures.
    pub good: u64,
    /// Failures.
    pub failed: u64,
    /// Times to the first byte.
    pub begin: Times,
    /// Pauses between the events of streams.
    pub pace: Times,
    /// Those of them that came from one half of the version's servers.
    pub half: AnswerSums,
}

/// Sums over answers that came from some of a version's servers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AnswerSums {
    /// Answers that were no failures.
    pub good: u64,
    /// Failures.
    pub failed: u64,
    /// Times to the first byte.
    pub begin: Times,
    /// Pauses between the events of streams.
    pub pace: Times,
}

impl AnswerSums {
    fn plus(self, other: Self) -> Self {
        Self {
            good: self.good + other.good,
            failed: self.failed + other.failed,
            begin: self.begin.plus(other.begin),
            pace: self.pace.plus(other.pace),
        }
    }

    fn minus(self, other: Self) -> Self {
        Self {
            good: self.good.saturating_sub(other.good),
            failed: self.failed.saturating_sub(other.failed),
            begin: self.begin.minus(other.begin),
            pace: self.pace.minus(other.pace),
        }
    }
}

impl From<AnswerSums> for Counts {
    fn from(sums: AnswerSums) -> Self {
        let AnswerSums { good, failed, begin, pace } = sums;
        Self { good, failed, begin, pace, half: AnswerSums::default() }
    }
}

/// Answers on one route in the time of a roll-out.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RouteEvidence {
    /// Of the target.
    pub target: Counts,
    /// Of the version in service.
    pub current: Counts,
}

impl Counts {
    /// Adds others' counts.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self { half: self.half.plus(other.half), ..self.sums().plus(other.sums()).into() }
    }

    /// Returns what has been added since earlier counts.
    pub(crate) fn since(self, earlier: Self) -> Self {
        Self { half: self.half.minus(earlier.half), ..self.sums().minus(earlier.sums()).into() }
    }

    /// Returns the answers of each half of the version's servers.
    pub(crate) fn halves(self) -> [Self; 2] {
        [self.half.into(), self.sums().minus(self.half).into()]
    }

    /// Returns the sums over all servers.
    pub fn sums(self) -> AnswerSums {
        let Self { good, failed, begin, pace, half: _ } = self;
        AnswerSums { good, failed, begin, pace }
    }

    pub(crate) fn answers(self) -> u64 {
        self.good + self.failed
    }

    pub(crate) fn tally(self) -> Tally {
        Tally { good: self.good, bad: self.failed }
    }

    pub(crate) fn is_slower(self, usual: Self) -> bool {
        self.begin.is_longer(usual.begin) || self.pace.is_longer(usual.pace)
    }

    /// Says whether the mean times are those of a slow version, with or without doubt.
    pub(crate) fn looks_slower(self, usual: Self) -> bool {
        let longer = |times: Times, usual: Times| times.mean() - usual.mean() > MIN_LONGER;
        longer(self.begin, usual.begin) || longer(self.pace, usual.pace)
    }
}

impl RouteEvidence {
    /// Adds others' evidence.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self { target: self.target.plus(other.target), current: self.current.plus(other.current) }
    }
}

/// What all gateways together know.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shared {
    /// Answers, by route.
    pub routes: Vec<RouteEvidence>,
    /// What they have sent.
    pub sent: Sent,
}

impl Shared {
    /// Returns the evidence of all routes together.
    pub fn total(&self) -> RouteEvidence {
        self.routes.iter().fold(RouteEvidence::default(), |sum, route| sum.plus(*route))
    }
}
