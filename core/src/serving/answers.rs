//! Answer counts and latency sums of a version, which gateways can add up in any order.

use super::exposure::SendCounts;
use crate::rollout::Tally;

/// Sums over latencies relative to the usual one, which gateways can add up in any order.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LatencySums {
    /// Number of samples.
    pub count: u64,
    /// Sum of the natural logarithms of latency / usual latency.
    pub log_sum: f64,
    /// Sum of the squares of these logarithms.
    pub log_square_sum: f64,
}

impl LatencySums {
    /// Adds a latency that is `ratio` times the usual one.
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

    /// Returns the mean logarithm; 0 is the usual latency.
    pub fn mean(self) -> f64 {
        if self.count == 0 { 0.0 } else { self.log_sum / self.count as f64 }
    }

    /// Returns the variance of the mean.
    fn mean_variance(self) -> f64 {
        let n = self.count.max(1) as f64;
        let variance = (self.log_square_sum / n - self.mean() * self.mean()).max(MIN_VARIANCE);
        variance / n
    }

    /// Returns whether these latencies are longer than `usual`, at the level of
    /// [`min_standard_errors`].
    ///
    /// Latencies of one version differ by a factor of ten, so that a count of slow answers needs
    /// many samples: a version three times slower passed its trial by such a count. The logarithms
    /// are nearly normal, and a dozen of them are enough.
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

/// Smallest ratio that is used, so that one very fast answer doesn't outweigh ten slow ones.
const MIN_RATIO: f64 = 0.1;

/// Least variance of a logarithm, as a few similar samples may underestimate it.
const MIN_VARIANCE: f64 = 0.1;

/// Samples below which latencies are not compared.
const MIN_SAMPLES: u64 = 8;

/// Difference of mean logarithms above which a version is slow (a factor of 1.8).
const MIN_LOG_SLOWDOWN: f64 = 0.59;

/// Standard errors by which the means must differ if the variance is known. A rollout is tested a
/// few hundred times, and a good version exceeds this by chance in fewer than one of a hundred
/// rollouts.
const MIN_STANDARD_ERRORS: f64 = 4.4;

/// Returns the standard errors by which the means must differ after `n` samples.
///
/// The variance of a dozen samples is itself an estimate, and a constant threshold rolled good
/// versions back by chance. This is a quantile of Student's t-distribution, by the first terms of
/// its Cornish-Fisher expansion.
fn min_standard_errors(n: u64) -> f64 {
    let freedom = n.saturating_sub(1).max(1) as f64;
    MIN_STANDARD_ERRORS + (MIN_STANDARD_ERRORS.powi(3) + MIN_STANDARD_ERRORS) / (4.0 * freedom)
}

/// Answers of a version on one route, as sums that gateways can add up in any order.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AnswerCounts {
    /// Answers that were not failures.
    pub good: u64,
    /// Failures.
    pub failed: u64,
    /// Times to the first byte.
    pub first_byte: LatencySums,
    /// Gaps between the events of streams.
    pub event_gap: LatencySums,
    /// The part of these sums that came from the first half of the version's servers.
    pub half: AnswerSums,
}

/// Sums over the answers of some of a version's servers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AnswerSums {
    /// Answers that were not failures.
    pub good: u64,
    /// Failures.
    pub failed: u64,
    /// Times to the first byte.
    pub first_byte: LatencySums,
    /// Gaps between the events of streams.
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

/// Answers on one route since a rollout began.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RouteEvidence {
    /// Answers of the target.
    pub target: AnswerCounts,
    /// Answers of the version in service.
    pub current: AnswerCounts,
}

impl AnswerCounts {
    /// Adds the counts of another gateway.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self { half: self.half.plus(other.half), ..self.sums().plus(other.sums()).into() }
    }

    /// Returns the counts that were added since `earlier`.
    pub(crate) fn since(self, earlier: Self) -> Self {
        Self { half: self.half.minus(earlier.half), ..self.sums().minus(earlier.sums()).into() }
    }

    /// Returns the counts of each half of the version's servers.
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

    /// Returns whether a mean latency is that of a slow version, without a test of significance.
    pub(crate) fn has_longer_mean(self, usual: Self) -> bool {
        let longer =
            |times: LatencySums, usual: LatencySums| times.mean() - usual.mean() > MIN_LOG_SLOWDOWN;
        longer(self.first_byte, usual.first_byte) || longer(self.event_gap, usual.event_gap)
    }
}

impl RouteEvidence {
    /// Adds the evidence of another gateway.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self { target: self.target.plus(other.target), current: self.current.plus(other.current) }
    }
}

/// Evidence of all gateways.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetEvidence {
    /// Answers, one entry for each route.
    pub routes: Vec<RouteEvidence>,
    /// Send counts of all gateways.
    pub sent: SendCounts,
}

impl FleetEvidence {
    /// Returns the evidence of all routes together.
    pub fn total(&self) -> RouteEvidence {
        self.routes.iter().fold(RouteEvidence::default(), |sum, route| sum.plus(*route))
    }
}
