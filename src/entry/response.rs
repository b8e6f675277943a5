//! Error responses and response headers for callers.

use redwingfold_core::{ErrorKind, Millis, RequestId, RunState, VersionName};
use redwingfold_http::{Refusal, Response, StatusCode};
use serde_json::json;

pub(crate) const REQUEST_ID: &str = "x-request-id";
pub(crate) const MODEL_VERSION: &str = "x-model-version";
pub(crate) const DECISION_ID: &str = "x-decision-id";
const RUN_STATE: &str = "x-run-state";
const SESSION_MOVED: &str = "x-session-moved";

/// Why a request failed, and whether it may have run.
#[derive(Clone, Debug)]
pub(crate) struct RequestError {
    pub(crate) kind: ErrorKind,
    pub(crate) run_state: RunState,
    pub(crate) detail: String,
    pub(crate) retry_after: Option<Millis>,
}

impl RequestError {
    pub(crate) fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        let row = kind.row();
        Self { kind, run_state: row.run, detail: detail.into(), retry_after: row.retry_after }
    }
}

impl From<ErrorKind> for RequestError {
    fn from(kind: ErrorKind) -> Self {
        Self::new(kind, "")
    }
}

/// Values for the response headers that identify a request and its version.
#[derive(Clone, Debug)]
pub(crate) struct ResponseMetadata {
    pub(crate) request: RequestId,
    pub(crate) version: Option<VersionName>,
    /// The session's previous version, if that was withdrawn.
    pub(crate) moved_from: Option<VersionName>,
}

impl ResponseMetadata {
    /// Creates the metadata of a new request, with a random request ID.
    pub(crate) fn for_new_request() -> Self {
        Self { request: RequestId(fastrand::u128(..)), version: None, moved_from: None }
    }

    /// Adds the headers to a response. The request ID is also the ID of the decision trace.
    pub(crate) fn add_headers(&self, res: &mut Response) {
        res.insert_header(REQUEST_ID, self.request.to_string());
        res.insert_header(DECISION_ID, self.request.to_string());
        if let Some(version) = &self.version {
            res.insert_header(MODEL_VERSION, version.as_str());
        }
        if let Some(old) = &self.moved_from {
            res.insert_header(SESSION_MOVED, format!("withdrawn {old}"));
        }
    }
}

/// Returns the JSON body of an error, in the format that chat clients expect.
pub(crate) fn error_body(error: &RequestError) -> serde_json::Value {
    json!({
        "error": {
            "code": error.kind.row().code,
            "message": match error.detail.as_str() {
                "" => error.kind.to_string(),
                detail => format!("{}: {detail}", error.kind),
            },
            "type": if error.kind.row().status < 500 { "invalid_request_error" } else { "server_error" },
            "run_state": error.run_state,
            "retry_after_ms": error.retry_after,
        }
    })
}

/// Creates the response to a request that failed.
pub(crate) fn error_response(error: &RequestError) -> Response {
    let status = error.kind.row().status;
    let mut res =
        Response::new(StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError));
    res.insert_header("content-type", "application/json");
    res.insert_header(RUN_STATE, error.run_state.to_string());
    if let Some(after) = error.retry_after {
        res.insert_header("retry-after", after.0.div_ceil(1000).to_string());
    }
    res.set_body(error_body(error).to_string());
    res
}

/// Creates the response to a request or connection that was refused before the head was read.
pub(crate) fn refusal_response(refusal: Refusal) -> Response {
    let kind = match refusal {
        Refusal::BadRequest => ErrorKind::BadRequest,
        Refusal::HeadTooLarge => ErrorKind::HeadTooLarge,
        Refusal::SlowSender => ErrorKind::SlowSender,
        Refusal::TooManyOpen => ErrorKind::TooManyOpen,
    };
    let mut res = error_response(&RequestError::new(kind, "the request's head"));
    ResponseMetadata::for_new_request().add_headers(&mut res);
    res
}

pub(crate) fn json_response(body: &serde_json::Value) -> Response {
    let mut res = Response::new(StatusCode::Ok);
    res.insert_header("content-type", "application/json");
    res.set_body(body.to_string());
    res
}
