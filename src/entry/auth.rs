//! Authentication of callers, and parsing of request headers.

use redwingfold_core::{Config, CustomerName, ErrorKind, Millis, SessionId};
use redwingfold_http::Request;
use sha2::{Digest, Sha256};

use super::response::RequestError;
use crate::settings::LimitSettings;

const LOWEST_PRIORITY: u8 = 9;
const DEFAULT_PRIORITY: u8 = 5;
const MAX_KEY_BYTES: usize = 256;
const DEFAULT_CLASS: &str = "default";

/// The authenticated customer and the options from a request's headers.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    pub(crate) customer: CustomerName,
    pub(crate) session: Option<SessionId>,
    pub(crate) idempotency_key: Option<String>,
    pub(crate) timeout: Millis,
    pub(crate) priority: u8,
    /// Request class; quality is measured per class.
    pub(crate) class: String,
}

/// Returns the SHA-256 of a customer's key in lowercase hex, as stored in the configuration.
pub(crate) fn key_sha256(key: &str) -> String {
    Sha256::digest(key.as_bytes()).iter().map(|b| format!("{b:02x}")).collect()
}

fn header<'a>(req: &'a Request, name: &str) -> Option<&'a str> {
    req.header(name).map(|values| values.as_str().trim())
}

/// Authenticates the caller and parses the request's headers.
///
/// The key comes from `Authorization: Bearer` or else `X-Api-Key`. A requested timeout is capped at
/// the configured maximum.
pub(crate) fn parse_caller(
    req: &Request,
    config: &Config,
    limits: &LimitSettings,
) -> Result<Caller, RequestError> {
    let bad_header = |name: &str, what: &str| {
        RequestError::new(ErrorKind::BadRequest, format!("{name}: {what}"))
    };
    let key = header(req, "authorization").and_then(|v| v.strip_prefix("Bearer "));
    let key = key.or_else(|| header(req, "x-api-key"));
    let key = key.ok_or_else(|| {
        RequestError::new(ErrorKind::BadKey, "send the customer's key as Authorization: Bearer KEY")
    })?;
    let customer = config
        .customer_of_key(&key_sha256(key.trim()))
        .ok_or_else(|| RequestError::new(ErrorKind::BadKey, "no customer has this key"))?;
    let session = match header(req, "x-session-id") {
        Some(text) => Some(
            text.parse()
                .map_err(|_| bad_header("x-session-id", "1 to 128 letters, digits, -_.:@"))?,
        ),
        None => None,
    };
    let idempotency_key = match header(req, "idempotency-key") {
        Some(key) if key.is_empty() || key.len() > MAX_KEY_BYTES => {
            return Err(bad_header("idempotency-key", "1 to 256 bytes"));
        }
        key => key.map(str::to_owned),
    };
    let timeout = match header(req, "x-request-timeout-ms").map(str::parse) {
        Some(Ok(Millis(0))) | Some(Err(_)) => {
            return Err(bad_header("x-request-timeout-ms", "a number of milliseconds above 0"));
        }
        Some(Ok(timeout)) => timeout.min(limits.max_deadline_ms),
        None => limits.default_deadline_ms,
    };
    let priority = match header(req, "x-priority").map(str::parse::<u8>) {
        Some(Ok(priority)) if priority <= LOWEST_PRIORITY => priority,
        Some(_) => return Err(bad_header("x-priority", "0 (most urgent) to 9")),
        None => DEFAULT_PRIORITY,
    };
    let class = header(req, "x-request-class").unwrap_or(DEFAULT_CLASS).to_owned();
    Ok(Caller { customer, session, idempotency_key, timeout, priority, class })
}
