//! Chat requests: which version answers, at which engine, and again if need be.

use std::sync::Arc;

use redwingfold_core::{
    Bill, Config, ErrorKind, Millis, Offset, PerMille, RequestId, RunState, VersionName, plan,
};
use redwingfold_http::{BodySender, Response, StatusCode, channel_body};
use serde_json::Value;
use smol::Timer;

use super::answer::{Failed, error_body};
use super::attempt::{Answering, AttemptFailed, Piece, begin};
use super::auth::Caller;
use super::context::{Entry, UnderWay};
use super::decisions::Trace;
use super::hints::prefix_of;
use super::pick::{Place, Tried, pick_backend};
use super::quality::{is_sampled, judge};
use super::sessions::version_of;
use super::sides::SideLink;
use crate::billing::Held;
use crate::clock::span;
use crate::wire::{CallHead, Load, RunCall, RunEnd, RunHead, Usage};

/// Bytes of a streamed answer that are kept for rating it.
const RATED_BYTES: usize = 64 * 1024;

/// Tokens that are expected of a request that names no maximum.
const DEFAULT_TOKENS: u64 = 256;

/// Characters of a prompt that make one token, roughly.
const CHARS_PER_TOKEN: u64 = 4;

/// How often a request is planned anew because a side knew a newer configuration.
const MAX_REPLANS: u32 = 3;

/// Pause between looks for a connection that takes the place of a lost one.
const RECONNECT_POLL: Millis = Millis(10);

/// Longest wait for the records that a side had and this entry had not.
const CATCH_UP: Millis = Millis(1_000);

/// A chat request as far as the router reads it.
#[derive(Clone, Debug)]
pub(crate) struct ChatRequest {
    pub(crate) name: String,
    pub(crate) stream: bool,
    prompt: String,
    work: u64,
    body: Vec<u8>,
}

impl ChatRequest {
    /// Reads a request's body.
    pub(crate) fn parse(body: Vec<u8>) -> Result<Self, Failed> {
        let bad = |what: String| Failed::new(ErrorKind::BadRequest, what);
        let value: Value = serde_json::from_slice(&body).map_err(|e| bad(format!("body: {e}")))?;
        let name =
            value["model"].as_str().ok_or_else(|| bad("model: a string is needed".into()))?;
        let messages = match value["messages"].as_array() {
            Some(messages) if !messages.is_empty() => messages,
            _ => return Err(bad("messages: a list with at least one message is needed".into())),
        };
        let stream = match &value["stream"] {
            Value::Null => false,
            Value::Bool(stream) => *stream,
            _ => return Err(bad("stream: true or false is needed".into())),
        };
        let contents = messages.iter().filter_map(|m| m["content"].as_str());
        let prompt = contents.collect::<Vec<_>>().join("\n");
        let answer = value["max_tokens"].as_u64().unwrap_or(DEFAULT_TOKENS);
        let work = prompt.len() as u64 / CHARS_PER_TOKEN + answer;
        Ok(Self { name: name.to_owned(), stream, prompt, work, body })
    }
}

/// A chat request on its way.
pub(crate) struct Chat {
    pub(crate) entry: Arc<Entry>,
    pub(crate) caller: Caller,
    pub(crate) request: RequestId,
    pub(crate) req: ChatRequest,
    pub(crate) target: String,
    pub(crate) trace: Trace,
    pub(crate) deadline: Millis,
}

/// The answer, and what its head tells.
pub(crate) struct Answered {
    pub(crate) res: Response,
    pub(crate) version: VersionName,
    pub(crate) moved_from: Option<VersionName>,
}

/// The versions of a request, in order.
struct Chosen {
    steps: Vec<VersionName>,
    target: Option<PerMille>,
    moved_from: Option<VersionName>,
    offset: Offset,
}

/// What was spent on a request so far, and where it has been.
struct Spent {
    attempts: u32,
    usage: Usage,
    tried: Tried,
    /// What all failed attempts together say: the last may not have run, and an earlier one have.
    run: RunState,
}

impl Chat {
    fn config(&self) -> Arc<Config> {
        self.entry.quality.overlay(self.entry.daemon.store.current())
    }

    fn step(&self, what: &'static str, detail: impl Into<String>) {
        self.trace.step(self.entry.daemon.now(), what, detail);
    }

    async fn choose(&self) -> Result<Chosen, Failed> {
        let config = self.config();
        let session = self.caller.session.as_ref();
        let who = session.map_or_else(|| self.request.to_string(), ToString::to_string);
        let quality =
            |v: &VersionName, spec: &_| self.entry.quality.lower_bound(v, spec, &self.caller.class);
        let planned = plan(&config, &self.caller.customer, session, &self.req.name, &who, quality);
        let planned = planned.map_err(|denied| Failed::new(denied.kind, denied.why));
        let is_version = self.req.name.parse().is_ok_and(|v| config.version(&v).is_some());
        let offset = config.offset;
        match session {
            Some(session) if !is_version => {
                let proposed = planned.map(|mut plan| plan.steps.remove(0));
                let (entry, name) = (&self.entry, &self.req.name);
                let kept =
                    version_of(entry, &config, &self.caller, session, name, proposed).await?;
                self.step("session", format!("keeps {}", kept.version));
                Ok(Chosen {
                    steps: vec![kept.version],
                    target: None,
                    moved_from: kept.moved_from,
                    offset,
                })
            }
            _ => {
                let plan = planned?;
                Ok(Chosen { steps: plan.steps, target: plan.target, moved_from: None, offset })
            }
        }
    }

    /// Answers the request.
    pub(crate) async fn answer(self: &Arc<Self>, under_way: UnderWay) -> Result<Answered, Failed> {
        if !self.entry.bills.has_room() {
            return Err(ErrorKind::BacklogFull.into());
        }
        let mut spent = Spent {
            attempts: 0,
            usage: Usage::default(),
            tried: Tried::new(),
            run: RunState::NotRun,
        };
        let mut replans = 0;
        loop {
            let chosen = Box::pin(self.choose()).await?;
            let names: Vec<_> = chosen.steps.iter().map(ToString::to_string).collect();
            self.step("versions", format!("{} at offset {}", names.join(", "), chosen.offset));
            match Box::pin(self.run_steps(&chosen, &mut spent)).await {
                Ok((version, begun)) => {
                    let res = self.deliver(&version, begun, under_way);
                    return Ok(Answered { res, version, moved_from: chosen.moved_from });
                }
                Err(e) if is_stale(&e, chosen.offset) && replans < MAX_REPLANS => {
                    replans += 1;
                    let offset = e.side_offset;
                    self.step("stale", format!("the side is at offset {offset}"));
                    self.entry.daemon.store.reaches(offset, CATCH_UP).await;
                }
                Err(e) => return Err(Failed { run: spent.run.and(e.failed.run), ..e.failed }),
            }
        }
    }

    /// Tries the steps of a plan: each answer but the last is judged before it is given.
    async fn run_steps(
        self: &Arc<Self>,
        chosen: &Chosen,
        spent: &mut Spent,
    ) -> Result<(VersionName, Begun), AttemptFailed> {
        let judged = chosen
            .target
            .filter(|_| !self.req.stream && self.entry.settings.rating.address.is_some());
        let mut failure = None;
        for (i, version) in chosen.steps.iter().enumerate() {
            let is_last = i + 1 == chosen.steps.len();
            let begun = match self.run_version(version, chosen.offset, spent).await {
                Ok(begun) => begun,
                Err(e) if !is_last && e.failed.kind == ErrorKind::NoBackend => {
                    self.step("step_failed", format!("{version}: {}", e.failed.kind));
                    failure = Some(e);
                    continue;
                }
                Err(e) => return Err(e),
            };
            let (target, body, end) = match (judged, &begun) {
                (Some(target), Begun::Whole { body, end, .. }) if !is_last => (target, body, end),
                _ => return Ok((version.clone(), begun)),
            };
            let text = String::from_utf8_lossy(body);
            let score = judge(&self.entry, version, &self.caller.class, &text).await;
            self.step("judged", format!("{version}: {score:?}, target {target}"));
            match score {
                Some(score) if score < target => {
                    spent.usage = end.usage;
                    spent.run = RunState::Ran;
                }
                _ => return Ok((version.clone(), begun)),
            }
        }
        Err(failure.unwrap_or_else(|| Failed::from(ErrorKind::NoBackend).into()))
    }

    /// Runs one version, at another backend server after a failure that allows it.
    async fn run_version(
        self: &Arc<Self>,
        version: &VersionName,
        offset: Offset,
        spent: &mut Spent,
    ) -> Result<Begun, AttemptFailed> {
        let mut tries = 0;
        loop {
            let (link, backend) = self.pick(version, &spent.tried).ok_or_else(|| {
                Failed::new(ErrorKind::NoBackend, format!("none has {version} loaded"))
            })?;
            spent.attempts += 1;
            tries += 1;
            spent.tried.insert((link.conn.stable_id(), backend.clone()));
            self.step(
                "attempt",
                format!("{} {version} at {}/{backend}", spent.attempts, link.host),
            );
            let call = self.call(version, &backend, offset, spent);
            let failed = match self.run_once(&link, call).await {
                Ok(begun) => {
                    let prefix = prefix_of(version, &self.req.prompt);
                    let now = self.entry.daemon.now();
                    self.entry.hints.note(prefix, &link.host, &backend, now);
                    return Ok(begun);
                }
                Err(e) => e,
            };
            spent.run = spent.run.and(failed.failed.run);
            let (kind, why) = (failed.failed.kind, failed.failed.why.clone());
            self.step("attempt_failed", format!("{kind} ({}): {why}", failed.failed.run));
            let again = is_worth_another(kind) && tries < self.entry.settings.retry.max_attempts;
            if !again || !self.entry.try_retry() {
                return Err(failed);
            }
            if !self.has_another(version, &spent.tried, kind).await {
                return Err(failed);
            }
        }
    }

    /// Says whether another backend server is left. After a lost connection it waits a moment for
    /// the one that takes its place, and for what the side tells on it.
    async fn has_another(&self, version: &VersionName, tried: &Tried, kind: ErrorKind) -> bool {
        let found = async {
            while self.pick(version, tried).is_none() {
                Timer::after(span(RECONNECT_POLL)).await;
            }
        };
        match kind {
            ErrorKind::BackendLost => {
                let limit = Millis(self.entry.settings.heartbeat.interval_ms.0 * 2);
                crate::clock::within(limit, found).await.is_some()
            }
            _ => self.pick(version, tried).is_some(),
        }
    }

    async fn run_once(
        self: &Arc<Self>,
        link: &Arc<SideLink>,
        call: RunCall,
    ) -> Result<Begun, AttemptFailed> {
        let (head, mut answering) = begin(&self.entry, link, call).await?;
        if self.req.stream && head.status == u16::from(StatusCode::Ok) {
            return Ok(Begun::Stream { head, answering: Box::new(answering) });
        }
        let (body, end) = answering.whole(crate::wire::MAX_FRAME).await?;
        Ok(Begun::Whole { head, body, end, link: link.clone() })
    }

    fn hold_bill(&self, end: &RunEnd, link: &SideLink) {
        if let Some(bill) = end.bill.clone() {
            hold_bill(&self.entry, bill, link);
        }
    }

    fn call(&self, version: &VersionName, backend: &str, offset: Offset, spent: &Spent) -> RunCall {
        let key = self.caller.idempotency_key.as_deref();
        RunCall {
            head: CallHead { request: self.request, attempt: spent.attempts },
            config: crate::wire::ConfigMark { offset, ..self.entry.daemon.store.mark() },
            customer: self.caller.customer.clone(),
            session: self.caller.session.clone(),
            version: Some(version.clone()),
            service: None,
            backend: backend.to_owned(),
            method: "POST".to_owned(),
            target: self.target.clone(),
            content_type: None,
            body: self.req.body.clone(),
            stream: self.req.stream,
            deadline: self.deadline.since(self.entry.daemon.now()),
            priority: self.caller.priority,
            work: self.req.work,
            claim: None,
            bill: Some(Bill::id_for(&self.caller.customer, key, self.request)),
            spent: spent.usage,
        }
    }

    /// Picks a backend server that has the version and was not tried.
    fn pick(&self, version: &VersionName, tried: &Tried) -> Option<Place> {
        let prefix = prefix_of(version, &self.req.prompt);
        let hints = &self.entry.hints;
        let now = self.entry.daemon.now();
        let serves = |load: &Load| load.versions.contains(version);
        pick_backend(&self.entry, tried, serves, |host, name| hints.cached(prefix, host, name, now))
    }

    /// Makes the answer to the caller.
    fn deliver(
        self: &Arc<Self>,
        version: &VersionName,
        begun: Begun,
        under_way: UnderWay,
    ) -> Response {
        let (head, body) = match begun {
            Begun::Stream { head, answering } => {
                let (tx, body) = channel_body();
                smol::spawn(self.clone().pump(version.clone(), *answering, tx, under_way)).detach();
                (head, body)
            }
            Begun::Whole { head, body, end, link } => {
                // Not before: an answer that is judged and not given leaves its bill to the next.
                self.hold_bill(&end, &link);
                if head.status == u16::from(StatusCode::Ok) && is_sampled(&self.entry, version) {
                    let text = String::from_utf8_lossy(&body).into_owned();
                    self.clone().judge_later(version.clone(), text);
                }
                (head, body.into())
            }
        };
        let status = StatusCode::try_from(head.status).unwrap_or(StatusCode::BadGateway);
        let mut res = Response::new(status);
        res.set_body(body);
        if let Some(content_type) = head.content_type {
            res.insert_header("content-type", content_type);
        }
        res
    }

    fn judge_later(self: Arc<Self>, version: VersionName, text: String) {
        let judged = async move { judge(&self.entry, &version, &self.caller.class, &text).await };
        smol::spawn(judged).detach();
    }

    /// Passes a streamed answer on. One that breaks off ends with an error event and a cut body:
    /// the caller must not take it for whole, and it is never continued from another attempt.
    async fn pump(
        self: Arc<Self>,
        version: VersionName,
        mut answering: Answering,
        tx: BodySender,
        under_way: UnderWay,
    ) {
        let mut text = Vec::new();
        let is_rated = is_sampled(&self.entry, &version);
        let left = self.deadline.since(self.entry.daemon.now());
        let pumped = async {
            loop {
                match answering.next().await? {
                    Piece::Chunk(chunk) => {
                        if is_rated && text.len() < RATED_BYTES {
                            text.extend_from_slice(&chunk);
                        }
                        if tx.send(chunk).await.is_err() {
                            return Err(Failed::new(ErrorKind::BackendLost, "the caller has gone"));
                        }
                    }
                    Piece::End(end) => {
                        self.hold_bill(&end, answering.link());
                        return Ok(());
                    }
                }
            }
        };
        let gone = async {
            tx.closed().await;
            Err(Failed::new(ErrorKind::BackendLost, "the caller has gone"))
        };
        let pumped = crate::clock::within(left, smol::future::or(pumped, gone)).await;
        match pumped.unwrap_or_else(|| Err(ErrorKind::DeadlineInRun.into())) {
            Ok(()) => {
                self.step("stream_done", version.to_string());
                if is_rated {
                    let text = String::from_utf8_lossy(&text).into_owned();
                    self.clone().judge_later(version, text);
                }
            }
            Err(failed) => {
                self.step("stream_cut", format!("{}: {}", failed.kind, failed.why));
                self.entry.daemon.telemetry.count("stream.cut", 1);
                tx.send(format!("data: {}\n\n", error_body(&failed)).into_bytes()).await.ok();
                tx.abort(failed.kind.row().code).await;
            }
        }
        drop(under_way);
    }
}

/// An answer that has begun.
enum Begun {
    Stream { head: RunHead, answering: Box<Answering> },
    Whole { head: RunHead, body: Vec<u8>, end: Box<RunEnd>, link: Arc<SideLink> },
}

/// Holds a bill until the log has it. Its side holds the other copy.
pub(crate) fn hold_bill(entry: &Entry, bill: Bill, link: &SideLink) {
    let held = Held { bill, side: Some(link.host.clone()) };
    if entry.bills.hold(held, Millis(0)).is_err() {
        entry.daemon.telemetry.count("bills.one_copy", 1);
    }
}

/// Says whether a side refused because it knows a newer configuration than the plan was made from.
fn is_stale(e: &AttemptFailed, planned_at: Offset) -> bool {
    let kind = e.failed.kind;
    matches!(kind, ErrorKind::NotAllowed | ErrorKind::UnknownModel | ErrorKind::Withdrawn)
        && e.failed.run == RunState::NotRun
        && e.side_offset > planned_at
}

/// Says whether another backend server may do better. Chat requests may run twice: only one
/// answer is given and one bill counts.
fn is_worth_another(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::BackendFailed
            | ErrorKind::BackendLost
            | ErrorKind::NoBackend
            | ErrorKind::NoConfig
            | ErrorKind::Overloaded
            | ErrorKind::Stopping
            | ErrorKind::TornFrame
    )
}
