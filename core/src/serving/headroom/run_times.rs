//! Mean duration and size of the runs of each service.

use std::collections::HashMap;

use super::super::catalog::ServiceName;
use crate::ids::Millis;

/// Weight of the newest run; about the last twenty count, a few seconds for a small service, so that the mean follows
/// hosts that are slow for seconds.
const NEWEST_WEIGHT: f64 = 0.05;

/// Maximum number of services; beyond it, the one with the oldest run is dropped.
const MAX_SERVICES: usize = 4_096;

/// Maximum duration of a run that is recorded; a longer one is taken for an error of a clock.
const MAX_DURATION: Millis = Millis(3_600_000);

/// Maximum size of a run that is recorded, above the context lengths of models.
const MAX_TOKENS: u64 = 10_000_000;

/// A run that is to be placed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Run {
    /// Expected time for which it uses a slot.
    pub duration: Millis,
    /// Tokens that it needs in memory; 0 if the service does not count them.
    pub tokens: u64,
}

impl Default for Run {
    /// Runs last a few seconds. The size is assumed, not measured: one that is too large delays a request to an unknown
    /// service, one that is too small makes a server preempt other requests.
    fn default() -> Self {
        Self { duration: Millis(3_000), tokens: 4_000 }
    }
}

/// Exponentially weighted means over the runs of this gateway, for each service.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    means: HashMap<ServiceName, Mean>,
    recorded: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    duration_ms: f64,
    tokens: f64,
    runs: u32,
    /// Number of the newest run among those of all services.
    newest: u64,
}

impl Mean {
    fn add(&mut self, took: Millis, tokens: u64, number: u64) {
        self.runs = self.runs.saturating_add(1);
        let weight = (1.0 / f64::from(self.runs)).max(NEWEST_WEIGHT);
        self.duration_ms += (took.0 as f64 - self.duration_ms) * weight;
        self.tokens += (tokens as f64 - self.tokens) * weight;
        self.newest = number;
    }

    fn run(self) -> Run {
        Run {
            duration: Millis((self.duration_ms.round() as u64).max(1)),
            tokens: self.tokens.ceil() as u64,
        }
    }
}

impl RunTimes {
    /// Records a complete run: the time that it used a slot, and its tokens. Absurd values are ignored.
    ///
    /// ```
    /// use redwingfold_core::{Millis, Run, RunTimes};
    /// let mut times = RunTimes::default();
    /// assert_eq!(times.run(&"slips".into()), Run::default());
    /// times.record(&"slips".into(), Millis(400), 900);
    /// times.record(&"slips".into(), Millis(600), 1_100);
    /// times.record(&"slips".into(), Millis(u64::MAX), 1_000);
    /// assert_eq!(times.run(&"slips".into()), Run { duration: Millis(500), tokens: 1_000 });
    /// ```
    pub fn record(&mut self, service: &ServiceName, took: Millis, tokens: u64) {
        if took > MAX_DURATION || tokens > MAX_TOKENS {
            return;
        }
        if self.means.len() >= MAX_SERVICES && !self.means.contains_key(service) {
            self.drop_oldest();
        }
        self.recorded += 1;
        self.means.entry(service.clone()).or_default().add(took, tokens, self.recorded);
    }

    /// Returns the mean duration of the runs of a service, or 3 s if it is unknown.
    pub fn duration(&self, service: &ServiceName) -> Millis {
        self.run(service).duration
    }

    /// Returns the mean number of tokens of the runs of a service, or 4,000 if it is unknown.
    pub fn tokens(&self, service: &ServiceName) -> u64 {
        self.run(service).tokens
    }

    /// Returns a mean run of a service.
    pub fn run(&self, service: &ServiceName) -> Run {
        self.means.get(service).map_or_else(Run::default, |mean| mean.run())
    }

    fn drop_oldest(&mut self) {
        let oldest = self.means.iter().min_by_key(|(_, mean)| mean.newest);
        if let Some(service) = oldest.map(|(service, _)| service.clone()) {
            self.means.remove(&service);
        }
    }
}
