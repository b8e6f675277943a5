//! Client for the weight store.

use std::net::SocketAddr;

use redwingfold_core::{Millis, VersionName};
use redwingfold_http::{CallTimeout, Client, Method};

use crate::clock::to_duration;

const PERMISSION_TIMEOUT: Millis = Millis(5_000);
const MAX_RESPONSE_BYTES: usize = 64 * 1024;
const DEFAULT_RETRY_AFTER_S: u64 = 5;

/// The weight store's response to a request to load weights.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LoadPermission {
    Granted,
    /// Refused, or the store is unreachable: retry after this time.
    RetryAfter(Millis),
}

/// Requests permission to load a version's weights now.
pub(crate) async fn request_load_permission(
    http: &Client,
    addr: SocketAddr,
    version: &VersionName,
) -> LoadPermission {
    let target = format!("/v1/loads/{version}");
    match http
        .call(
            Method::Post,
            addr,
            &target,
            None,
            CallTimeout::Total(to_duration(PERMISSION_TIMEOUT)),
            MAX_RESPONSE_BYTES,
        )
        .await
    {
        Ok(response) if response.is_success() => LoadPermission::Granted,
        Ok(response) => LoadPermission::RetryAfter(Millis(
            response.retry_after.unwrap_or(DEFAULT_RETRY_AFTER_S) * 1000,
        )),
        Err(_) => LoadPermission::RetryAfter(Millis(DEFAULT_RETRY_AFTER_S * 1000)),
    }
}
