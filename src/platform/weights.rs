//! Adapter of the weight store.

use std::net::SocketAddr;

use redwingfold_core::{Millis, VersionName};
use redwingfold_http::{CallTimeout, Client, Method};

use crate::clock::span;

const TIMEOUT: Millis = Millis(5_000);
const MAX_BYTES: usize = 64 * 1024;
const DEFAULT_RETRY_AFTER: u64 = 5;

/// What the weight store said.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Asked {
    Granted,
    Later(Millis),
}

/// Asks to load a version's weights now.
pub(crate) async fn ask_to_load(http: &Client, addr: SocketAddr, version: &VersionName) -> Asked {
    let target = format!("/v1/loads/{version}");
    match http
        .call(Method::Post, addr, &target, None, CallTimeout::Total(span(TIMEOUT)), MAX_BYTES)
        .await
    {
        Ok(answer) if answer.is_success() => Asked::Granted,
        Ok(answer) => {
            Asked::Later(Millis(answer.retry_after.unwrap_or(DEFAULT_RETRY_AFTER) * 1000))
        }
        Err(_) => Asked::Later(Millis(DEFAULT_RETRY_AFTER * 1000)),
    }
}
