//! The baseline time of an answer of the version in service, by the load of its server, and what it takes at the moment.

use crate::ids::Millis;

/// Weight of the newest time.
const NEWEST_WEIGHT: f64 = 0.03;

/// Times before the baseline one says something.
const MIN_SAMPLES: u32 = 12;

/// Shortest time that is learned, in the unit of the times.
const MIN_TIME: f64 = 0.05;

/// Variance of the load that is added to the one seen, so that nearly equal loads make no slope of chance.
const MIN_VARIANCE: f64 = 0.01;

/// Standard deviations of the load above its mean up to which the slope is followed.
const MAX_FITTED_DEVIATIONS: f64 = 2.0;

/// Least load from which times are taken to grow with it where it was not seen.
const MIN_FITTED_LOAD: f64 = 0.25;

/// What answers of the version in service usually take, by the load of the server that gives them: the requests that it runs
/// and that wait there, for each of its slots.
///
/// The logarithm of a time is fitted by a line over the load, the newest times counting most. Under a load that was not seen,
/// times are taken to grow in proportion to it. Compared with times from before a burst alone, a good version that gets
/// all of the traffic in the burst looks slow.
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
    /// Returns how many times the baseline one a time at a load is, once that is known.
    pub fn ratio(&self, time: f64, load: f64) -> Option<f64> {
        (self.samples >= MIN_SAMPLES).then(|| time / self.log_at(load).exp())
    }

    /// Returns how many times the baseline one a time of another version is. At a load below the mean it is compared with the
    /// baseline time at the mean: a slope that chance makes would let a version on idle servers look slow.
    pub fn ratio_of_other_version(&self, time: f64, load: f64) -> Option<f64> {
        self.ratio(time, load.max(self.mean_load))
    }

    /// Takes a time of the version in service, of any unit, at a load.
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

    /// Returns the logarithm of the baseline time at a load.
    fn log_at(&self, load: f64) -> f64 {
        let slope = (self.covariance / (self.variance + MIN_VARIANCE)).max(0.0);
        let fitted =
            (self.mean_load + MAX_FITTED_DEVIATIONS * self.variance.sqrt()).max(MIN_FITTED_LOAD);
        let extrapolated = (load / fitted).max(1.0).ln();
        self.mean_log + slope * (load.min(fitted) - self.mean_load) + extrapolated
    }
}

/// How many times the baseline time answers of the version in service take at the moment.
///
/// Other versions are compared with that. All answers of a burst, or of a gateway that has little processor time, are late; a
/// good version that gets most of its requests just then looked several times as slow as the one in service, whose answers
/// are mostly of before. Where the version in service gets no requests any longer, its last answers count.
///
/// ```
/// use redwingfold_core::{Millis, CurrentSlowdown};
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

/// Time after which an answer counts half.
const HALF_LIFE: Millis = Millis(300);

/// Weight of the answers below which they say nothing.
const MIN_WEIGHT: f64 = 2.0;

impl CurrentSlowdown {
    /// Takes how many times the baseline one a time of the version in service is.
    pub fn record(&mut self, ratio: f64, now: Millis) {
        let age = now.since(self.at).0 as f64 / HALF_LIFE.0 as f64;
        self.weight = self.weight * 0.5_f64.powf(age) + 1.0;
        self.mean_log += (ratio.max(MIN_TIME).ln() - self.mean_log) / self.weight;
        self.at = now;
    }

    /// Returns how many times the baseline one a time is now; 1 if answers take no longer than baseline, or few are known.
    pub fn factor(&self) -> f64 {
        if self.weight < MIN_WEIGHT { 1.0 } else { self.mean_log.exp().max(1.0) }
    }
}
