//! Selection of a model size, where a route allows several.

use std::collections::HashMap;

use super::catalog::ServiceName;
use crate::ids::Millis;

/// When a request is escalated to a larger model.
#[derive(Clone, Copy, Debug)]
pub struct SizePolicy {
    /// Confidence, 0 to 100, below which the answer of a small model is discarded for that of a larger one at low
    /// pressure.
    pub min_confidence: f64,
    /// Pressure up to which that threshold applies unchanged.
    pub low_pressure: f64,
    /// Pressure from which no larger model is used.
    pub high_pressure: f64,
    /// Confidence below which the answer of a larger model is better even if it is late.
    pub late_confidence: f64,
}

impl Default for SizePolicy {
    /// Small models are right about as often as their confidence indicates. A threshold of 52 performed best under
    /// faults; 60 is slightly better without faults. An engine without a queue starts to answer a request for a small
    /// model in a tenth of the target latency.
    fn default() -> Self {
        Self {
            min_confidence: 52.0,
            low_pressure: 0.07,
            high_pressure: 0.30,
            late_confidence: 30.0,
        }
    }
}

/// Latency of first sends as a share of their targets, smoothed; an estimate of the queues of the engines.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pressure(f64);

/// Weight of the newest sample. About the last dozen count, which is a second or less at common rates.
const NEWEST_WEIGHT: f64 = 0.08;

/// Maximum share that one sample counts with: a request lost in a crashed server is no evidence about the others.
const MAX_RATIO: f64 = 1.5;

impl Pressure {
    /// Records the time from the first send of a request to its first byte, and the request's target.
    ///
    /// ```
    /// use redwingfold_core::{Millis, Pressure};
    /// let mut pressure = Pressure::default();
    /// (0..100).for_each(|_| pressure.record(Millis(500), Millis(1_000)));
    /// assert!((pressure.value() - 0.5).abs() < 0.01);
    /// ```
    pub fn record(&mut self, took: Millis, target_latency: Millis) {
        let part = (took.0 as f64 / target_latency.0.max(1) as f64).min(MAX_RATIO);
        self.0 += (part - self.0) * NEWEST_WEIGHT;
    }

    /// Returns the smoothed share.
    pub fn value(self) -> f64 {
        self.0
    }
}

impl SizePolicy {
    /// Returns the policy that follows the utilization of the servers in place of the pressure.
    ///
    /// Load pattern: long prompts and shared hosts delay first events on servers that have most of their slots free. By
    /// the latency of first sends such servers look full, and answers that a larger model could improve in time were
    /// accepted.
    ///
    /// ```
    /// use redwingfold_core::SizePolicy;
    /// let policy = SizePolicy::by_utilization();
    /// let required = |utilization| policy.min_confidence_at(utilization);
    /// assert!(required(0.3) == policy.min_confidence && required(0.7) < required(0.5) && required(1.0) == 0.0);
    /// ```
    pub fn by_utilization() -> Self {
        // At half of the slots a step takes a few percent longer. Above nine tenths, a server that gets a burst of a
        // tenth more has a queue.
        Self { low_pressure: 0.5, high_pressure: 0.9, ..Self::default() }
    }

    /// Returns the required confidence at a pressure.
    ///
    /// Load pattern: a third of the engines leaves, or all callers return at once. An answer of the largest model takes
    /// ten times the engine time of one of the smallest. With engines at capacity, a few good answers arrive late and
    /// delay all others, while answers of small models that arrive in time are right more often than not.
    ///
    /// ```
    /// use redwingfold_core::SizePolicy;
    /// let policy = SizePolicy::default();
    /// assert!(policy.min_confidence_at(0.05) == policy.min_confidence && policy.min_confidence_at(0.9) == 0.0);
    /// ```
    pub fn min_confidence_at(&self, pressure: f64) -> f64 {
        let part = (self.high_pressure - pressure) / (self.high_pressure - self.low_pressure);
        self.min_confidence * part.clamp(0.0, 1.0)
    }

    /// Returns the confidence below which a request is escalated; `in_time` is whether the first byte of the larger
    /// model is expected within the target.
    fn escalation_threshold(&self, pressure: f64, in_time: bool) -> f64 {
        let bar = self.min_confidence_at(pressure);
        if in_time { bar } else { bar.min(self.late_confidence) }
    }

    /// Chooses the larger model that should answer instead of one that has started to, if any; `larger` are the
    /// available ones in order of size.
    ///
    /// The confidence of a model shows how far a request is within its capability; for the same request, that of a
    /// larger model is higher by about the same amount. So the smallest model that is expected to reach the threshold
    /// is used. A request just beyond the smallest model gets the middle one, at half of the price and a quarter of the
    /// prefill time of the largest.
    ///
    /// ```
    /// use redwingfold_core::{LargerModel, SizePolicy};
    /// let policy = SizePolicy::default();
    /// let middle = LargerModel { size: 1, gain: 20.0, in_time: true };
    /// let largest = LargerModel { size: 2, gain: 60.0, in_time: true };
    /// let asked = |confidence| policy.larger(confidence, 0.0, &[middle, largest]);
    /// assert_eq!((asked(90), asked(40), asked(10)), (None, Some(1), Some(2)));
    /// ```
    pub fn larger(&self, confidence: u8, pressure: f64, larger: &[LargerModel]) -> Option<usize> {
        let confidence = f64::from(confidence);
        let is_sufficient =
            |l: &&LargerModel| l.in_time && confidence + l.gain >= self.min_confidence;
        let largest = larger.last()?;
        let chosen = larger.iter().find(is_sufficient).unwrap_or(largest);
        (confidence < self.escalation_threshold(pressure, chosen.in_time)).then_some(chosen.size)
    }
}

/// A larger model that is available.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LargerModel {
    /// Its index among the sizes of the route.
    pub size: usize,
    /// Expected increase of its confidence.
    pub gain: f64,
    /// Whether its first byte is expected within the target.
    pub in_time: bool,
}

/// Mean differences between the confidence of larger and smaller models for the same request.
#[derive(Clone, Debug, Default)]
pub struct ConfidenceGains(HashMap<(ServiceName, usize, usize), Gain>);

/// Assumed gain of a model without samples; high enough for it to be tried where little is missing.
const DEFAULT_GAIN: f64 = 18.0;

/// Number of samples that the assumed gain counts as.
const DEFAULT_WEIGHT: f64 = 6.0;

/// Maximum weight of the mean; later samples replace earlier ones.
const MAX_WEIGHT: f64 = 60.0;

#[derive(Clone, Copy, Debug)]
struct Gain {
    mean: f64,
    weight: f64,
}

impl Default for Gain {
    fn default() -> Self {
        Self { mean: DEFAULT_GAIN, weight: DEFAULT_WEIGHT }
    }
}

impl ConfidenceGains {
    /// Records the confidence of two models in their answers to the same request.
    ///
    /// ```
    /// use redwingfold_core::ConfidenceGains;
    /// let mut gains = ConfidenceGains::default();
    /// let before = gains.expected(&"slips".into(), 0, 1);
    /// (0..50).for_each(|_| gains.record(&"slips".into(), (0, 40), (1, 42)));
    /// assert!(gains.expected(&"slips".into(), 0, 1) < before / 2.0);
    /// ```
    pub fn record(&mut self, service: &ServiceName, smaller: (usize, u8), larger: (usize, u8)) {
        let gain = self.0.entry((service.clone(), smaller.0, larger.0)).or_default();
        gain.weight = (gain.weight + 1.0).min(MAX_WEIGHT);
        let seen = f64::from(larger.1) - f64::from(smaller.1);
        gain.mean += (seen - gain.mean) / gain.weight;
    }

    /// Returns the expected gain from one model to another.
    pub fn expected(&self, service: &ServiceName, smaller: usize, larger: usize) -> f64 {
        let key = (service.clone(), smaller, larger);
        self.0.get(&key).copied().unwrap_or_default().mean
    }
}
