//! Client for the rating service.

use std::net::SocketAddr;

use redwingfold_core::{Millis, PerMille, VersionName};
use redwingfold_http::{CallTimeout, Client, Method};
use serde::{Deserialize, Serialize};

use crate::clock::to_duration;

const MAX_RESPONSE_BYTES: usize = 64 * 1024;

#[derive(Serialize)]
struct RateRequest<'a> {
    version: &'a VersionName,
    answer: &'a str,
}

#[derive(Deserialize)]
struct RateResponse {
    score: PerMille,
}

/// Requests a score for an answer. Returns `None` if the call fails or exceeds `timeout`.
pub(crate) async fn rate_answer(
    http: &Client,
    addr: SocketAddr,
    version: &VersionName,
    answer: &str,
    timeout: Millis,
) -> Option<PerMille> {
    let body = serde_json::to_vec(&RateRequest { version, answer }).ok()?;
    let call = http.call(
        Method::Post,
        addr,
        "/v1/rate",
        Some(body),
        CallTimeout::Total(to_duration(timeout)),
        MAX_RESPONSE_BYTES,
    );
    let response = call.await.ok().filter(redwingfold_http::BufferedResponse::is_success)?;
    response.json::<RateResponse>().ok().map(|a| a.score)
}
