//! Logging and metrics, passed explicitly to the code that uses them.

mod page;

use std::fmt::{Display, Write};
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

use cadence::{BufferedUdpMetricSink, NopMetricSink, QueuingMetricSink, StatsdClient};
use cadence::{Counted, Gauged, Timed};
use spdlog::formatter::{PatternFormatter, pattern};
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, Sink, StdStream, StdStreamSink};
use spdlog::{Level, Logger, ThreadPool};

pub use page::MetricsPage;

/// Log lines queued for a slow reader of the output, about a megabyte at most.
const MAX_QUEUED_LINES: usize = 2048;

/// Longest value in a log line. Callers choose some of the values, ids for instance.
const MAX_VALUE_BYTES: usize = 512;

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
    /// Logs to standard error, and sends metrics to a statsd server if one is given.
    ///
    /// # Errors
    ///
    /// If the UDP socket for metrics can't be opened.
    pub fn new(statsd: Option<SocketAddr>) -> eyre::Result<Self> {
        let logger = logger(std_sink(StdStream::Stderr)?)?;
        let metrics = match statsd {
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

    /// Logs to standard output without blocking, and collects metrics on a page.
    ///
    /// With blocking writes, a stalled reader of the output would block the process at its next log
    /// line, and with it all requests. Lines are queued instead, and dropped while the queue is
    /// full.
    ///
    /// # Errors
    ///
    /// If the writer thread can't be started.
    ///
    /// ```
    /// use redwingfold_telemetry::{MetricsPage, Telemetry};
    /// let page = MetricsPage::default();
    /// let telemetry = Telemetry::with_page(page.clone())?;
    /// telemetry.count("request.count", 2);
    /// assert!(page.text().contains("redwingfold_request_count_total 2"));
    /// # Ok::<(), eyre::Report>(())
    /// ```
    pub fn with_page(page: MetricsPage) -> eyre::Result<Self> {
        let pool = ThreadPool::builder().capacity(MAX_QUEUED_LINES.try_into()?).build_arc()?;
        let sink = AsyncPoolSink::builder()
            .sink(std_sink(StdStream::Stdout)?)
            .thread_pool(pool)
            .overflow_policy(OverflowPolicy::DropIncoming)
            .build_arc()?;
        let metrics = StatsdClient::from_sink(METRICS_PREFIX, page);
        Ok(Self { logger: Arc::new(logger(sink)?), metrics: Arc::new(metrics) })
    }

    /// Discards all logs and metrics, for tools that print results only.
    ///
    /// # Errors
    ///
    /// If the logger can't be created.
    pub fn disabled() -> eyre::Result<Self> {
        let logger = Logger::builder().level_filter(spdlog::LevelFilter::Off).build()?;
        let metrics = StatsdClient::from_sink(METRICS_PREFIX, NopMetricSink);
        Ok(Self { logger: Arc::new(logger), metrics: Arc::new(metrics) })
    }

    /// Logs an event as one line of `key=value` pairs.
    pub fn info(&self, event: &str, pairs: &[(&str, &dyn Display)]) {
        self.log(Level::Info, event, pairs);
    }

    /// Logs an event that may need an operator's attention.
    pub fn warn(&self, event: &str, pairs: &[(&str, &dyn Display)]) {
        self.log(Level::Warn, event, pairs);
    }

    /// Logs an event for debugging; discarded unless the logger's level includes debug.
    pub fn debug(&self, event: &str, pairs: &[(&str, &dyn Display)]) {
        if self.logger.should_log(Level::Debug) {
            self.log(Level::Debug, event, pairs);
        }
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

    /// Records a duration in milliseconds.
    pub fn time(&self, name: &str, millis: u64) {
        self.metrics.time(name, millis).ok();
    }
}

fn std_sink(stream: StdStream) -> eyre::Result<Arc<StdStreamSink>> {
    let line = pattern!("time={date}T{time}.{millisecond}{tz_offset} level={level} {payload}{eol}");
    let formatter = PatternFormatter::new(line);
    Ok(StdStreamSink::builder().std_stream(stream).formatter(formatter).build_arc()?)
}

fn logger(sink: Arc<dyn Sink>) -> eyre::Result<Logger> {
    let mut logger = Logger::builder();
    Ok(logger.sink(sink).flush_level_filter(spdlog::LevelFilter::All).build()?)
}

/// Quotes a value that is empty or contains whitespace, control characters, `"` or `=`, and shortens a long one.
fn quoted(text: &str) -> String {
    if text.len() > MAX_VALUE_BYTES {
        let kept = &text[..text.floor_char_boundary(MAX_VALUE_BYTES)];
        return format!("{}...({} bytes)", quoted(kept), text.len());
    }
    let is_plain = |c: char| !c.is_whitespace() && !c.is_control() && c != '"' && c != '=';
    if !text.is_empty() && text.chars().all(is_plain) {
        text.to_owned()
    } else {
        format!("{text:?}")
    }
}
