//! From a caller's request to its flight: what is refused before any server is chosen.

use std::rc::Rc;

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use http::{HeaderMap, Request};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use redwingfold_core::{CallLimits, Catalog, Customer, ErrorKind, Millis, Route};

use crate::answer::{Failed, GatewayResponse, close_after, error_response};
use crate::clock::within;
use crate::facts::RequestMetadata;
use crate::fingerprint::fingerprint;
use crate::gateway::{Gateway, Lifecycle};
use crate::request::{Asked, Flight};

/// How long a caller is taken to wait that does not say so.
const DEFAULT_PATIENCE: Millis = Millis(10_000);

/// Part of a caller's patience, as a divisor, for which it waits for the first configuration: the
/// rest is left for a repeat elsewhere.
const KNOWLEDGE_PART: u64 = 5;

/// Longest wait for the first configuration: a process that has none for longer is cut off, and
/// its callers are better off elsewhere.
const MAX_KNOWLEDGE_WAIT: Millis = Millis(4_000);

/// Shortest time until a refused caller should come back; up to twice of it, so that callers do not
/// return together.
const COME_BACK: Millis = Millis(1_000);

/// Answers a caller's request.
pub(crate) async fn handle(gw: Rc<Gateway>, req: Request<Incoming>) -> GatewayResponse {
    let answered = Box::pin(answer(&gw, req)).await;
    let mut res = match answered {
        Ok(res) => res,
        Err(failed) => {
            let mut res = error_response(&failed);
            if matches!(failed.kind, ErrorKind::BadRequest | ErrorKind::BodyTooLarge) {
                close_after(&mut res);
            }
            res
        }
    };
    if gw.lifecycle() != Lifecycle::Serving {
        close_after(&mut res);
    }
    res
}

async fn answer(gw: &Rc<Gateway>, req: Request<Incoming>) -> Result<GatewayResponse, Failed> {
    let begun = gw.now();
    let mut id = String::new();
    let (catalog, route, customer, facts, asked) = match admit(gw, req, &mut id).await {
        Ok(admitted) => admitted,
        Err(failed) => {
            gw.telemetry.count("request.refused", 1);
            let config = gw.catalog().map_or(0, |catalog| catalog.version);
            gw.telemetry.info(
                "request_refused",
                &[
                    ("request", &id),
                    ("kind", &failed.kind),
                    ("why", &failed.why),
                    ("config", &config),
                    ("took_ms", &gw.now().since(begun)),
                ],
            );
            return Err(failed);
        }
    };
    let flight = Flight::new(gw.clone(), catalog, route, customer, facts, asked, begun);
    match Box::pin(flight.answer()).await {
        Ok(res) => Ok(res),
        Err((mut flight, failed)) => {
            let failed = Failed { run: failed.run.and(flight.run), ..failed };
            flight.outcome = format!("{} ({}): {}", failed.kind, failed.run, failed.why);
            gw.telemetry.count(&format!("request.failed.{}", failed.kind), 1);
            Err(failed)
        }
    }
}

type Admitted = (Rc<Catalog>, Rc<Route>, Option<Customer>, RequestMetadata, Asked);

/// Reads a request and looks at whether it is well-formed and allowed; `id` is set as soon as it is
/// known.
async fn admit(
    gw: &Rc<Gateway>,
    req: Request<Incoming>,
    id: &mut String,
) -> Result<Admitted, Failed> {
    let (head, body) = req.into_parts();
    let early = gw.catalog();
    let limits = early.as_ref().map_or_else(CallLimits::default, |c| c.limits);
    check_framing(&head.headers)?;
    let body = read_body(gw, &limits, body).await?;
    let facts = (gw.header_codec.decode_request)(&head.headers)
        .map_err(|why| Failed::new(ErrorKind::BadRequest, why))?;
    id.clone_from(&facts.id);
    // Taken anew after the body: a slow sender must not be answered by an old configuration.
    let catalog = known_catalog(gw, &facts).await?;
    let host = head.headers.get(HOST).and_then(|v| v.to_str().ok());
    let host = host.or(head.uri.host()).unwrap_or_default();
    let path = head.uri.path();
    let route = catalog.route(host, path).cloned().ok_or_else(|| {
        let why = format!("no route for {host}{path} in version {}", catalog.version);
        Failed::new(ErrorKind::UnknownPath, why)
    })?;
    let customer = customer(&catalog, &route, &facts)?;
    check_ending(gw, &route, &facts)?;
    let fingerprint = fingerprint(&head, host, customer.as_ref(), &body);
    let asked =
        Asked { method: head.method, uri: head.uri, headers: head.headers, body, fingerprint };
    Ok((catalog, route, customer, facts, asked))
}

/// Refuses what might still run when this process ends.
///
/// Load pattern: the entries are restarted one after the other, faster than each ends, and callers
/// reach only ones that stop. A closed listener would take the one repeat that a caller has; told
/// when to come back, it meets one that is up again.
fn check_ending(gw: &Gateway, route: &Route, facts: &RequestMetadata) -> Result<(), Failed> {
    let longest = route.timeout.unwrap_or(Millis(u64::MAX));
    let takes = facts.timeout.unwrap_or(longest).min(longest);
    if gw.lifecycle() != Lifecycle::Stopping || gw.now().after(takes) < gw.stop_deadline() {
        return Ok(());
    }
    let failed = Failed::new(ErrorKind::Stopping, "this process stops");
    Err(Failed { retry_after: Some(come_back()), ..failed })
}

/// Returns a time to come back that spreads callers.
fn come_back() -> Millis {
    COME_BACK.after(Millis(fastrand::u64(0..COME_BACK.0)))
}

/// Returns the configuration in force; waits for the first one.
///
/// Load pattern: all processes are killed at once, and their callers come back before the store has
/// answered. Refused at once, each would spend the one repeat that it has on a process that knows
/// nothing; most are served if they wait a moment.
async fn known_catalog(gw: &Gateway, facts: &RequestMetadata) -> Result<Rc<Catalog>, Failed> {
    let timeout = facts.timeout.unwrap_or(DEFAULT_PATIENCE);
    let limit = Millis(timeout.0 / KNOWLEDGE_PART).min(MAX_KNOWLEDGE_WAIT);
    within(limit, async {
        gw.wait_until_configured().await;
        gw.wait_for_marks().await;
    })
    .await;
    gw.catalog().ok_or_else(|| {
        let failed = Failed::new(ErrorKind::NoConfig, "no configuration has been read yet");
        Failed { retry_after: Some(come_back()), ..failed }
    })
}

fn customer(
    catalog: &Catalog,
    route: &Route,
    facts: &RequestMetadata,
) -> Result<Option<Customer>, Failed> {
    if route.is_public || !catalog.has_customers() {
        return Ok(None);
    }
    let found = facts.key.as_deref().and_then(|key| catalog.customer(key));
    let none = || Failed::new(ErrorKind::BadKey, "no customer holds the key");
    found.cloned().map(Some).ok_or_else(none)
}

/// Refuses requests whose end two readers could see in different places.
///
/// A request that hides in the body of another would run without its customer's key being looked
/// at. The parser below refuses most such heads; a length together with chunks it lets pass.
fn check_framing(headers: &HeaderMap) -> Result<(), Failed> {
    let bad = |why: &str| Err(Failed::new(ErrorKind::BadRequest, why));
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

async fn read_body(gw: &Gateway, limits: &CallLimits, body: Incoming) -> Result<Bytes, Failed> {
    let too_large = || {
        let why = format!("at most {} bytes", limits.body_bytes);
        Failed::new(ErrorKind::BodyTooLarge, why)
    };
    let announced = body.size_hint().lower() as usize;
    match announced {
        n if n > limits.body_bytes => return Err(too_large()),
        n if gw.held_bytes.get() + n > gw.settings.max_request_body_bytes => {
            return Err(Failed::new(ErrorKind::TooManyOpen, "request bodies fill their memory"));
        }
        0 if body.is_end_stream() => return Ok(Bytes::new()),
        _ => {}
    }
    let read = Limited::new(body, limits.body_bytes).collect();
    match within(limits.idle_timeout, read).await {
        None => Err(Failed::new(ErrorKind::SlowSender, "the body took too long")),
        Some(Ok(body)) => Ok(body.to_bytes()),
        Some(Err(e)) if e.is::<LengthLimitError>() => Err(too_large()),
        Some(Err(e)) => Err(Failed::new(ErrorKind::BadRequest, format!("body: {e}"))),
    }
}
