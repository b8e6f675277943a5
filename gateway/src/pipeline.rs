//! Admission of requests, before a server is chosen, and their execution.

use std::rc::Rc;

use http::header::{CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use http::request::Parts;
use http::{HeaderMap, Request};
use hyper::body::Incoming;
use redwingfold_core::{CallLimits, Catalog, Customer, ErrorKind, MemoryOwner, Millis, Route};

use crate::caller_connection::CallerConnection;
use crate::clock::within;
use crate::fingerprint::{customer_hash, fingerprint};
use crate::gateway::{Gateway, Lifecycle};
use crate::metadata::RequestMetadata;
use crate::request::{InFlightRequest, RequestParts};
use crate::request_body::{discard_received, full_error, receive_body};
use crate::response::{
    GatewayResponse, RequestError, error_response, random_retry_after, set_connection_close,
};

/// Assumed timeout of a caller whose request has none.
const DEFAULT_TIMEOUT: Millis = Millis(10_000);

/// Divisor of the caller's timeout that bounds its wait for the first configuration. The rest is left for a retry at
/// another gateway.
const CONFIG_WAIT_DIVISOR: u64 = 5;

/// Maximum wait for the first configuration. A process without one for longer is cut off from the store, and its callers
/// should retry elsewhere.
const MAX_CONFIG_WAIT: Millis = Millis(4_000);

/// Processes a caller's request and returns the response, including errors.
pub(crate) async fn handle_request(
    gw: Rc<Gateway>,
    connection: &Rc<CallerConnection>,
    req: Request<Incoming>,
) -> GatewayResponse {
    let (head, mut body) = req.into_parts();
    let answered = Box::pin(process_request(&gw, connection, head, &mut body)).await;
    let mut res = match answered {
        Ok(res) => res,
        Err(failed) => {
            let mut res = error_response(&failed);
            let is_body_read = discard_received(&mut body).await;
            if !is_body_read {
                connection.record_unread_body();
            }
            if failed.kind == ErrorKind::BadRequest || !is_body_read {
                set_connection_close(&mut res);
            }
            res
        }
    };
    if gw.lifecycle() != Lifecycle::Serving {
        set_connection_close(&mut res);
    }
    res
}

async fn process_request(
    gw: &Rc<Gateway>,
    connection: &Rc<CallerConnection>,
    head: Parts,
    body: &mut Incoming,
) -> Result<GatewayResponse, RequestError> {
    let received_at = gw.now();
    let mut id = String::new();
    let admitted = admit(gw, connection, head, body, &mut id).await;
    let (catalog, route, customer, metadata, parts) =
        admitted.inspect_err(|failed| record_refusal(gw, &id, failed, received_at))?;
    let request =
        InFlightRequest::new(gw.clone(), catalog, route, customer, metadata, parts, received_at);
    match Box::pin(request.execute()).await {
        Ok(res) => Ok(res),
        Err((mut request, failed)) => {
            let failed =
                RequestError { run_state: failed.run_state.and(request.run_state), ..failed };
            request.outcome = format!("{} ({}): {}", failed.kind, failed.run_state, failed.why);
            gw.telemetry.count(&format!("request.failed.{}", failed.kind), 1);
            Err(failed)
        }
    }
}

fn record_refusal(gw: &Gateway, id: &str, failed: &RequestError, received_at: Millis) {
    gw.telemetry.count("request.refused", 1);
    gw.telemetry.count(&format!("request.refused.{}", failed.kind), 1);
    let now = gw.now();
    if gw.refusal_log_rate.take_line("request_refused", now) {
        let config = gw.catalog().map_or(0, |catalog| catalog.version);
        gw.telemetry.info(
            "request_refused",
            &[
                ("request", &id),
                ("kind", &failed.kind),
                ("why", &failed.why),
                ("config", &config),
                ("took_ms", &now.since(received_at)),
            ],
        );
    }
}

type Admitted = (Rc<Catalog>, Rc<Route>, Option<Customer>, RequestMetadata, RequestParts);

/// Reads a request and checks that it is valid and allowed, as far as possible before its body is received. Sets `id` as
/// soon as the request's id is decoded, so that rejections are logged with it.
async fn admit(
    gw: &Rc<Gateway>,
    connection: &Rc<CallerConnection>,
    head: Parts,
    body: &mut Incoming,
    id: &mut String,
) -> Result<Admitted, RequestError> {
    check_framing(&head.headers)?;
    let metadata = (gw.header_codec.decode_request)(&head.headers)
        .map_err(|why| RequestError::new(ErrorKind::BadRequest, why))?;
    id.clone_from(&metadata.id);
    let (limits, owner) = match gw.catalog() {
        None => (CallLimits::default(), MemoryOwner::Unidentified),
        Some(catalog) => {
            let (route, customer) = authorize(&catalog, &head, &metadata)?;
            check_shutdown(gw, &route, &metadata)?;
            (catalog.limits, memory_owner(&catalog, customer.as_ref()))
        }
    };
    let memory = gw.memory.open(owner, head_bytes(&head), connection).map_err(full_error)?;
    let body = receive_body(body, &limits, &memory).await?;
    // Fetched again after the body, so that a slowly sent request is not processed with an outdated configuration.
    let catalog = wait_for_catalog(gw, &metadata).await?;
    let (route, customer) = authorize(&catalog, &head, &metadata)?;
    check_shutdown(gw, &route, &metadata)?;
    memory.set_owner(memory_owner(&catalog, customer.as_ref())).map_err(full_error)?;
    let fingerprint = fingerprint(&head, host(&head), customer.as_ref(), &body);
    let parts = RequestParts {
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
        memory: Rc::new(memory),
        fingerprint,
    };
    Ok((catalog, route, customer, metadata, parts))
}

/// Returns the size of a head.
fn head_bytes(head: &Parts) -> usize {
    let headers = head.headers.iter().map(|(name, value)| name.as_str().len() + value.len());
    headers.sum::<usize>() + head.uri.path().len() + head.uri.query().map_or(0, str::len)
}

/// Returns the host that a request is for; empty if it names none.
fn host(head: &Parts) -> &str {
    let host = head.headers.get(HOST).and_then(|v| v.to_str().ok());
    host.or(head.uri.host()).unwrap_or_default()
}

/// Returns the route and the customer of a request.
fn authorize(
    catalog: &Catalog,
    head: &Parts,
    metadata: &RequestMetadata,
) -> Result<(Rc<Route>, Option<Customer>), RequestError> {
    let (host, path) = (host(head), head.uri.path());
    let route = catalog.route(host, path).cloned().ok_or_else(|| {
        let why = format!("no route for {host}{path} in version {}", catalog.version);
        RequestError::new(ErrorKind::UnknownPath, why)
    })?;
    let customer = find_customer(catalog, &route, metadata)?;
    Ok((route, customer))
}

/// Rejects requests that might still run when this process exits.
///
/// During a rolling restart that is faster than the shutdown of each gateway, callers may reach only gateways that are
/// shutting down. A closed listener would cost a caller its only retry; with `Retry-After`, it reaches a gateway that has
/// restarted.
fn check_shutdown(
    gw: &Gateway,
    route: &Route,
    metadata: &RequestMetadata,
) -> Result<(), RequestError> {
    let longest = route.timeout.unwrap_or(Millis(u64::MAX));
    let max_duration = metadata.timeout.unwrap_or(longest).min(longest);
    if gw.lifecycle() != Lifecycle::Stopping || gw.now().after(max_duration) < gw.stop_deadline() {
        return Ok(());
    }
    let failed = RequestError::new(ErrorKind::Stopping, "this process stops");
    Err(RequestError { retry_after: Some(random_retry_after()), ..failed })
}

/// Returns the current configuration, waiting for the first one if necessary.
///
/// When all processes are killed at once, callers retry before the restarted ones have read the store. Rejected
/// immediately, each caller would spend its only retry on a process without a configuration; after a short wait, most are
/// served.
async fn wait_for_catalog(
    gw: &Gateway,
    metadata: &RequestMetadata,
) -> Result<Rc<Catalog>, RequestError> {
    let timeout = metadata.timeout.unwrap_or(DEFAULT_TIMEOUT);
    let limit = Millis(timeout.0 / CONFIG_WAIT_DIVISOR).min(MAX_CONFIG_WAIT);
    within(limit, async {
        gw.wait_until_configured().await;
        gw.wait_for_marks().await;
    })
    .await;
    gw.catalog().ok_or_else(|| {
        let failed = RequestError::new(ErrorKind::NoConfig, "no configuration has been read yet");
        RequestError { retry_after: Some(random_retry_after()), ..failed }
    })
}

fn find_customer(
    catalog: &Catalog,
    route: &Route,
    metadata: &RequestMetadata,
) -> Result<Option<Customer>, RequestError> {
    if route.is_public || !catalog.has_customers() {
        return Ok(None);
    }
    let found = metadata.key.as_deref().and_then(|key| catalog.customer(key));
    let none = || RequestError::new(ErrorKind::BadKey, "no customer holds the key");
    found.cloned().map(Some).ok_or_else(none)
}

/// Returns who the memory of a request is counted for. Without customers in the configuration, all callers are one.
fn memory_owner(catalog: &Catalog, customer: Option<&Customer>) -> MemoryOwner {
    match customer {
        None if catalog.has_customers() => MemoryOwner::Unidentified,
        customer => MemoryOwner::Customer(customer_hash(customer)),
    }
}

/// Rejects requests with ambiguous framing, which allow request smuggling.
///
/// A request smuggled in the body of another one would run without a check of its API key. The HTTP parser rejects most
/// such heads, but accepts `Content-Length` together with `Transfer-Encoding`.
fn check_framing(headers: &HeaderMap) -> Result<(), RequestError> {
    let bad = |why: &str| Err(RequestError::new(ErrorKind::BadRequest, why));
    let lengths = headers.get_all(CONTENT_LENGTH).iter().count();
    let is_chunked = headers.contains_key(TRANSFER_ENCODING);
    let hosts = headers.get_all(HOST).iter().count();
    match (lengths, is_chunked, hosts) {
        (2.., _, _) => bad("more than one length"),
        (1, true, _) => bad("a length together with chunks"),
        (_, _, 2..) => bad("more than one host"),
        _ => Ok(()),
    }
}
