//! Client for the log service.

use std::fmt;
use std::net::SocketAddr;

use redwingfold_core::{Millis, Offset};
use redwingfold_http::{CallError, CallTimeout, Client, Method};
use serde::Deserialize;

use crate::clock::to_duration;
use crate::settings::LogSettings;

/// Names of the streams.
pub(crate) mod stream {
    /// Batches of billing records.
    pub(crate) const BILLS: &str = "bills";
    /// Changes to the configuration.
    pub(crate) const CONFIG: &str = "config";
    /// Snapshots of the configuration.
    pub(crate) const SNAPSHOTS: &str = "config-snapshots";
    /// Batches of rating totals.
    pub(crate) const RATINGS: &str = "ratings";
    /// Prefix of the streams that assign fencing tokens for orders, one stream per engine host.
    pub(crate) const FENCES_PREFIX: &str = "fences-";
    /// Prefix of the streams that record loads of weights, one stream per version.
    pub(crate) const LOADS_PREFIX: &str = "loads-";
    /// Prefix of the streams of claims, one stream per partition.
    pub(crate) const CLAIMS_PREFIX: &str = "claims-";
}

const MAX_PAGE_BYTES: usize = 32 * 1024 * 1024;

/// Error of a call to the log service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum LogError {
    /// The service is unreachable, unavailable or over its rate limit. The call had no effect.
    Refused { reason: String, retry_after: Millis },
    /// No response, or an unexpected one. An append may have taken effect, or may still do so.
    Unknown(String),
}

impl fmt::Display for LogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused { reason, .. } => write!(f, "the log service refuses: {reason}"),
            Self::Unknown(reason) => {
                write!(f, "no clear answer from the log service: {reason}")
            }
        }
    }
}

/// Consecutive records of a stream.
#[derive(Clone, Debug)]
pub(crate) struct LogPage {
    /// Oldest offset that the service retains.
    pub(crate) first: Offset,
    /// Offset of the next append at the time of this read.
    pub(crate) next: Offset,
    pub(crate) records: Vec<(Offset, Vec<u8>)>,
}

#[derive(Deserialize)]
struct AppendResponse {
    offset: Offset,
}

#[derive(Deserialize)]
struct PageResponse {
    first: Offset,
    next: Offset,
    records: Vec<RecordResponse>,
}

#[derive(Deserialize)]
struct RecordResponse {
    offset: Offset,
    data: String,
}

impl From<PageResponse> for LogPage {
    fn from(page: PageResponse) -> Self {
        let records = page.records.into_iter().map(|r| (r.offset, r.data.into_bytes()));
        Self { first: page.first, next: page.next, records: records.collect() }
    }
}

/// A client of the log service.
#[derive(Clone, Debug)]
pub(crate) struct LogClient {
    addr: SocketAddr,
    timeout: Millis,
    http: Client,
}

const DEFAULT_RETRY_AFTER: Millis = Millis(1_000);
const STATUS_TOO_MANY: u16 = 429;
const STATUS_UNAVAILABLE: u16 = 503;

impl LogClient {
    pub(crate) fn new(settings: &LogSettings) -> Self {
        Self { addr: settings.address, timeout: settings.timeout_ms, http: Client::default() }
    }

    /// Appends a record, without retries. After [`LogError::Unknown`], the append may have taken
    /// effect: unless a duplicate of the record has no effect, the caller must read the stream
    /// before it retries.
    pub(crate) async fn append(&self, stream: &str, record: Vec<u8>) -> Result<Offset, LogError> {
        let target = format!("/streams/{stream}/append");
        let timeout = CallTimeout::Total(to_duration(self.timeout));
        let response = self.call(Method::Post, &target, Some(record), timeout).await?;
        response
            .json::<AppendResponse>()
            .map(|a| a.offset)
            .map_err(|e| LogError::Unknown(e.to_string()))
    }

    /// Reads up to `max` records, starting at an offset. Waits up to `wait` for the first record.
    pub(crate) async fn read(
        &self,
        stream: &str,
        from: Offset,
        max: usize,
        wait: Millis,
    ) -> Result<LogPage, LogError> {
        let target = format!("/streams/{stream}/records?from={from}&max={max}&wait_ms={wait}");
        // An idle timeout, not a total one: over a slow link, a large page may take longer than any
        // total timeout. The same page would then be requested over and over, and the reader would
        // never advance.
        let timeout = CallTimeout::Idle(to_duration(self.timeout.after(wait)));
        let response = self.call(Method::Get, &target, None, timeout).await?;
        let page = response.json::<PageResponse>();
        page.map(LogPage::from).map_err(|e| LogError::Unknown(e.to_string()))
    }

    async fn call(
        &self,
        method: Method,
        target: &str,
        body: Option<Vec<u8>>,
        timeout: CallTimeout,
    ) -> Result<redwingfold_http::BufferedResponse, LogError> {
        let call = self.http.call(method, self.addr, target, body, timeout, MAX_PAGE_BYTES);
        let refused = |reason: String, retry_after| Err(LogError::Refused { reason, retry_after });
        match call.await {
            Ok(response) if response.is_success() => Ok(response),
            Ok(response) if matches!(response.status, STATUS_TOO_MANY | STATUS_UNAVAILABLE) => {
                let after = response.retry_after.map_or(DEFAULT_RETRY_AFTER, |s| Millis(s * 1000));
                refused(format!("status {}", response.status), after)
            }
            Ok(response) => Err(LogError::Unknown(format!("status {}", response.status))),
            Err(CallError::Unreachable(reason)) => refused(reason, DEFAULT_RETRY_AFTER),
            Err(e) => Err(LogError::Unknown(e.to_string())),
        }
    }
}
