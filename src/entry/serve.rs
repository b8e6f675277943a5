//! The paths that an entry serves to callers.

use std::sync::{Arc, Mutex, PoisonError};

use redwingfold_core::{Config, ErrorKind, Millis, RequestId, Spec, VersionName};
use redwingfold_http::{Peer, Request, Response};
use serde_json::json;

use super::answer::{Facts, Failed, error_answer, json_answer};
use super::auth::{Caller, caller};
use super::chat::{Chat, ChatRequest};
use super::context::{Entry, UnderWay};
use super::decisions::Trace;
use super::plain::{Plain, find_service};
use super::sides::usable;
use crate::clock::{wall, within};

const CHAT_PATH: &str = "/v1/chat/completions";
const LIVE_PATH: &str = "/healthz";
const MODELS_PATH: &str = "/v1/models";
const READY_PATH: &str = "/readyz";

/// Answers a caller's request.
pub(crate) async fn handle(entry: Arc<Entry>, req: Request, peer: Peer) -> Response {
    let facts = Facts::of_new_request();
    let probe = match req.url().path() {
        LIVE_PATH => Some(json_answer(&json!({"live": true}))),
        READY_PATH => Some(ready(&entry)),
        _ => None,
    };
    if let Some(mut res) = probe {
        facts.mark(&mut res);
        return res;
    }
    let request = facts.request;
    let begun = entry.daemon.now();
    let trace = entry.decisions.begin(request, wall(), begun);
    let facts = Arc::new(Mutex::new(facts));
    let (method, path) = (req.method().to_string(), req.url().path().to_owned());
    let answered = Box::pin(route(&entry, req, &peer, &facts, &trace)).await;
    let now = entry.daemon.now();
    let (mut res, outcome) = match answered {
        Ok(res) => {
            let status = u16::from(res.status());
            (res, format!("status_{status}"))
        }
        Err(failed) => {
            trace.step(now, "refused", format!("{} ({}): {}", failed.kind, failed.run, failed.why));
            entry.daemon.telemetry.count("request.refused", 1);
            if matches!(failed.kind, ErrorKind::BodyTooLarge | ErrorKind::SlowSender) {
                peer.skip_body();
            }
            (error_answer(&failed), failed.kind.to_string())
        }
    };
    let facts = facts.lock().unwrap_or_else(PoisonError::into_inner).clone();
    facts.mark(&mut res);
    let took = now.since(begun);
    let version = facts.version.as_ref().map_or("", VersionName::as_str);
    entry.daemon.telemetry.count("request.count", 1);
    entry.daemon.telemetry.time("request.head_ms", took.0);
    entry.daemon.telemetry.info(
        "request",
        &[
            ("request", &request),
            ("method", &method),
            ("path", &path),
            ("outcome", &outcome),
            ("version", &version),
            ("took_ms", &took),
        ],
    );
    res
}

type SharedFacts = Arc<Mutex<Facts>>;

async fn route(
    entry: &Arc<Entry>,
    mut req: Request,
    peer: &Peer,
    facts: &SharedFacts,
    trace: &Trace,
) -> Result<Response, Failed> {
    let under_way = entry.begin()?;
    let config = entry.daemon.store.current();
    if config.offset.0 == 0 {
        return Err(ErrorKind::NoConfig.into());
    }
    let caller = caller(&req, &config, &entry.settings.limits)?;
    let path = req.url().path().to_owned();
    let method = req.method().to_string();
    trace.asked(caller.customer.as_str(), &path);
    let deadline = entry.daemon.now().after(caller.deadline);
    match (path.as_str(), method.as_str()) {
        (MODELS_PATH, "GET") => return Ok(models(entry, &caller)),
        (CHAT_PATH, "POST") => {}
        (MODELS_PATH | CHAT_PATH, _) => {
            let takes = if path == MODELS_PATH { "GET" } else { "POST" };
            return Err(Failed::new(ErrorKind::WrongMethod, format!("{path} takes {takes}")));
        }
        _ => return plain_answer(entry, &config, caller, req, peer, facts, trace).await,
    }
    let target = target_of(&req);
    let req = ChatRequest::parse(read_body(entry, &mut req).await?)?;
    trace.asked(caller.customer.as_str(), &req.name);
    let chat = Arc::new(Chat {
        entry: entry.clone(),
        caller,
        request: request_of(facts),
        req,
        target,
        trace: trace.clone(),
        deadline,
    });
    chat_answer(&chat, peer, facts, under_way).await
}

async fn plain_answer(
    entry: &Arc<Entry>,
    config: &Config,
    caller: Caller,
    mut req: Request,
    peer: &Peer,
    facts: &SharedFacts,
    trace: &Trace,
) -> Result<Response, Failed> {
    let path = req.url().path().to_owned();
    let (service, spec) =
        find_service(config, &path).ok_or_else(|| Failed::new(ErrorKind::UnknownPath, path))?;
    let deadline = entry.daemon.now().after(caller.deadline);
    let plain = Plain {
        entry: entry.clone(),
        caller,
        request: request_of(facts),
        method: req.method().to_string(),
        target: target_of(&req),
        content_type: req.header("content-type").map(|v| v.as_str().to_owned()),
        body: read_body(entry, &mut req).await?,
        trace: trace.clone(),
        deadline,
    };
    let answered = Box::pin(plain.answer(&service, spec));
    until_deadline(entry, deadline, peer, answered).await
}

async fn chat_answer(
    chat: &Arc<Chat>,
    peer: &Peer,
    facts: &SharedFacts,
    under_way: UnderWay,
) -> Result<Response, Failed> {
    let answered =
        until_deadline(&chat.entry, chat.deadline, peer, Box::pin(chat.answer(under_way))).await?;
    let mut facts = facts.lock().unwrap_or_else(PoisonError::into_inner);
    facts.version = Some(answered.version);
    facts.moved_from = answered.moved_from;
    Ok(answered.res)
}

/// Waits for an answer until the deadline, or until the caller goes away.
async fn until_deadline<T>(
    entry: &Entry,
    deadline: Millis,
    peer: &Peer,
    answered: impl Future<Output = Result<T, Failed>>,
) -> Result<T, Failed> {
    let gone = async {
        peer.disconnected().await;
        entry.daemon.telemetry.count("request.caller_gone", 1);
        Err(Failed::new(ErrorKind::DeadlineInRun, "the caller has gone"))
    };
    let left = deadline.since(entry.daemon.now());
    let answered = within(left, smol::future::or(answered, gone)).await;
    answered.unwrap_or_else(|| Err(ErrorKind::DeadlineInRun.into()))
}

fn request_of(facts: &SharedFacts) -> RequestId {
    facts.lock().unwrap_or_else(PoisonError::into_inner).request
}

fn target_of(req: &Request) -> String {
    match req.url().query() {
        Some(query) => format!("{}?{query}", req.url().path()),
        None => req.url().path().to_owned(),
    }
}

/// Reads a request's body, within the limits of size and time.
async fn read_body(entry: &Entry, req: &mut Request) -> Result<Vec<u8>, Failed> {
    use smol::io::AsyncReadExt;
    let limits = &entry.settings.limits;
    let too_large = || {
        let why = format!("at most {} bytes", limits.body_bytes);
        Failed::new(ErrorKind::BodyTooLarge, why)
    };
    if req.len().is_some_and(|len| len > limits.body_bytes) {
        return Err(too_large());
    }
    let announced = req.len();
    let mut body = Vec::new();
    let reader = req.take_body().into_reader();
    let mut reader = reader.take(limits.body_bytes as u64 + 1);
    match within(limits.body_timeout_ms, reader.read_to_end(&mut body)).await {
        None => Err(Failed::new(ErrorKind::SlowSender, "the body took too long")),
        Some(Err(e)) => Err(Failed::new(ErrorKind::BadRequest, format!("body: {e}"))),
        Some(Ok(_)) if body.len() > limits.body_bytes => Err(too_large()),
        Some(Ok(n)) if announced.is_some_and(|len| len != n) => {
            Err(Failed::new(ErrorKind::BadRequest, "body is shorter than announced"))
        }
        Some(Ok(_)) => Ok(body),
    }
}

fn ready(entry: &Entry) -> Response {
    let why_not = match entry {
        e if e.drain.is_draining() => Some(ErrorKind::Stopping),
        e if e.daemon.store.mark().offset.0 == 0 => Some(ErrorKind::NoConfig),
        e if usable(e).is_empty() => Some(ErrorKind::NoBackend),
        _ => None,
    };
    match why_not {
        Some(kind) => error_answer(&kind.into()),
        None => json_answer(&json!({"ready": true, "offset": entry.daemon.store.mark().offset})),
    }
}

/// Lists what the caller may name in `model`.
fn models(entry: &Entry, caller: &Caller) -> Response {
    let config = entry.quality.overlay(entry.daemon.store.current());
    let session = caller.session.as_ref();
    let may = |v: &VersionName| config.may_run(&caller.customer, session, v).is_ok();
    let mut names = Vec::new();
    for (key, spec) in config.of_kind("version") {
        if let (Spec::Version(v), Ok(version)) = (spec, key.name.parse())
            && may(&version)
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
    json_answer(&json!({"object": "list", "data": data}))
}
