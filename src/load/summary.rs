//! Summing samples up.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::driver::Sample;

/// Longest time that is told apart, in microseconds.
const MAX_RECORDED_US: u64 = 600_000_000;

/// Quantiles of a time, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Quantiles {
    /// Half are faster.
    pub p50: f64,
    /// 95 of 100 are faster.
    pub p95: f64,
    /// 99 of 100 are faster.
    pub p99: f64,
    /// The slowest.
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

/// What became of a load.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// Requests sent.
    pub requests: usize,
    /// Answers that came whole.
    pub whole: usize,
    /// Answers by HTTP status; 0 is none.
    pub statuses: BTreeMap<u16, usize>,
    /// Whole answers by version.
    pub versions: BTreeMap<String, usize>,
    /// Whole answers a second.
    pub per_second: f64,
    /// Tokens of whole answers a second.
    pub tokens_per_second: f64,
    /// Time to the first byte of whole answers, in milliseconds.
    pub first: Quantiles,
    /// Time to the end of whole answers, in milliseconds.
    pub took: Quantiles,
    /// Longest pause within each whole streamed answer, in milliseconds.
    pub longest_gap: Quantiles,
}

impl Summary {
    /// Sums samples up.
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
