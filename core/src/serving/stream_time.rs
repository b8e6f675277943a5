//! Duration of streams after their first event.

use std::collections::HashMap;

use super::catalog::ServiceName;
use crate::ids::Millis;

/// Mean duration of the streams of each service per token of the maximum output.
#[derive(Clone, Debug, Default)]
pub struct StreamTimes(HashMap<ServiceName, f64>);

/// Weight of the newest stream; about the last thirty count.
const NEWEST_WEIGHT: f64 = 0.03;

impl StreamTimes {
    /// Records the time from the first event of a stream to its end, for a maximum output of `max_output` tokens.
    ///
    /// ```
    /// use redwingfold_core::{Millis, StreamTimes};
    /// let mut times = StreamTimes::default();
    /// assert_eq!(times.estimate(&"drafts".into(), 100), Millis(0));
    /// times.record(&"drafts".into(), 200, Millis(1_000));
    /// assert_eq!(times.estimate(&"drafts".into(), 100), Millis(500));
    /// ```
    pub fn record(&mut self, service: &ServiceName, max_output: u64, took: Millis) {
        if max_output == 0 {
            return;
        }
        let seen = took.0 as f64 / max_output as f64;
        let mean = self.0.entry(service.clone()).or_insert(seen);
        *mean += (seen - *mean) * NEWEST_WEIGHT;
    }

    /// Estimates the duration for a maximum output of `tokens`; zero without samples.
    pub fn estimate(&self, service: &ServiceName, tokens: u64) -> Millis {
        let per_token = self.0.get(service).copied().unwrap_or_default();
        Millis((per_token * tokens as f64) as u64)
    }
}
