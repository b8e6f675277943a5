//! Logs and metrics, passed explicitly to whatever uses them.

use std::fmt::{Display, Write};
use std::net::UdpSocket;
use std::sync::Arc;

use cadence::{BufferedUdpMetricSink, NopMetricSink, QueuingMetricSink, StatsdClient};
use cadence::{Counted, Gauged, Timed};
use spdlog::formatter::{PatternFormatter, pattern};
use spdlog::sink::{StdStream, StdStreamSink};
use spdlog::{Level, Logger};

use crate::settings::MetricsSettings;

const METRICS_PREFIX: &str = "redwingfold";

/// The process's logger and metrics.
#[derive(Clone)]
pub struct Telemetry {
    logger: Arc<Logger>,
    metrics: Arc<StatsdClient>,
}

impl std::fmt::Debug for Telemetry {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Telemetry")
    }
}

impl Telemetry {
    /// Logs to standard error, and sends metrics where the settings say.
    ///
    /// # Errors
    ///
    /// If no socket can be opened for metrics.
    pub fn new(settings: &MetricsSettings) -> eyre::Result<Self> {
        let line =
            pattern!("time={date}T{time}.{millisecond}{tz_offset} level={level} {payload}{eol}");
        let sink = StdStreamSink::builder()
            .std_stream(StdStream::Stderr)
            .formatter(PatternFormatter::new(line))
            .build_arc()?;
        let mut logger = Logger::builder();
        let logger = logger.sink(sink).flush_level_filter(spdlog::LevelFilter::All).build()?;
        let metrics = match settings.statsd {
            Some(addr) => {
                let socket = UdpSocket::bind("0.0.0.0:0")?;
                socket.set_nonblocking(true)?;
                let sink = QueuingMetricSink::from(BufferedUdpMetricSink::from(addr, socket)?);
                StatsdClient::from_sink(METRICS_PREFIX, sink)
            }
            None => StatsdClient::from_sink(METRICS_PREFIX, NopMetricSink),
        };
        Ok(Self { logger: Arc::new(logger), metrics: Arc::new(metrics) })
    }

    /// Logs and counts nothing, for tools whose output is their answer.
    ///
    /// # Errors
    ///
    /// If no logger can be made.
    pub(crate) fn quiet() -> eyre::Result<Self> {
        let logger = Logger::builder().level_filter(spdlog::LevelFilter::Off).build()?;
        let metrics = StatsdClient::from_sink(METRICS_PREFIX, NopMetricSink);
        Ok(Self { logger: Arc::new(logger), metrics: Arc::new(metrics) })
    }

    /// Logs an event as one line of key=value pairs.
    pub fn info(&self, event: &str, pairs: &[(&str, &dyn Display)]) {
        self.log(Level::Info, event, pairs);
    }

    /// Logs an event that an operator should look at.
    pub fn warn(&self, event: &str, pairs: &[(&str, &dyn Display)]) {
        self.log(Level::Warn, event, pairs);
    }

    fn log(&self, level: Level, event: &str, pairs: &[(&str, &dyn Display)]) {
        let mut line = format!("event={event}");
        for (key, value) in pairs {
            let _ = write!(line, " {key}={}", quoted(&value.to_string()));
        }
        spdlog::log!(logger: self.logger, level, "{}", line);
    }

    /// Adds to a counter.
    pub fn count(&self, name: &str, by: i64) {
        self.metrics.count(name, by).ok();
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        self.metrics.gauge(name, value).ok();
    }

    /// Records a time in milliseconds.
    pub fn time(&self, name: &str, millis: u64) {
        self.metrics.time(name, millis).ok();
    }
}

/// Quotes a value that would not be read back as one word.
fn quoted(text: &str) -> String {
    let plain = |c: char| !c.is_whitespace() && !c.is_control() && c != '"' && c != '=';
    if !text.is_empty() && text.chars().all(plain) { text.to_owned() } else { format!("{text:?}") }
}
