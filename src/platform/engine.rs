//! Client for the backend servers: model engines and plain services.

use std::net::SocketAddr;

use redwingfold_core::{Millis, Offset, RequestId, VersionName};
use redwingfold_http::{CallError, CallTimeout, Client, Method, Request, Url};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::clock::to_duration;

const LOAD_TIMEOUT: Millis = Millis(1_000);
const MAX_RESPONSE_BYTES: usize = 256 * 1024;
const STATUS_CONFLICT: u16 = 409;
const SSE_DATA_PREFIX: &str = "data: ";

/// Load of an engine as it reports it. The report lags behind the actual load.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct EngineLoad {
    pub(crate) running: u32,
    pub(crate) waiting: u32,
    pub(crate) slots: u32,
    pub(crate) versions: Vec<VersionName>,
}

/// Fetches the load report of an engine.
pub(crate) async fn fetch_engine_load(
    http: &Client,
    addr: SocketAddr,
) -> Result<EngineLoad, String> {
    let call = http.call(
        Method::Get,
        addr,
        "/v1/load",
        None,
        CallTimeout::Total(to_duration(LOAD_TIMEOUT)),
        MAX_RESPONSE_BYTES,
    );
    match call.await {
        Ok(response) if response.is_success() => response.json().map_err(|e| e.to_string()),
        Ok(response) => Err(format!("status {}", response.status)),
        Err(e) => Err(e.to_string()),
    }
}

/// Result of sending an order to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum OrderOutcome {
    /// Refused: the engine has already received an order with a higher fencing token.
    Fenced,
    /// Accepted.
    Taken,
    /// No response, or an unexpected one. Only the engine's load report shows whether the order
    /// was accepted.
    Unknown(String),
}

#[derive(Serialize)]
struct Order<'a> {
    fencing: Offset,
    versions: &'a [VersionName],
}

/// Sends an order to an engine to have exactly these versions loaded, in place of its earlier ones.
pub(crate) async fn send_engine_order(
    http: &Client,
    addr: SocketAddr,
    fencing: Offset,
    versions: &[VersionName],
    timeout: Millis,
) -> OrderOutcome {
    let body = serde_json::to_vec(&Order { fencing, versions }).unwrap_or_default();
    let target = "/v1/orders";
    let call = http.call(
        Method::Post,
        addr,
        target,
        Some(body),
        CallTimeout::Total(to_duration(timeout)),
        MAX_RESPONSE_BYTES,
    );
    match call.await {
        Ok(response) if response.is_success() => OrderOutcome::Taken,
        Ok(response) if response.status == STATUS_CONFLICT => OrderOutcome::Fenced,
        Ok(response) => OrderOutcome::Unknown(format!("status {}", response.status)),
        Err(e) => OrderOutcome::Unknown(e.to_string()),
    }
}

/// Builds a request to an engine from the caller's body. `model` is set to the chosen version and
/// `priority` to the given priority.
pub(crate) fn engine_request(
    addr: SocketAddr,
    request: RequestId,
    version: &VersionName,
    target: &str,
    body: &[u8],
    priority: u8,
) -> Result<Request, CallError> {
    let mut value: Value = serde_json::from_slice(body)
        .map_err(|e| CallError::Unreachable(format!("body is no JSON: {e}")))?;
    value["model"] = Value::from(version.as_str());
    value["priority"] = Value::from(priority);
    let body = serde_json::to_vec(&value).unwrap_or_default();
    plain_request(addr, request, Method::Post, target, Some("application/json"), body)
}

/// Builds a request to a plain service.
pub(crate) fn plain_request(
    addr: SocketAddr,
    request: RequestId,
    method: Method,
    target: &str,
    content_type: Option<&str>,
    body: Vec<u8>,
) -> Result<Request, CallError> {
    let url = Url::parse(&format!("http://{addr}{target}"))
        .map_err(|e| CallError::Unreachable(format!("{target}: {e}")))?;
    let mut req = Request::new(method, url);
    if !body.is_empty() {
        req.set_body(body);
    }
    if let Some(content_type) = content_type {
        req.insert_header("content-type", content_type);
    }
    req.insert_header("x-request-id", request.to_string());
    Ok(req)
}

/// Returns `usage.total_tokens` of a response, if it has one. For a streamed response, `tail` is
/// its end, and the last event with a usage counts.
pub(crate) fn reported_total_tokens(stream: bool, tail: &[u8]) -> Option<u64> {
    let text = String::from_utf8_lossy(tail);
    let tokens = |json: &str| {
        let value: Value = serde_json::from_str(json).ok()?;
        value["usage"]["total_tokens"].as_u64()
    };
    if !stream {
        return tokens(&text);
    }
    text.lines().rev().filter_map(|line| line.strip_prefix(SSE_DATA_PREFIX)).find_map(tokens)
}
