//! Which of several models answers, where the gateway may choose.

use std::collections::HashMap;

use super::catalog::ServiceName;
use crate::ids::Millis;

/// When a larger model is asked instead.
#[derive(Clone, Copy, Debug)]
pub struct SizePolicy {
    /// Confidence, 0 to 100, below which a small model's answer is dropped for a larger one's while
    /// there is no pressure.
    pub min_confidence: f64,
    /// Pressure up to which that bar stays.
    pub low_pressure: f64,
    /// Pressure from which no larger model is asked.
    pub high_pressure: f64,
    /// Confidence below which a larger model's answer is better even if it is late.
    pub late_confidence: f64,
}

impl Default for SizePolicy {
    /// Small models are right about as often as their confidence says. Bars of 45, 52, 60 and 75 were
    /// compared on days with faults: worth a request 0.723, 0.723, 0.712 and 0.681 (three seeds
    /// each); on quiet ones 60 is ahead of 52 by 0.005. An engine without a queue begins to answer a
    /// small model's request in a tenth of the aim.
    fn default() -> Self {
        Self {
            min_confidence: 52.0,
            low_pressure: 0.07,
            high_pressure: 0.30,
            late_confidence: 30.0,
        }
    }
}

/// How long first tries take, as a part of their aims, smoothed: what the engines' queues feel like
/// from here.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pressure(f64);

/// Weight of the newest try: about the last dozen count, a second or less at common rates.
const NEWEST_WEIGHT: f64 = 0.08;

/// Largest part that one try counts with: one lost in a dead server says nothing of the others.
const MAX_RATIO: f64 = 1.5;

impl Pressure {
    /// Takes the time from a first try's send to its first byte.
    ///
    /// ```
    /// use redwingfold_core::{Millis, Pressure};
    /// let mut pressure = Pressure::default();
    /// (0..100).for_each(|_| pressure.record(Millis(500), Millis(1_000)));
    /// assert!((pressure.value() - 0.5).abs() < 0.01);
    /// ```
    pub fn record(&mut self, took: Millis, aim: Millis) {
        let part = (took.0 as f64 / aim.0.max(1) as f64).min(MAX_RATIO);
        self.0 += (part - self.0) * NEWEST_WEIGHT;
    }

    /// Returns the smoothed part.
    pub fn value(self) -> f64 {
        self.0
    }
}

impl SizePolicy {
    /// Returns the confidence that is asked for under a pressure.
    ///
    /// Load pattern: a third of the engines leaves, or all callers come back at once. An answer of
    /// the largest model takes ten times the engine's time of the smallest one's: with engines
    /// full, few good answers come late and all others with them, while small ones in time are
    /// right more often than not.
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

    /// Returns the confidence below which a larger model is asked; `in_time` if its first byte is expected
    /// within the aim.
    fn escalation_threshold(&self, pressure: f64, in_time: bool) -> f64 {
        let bar = self.min_confidence_at(pressure);
        if in_time { bar } else { bar.min(self.late_confidence) }
    }

    /// Chooses the larger model that should answer instead of one that has begun, if any; `larger` are
    /// those that may be asked, the smallest first.
    ///
    /// A model's confidence says by how much a request is within its power: of one request, that of a
    /// larger model is higher by about the same amount. So the smallest one that is expected to reach the
    /// bar is asked. A request that is just beyond the smallest model gets the middle one, at half of the
    /// price and a quarter of the reading time of the largest. Over going to the largest at once, worth was
    /// higher by 0.013 +- 0.007 on envol-routage, 0.006 on ani-ledger and 0.009 on hauszeit-tausch (five days
    /// with faults, two or three seeds each, without processor time).
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

/// A larger model that may be asked.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LargerModel {
    /// Its index among the route's sizes.
    pub size: usize,
    /// By how much its confidence is expected to be higher.
    pub gain: f64,
    /// Whether its first byte is expected within the aim.
    pub in_time: bool,
}

/// By how much the confidence of larger models is higher than that of smaller ones, of the same request.
#[derive(Clone, Debug, Default)]
pub struct ConfidenceGains(HashMap<(ServiceName, usize, usize), Gain>);

/// Gain that is expected of a model that has not been asked yet: enough for it to be tried where little is
/// missing.
const DEFAULT_GAIN: f64 = 18.0;

/// Answers that this expectation counts as.
const DEFAULT_WEIGHT: f64 = 6.0;

/// Answers that count at most; later ones replace earlier ones.
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
    /// Takes the confidence of two models in their answers to one request.
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
