//! Aggregates the results of a load.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::driver::Sample;

/// Longest time that the histogram records, in microseconds. Longer times count as this one.
const MAX_RECORDED_US: u64 = 600_000_000;

/// Quantiles of a time, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Quantiles {
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Maximum.
    pub max: f64,
}

impl Quantiles {
    /// Returns the quantiles of times.
    pub fn of(times: impl Iterator<Item = Duration>) -> Self {
        let mut histogram =
            Histogram::<u64>::new_with_bounds(1, MAX_RECORDED_US, 3).expect("valid bounds");
        for time in times {
            histogram.saturating_record((time.as_micros() as u64).max(1));
        }
        let ms = |q: f64| histogram.value_at_quantile(q) as f64 / 1000.0;
        Self { p50: ms(0.5), p95: ms(0.95), p99: ms(0.99), max: histogram.max() as f64 / 1000.0 }
    }
}

/// Aggregated results of a load.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// Number of requests sent.
    pub requests: usize,
    /// Number of complete responses.
    pub whole: usize,
    /// Number of responses by HTTP status. 0 stands for requests without a response.
    pub statuses: BTreeMap<u16, usize>,
    /// Number of complete responses by model version.
    pub versions: BTreeMap<String, usize>,
    /// Complete responses per second.
    pub per_second: f64,
    /// Tokens of complete responses per second.
    pub tokens_per_second: f64,
    /// Time to the first byte of complete responses, in milliseconds.
    pub first: Quantiles,
    /// Time to the end of complete responses, in milliseconds.
    pub took: Quantiles,
    /// Longest pause within each complete streamed response, in milliseconds.
    pub longest_gap: Quantiles,
}

impl Summary {
    /// Aggregates samples.
    pub fn of(samples: &[Sample]) -> Self {
        let complete: Vec<_> = samples.iter().filter(|s| s.is_complete).collect();
        let ends = samples.iter().map(|s| s.sent_at + s.total_time);
        let seconds = ends.max().unwrap_or_default().as_secs_f64().max(0.001);
        let mut statuses = BTreeMap::new();
        let mut versions = BTreeMap::new();
        for sample in samples {
            *statuses.entry(sample.status).or_default() += 1;
        }
        for sample in &complete {
            *versions.entry(sample.version.clone()).or_default() += 1;
        }
        let tokens: u64 = complete.iter().map(|s| s.tokens).sum();
        Self {
            requests: samples.len(),
            whole: complete.len(),
            statuses,
            versions,
            per_second: complete.len() as f64 / seconds,
            tokens_per_second: tokens as f64 / seconds,
            first: Quantiles::of(complete.iter().map(|s| s.time_to_first_byte)),
            took: Quantiles::of(complete.iter().map(|s| s.total_time)),
            longest_gap: Quantiles::of(complete.iter().map(|s| s.longest_gap)),
        }
    }
}
