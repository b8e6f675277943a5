//! Chat requests: choosing a version and a backend server, retrying, and streaming the response.

use std::sync::Arc;

use redwingfold_core::{
    Bill, Config, ErrorKind, Millis, Offset, PerMille, RequestId, RunState, VersionName, plan,
};
use redwingfold_http::{BodySender, Response, StatusCode, channel_body};
use serde_json::Value;
use smol::Timer;

use super::attempt::{AttemptError, ResponsePart, ResponseStream, start_run};
use super::auth::Caller;
use super::body_memory::HeldBody;
use super::context::{Entry, InFlightGuard};
use super::decisions::DecisionTrace;
use super::hints::prefix_hash;
use super::pick::{BackendTarget, TriedBackends, pick_backend};
use super::quality::{is_sampled, rate_response};
use super::response::{RequestError, error_body};
use super::sessions::session_version;
use super::sides::SideLink;
use crate::billing::HeldBill;
use crate::clock::to_duration;
use crate::wire::{Load, RunCall, RunEnd, RunHead, RunId, Usage};

/// Bytes of a streamed response that are buffered for rating; collection stops at the first chunk
/// that reaches it.
const MAX_RATED_BYTES: usize = 64 * 1024;

/// Estimated output tokens of a request without `max_tokens`.
const DEFAULT_ANSWER_TOKENS: u64 = 256;

/// Approximate bytes of prompt text per token.
const PROMPT_BYTES_PER_TOKEN: u64 = 4;

/// Times that a request is planned again because a side had a newer configuration.
const MAX_REPLANS: u32 = 3;

/// Interval at which a replacement for a lost connection is looked for.
const RECONNECT_POLL_INTERVAL: Millis = Millis(10);

/// Longest wait for this entry's configuration to reach the offset that a side reported.
const CATCH_UP_TIMEOUT: Millis = Millis(1_000);

/// The parts of a chat request that routing needs, and its raw body.
#[derive(Clone, Debug)]
pub(crate) struct ChatRequest {
    pub(crate) model_name: String,
    pub(crate) stream: bool,
    prompt: String,
    work_tokens: u64,
    body: Vec<u8>,
}

impl ChatRequest {
    /// Reads a request's body.
    pub(crate) fn parse(body: Vec<u8>) -> Result<Self, RequestError> {
        let bad = |what: String| RequestError::new(ErrorKind::BadRequest, what);
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
        let answer = value["max_tokens"].as_u64().unwrap_or(DEFAULT_ANSWER_TOKENS);
        let work_tokens = prompt.len() as u64 / PROMPT_BYTES_PER_TOKEN + answer;
        Ok(Self { model_name: name.to_owned(), stream, prompt, work_tokens, body })
    }
}

/// The execution of one chat request.
pub(crate) struct ChatRun {
    pub(crate) entry: Arc<Entry>,
    pub(crate) caller: Caller,
    pub(crate) request: RequestId,
    pub(crate) req: ChatRequest,
    pub(crate) target: String,
    pub(crate) trace: DecisionTrace,
    pub(crate) deadline: Millis,
    /// Memory that is reserved for it, until it ends.
    pub(crate) _memory: HeldBody,
}

/// The response, and the values for its headers.
pub(crate) struct ChatResponse {
    pub(crate) res: Response,
    pub(crate) version: VersionName,
    pub(crate) moved_from: Option<VersionName>,
}

/// The versions to try for a request, in order, with the quality target of a cascade.
struct VersionPlan {
    steps: Vec<VersionName>,
    quality_target: Option<PerMille>,
    moved_from: Option<VersionName>,
    offset: Offset,
}

/// The attempts of a request so far, with their usage and the backend servers tried.
struct RunProgress {
    attempts: u32,
    usage: Usage,
    tried: TriedBackends,
    /// Run state of all attempts combined: an earlier attempt may have run even if the last did
    /// not.
    run_state: RunState,
}

impl ChatRun {
    fn config(&self) -> Arc<Config> {
        self.entry.quality.effective_config(self.entry.daemon.store.current())
    }

    fn step(&self, what: &'static str, detail: impl Into<String>) {
        self.trace.step(self.entry.daemon.now(), what, detail);
    }

    async fn plan_versions(&self) -> Result<VersionPlan, RequestError> {
        let config = self.config();
        let session = self.caller.session.as_ref();
        let split_key = session.map_or_else(|| self.request.to_string(), ToString::to_string);
        let quality =
            |v: &VersionName, spec: &_| self.entry.quality.lower_bound(v, spec, &self.caller.class);
        let planned = plan(
            &config,
            &self.caller.customer,
            session,
            &self.req.model_name,
            &split_key,
            quality,
        );
        let planned = planned.map_err(|denied| RequestError::new(denied.kind, denied.detail));
        let is_version = self.req.model_name.parse().is_ok_and(|v| config.version(&v).is_some());
        let offset = config.offset;
        match session {
            Some(session) if !is_version => {
                let proposed = planned.map(|mut plan| plan.steps.remove(0));
                let (entry, name) = (&self.entry, &self.req.model_name);
                let pinned =
                    session_version(entry, &config, &self.caller, session, name, proposed).await?;
                self.step("session", format!("keeps {}", pinned.version));
                Ok(VersionPlan {
                    steps: vec![pinned.version],
                    quality_target: None,
                    moved_from: pinned.moved_from,
                    offset,
                })
            }
            _ => {
                let plan = planned?;
                Ok(VersionPlan {
                    steps: plan.steps,
                    quality_target: plan.target,
                    moved_from: None,
                    offset,
                })
            }
        }
    }

    /// Runs the request, planning again if a side had a newer configuration.
    pub(crate) async fn execute(
        self: &Arc<Self>,
        in_flight: InFlightGuard,
    ) -> Result<ChatResponse, RequestError> {
        if !self.entry.bills.has_room() {
            return Err(ErrorKind::BacklogFull.into());
        }
        let mut progress = RunProgress {
            attempts: 0,
            usage: Usage::default(),
            tried: TriedBackends::new(),
            run_state: RunState::NotRun,
        };
        let mut replans = 0;
        loop {
            let version_plan = Box::pin(self.plan_versions()).await?;
            let names: Vec<_> = version_plan.steps.iter().map(ToString::to_string).collect();
            self.step(
                "versions",
                format!("{} at offset {}", names.join(", "), version_plan.offset),
            );
            match Box::pin(self.run_plan(&version_plan, &mut progress)).await {
                Ok((version, started)) => {
                    let res = self.build_response(&version, started, in_flight);
                    return Ok(ChatResponse { res, version, moved_from: version_plan.moved_from });
                }
                Err(e) if is_stale(&e, version_plan.offset) && replans < MAX_REPLANS => {
                    replans += 1;
                    let offset = e.side_offset;
                    self.step("stale", format!("the side is at offset {offset}"));
                    self.entry.daemon.store.wait_for_offset(offset, CATCH_UP_TIMEOUT).await;
                }
                Err(e) => {
                    return Err(RequestError {
                        run_state: progress.run_state.and(e.error.run_state),
                        ..e.error
                    });
                }
            }
        }
    }

    /// Runs the versions of a plan in order. With a quality target, each response but that of the
    /// last version is rated, and one below the target is discarded for the next version.
    async fn run_plan(
        self: &Arc<Self>,
        version_plan: &VersionPlan,
        progress: &mut RunProgress,
    ) -> Result<(VersionName, StartedResponse), AttemptError> {
        let quality_target = version_plan
            .quality_target
            .filter(|_| !self.req.stream && self.entry.settings.rating.address.is_some());
        let mut failure = None;
        for (i, version) in version_plan.steps.iter().enumerate() {
            let is_last = i + 1 == version_plan.steps.len();
            let started = match self.run_version(version, version_plan.offset, progress).await {
                Ok(started) => started,
                Err(e) if !is_last && e.error.kind == ErrorKind::NoBackend => {
                    self.step("step_failed", format!("{version}: {}", e.error.kind));
                    failure = Some(e);
                    continue;
                }
                Err(e) => return Err(e),
            };
            let (target, body, end) = match (quality_target, &started) {
                (Some(target), StartedResponse::Whole { body, end, .. }) if !is_last => {
                    (target, body, end)
                }
                _ => return Ok((version.clone(), started)),
            };
            let text = String::from_utf8_lossy(body);
            let score = rate_response(&self.entry, version, &self.caller.class, &text).await;
            self.step("judged", format!("{version}: {score:?}, target {target}"));
            match score {
                Some(score) if score < target => {
                    progress.usage = end.usage;
                    progress.run_state = RunState::Ran;
                }
                _ => return Ok((version.clone(), started)),
            }
        }
        Err(failure.unwrap_or_else(|| RequestError::from(ErrorKind::NoBackend).into()))
    }

    /// Runs the request on one version, retrying on other backend servers after retryable failures.
    async fn run_version(
        self: &Arc<Self>,
        version: &VersionName,
        offset: Offset,
        progress: &mut RunProgress,
    ) -> Result<StartedResponse, AttemptError> {
        let mut version_attempts = 0;
        loop {
            let (link, backend) = self.pick(version, &progress.tried).ok_or_else(|| {
                RequestError::new(ErrorKind::NoBackend, format!("none has {version} loaded"))
            })?;
            progress.attempts += 1;
            version_attempts += 1;
            progress.tried.insert((link.conn.stable_id(), backend.clone()));
            self.step(
                "attempt",
                format!("{} {version} at {}/{backend}", progress.attempts, link.host),
            );
            let call = self.run_call(version, &backend, offset, progress);
            let attempt_error = match self.run_attempt(&link, call).await {
                Ok(started) => {
                    let prefix = prefix_hash(version, &self.req.prompt);
                    let now = self.entry.daemon.now();
                    self.entry.hints.record(prefix, &link.host, &backend, now);
                    return Ok(started);
                }
                Err(e) => e,
            };
            progress.run_state = progress.run_state.and(attempt_error.error.run_state);
            let (kind, detail) = (attempt_error.error.kind, attempt_error.error.detail.clone());
            self.step(
                "attempt_failed",
                format!("{kind} ({}): {detail}", attempt_error.error.run_state),
            );
            let may_retry =
                is_retryable(kind) && version_attempts < self.entry.settings.retry.max_attempts;
            if !may_retry || !self.entry.try_spend_retry() {
                return Err(attempt_error);
            }
            if !self.wait_for_untried_backend(version, &progress.tried, kind).await {
                return Err(attempt_error);
            }
        }
    }

    /// Returns whether an untried backend server is available. After a lost connection, waits up to
    /// two heartbeat intervals for a replacement connection and the first load report on it.
    async fn wait_for_untried_backend(
        &self,
        version: &VersionName,
        tried: &TriedBackends,
        kind: ErrorKind,
    ) -> bool {
        let backend_available = async {
            while self.pick(version, tried).is_none() {
                Timer::after(to_duration(RECONNECT_POLL_INTERVAL)).await;
            }
        };
        match kind {
            ErrorKind::BackendLost => {
                let timeout = Millis(self.entry.settings.heartbeat.interval_ms.0 * 2);
                crate::clock::with_timeout(timeout, backend_available).await.is_some()
            }
            _ => self.pick(version, tried).is_some(),
        }
    }

    async fn run_attempt(
        self: &Arc<Self>,
        link: &Arc<SideLink>,
        call: RunCall,
    ) -> Result<StartedResponse, AttemptError> {
        let (head, mut response_stream) = start_run(&self.entry, link, call).await?;
        if self.req.stream && head.status == u16::from(StatusCode::Ok) {
            return Ok(StartedResponse::Stream {
                head,
                response_stream: Box::new(response_stream),
            });
        }
        let (body, end) = response_stream.read_all(crate::wire::MAX_FRAME).await?;
        Ok(StartedResponse::Whole { head, body, end, link: link.clone() })
    }

    fn hold_bill(&self, end: &RunEnd, link: &SideLink) {
        if let Some(bill) = end.bill.clone() {
            hold_bill(&self.entry, bill, link);
        }
    }

    fn run_call(
        &self,
        version: &VersionName,
        backend: &str,
        offset: Offset,
        progress: &RunProgress,
    ) -> RunCall {
        let key = self.caller.idempotency_key.as_deref();
        RunCall {
            run_id: RunId { request: self.request, attempt: progress.attempts },
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
            is_streamed: self.req.stream,
            time_left: self.deadline.since(self.entry.daemon.now()),
            priority: self.caller.priority,
            work_tokens: self.req.work_tokens,
            claim: None,
            bill: Some(Bill::id_for(&self.caller.customer, key, self.request)),
            prior_usage: progress.usage,
        }
    }

    /// Picks an untried backend server that has the version loaded.
    fn pick(&self, version: &VersionName, tried: &TriedBackends) -> Option<BackendTarget> {
        let prefix = prefix_hash(version, &self.req.prompt);
        let hints = &self.entry.hints;
        let now = self.entry.daemon.now();
        let accepts = |load: &Load| load.versions.contains(version);
        pick_backend(&self.entry, tried, accepts, |host, name| {
            hints.cached_share(prefix, host, name, now)
        })
    }

    /// Builds the response to the caller; a stream is forwarded by a task of its own.
    fn build_response(
        self: &Arc<Self>,
        version: &VersionName,
        started: StartedResponse,
        in_flight: InFlightGuard,
    ) -> Response {
        let (head, body) = match started {
            StartedResponse::Stream { head, response_stream } => {
                let (tx, body) = channel_body();
                smol::spawn(self.clone().forward_stream(
                    version.clone(),
                    *response_stream,
                    tx,
                    in_flight,
                ))
                .detach();
                (head, body)
            }
            StartedResponse::Whole { head, body, end, link } => {
                // Only now: a response that was rated and discarded must not be billed by itself;
                // its usage is included in the next one's bill.
                self.hold_bill(&end, &link);
                if head.status == u16::from(StatusCode::Ok) && is_sampled(&self.entry, version) {
                    let text = String::from_utf8_lossy(&body).into_owned();
                    self.clone().spawn_rating(version.clone(), text);
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

    fn spawn_rating(self: Arc<Self>, version: VersionName, text: String) {
        let rating =
            async move { rate_response(&self.entry, &version, &self.caller.class, &text).await };
        smol::spawn(rating).detach();
    }

    /// Forwards a streamed response to the caller.
    ///
    /// A stream that fails ends with an error event and a truncated body, so that the caller can't
    /// take it for complete. It is never continued from another attempt.
    async fn forward_stream(
        self: Arc<Self>,
        version: VersionName,
        mut response_stream: ResponseStream,
        tx: BodySender,
        in_flight: InFlightGuard,
    ) {
        let mut text = Vec::new();
        let is_rated = is_sampled(&self.entry, &version);
        let time_left = self.deadline.since(self.entry.daemon.now());
        let forwarded = async {
            loop {
                match response_stream.next_part().await? {
                    ResponsePart::Chunk(chunk) => {
                        if is_rated && text.len() < MAX_RATED_BYTES {
                            text.extend_from_slice(&chunk);
                        }
                        if tx.send(chunk).await.is_err() {
                            return Err(RequestError::new(
                                ErrorKind::BackendLost,
                                "the caller has gone",
                            ));
                        }
                    }
                    ResponsePart::End(end) => {
                        self.hold_bill(&end, response_stream.link());
                        return Ok(());
                    }
                }
            }
        };
        let disconnected = async {
            tx.closed().await;
            Err(RequestError::new(ErrorKind::BackendLost, "the caller has gone"))
        };
        let forwarded =
            crate::clock::with_timeout(time_left, smol::future::or(forwarded, disconnected)).await;
        match forwarded.unwrap_or_else(|| Err(ErrorKind::DeadlineInRun.into())) {
            Ok(()) => {
                self.step("stream_done", version.to_string());
                if is_rated {
                    let text = String::from_utf8_lossy(&text).into_owned();
                    self.clone().spawn_rating(version, text);
                }
            }
            Err(error) => {
                self.step("stream_cut", format!("{}: {}", error.kind, error.detail));
                self.entry.daemon.telemetry.count("stream.cut", 1);
                tx.send(format!("data: {}\n\n", error_body(&error)).into_bytes()).await.ok();
                tx.abort(error.kind.row().code).await;
            }
        }
        drop(in_flight);
    }
}

/// A stream of which the head has been received, or a whole response.
enum StartedResponse {
    Stream { head: RunHead, response_stream: Box<ResponseStream> },
    Whole { head: RunHead, body: Vec<u8>, end: Box<RunEnd>, link: Arc<SideLink> },
}

/// Stores a bill until it is in the log; its side has the second copy.
pub(crate) fn hold_bill(entry: &Entry, bill: Bill, link: &SideLink) {
    let held = HeldBill { bill, side: Some(link.host.clone()) };
    if entry.bills.hold(held, Millis(0)).is_err() {
        entry.daemon.telemetry.count("bills.one_copy", 1);
    }
}

/// Returns whether a side refused the request because its configuration is newer than the plan's.
fn is_stale(e: &AttemptError, planned_at: Offset) -> bool {
    let kind = e.error.kind;
    matches!(kind, ErrorKind::NotAllowed | ErrorKind::UnknownModel | ErrorKind::Withdrawn)
        && e.error.run_state == RunState::NotRun
        && e.side_offset > planned_at
}

/// Returns whether the request may succeed on another backend server. Running a chat request twice
/// is safe: only one response is delivered and only one bill counts.
fn is_retryable(kind: ErrorKind) -> bool {
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
