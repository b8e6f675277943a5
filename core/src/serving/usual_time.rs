//! The usual time of an answer of the version in service, by the load of its server, and what it takes at the moment.

use crate::ids::Millis;

/// Weight of the newest time.
const NEWEST: f64 = 0.03;

/// Times before the usual one says something.
const MIN_TIMES: u32 = 12;

/// Shortest time that is learned, in the unit of the times.
const MIN_TIME: f64 = 0.05;

/// Variance of the load that is added to the one seen, so that nearly equal loads make no slope of chance.
const MIN_VARIANCE: f64 = 0.01;

/// Standard deviations of the load above its mean up to which the slope is followed.
const KNOWN: f64 = 2.0;

/// Least load from which times are taken to grow with it where it was not seen.
const MIN_KNOWN: f64 = 0.25;

/// What answers of the version in service usually take, by the load of the server that gives them: the requests that it runs
/// and that wait there, for each of its slots.
///
/// The logarithm of a time is fitted by a line over the load, the newest times counting most. Under a load that was not seen,
/// times are taken to grow in proportion to it. Compared with times from before a burst alone, a good version that gets
/// all of the traffic in the burst looks slow.
///
/// ```
/// let mut usual = redwingfold_core::UsualTime::default();
/// (0..50).for_each(|n| usual.learn(100.0 + f64::from(n % 5), 0.1));
/// let ratio = usual.ratio(300.0, 0.1).unwrap();
/// assert!(ratio > 2.8 && ratio < 3.2);
/// assert!(usual.ratio(300.0, 0.9).unwrap() < 1.2);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UsualTime {
    times: u32,
    load: f64,
    log: f64,
    variance: f64,
    covariance: f64,
}

impl UsualTime {
    /// Returns how many times the usual one a time at a load is, once that is known.
    pub fn ratio(&self, time: f64, load: f64) -> Option<f64> {
        (self.times >= MIN_TIMES).then(|| time / self.at(load).exp())
    }

    /// Returns how many times the usual one a time of another version is. At a load below the mean it is compared with the
    /// usual time at the mean: a slope that chance makes would let a version on idle servers look slow.
    pub fn ratio_of_other(&self, time: f64, load: f64) -> Option<f64> {
        self.ratio(time, load.max(self.load))
    }

    /// Takes a time of the version in service, of any unit, at a load.
    pub fn learn(&mut self, time: f64, load: f64) {
        self.times = self.times.saturating_add(1);
        let weight = (1.0 / f64::from(self.times)).max(NEWEST);
        let (load_off, log_off) = (load - self.load, time.max(MIN_TIME).ln() - self.log);
        self.load += load_off * weight;
        self.log += log_off * weight;
        self.variance = (1.0 - weight) * (self.variance + weight * load_off * load_off);
        self.covariance = (1.0 - weight) * (self.covariance + weight * load_off * log_off);
    }

    /// Returns the logarithm of the usual time at a load.
    fn at(&self, load: f64) -> f64 {
        let slope = (self.covariance / (self.variance + MIN_VARIANCE)).max(0.0);
        let known = (self.load + KNOWN * self.variance.sqrt()).max(MIN_KNOWN);
        let beyond = (load / known).max(1.0).ln();
        self.log + slope * (load.min(known) - self.load) + beyond
    }
}

/// How many times the usual time answers of the version in service take at the moment.
///
/// Other versions are compared with that. All answers of a burst, or of a gateway that has little processor time, are late; a
/// good version that gets most of its requests just then looked several times as slow as the one in service, whose answers
/// are mostly of before. Where the version in service gets no requests any longer, its last answers count.
///
/// ```
/// use redwingfold_core::{Millis, PresentTime};
/// let mut present = PresentTime::default();
/// (0..20).for_each(|n| present.learn(1.0, Millis(n * 100)));
/// (20..30).for_each(|n| present.learn(4.0, Millis(n * 100)));
/// assert!(present.factor() > 3.0);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PresentTime {
    log: f64,
    weight: f64,
    at: Millis,
}

/// Time after which an answer counts half.
const HALF_LIFE: Millis = Millis(300);

/// Weight of the answers below which they say nothing.
const MIN_WEIGHT: f64 = 2.0;

impl PresentTime {
    /// Takes how many times the usual one a time of the version in service is.
    pub fn learn(&mut self, ratio: f64, now: Millis) {
        let age = now.since(self.at).0 as f64 / HALF_LIFE.0 as f64;
        self.weight = self.weight * 0.5_f64.powf(age) + 1.0;
        self.log += (ratio.max(MIN_TIME).ln() - self.log) / self.weight;
        self.at = now;
    }

    /// Returns how many times the usual one a time is now; 1 if answers take no longer than usual, or few are known.
    pub fn factor(&self) -> f64 {
        if self.weight < MIN_WEIGHT { 1.0 } else { self.log.exp().max(1.0) }
    }
}
