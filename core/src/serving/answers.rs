//! What gateways have seen of a version's answers, as sums that can be added up in any order.

use super::exposure::SendCounts;
use crate::rollout::Tally;

/// Times of answers, as sums that gateways can add up in any order.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LatencySums {
    /// Their number.
    pub count: u64,
    /// Sum of the logarithms of each time over the usual one.
    pub log_sum: f64,
    /// Sum of their squares.
    pub log_square_sum: f64,
}

impl LatencySums {
    /// Adds a time that is `ratio` times the usual one.
    pub fn add(&mut self, ratio: f64) {
        let x = ratio.max(MIN_RATIO).ln();
        self.count += 1;
        self.log_sum += x;
        self.log_square_sum += x * x;
    }

    fn plus(self, other: Self) -> Self {
        Self {
            count: self.count + other.count,
            log_sum: self.log_sum + other.log_sum,
            log_square_sum: self.log_square_sum + other.log_square_sum,
        }
    }

    fn minus(self, other: Self) -> Self {
        Self {
            count: self.count.saturating_sub(other.count),
            log_sum: self.log_sum - other.log_sum,
            log_square_sum: self.log_square_sum - other.log_square_sum,
        }
    }

    /// Returns the mean logarithm; 0 is the usual time.
    pub fn mean(self) -> f64 {
        if self.count == 0 { 0.0 } else { self.log_sum / self.count as f64 }
    }

    /// Returns the variance of the mean.
    fn mean_variance(self) -> f64 {
        let n = self.count.max(1) as f64;
        let variance = (self.log_square_sum / n - self.mean() * self.mean()).max(MIN_VARIANCE);
        variance / n
    }

    /// Says whether these times are longer than others beyond doubt.
    ///
    /// Times of one version differ by a factor of ten among themselves, so that counts of long ones
    /// say little until many have come: a version whose answers took three times as long passed its
    /// trial with 14 long ones in 73. Their logarithms are nearly normal, and a dozen tell.
    ///
    /// ```
    /// use redwingfold_core::LatencySums;
    /// let (mut usual, mut long) = (LatencySums::default(), LatencySums::default());
    /// for ratio in [0.5, 1.0, 2.0, 1.0, 0.7, 1.4, 1.0, 1.0, 0.6, 1.6] {
    ///     usual.add(ratio);
    ///     long.add(ratio * 4.0);
    /// }
    /// assert!(long.is_significantly_longer(usual) && !usual.is_significantly_longer(usual));
    /// ```
    pub fn is_significantly_longer(self, usual: Self) -> bool {
        let longer = self.mean() - usual.mean();
        let std_error = (self.mean_variance() + usual.mean_variance()).sqrt();
        self.count >= MIN_SAMPLES
            && longer > MIN_LOG_SLOWDOWN
            && longer > std_error * min_standard_errors(self.count)
    }
}

/// Smallest ratio that counts: one beginning at once must not outweigh ten late ones.
const MIN_RATIO: f64 = 0.1;

/// Least variance of a logarithm: a few equal times are no proof of steadiness.
const MIN_VARIANCE: f64 = 0.1;

/// Times without which nothing is said.
const MIN_SAMPLES: u64 = 8;

/// Difference of the logarithms from which a version is slow: 1.8 times as long.
const MIN_LOG_SLOWDOWN: f64 = 0.59;

/// Standard errors that the difference must have where their spread is known; looked at a few hundred
/// times in a roll-out, a good version passes this by chance less than once in a hundred roll-outs.
const MIN_STANDARD_ERRORS: f64 = 4.4;

/// Returns the standard errors that the difference must have after `n` times.
///
/// The spread of a dozen times is itself a guess, and a bar of five for few times as for many was
/// passed by chance by 7 of 1,200 played good versions. With the quantile of Student's distribution (its
/// first terms by Cornish and Fisher) it was by none. A version of which half of the answers are eight times
/// as slow got 37 requests in place of 34 at 60 a second (counted with the fleet of
/// core/tests/canary.rs).
fn min_standard_errors(n: u64) -> f64 {
    let freedom = n.saturating_sub(1).max(1) as f64;
    MIN_STANDARD_ERRORS + (MIN_STANDARD_ERRORS.powi(3) + MIN_STANDARD_ERRORS) / (4.0 * freedom)
}

/// Answers of a version on one route, as sums that gateways can add up in any order.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AnswerCounts {
    /// Answers that were no failures.
    pub good: u64,
    /// Failures.
    pub failed: u64,
    /// Times to the first byte.
    pub first_byte: LatencySums,
    /// Pauses between the events of streams.
    pub event_gap: LatencySums,
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
    pub first_byte: LatencySums,
    /// Pauses between the events of streams.
    pub event_gap: LatencySums,
}

impl AnswerSums {
    fn plus(self, other: Self) -> Self {
        Self {
            good: self.good + other.good,
            failed: self.failed + other.failed,
            first_byte: self.first_byte.plus(other.first_byte),
            event_gap: self.event_gap.plus(other.event_gap),
        }
    }

    fn minus(self, other: Self) -> Self {
        Self {
            good: self.good.saturating_sub(other.good),
            failed: self.failed.saturating_sub(other.failed),
            first_byte: self.first_byte.minus(other.first_byte),
            event_gap: self.event_gap.minus(other.event_gap),
        }
    }
}

impl From<AnswerSums> for AnswerCounts {
    fn from(sums: AnswerSums) -> Self {
        let AnswerSums { good, failed, first_byte, event_gap } = sums;
        Self { good, failed, first_byte, event_gap, half: AnswerSums::default() }
    }
}

/// Answers on one route in the time of a roll-out.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RouteEvidence {
    /// Of the target.
    pub target: AnswerCounts,
    /// Of the version in service.
    pub current: AnswerCounts,
}

impl AnswerCounts {
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
        let Self { good, failed, first_byte, event_gap, half: _ } = self;
        AnswerSums { good, failed, first_byte, event_gap }
    }

    pub(crate) fn answers(self) -> u64 {
        self.good + self.failed
    }

    pub(crate) fn tally(self) -> Tally {
        Tally { good: self.good, bad: self.failed }
    }

    pub(crate) fn is_slower(self, usual: Self) -> bool {
        self.first_byte.is_significantly_longer(usual.first_byte)
            || self.event_gap.is_significantly_longer(usual.event_gap)
    }

    /// Says whether the mean times are those of a slow version, with or without doubt.
    pub(crate) fn has_longer_mean(self, usual: Self) -> bool {
        let longer =
            |times: LatencySums, usual: LatencySums| times.mean() - usual.mean() > MIN_LOG_SLOWDOWN;
        longer(self.first_byte, usual.first_byte) || longer(self.event_gap, usual.event_gap)
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
pub struct FleetEvidence {
    /// Answers, by route.
    pub routes: Vec<RouteEvidence>,
    /// What they have sent.
    pub sent: SendCounts,
}

impl FleetEvidence {
    /// Returns the evidence of all routes together.
    pub fn total(&self) -> RouteEvidence {
        self.routes.iter().fold(RouteEvidence::default(), |sum, route| sum.plus(*route))
    }
}
