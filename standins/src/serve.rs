//! Shared by the test doubles: the HTTP server, JSON responses and the control calls.

use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use redwingfold_http::{
    Body, Drain, Limits, Peer, Request, Response, StatusCode, refusal_response, serve,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::history::History;

/// Binds the address and serves requests with a handler until the returned task is dropped.
pub(crate) fn start<F, Fut>(
    addr: SocketAddr,
    handler: F,
) -> std::io::Result<(SocketAddr, smol::Task<()>)>
where
    F: Fn(Request, Peer) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Response> + Send + 'static,
{
    let listener = TcpListener::bind(addr)?;
    let addr = listener.local_addr()?;
    let listener = smol::net::TcpListener::try_from(listener)?;
    let limits = Limits { connections: 20_000, head_timeout: Duration::from_secs(600) };
    let task = smol::spawn(serve(listener, limits, Drain::default(), refusal_response, handler));
    Ok((addr, task))
}

pub(crate) fn json(value: &impl Serialize) -> Response {
    let mut res = Response::new(StatusCode::Ok);
    res.set_body(Body::from_json(value).unwrap_or_else(|_| Body::empty()));
    res
}

pub(crate) fn status(code: u16, message: &str) -> Response {
    let mut res =
        Response::new(StatusCode::try_from(code).unwrap_or(StatusCode::InternalServerError));
    res.set_body(format!("{{\"error\":\"{message}\"}}"));
    res
}

pub(crate) async fn body_json(req: &mut Request) -> Option<Value> {
    serde_json::from_slice(&req.body_bytes().await.ok()?).ok()
}

/// Merges the fields of a JSON object into a value; other fields stay. `None` if a field is unknown or its value is
/// invalid.
pub(crate) fn overlay<T: DeserializeOwned + Serialize>(old: &T, patch: &Value) -> Option<T> {
    let mut value = serde_json::to_value(old).ok()?;
    let fields = value.as_object_mut()?;
    for (key, new) in patch.as_object()? {
        // A key that the value does not have is not a fault of this test double.
        fields.insert(key.clone(), new.clone())?;
    }
    serde_json::from_value(value).ok()
}

/// Handles `/history`, `/forget` and `/control`, which all test doubles have; `None` for any other path.
pub(crate) async fn control<T: DeserializeOwned + Serialize>(
    req: &mut Request,
    history: &History,
    get: impl FnOnce() -> T,
    set: impl FnOnce(T),
) -> Option<Response> {
    match req.url().path() {
        "/forget" => {
            history.clear();
            Some(json(&serde_json::json!({})))
        }
        "/history" => Some(json(&history.events())),
        "/control" => {
            let patch = body_json(req).await;
            let faults = patch.and_then(|patch| overlay(&get(), &patch));
            Some(match faults {
                Some(faults) => {
                    let res = json(&faults);
                    set(faults);
                    res
                }
                None => status(400, "unknown field or bad value"),
            })
        }
        _ => None,
    }
}

pub(crate) fn query(req: &Request, name: &str) -> Option<u64> {
    req.url().query_pairs().find(|(key, _)| key == name)?.1.parse().ok()
}
