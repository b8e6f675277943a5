//! Answers to callers, and those that the gateway makes itself.

use std::io;

use bytes::Bytes;
use http::header::{
    CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, RETRY_AFTER,
    TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use redwingfold_core::{ErrorKind, Millis, RunState};

use crate::attempt::Begun;

/// Body of an answer; an error breaks the connection off, so that the caller sees it cut.
pub type ResponseBody = UnsyncBoxBody<Bytes, io::Error>;

/// An answer to a caller.
pub type GatewayResponse = Response<ResponseBody>;

/// A request that was given up.
#[derive(Clone, Debug)]
pub(crate) struct Failed {
    pub(crate) kind: ErrorKind,
    /// What all attempts together say of a run.
    pub(crate) run: RunState,
    /// When a repeat makes sense, where that is known better than from the kind.
    pub(crate) retry_after: Option<Millis>,
    pub(crate) why: String,
}

impl Failed {
    pub(crate) fn new(kind: ErrorKind, why: impl Into<String>) -> Self {
        Self { kind, run: kind.row().run, retry_after: None, why: why.into() }
    }
}

/// Makes a whole body.
pub(crate) fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Makes an answer of plain text.
///
/// ```
/// use redwingfold_gateway::text_response;
/// assert_eq!(text_response(http::StatusCode::OK, "ready").status(), 200);
/// ```
pub fn text_response(status: StatusCode, text: impl Into<Bytes>) -> GatewayResponse {
    let mut res = Response::new(full_body(text));
    *res.status_mut() = status;
    res.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    res
}

/// Makes the answer to a request that was given up.
///
/// A status that promises "not run" is only given when that is true: after a send whose fate is
/// not known, the answer is 502 or 504.
pub(crate) fn error_response(failed: &Failed) -> GatewayResponse {
    let row = failed.kind.row();
    let promises_not_run = matches!(row.status, 408 | 421 | 429 | 503);
    let status = match failed.run {
        RunState::NotRun => row.status,
        _ if promises_not_run => ErrorKind::BackendLost.row().status,
        _ => row.status,
    };
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let body = format!("{}: {}\n", failed.kind, failed.why);
    let mut res = text_response(status, body);
    let retry_after = failed.retry_after.or(row.retry_after);
    if let Some(after) = retry_after.filter(|_| failed.run == RunState::NotRun) {
        let seconds = format!("{}.{:03}", after.0 / 1000, after.0 % 1000);
        let value = HeaderValue::from_str(&seconds);
        res.headers_mut().insert(RETRY_AFTER, value.unwrap_or(HeaderValue::from_static("1")));
    }
    res
}

/// Asks the caller to close its connection after this answer.
pub(crate) fn close_after(res: &mut GatewayResponse) {
    res.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}

/// Makes the caller's answer from a server's: its status, headers and signature.
pub(crate) fn passed_on(begun: &Begun, body: ResponseBody) -> GatewayResponse {
    let mut res = GatewayResponse::new(body);
    *res.status_mut() = begun.head.status;
    *res.headers_mut() = end_to_end(&begun.head.headers);
    res
}

/// Leaves out headers that concern one connection only.
fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    let named = headers.get_all(CONNECTION).iter().filter_map(|v| v.to_str().ok());
    for name in named.flat_map(|text| text.split(',')) {
        kept.remove(name.trim());
    }
    for name in [
        CONNECTION,
        CONTENT_LENGTH,
        PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
    ] {
        kept.remove(name);
    }
    kept.remove("keep-alive");
    kept.remove("proxy-connection");
    kept
}

/// Boxes a body that may break.
pub(crate) fn boxed(
    body: impl http_body::Body<Data = Bytes, Error = io::Error> + Send + 'static,
) -> ResponseBody {
    body.boxed_unsync()
}
