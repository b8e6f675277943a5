//! HTTP request handling for callers: paths, deadlines, body limits and response headers.

use std::sync::{Arc, Mutex, PoisonError};

use redwingfold_core::{
    Config, CustomerName, ErrorKind, MemoryFull, MemoryOwner, Millis, RequestId, Spec, VersionName,
};
use redwingfold_http::{Peer, Request, Response};
use serde_json::json;
use xxhash_rust::xxh3::xxh3_64;

use super::auth::{Caller, parse_caller};
use super::body_memory::HeldBody;
use super::chat::{ChatRequest, ChatRun};
use super::context::{Entry, InFlightGuard};
use super::decisions::DecisionTrace;
use super::response::{RequestError, ResponseMetadata, error_response, json_response};
use super::service_call::{ServiceCall, find_service};
use super::sides::usable_links;
use crate::clock::{unix_time, with_timeout};
use crate::settings::LimitSettings;

const CHAT_PATH: &str = "/v1/chat/completions";
const LIVE_PATH: &str = "/healthz";
const MODELS_PATH: &str = "/v1/models";
const READY_PATH: &str = "/readyz";

/// Number of bytes of a body that are read at once.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// Handles a caller's request and logs its outcome.
pub(crate) async fn handle(entry: Arc<Entry>, req: Request, peer: Peer) -> Response {
    let metadata = ResponseMetadata::for_new_request();
    let probe_response = match req.url().path() {
        LIVE_PATH => Some(json_response(&json!({"live": true}))),
        READY_PATH => Some(readiness(&entry)),
        _ => None,
    };
    if let Some(mut res) = probe_response {
        metadata.add_headers(&mut res);
        return res;
    }
    let request = metadata.request;
    let started_at = entry.daemon.now();
    let trace = entry.decisions.start_trace(request, unix_time(), started_at);
    let metadata = Arc::new(Mutex::new(metadata));
    let (method, path) = (req.method().to_string(), req.url().path().to_owned());
    let result = Box::pin(route(&entry, req, &peer, &metadata, &trace)).await;
    let now = entry.daemon.now();
    let (mut res, outcome) = match result {
        Ok(res) => {
            let status = u16::from(res.status());
            (res, format!("status_{status}"))
        }
        Err(error) => {
            trace.step(
                now,
                "refused",
                format!("{} ({}): {}", error.kind, error.run_state, error.detail),
            );
            entry.daemon.telemetry.count("request.refused", 1);
            if matches!(
                error.kind,
                ErrorKind::BodyTooLarge | ErrorKind::SlowSender | ErrorKind::TooManyOpen
            ) {
                peer.skip_body();
            }
            (error_response(&error), error.kind.to_string())
        }
    };
    let metadata = metadata.lock().unwrap_or_else(PoisonError::into_inner).clone();
    metadata.add_headers(&mut res);
    let elapsed = now.since(started_at);
    let version = metadata.version.as_ref().map_or("", VersionName::as_str);
    entry.daemon.telemetry.count("request.count", 1);
    entry.daemon.telemetry.time("request.head_ms", elapsed.0);
    entry.daemon.telemetry.info(
        "request",
        &[
            ("request", &request),
            ("method", &method),
            ("path", &path),
            ("outcome", &outcome),
            ("version", &version),
            ("took_ms", &elapsed),
        ],
    );
    res
}

type SharedMetadata = Arc<Mutex<ResponseMetadata>>;

async fn route(
    entry: &Arc<Entry>,
    mut req: Request,
    peer: &Peer,
    metadata: &SharedMetadata,
    trace: &DecisionTrace,
) -> Result<Response, RequestError> {
    let in_flight = entry.admit_request()?;
    let config = entry.daemon.store.current();
    if config.offset.0 == 0 {
        return Err(ErrorKind::NoConfig.into());
    }
    let caller = parse_caller(&req, &config, &entry.settings.limits)?;
    let path = req.url().path().to_owned();
    let method = req.method().to_string();
    trace.set_request(caller.customer.as_str(), &path);
    let deadline = entry.daemon.now().after(caller.timeout);
    match (path.as_str(), method.as_str()) {
        (MODELS_PATH, "GET") => return Ok(list_models(entry, &caller)),
        (CHAT_PATH, "POST") => {}
        (MODELS_PATH | CHAT_PATH, _) => {
            let allowed_method = if path == MODELS_PATH { "GET" } else { "POST" };
            return Err(RequestError::new(
                ErrorKind::WrongMethod,
                format!("{path} takes {allowed_method}"),
            ));
        }
        _ => return route_service_call(entry, &config, caller, req, peer, metadata, trace).await,
    }
    let target = path_and_query(&req);
    let (body, memory) = read_body(entry, &caller.customer, &mut req).await?;
    let req = ChatRequest::parse(body)?;
    trace.set_request(caller.customer.as_str(), &req.model_name);
    let chat = Arc::new(ChatRun {
        entry: entry.clone(),
        caller,
        request: request_id(metadata),
        req,
        target,
        trace: trace.clone(),
        deadline,
        _memory: memory,
    });
    run_chat(&chat, peer, metadata, in_flight).await
}

async fn route_service_call(
    entry: &Arc<Entry>,
    config: &Config,
    caller: Caller,
    mut req: Request,
    peer: &Peer,
    metadata: &SharedMetadata,
    trace: &DecisionTrace,
) -> Result<Response, RequestError> {
    let path = req.url().path().to_owned();
    let (service, spec) = find_service(config, &path)
        .ok_or_else(|| RequestError::new(ErrorKind::UnknownPath, path))?;
    let deadline = entry.daemon.now().after(caller.timeout);
    let (body, memory) = read_body(entry, &caller.customer, &mut req).await?;
    let service_call = ServiceCall {
        entry: entry.clone(),
        caller,
        request: request_id(metadata),
        method: req.method().to_string(),
        target: path_and_query(&req),
        content_type: req.header("content-type").map(|v| v.as_str().to_owned()),
        body,
        trace: trace.clone(),
        deadline,
        _memory: memory,
    };
    let result = Box::pin(service_call.execute(&service, spec));
    until_deadline(entry, deadline, peer, result).await
}

async fn run_chat(
    chat: &Arc<ChatRun>,
    peer: &Peer,
    metadata: &SharedMetadata,
    in_flight: InFlightGuard,
) -> Result<Response, RequestError> {
    let result =
        until_deadline(&chat.entry, chat.deadline, peer, Box::pin(chat.execute(in_flight))).await?;
    let mut metadata = metadata.lock().unwrap_or_else(PoisonError::into_inner);
    metadata.version = Some(result.version);
    metadata.moved_from = result.moved_from;
    Ok(result.res)
}

/// Waits for a result until the deadline, or until the caller disconnects.
async fn until_deadline<T>(
    entry: &Entry,
    deadline: Millis,
    peer: &Peer,
    result: impl Future<Output = Result<T, RequestError>>,
) -> Result<T, RequestError> {
    let disconnected = async {
        peer.disconnected().await;
        entry.daemon.telemetry.count("request.caller_gone", 1);
        Err(RequestError::new(ErrorKind::DeadlineInRun, "the caller has gone"))
    };
    let left = deadline.since(entry.daemon.now());
    let result = with_timeout(left, smol::future::or(result, disconnected)).await;
    result.unwrap_or_else(|| Err(ErrorKind::DeadlineInRun.into()))
}

fn request_id(metadata: &SharedMetadata) -> RequestId {
    metadata.lock().unwrap_or_else(PoisonError::into_inner).request
}

fn path_and_query(req: &Request) -> String {
    match req.url().query() {
        Some(query) => format!("{}?{query}", req.url().path()),
        None => req.url().path().to_owned(),
    }
}

/// Receives a request's body within the configured size and time limits. The returned memory is reserved until it is
/// dropped.
async fn read_body(
    entry: &Entry,
    customer: &CustomerName,
    req: &mut Request,
) -> Result<(Vec<u8>, HeldBody), RequestError> {
    let limits = &entry.settings.limits;
    let content_length = req.len();
    if content_length.is_some_and(|len| len > limits.body_bytes) {
        return Err(too_large(limits));
    }
    let owner = MemoryOwner::Customer(xxh3_64(customer.as_str().as_bytes()) as u32);
    let memory = entry.body_memory.open(owner, entry.daemon.now());
    let memory = memory.map_err(memory_error)?;
    let received = async {
        let slow = || RequestError::new(ErrorKind::SlowSender, "the body took too long");
        let collected = collect_body(entry, req, &memory);
        with_timeout(limits.body_timeout_ms, collected).await.unwrap_or_else(|| Err(slow()))
    };
    let evicted = async {
        memory.wait_evicted().await;
        Err(RequestError::new(ErrorKind::SlowSender, "others need the memory of a slow body"))
    };
    let body = smol::future::or(evicted, received).await?;
    if content_length.is_some_and(|len| len != body.len()) {
        return Err(RequestError::new(ErrorKind::BadRequest, "body is shorter than announced"));
    }
    memory.record_whole(entry.daemon.now());
    Ok((body, memory))
}

async fn collect_body(
    entry: &Entry,
    req: &mut Request,
    memory: &HeldBody,
) -> Result<Vec<u8>, RequestError> {
    use smol::io::AsyncReadExt;
    let limits = &entry.settings.limits;
    let mut reader = req.take_body().into_reader();
    let (mut body, mut buf) = (Vec::new(), vec![0; READ_BUFFER_BYTES]);
    loop {
        let broken = |e| RequestError::new(ErrorKind::BadRequest, format!("body: {e}"));
        let len = match reader.read(&mut buf).await.map_err(broken)? {
            0 => return Ok(body),
            len if body.len() + len > limits.body_bytes => return Err(too_large(limits)),
            len => len,
        };
        let needed = body.len() + len;
        let capacity = match body.capacity() {
            enough if enough >= needed => enough,
            doubled => needed.max((2 * doubled).min(limits.body_bytes)),
        };
        let resized = memory.resize(capacity, len, entry.daemon.now());
        resized.map_err(memory_error)?;
        body.reserve_exact(capacity - body.len());
        body.extend_from_slice(&buf[..len]);
    }
}

fn memory_error(_: MemoryFull) -> RequestError {
    RequestError::new(ErrorKind::TooManyOpen, "requests take up the memory for them")
}

fn too_large(limits: &LimitSettings) -> RequestError {
    RequestError::new(ErrorKind::BodyTooLarge, format!("at most {} bytes", limits.body_bytes))
}

fn readiness(entry: &Entry) -> Response {
    let not_ready_reason = match entry {
        e if e.drain.is_draining() => Some(ErrorKind::Stopping),
        e if e.daemon.store.mark().offset.0 == 0 => Some(ErrorKind::NoConfig),
        e if usable_links(e).is_empty() => Some(ErrorKind::NoBackend),
        _ => None,
    };
    match not_ready_reason {
        Some(kind) => error_response(&kind.into()),
        None => json_response(&json!({"ready": true, "offset": entry.daemon.store.mark().offset})),
    }
}

/// Lists the names that the caller may use in `model`: versions, models and cascades.
fn list_models(entry: &Entry, caller: &Caller) -> Response {
    let config = entry.quality.effective_config(entry.daemon.store.current());
    let session = caller.session.as_ref();
    let may_run = |v: &VersionName| config.check_access(&caller.customer, session, v).is_ok();
    let mut names = Vec::new();
    for (key, spec) in config.of_kind("version") {
        if let (Spec::Version(v), Ok(version)) = (spec, key.name.parse())
            && may_run(&version)
        {
            names.push((key.name.clone(), "version"));
            names.push((v.model.to_string(), "model"));
        }
    }
    for (key, spec) in config.of_kind("cascade") {
        if let Spec::Cascade(cascade) = spec
            && cascade.models.iter().any(|m| names.iter().any(|(name, _)| name == m.as_str()))
        {
            names.push((key.name.clone(), "cascade"));
        }
    }
    names.sort();
    names.dedup();
    let data: Vec<_> = names
        .iter()
        .map(|(name, kind)| json!({"id": name, "object": "model", "owned_by": "redwingfold", "kind": kind}))
        .collect();
    json_response(&json!({"object": "list", "data": data}))
}
