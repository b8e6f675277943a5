//! Adapter of model engines and plain services.

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

/// What an engine says of itself, some time after the fact.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct EngineLoad {
    pub(crate) running: u32,
    pub(crate) waiting: u32,
    pub(crate) slots: u32,
    pub(crate) versions: Vec<VersionName>,
}

/// Asks an engine for its load.
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

/// What an engine said to an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum OrderOutcome {
    /// It has seen a higher fencing number.
    Fenced,
    Taken,
    /// No clear answer; whether it was taken shows in the engine's report.
    Unknown(String),
}

#[derive(Serialize)]
struct Order<'a> {
    fencing: Offset,
    versions: &'a [VersionName],
}

/// Orders an engine to have these versions loaded.
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

/// Makes a request for an engine: the caller's, with the version in place of what it named.
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

/// Makes a request for a plain service.
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

/// Returns the number of tokens that an answer, or the end of a streamed one, says it has.
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
