//! Baseline latency of the current version as a function of server load, and the current deviation from it.

use crate::ids::Millis;

/// Weight of the newest sample in the moving averages.
const NEWEST_WEIGHT: f64 = 0.03;

/// Minimum number of samples for an estimate.
const MIN_SAMPLES: u32 = 12;

/// Minimum latency in the fit, in the unit of the samples; avoids the logarithm of zero.
const MIN_TIME: f64 = 0.05;

/// Variance added to that of the load, so that noise does not produce a slope where loads are nearly equal.
const MIN_VARIANCE: f64 = 0.01;

/// Standard deviations of the load above its mean up to which the fitted slope applies.
const MAX_FITTED_DEVIATIONS: f64 = 2.0;

/// Minimum load above which latency is extrapolated in proportion to load.
const MIN_FITTED_LOAD: f64 = 0.25;

/// Latency of answers of the current version as a function of the load of the server: the requests running and waiting
/// there per slot.
///
/// The logarithm of the latency is fitted by a line over the load, with exponentially decaying weights. Beyond the
/// observed loads, latency is assumed to grow in proportion to load. A comparison with latencies from before a burst
/// alone would make a good version look slow that gets all of the traffic in the burst.
///
/// ```
/// let mut baseline = redwingfold_core::BaselineLatency::default();
/// (0..50).for_each(|n| baseline.record(100.0 + f64::from(n % 5), 0.1));
/// let ratio = baseline.ratio(300.0, 0.1).unwrap();
/// assert!(ratio > 2.8 && ratio < 3.2);
/// assert!(baseline.ratio(300.0, 0.9).unwrap() < 1.2);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BaselineLatency {
    samples: u32,
    mean_load: f64,
    mean_log: f64,
    variance: f64,
    covariance: f64,
}

impl BaselineLatency {
    /// Returns the ratio of a latency to the baseline at a load, once there are enough samples.
    pub fn ratio(&self, time: f64, load: f64) -> Option<f64> {
        (self.samples >= MIN_SAMPLES).then(|| time / self.log_at(load).exp())
    }

    /// Returns the ratio of a latency of another version to the baseline. Below the mean load, the baseline at the mean
    /// is used: a slope caused by noise would make a version on idle servers appear slow.
    pub fn ratio_of_other_version(&self, time: f64, load: f64) -> Option<f64> {
        self.ratio(time, load.max(self.mean_load))
    }

    /// Records a latency of the current version, in any fixed unit, at a load.
    pub fn record(&mut self, time: f64, load: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = (1.0 / f64::from(self.samples)).max(NEWEST_WEIGHT);
        let (load_delta, log_delta) =
            (load - self.mean_load, time.max(MIN_TIME).ln() - self.mean_log);
        self.mean_load += load_delta * weight;
        self.mean_log += log_delta * weight;
        self.variance = (1.0 - weight) * (self.variance + weight * load_delta * load_delta);
        self.covariance = (1.0 - weight) * (self.covariance + weight * load_delta * log_delta);
    }

    /// Returns the logarithm of the baseline latency at a load.
    fn log_at(&self, load: f64) -> f64 {
        let slope = (self.covariance / (self.variance + MIN_VARIANCE)).max(0.0);
        let fitted =
            (self.mean_load + MAX_FITTED_DEVIATIONS * self.variance.sqrt()).max(MIN_FITTED_LOAD);
        let extrapolated = (load / fitted).max(1.0).ln();
        self.mean_log + slope * (load.min(fitted) - self.mean_load) + extrapolated
    }
}

/// Recent ratio of the latency of the current version to its baseline.
///
/// Other versions are compared with it. In a burst, or on a gateway that is short of CPU time, all answers are late. A
/// good version that gets most of the requests just then would look several times as slow as the current version, most
/// of whose answers are from before. If the current version no longer gets requests, its last answers count.
///
/// ```
/// use redwingfold_core::{CurrentSlowdown, Millis};
/// let mut slowdown = CurrentSlowdown::default();
/// (0..20).for_each(|n| slowdown.record(1.0, Millis(n * 100)));
/// (20..30).for_each(|n| slowdown.record(4.0, Millis(n * 100)));
/// assert!(slowdown.factor() > 3.0);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CurrentSlowdown {
    mean_log: f64,
    weight: f64,
    at: Millis,
}

/// Time after which the weight of an answer has halved.
const HALF_LIFE: Millis = Millis(300);

/// Minimum total weight of answers for an estimate.
const MIN_WEIGHT: f64 = 2.0;

impl CurrentSlowdown {
    /// Records the ratio of a latency of the current version to the baseline.
    pub fn record(&mut self, ratio: f64, now: Millis) {
        let age = now.since(self.at).0 as f64 / HALF_LIFE.0 as f64;
        self.weight = self.weight * 0.5_f64.powf(age) + 1.0;
        self.mean_log += (ratio.max(MIN_TIME).ln() - self.mean_log) / self.weight;
        self.at = now;
    }

    /// Returns the current ratio to the baseline; 1 if answers are not slower than it or there are too few.
    pub fn factor(&self) -> f64 {
        if self.weight < MIN_WEIGHT { 1.0 } else { self.mean_log.exp().max(1.0) }
    }
}
