//! A process's metrics in the OpenMetrics text format.

use std::collections::HashMap;
use std::fmt;
use std::io;
use std::sync::{Arc, Mutex, PoisonError};

use cadence::MetricSink;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Upper bounds of the latency histogram's buckets in milliseconds: powers of two from 1 ms to the
/// longest common deadline.
const BUCKETS_MS: [f64; 16] = [
    1.0, 2.0, 4.0, 8.0, 16.0, 32.0, 64.0, 128.0, 256.0, 512.0, 1024.0, 2048.0, 4096.0, 8192.0,
    16384.0, 32768.0,
];

/// A metric sink that collects all metrics for scraping as text.
#[derive(Clone, Default)]
pub struct MetricsPage(Arc<Mutex<Series>>);

#[derive(Default)]
struct Series {
    registry: Registry,
    counters: HashMap<String, Counter>,
    gauges: HashMap<String, Gauge>,
    times: HashMap<String, Histogram>,
}

impl fmt::Debug for MetricsPage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("MetricsPage")
    }
}

impl MetricsPage {
    /// Returns all metrics in the OpenMetrics text format.
    ///
    /// ```
    /// let page = redwingfold_telemetry::MetricsPage::default();
    /// assert!(page.text().ends_with("# EOF\n"));
    /// ```
    pub fn text(&self) -> String {
        let series = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mut text = String::new();
        match encode(&mut text, &series.registry) {
            Ok(()) => text,
            Err(fmt::Error) => String::from("# metrics cannot be written as text\n"),
        }
    }
}

impl Series {
    fn add(&mut self, name: &str, value: f64, kind: &str) {
        let Self { registry, counters, gauges, times } = self;
        match kind {
            "c" => {
                let counter = counters.entry(name.to_owned()).or_insert_with(|| {
                    let counter = Counter::default();
                    registry.register(name, "Count", counter.clone());
                    counter
                });
                counter.inc_by(value as u64);
            }
            "ms" => {
                let times = times.entry(name.to_owned()).or_insert_with(|| {
                    let times = Histogram::new(BUCKETS_MS);
                    registry.register(name, "Time in milliseconds", times.clone());
                    times
                });
                times.observe(value);
            }
            _ => {
                let gauge = gauges.entry(name.to_owned()).or_insert_with(|| {
                    let gauge = Gauge::default();
                    registry.register(name, "Present value", gauge.clone());
                    gauge
                });
                gauge.set(value as i64);
            }
        }
    }
}

impl MetricSink for MetricsPage {
    /// Records a metric in the statsd format, `name:value|kind`.
    fn emit(&self, metric: &str) -> io::Result<usize> {
        let parsed = metric.split_once(':').and_then(|(name, rest)| {
            let (value, kind) = rest.split_once('|')?;
            Some((name.replace('.', "_"), value.parse::<f64>().ok()?, kind))
        });
        let Some((name, value, kind)) = parsed else {
            return Err(io::Error::new(io::ErrorKind::InvalidInput, metric.to_owned()));
        };
        self.0.lock().unwrap_or_else(PoisonError::into_inner).add(&name, value, kind);
        Ok(metric.len())
    }
}
