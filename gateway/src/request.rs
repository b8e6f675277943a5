//! The state of a request in flight: its attempts so far, and whether it may be retried.

use std::rc::Rc;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode, Uri};
use redwingfold_core::{
    Arm, BackendId, BackendServer, Catalog, Customer, Demand, EndedRun, ErrorKind, EventId, Fault,
    Fingerprint, Millis, Priority, ResendReason, Route, RunState, SentRequest, ServiceName,
    VersionName, Work, is_in_first_half,
};

use crate::admission::{AdmissionFacts, StartingRequest};
use crate::attempt::{AttemptOutcome, BodyRead, ConnectionSource, UpstreamResponse};
use crate::clock::within;
use crate::fingerprint::{customer_hash, suspect_keys};
use crate::gateway::Gateway;
use crate::load::id_hash;
use crate::metadata::{RequestMetadata, RequestedModel};
use crate::quarantine::Trial;
use crate::request_memory::HeldMemory;
use crate::response::{GatewayResponse, RequestError, forwarded_response};
use crate::rollout_choice::BindingReason;
use crate::rollouts::{AnswerSample, AnswerSignal, Rollouts};
use crate::segments::{GrowingBody, SegmentedBody, WholeBody};
use crate::session_keepers::KeepersReply;

/// Failed connection attempts after which a request fails.
const MAX_CONNECT_FAILURES: u32 = 6;

/// Refusals, or connections that reached a different server, after which a request fails.
const MAX_REFUSALS: u32 = 4;

/// Outcome of a request whose caller left before it got a response.
pub(crate) const CALLER_GONE: &str = "caller_gone";

/// A request from its admission to the end of its response.
pub(crate) struct InFlightRequest {
    pub(crate) gw: Rc<Gateway>,
    pub(crate) catalog: Rc<Catalog>,
    pub(crate) route: Rc<Route>,
    pub(crate) service: ServiceName,
    pub(crate) customer: Option<Customer>,
    pub(crate) metadata: RequestMetadata,
    /// Fingerprint of its content.
    pub(crate) fingerprint: Fingerprint,
    /// Fingerprints under which ends of servers are recorded, of its content and of the shared parts of its prompt.
    pub(crate) suspect_keys: Rc<[Fingerprint]>,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: WholeBody,
    /// Memory that is reserved for it, until it ends.
    pub(crate) memory: Rc<HeldMemory>,
    pub(crate) received_at: Millis,
    pub(crate) deadline: Millis,
    /// Index of the model in the route's `sizes`, ordered by size, if the gateway chooses the model.
    pub(crate) size: Option<usize>,
    pub(crate) run_state: RunState,
    /// Sends to servers, including the one in progress, as the server may already run it.
    pub(crate) sends: u32,
    /// The version that it was sent to; the target version if any attempt was sent there.
    pub(crate) sent_arm: Option<Arm>,
    /// Reply of the keepers of its session, if a query was sent to them.
    pub(crate) keepers_reply: Option<KeepersReply>,
    /// The version of its first send, and what bound the request to that version, for the log.
    pub(crate) first_send: Option<(VersionName, BindingReason)>,
    /// Servers that are not tried again.
    pub(crate) excluded_servers: Vec<BackendId>,
    connect_failures: u32,
    refusals: u32,
    /// Set if the request is quarantined and is sent as a trial.
    pub(crate) trial: Option<Trial>,
    /// Outcome for the log.
    pub(crate) outcome: String,
    pub(crate) server: Option<BackendServer>,
    pub(crate) confidence: Option<u8>,
    /// Index of the model that answered last, and its confidence.
    pub(crate) last_confidence: Option<(usize, u8)>,
    pub(crate) time_to_first_byte: Option<Millis>,
    /// Whether the beginning of an answer was forwarded to the caller.
    pub(crate) is_answer_begun: bool,
    /// Events forwarded to the caller.
    pub(crate) event_count: usize,
    /// Longest time between two forwarded events.
    pub(crate) longest_pause: Millis,
    /// When it was admitted, if admission is controlled.
    pub(crate) admitted_at: Option<Millis>,
    /// Set from its admission until it is sent.
    pub(crate) starting: Option<StartingRequest>,
}

/// The parts of the caller's request from which each attempt is built.
pub(crate) struct RequestParts {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: WholeBody,
    pub(crate) memory: Rc<HeldMemory>,
    pub(crate) fingerprint: Fingerprint,
}

/// A plain response.
enum WholeResponse {
    /// It was buffered.
    Buffered(GatewayResponse),
    /// There is no memory for it; these bytes of it were received.
    TooLarge(Box<UpstreamResponse>, Vec<Bytes>),
}

/// What was received of a response.
enum BufferedBody {
    /// A part, as there is no memory for more.
    Begun(Vec<Bytes>),
    Whole(WholeBody),
}

impl InFlightRequest {
    pub(crate) fn new(
        gw: Rc<Gateway>,
        catalog: Rc<Catalog>,
        route: Rc<Route>,
        customer: Option<Customer>,
        metadata: RequestMetadata,
        parts: RequestParts,
        received_at: Millis,
    ) -> Self {
        let service = route.choose_service(fastrand::u64(..)).cloned().unwrap_or_default();
        let longest = route.timeout.unwrap_or(Millis(u64::MAX));
        let deadline = received_at.after(metadata.timeout.unwrap_or(longest).min(longest));
        let is_chosen_here = metadata.model == RequestedModel::Any && !route.sizes.is_empty();
        // Starts with the smallest model, also when a caller resumes a broken stream. Which model
        // produced its beginning is unknown, but the smallest one reports its confidence again.
        // After a restart of all processes, hundreds of streams are resumed at once; sending all of them to
        // the largest model kept the servers full for ten seconds.
        let size = is_chosen_here.then_some(0);
        gw.in_flight.set(gw.in_flight.get() + 1);
        gw.count_request(&service);
        let suspect_keys = suspect_keys(parts.fingerprint, metadata.shared_parts());
        Self {
            gw,
            catalog,
            route,
            service,
            customer,
            metadata,
            fingerprint: parts.fingerprint,
            suspect_keys,
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body: parts.body,
            memory: parts.memory,
            received_at,
            deadline,
            size,
            run_state: RunState::NotRun,
            sends: 0,
            sent_arm: None,
            keepers_reply: None,
            first_send: None,
            excluded_servers: Vec::new(),
            connect_failures: 0,
            refusals: 0,
            trial: None,
            outcome: CALLER_GONE.to_owned(),
            server: None,
            confidence: None,
            last_confidence: None,
            time_to_first_byte: None,
            is_answer_begun: false,
            event_count: 0,
            longest_pause: Millis(0),
            admitted_at: None,
            starting: None,
        }
    }

    /// Returns the time until the deadline.
    pub(crate) fn time_left(&self) -> Millis {
        self.deadline.since(self.gw.now())
    }

    /// Returns the request's priority; `is_resumed` is set if the gateway itself resumes a stream whose caller is still
    /// connected.
    ///
    /// A stream that the caller resumes has the priority of a new request. After the loss of all gateways, callers resume
    /// their broken streams in one wave. These are already late, and with precedence over all others they made hundreds of
    /// new requests late as well.
    pub(crate) fn priority(&self, is_resumed: bool) -> Priority {
        self.gw.settings.urgency.rank(self.unshared_tokens(), self.own_priority(), is_resumed)
    }

    /// Returns the priority set by the operator.
    fn own_priority(&self) -> Priority {
        self.customer.as_ref().and_then(|c| c.priority).unwrap_or(self.route.priority)
    }

    /// Records a send to a server for the service's rollout.
    pub(crate) fn record_send(&mut self, server: &BackendServer) {
        self.trial.iter_mut().for_each(Trial::record_send);
        let (bound, sent_arm, now) = (self.binding_inputs(), self.sent_arm, self.gw.now());
        let bound_by = self.gw.with_rollouts(|r| r.binding_reason(bound, now));
        self.first_send.get_or_insert_with(|| (server.version.clone(), bound_by));
        self.record_session_move(server, now);
        let sent =
            |r: &mut Rollouts| r.record_send(&server.service, &server.version, sent_arm, now);
        self.sent_arm = self.gw.with_rollouts(sent).or(sent_arm);
    }

    /// Records that the session moves to the server's version, if sending this request moves it.
    ///
    /// This is recorded at the send, not at the response, as another request of the session may already be in flight.
    pub(crate) fn record_session_move(&self, server: &BackendServer, now: Millis) {
        let moves =
            self.gw.with_rollouts(|r| r.moves_session(&server.service, &server.version, now));
        if let (true, Some(session)) = (moves, self.binding_inputs().session) {
            self.gw.record_session_move(session);
        }
    }

    /// Sends the request to servers until one responds, and returns the response for the caller.
    pub(crate) async fn execute(mut self) -> Result<GatewayResponse, (Box<Self>, RequestError)> {
        let response = match Box::pin(self.obtain_response(self.metadata.resume_after)).await {
            Ok(response) => response,
            Err(failed) => return Err((Box::new(self), failed)),
        };
        if self.route.stream.is_some() && response.head.status.is_success() {
            return Ok(crate::relay::start(self, response));
        }
        match Box::pin(self.relay_whole(response)).await {
            Ok(WholeResponse::Buffered(answer)) => Ok(answer),
            Ok(WholeResponse::TooLarge(response, begun)) => {
                Ok(crate::unbuffered::start(self, response, begun))
            }
            Err(failed) => Err((Box::new(self), failed)),
        }
    }

    /// Makes attempts until one returns a response head that is accepted.
    pub(crate) async fn obtain_response(
        &mut self,
        resume_after: Option<EventId>,
    ) -> Result<Box<UpstreamResponse>, RequestError> {
        let mut resend = None;
        loop {
            self.check_deadline()?;
            Box::pin(self.check_quarantine()).await?;
            Box::pin(self.wait_for_admission()).await?;
            let (server, prefill_wait, source) = match resend.take() {
                Some(resend) => resend,
                None => {
                    let (server, prefill_wait) = self.choose_server_in_turn().await?;
                    (server, prefill_wait, ConnectionSource::Any)
                }
            };
            if !self.is_send_admitted() {
                continue;
            }
            let run_before = self.run_state;
            let outcome = Box::pin(self.attempt(&server, prefill_wait, resume_after, source)).await;
            self.log_attempt(&server, &outcome);
            match outcome {
                AttemptOutcome::Started(response) => {
                    if self.accept_response(&response) {
                        return Ok(response);
                    }
                }
                AttemptOutcome::Unreachable(why) => self.record_unreachable(&server, why)?,
                AttemptOutcome::OtherServer => {
                    self.gw.record_server_gone(&server.id);
                    self.run_state = run_before;
                    // The attempt did not reach the server that it was meant for.
                    self.sends -= 1;
                    self.gw.with_registry(|r| r.forget(&server.id));
                    self.record_refusal(&server, "the address has another server now")?;
                }
                AttemptOutcome::NotRun(why) => {
                    self.run_state = run_before;
                    self.record_refusal(&server, &why)?;
                    self.check_deadline()?;
                    if !self.try_resend(ResendReason::Failure) {
                        return Err(self.overloaded_error(why));
                    }
                }
                AttemptOutcome::NotWritten(_) => {
                    self.run_state = run_before;
                    self.sends -= 1;
                    resend = Some((server, prefill_wait, ConnectionSource::NewAfterNotWritten));
                }
                AttemptOutcome::Stale(why) => {
                    self.check_deadline()?;
                    if !self.try_resend(ResendReason::Failure) {
                        return Err(RequestError::new(ErrorKind::BackendLost, why));
                    }
                    resend = Some((server, prefill_wait, ConnectionSource::New));
                }
                AttemptOutcome::Silent => {
                    self.record_failure(&server, Fault::Lost);
                }
                AttemptOutcome::Lost(why) => {
                    self.record_failure(&server, Fault::Lost);
                    self.check_deadline()?;
                    if !self.try_resend(ResendReason::Failure) {
                        return Err(RequestError::new(ErrorKind::BackendLost, why));
                    }
                }
            }
        }
    }

    /// Waits before the first send until there is capacity, if admission is controlled.
    ///
    /// Plain calls are sent at once: they take tens of milliseconds, so that a report of their server's load is out of date
    /// when it arrives, and callers were refused for whom there was capacity.
    async fn wait_for_admission(&mut self) -> Result<(), RequestError> {
        let is_controlled = self.route.stream.is_some() && self.gw.has_admission_control();
        if self.admitted_at.is_some() || self.sends > 0 || !is_controlled {
            return Ok(());
        }
        if let Err(refusal) = self.gw.admit(&self.admission_facts()).await {
            let retry_after = Some(refusal.retry_after);
            return Err(RequestError { retry_after, ..self.overloaded_error(refusal.why) });
        }
        self.admitted_at = Some(self.gw.now());
        self.starting = Some(StartingRequest::new(&self.gw, &self.service));
        Ok(())
    }

    fn admission_facts(&self) -> AdmissionFacts {
        let (target, work) = (self.route.latency_target, self.prefill_work(self.size));
        let until_deadline = self.deadline.since(self.received_at);
        let patience = self.route.stream.map_or(until_deadline, |s| s.patience(target));
        let duration = self.gw.expected_duration(&self.service);
        let demand = Demand {
            rank: self.own_priority(),
            tokens: self.unshared_tokens(),
            arrived_at: self.received_at,
            latency_target: target,
            patience,
            deadline: self.deadline,
            prefill: self.prefill_time(self.size.unwrap_or(0)).after(work.shared),
            // A run that takes longer than usual may still be in time, and so may a run on a shorter deadline than most.
            duration: duration.min(Millis(until_deadline.0 / 2)),
        };
        AdmissionFacts {
            request: self.metadata.id.clone(),
            service: self.service.clone(),
            customer: customer_hash(self.customer.as_ref()),
            content: self.fingerprint,
            demand,
        }
    }

    /// Returns the tokens that the request takes up in the memory of a server, without the shared part of its prompt.
    pub(crate) fn memory_tokens(&self) -> u64 {
        self.unshared_tokens().saturating_add(self.metadata.usage.max_output)
    }

    /// Records a response and returns whether it is forwarded, rather than dropped for another attempt.
    fn accept_response(&mut self, response: &UpstreamResponse) -> bool {
        let is_failure = response.head.status.is_server_error();
        let expected = self.prefill_time(response.size.unwrap_or(0));
        let first = AnswerSignal::FirstByte { took: response.time_to_first_byte, expected };
        self.record_observation(response, if is_failure { AnswerSignal::Failed } else { first });
        (self.server, self.confidence) =
            (Some(response.server.clone()), response.metadata.confidence);
        self.time_to_first_byte = Some(self.gw.now().since(self.received_at));
        if is_failure {
            self.log_error_response(response);
            self.record_failure(&response.server, Fault::Answered);
            return !self.try_resend(ResendReason::Failure);
        }
        self.gw.loads.record_success(&response.server);
        let (Some(size), true) = (self.size, response.head.status.is_success()) else {
            return true;
        };
        if size == 0 {
            self.gw.record_first_attempt(response.time_to_first_byte, self.route.latency_target);
        }
        let own = self.unshared_tokens();
        self.gw.prefill_rates.borrow_mut().record(
            &self.service,
            size,
            own,
            response.time_to_first_byte,
        );
        match response.metadata.confidence {
            Some(confidence) => self.accept_confidence(size, confidence),
            None => true,
        }
    }

    /// Estimates the prefill time of the prompt, without its shared parts, which are mostly cached.
    pub(crate) fn prefill_time(&self, size: usize) -> Millis {
        self.gw.prefill_rates.borrow().estimate(&self.service, size, self.unshared_tokens())
    }

    /// Returns the number of prompt tokens that are not shared with other requests.
    fn unshared_tokens(&self) -> u64 {
        let shared: u64 = self.metadata.shared_parts().iter().map(|part| part.tokens).sum();
        self.metadata.usage.prompt.saturating_sub(shared)
    }

    pub(crate) fn prefill_work(&self, size: Option<usize>) -> Work {
        let shared = self.metadata.shared_parts();
        let tokens = shared.iter().map(|part| part.tokens).sum();
        let size = size.unwrap_or(0);
        Work {
            shared_prompt: shared.last().map(|part| part.id),
            shared: self.gw.prefill_rates.borrow().estimate(&self.service, size, tokens),
            shared_tokens: tokens,
        }
    }

    pub(crate) fn record_observation(&self, response: &UpstreamResponse, signal: AnswerSignal) {
        let sample = AnswerSample {
            service: &self.service,
            version: &response.server.version,
            route: &self.route.name,
            size_index: response.size.unwrap_or(0),
            load: response.load_per_slot(),
            is_first_half: is_in_first_half(&response.server.id),
            signal,
        };
        self.gw.with_rollouts(|r| r.record_answer(&sample, self.gw.now()));
    }

    /// Buffers the whole response before forwarding it, if there is memory for it. If it breaks off, the request is retried
    /// if that is allowed.
    async fn relay_whole(
        &mut self,
        mut response: Box<UpstreamResponse>,
    ) -> Result<WholeResponse, RequestError> {
        loop {
            let why = match self.read_whole_body(&mut response).await {
                Ok(BufferedBody::Whole(body)) => {
                    self.record_whole_response(&mut response);
                    let body = SegmentedBody::for_caller(body, self.memory.clone());
                    let answer = forwarded_response(&response, Box::pin(body));
                    return Ok(WholeResponse::Buffered(answer));
                }
                Ok(BufferedBody::Begun(begun)) => {
                    return Ok(WholeResponse::TooLarge(response, begun));
                }
                Err(why) => why,
            };
            self.record_broken_response(&response, &why).await;
            drop(response);
            self.check_deadline()?;
            if !self.try_resend(ResendReason::Failure) {
                return Err(RequestError::new(ErrorKind::BackendLost, why));
            }
            response = Box::pin(self.obtain_response(None)).await?;
        }
    }

    /// Records the outcome for the log.
    pub(crate) fn record_outcome(&mut self, outcome: String) {
        self.outcome = outcome;
    }

    /// Gives back the memory of the body of a request that is not sent again.
    pub(crate) fn drop_body(&mut self) {
        self.memory.release(self.body.allocated());
        self.body = WholeBody::default();
    }

    /// Records that a response was received to its end.
    pub(crate) fn record_whole_response(&mut self, response: &mut UpstreamResponse) {
        response.in_flight.record_completion();
        response.release_connection(&self.gw);
        self.outcome = format!("status_{}", response.head.status.as_u16());
        if proves_completion(response.head.status) {
            self.gw.record_completion(&self.suspect_keys);
        }
    }

    /// Returns the longest response that is buffered, in bytes.
    pub(crate) fn max_response_bytes(&self) -> usize {
        self.gw.settings.max_buffered_response_bytes.max(self.catalog.limits.body_bytes)
    }

    async fn read_whole_body(
        &self,
        response: &mut UpstreamResponse,
    ) -> Result<BufferedBody, String> {
        let max = self.max_response_bytes();
        let mut body = GrowingBody::new(response.content_length());
        loop {
            let mut chunk = match within(self.time_left(), response.read_next()).await {
                None => return Err("deadline".to_owned()),
                Some(BodyRead::End) => return Ok(BufferedBody::Whole(body.finish())),
                Some(BodyRead::Broken(why)) => return Err(why),
                Some(BodyRead::Chunk(chunk)) => chunk,
            };
            if body.len() + chunk.len() > max {
                return Err(format!("an answer of more than {max} bytes"));
            }
            let reserve = |bytes| self.memory.resize(self.body.allocated() + bytes);
            if body.push(&mut chunk, reserve).is_err() {
                let mut begun = body.finish().into_segments();
                begun.push(chunk);
                return Ok(BufferedBody::Begun(begun));
            }
        }
    }

    fn check_deadline(&self) -> Result<(), RequestError> {
        let kind = match self.run_state {
            _ if self.time_left() > Millis(0) => return Ok(()),
            RunState::NotRun => ErrorKind::DeadlinePassed,
            _ => ErrorKind::DeadlineInRun,
        };
        Err(RequestError::new(kind, format!("after {} ms", self.deadline.since(self.received_at))))
    }

    /// Returns what decides whether the request may be sent again.
    pub(crate) fn sent_request(&self) -> SentRequest {
        SentRequest {
            is_repeatable: self.route.is_repeatable(),
            run_state: self.run_state,
            is_answer_begun: self.is_answer_begun,
            sends: self.sends,
            max_attempts: self.route.max_attempts,
            time_left: self.time_left(),
        }
    }

    /// Returns whether the request may be sent again, and takes the send from the budget.
    pub(crate) fn try_resend(&mut self, why: ResendReason) -> bool {
        let is_admitted = match why {
            ResendReason::Failure => self.is_retry_admitted(),
            // A request that is suspected of terminating servers is sent no more often than necessary.
            ResendReason::Quality => !self.is_quarantined(),
        };
        self.sent_request().may_resend(why)
            && is_admitted
            && self.gw.try_take_resend(&self.service, why)
    }

    fn record_unreachable(
        &mut self,
        server: &BackendServer,
        why: String,
    ) -> Result<(), RequestError> {
        self.connect_failures += 1;
        self.record_failure(server, Fault::Lost);
        let fleet = self.gw.with_feeds(|feeds| feeds.fleet_size());
        if self.gw.loads.record_connect_failure(server, fleet, self.gw.now()) {
            self.gw.close_idle_connections(&server.id);
            self.gw.log_unreachable_server(id_hash(&server.id), None);
        }
        match self.connect_failures {
            n if n < MAX_CONNECT_FAILURES => Ok(()),
            _ => Err(RequestError {
                run_state: self.run_state,
                ..RequestError::new(ErrorKind::NoBackend, why)
            }),
        }
    }

    /// Counts a refusal. The server is excluded for this request, but the refusal is not counted as its failure.
    fn record_refusal(&mut self, server: &BackendServer, why: &str) -> Result<(), RequestError> {
        self.excluded_servers.push(server.id.clone());
        self.trial.iter_mut().for_each(Trial::record_not_run);
        self.refusals += 1;
        if self.refusals < MAX_REFUSALS {
            Ok(())
        } else {
            Err(self.overloaded_error(why.to_owned()))
        }
    }

    pub(crate) fn overloaded_error(&self, why: String) -> RequestError {
        RequestError { run_state: self.run_state, ..RequestError::new(ErrorKind::Overloaded, why) }
    }

    fn record_failure(&mut self, server: &BackendServer, fault: Fault) {
        self.excluded_servers.push(server.id.clone());
        let now = self.gw.now();
        if self.gw.loads.record_failure(server, fault, &self.gw.settings.health, now) {
            self.gw.close_idle_connections(&server.id);
            self.gw.telemetry.warn(
                "server_left_out",
                &[("server", &server.id), ("service", &server.service), ("addr", &server.addr)],
            );
        }
    }

    /// Records that a response broke off after its head.
    pub(crate) async fn record_broken_response(&mut self, response: &UpstreamResponse, why: &str) {
        self.log_broken_response(&response.server, why);
        self.record_failure(&response.server, Fault::Lost);
        self.record_broken_run(&response.server, response.sent_at).await;
    }

    /// Records that a run was interrupted; its server may have terminated.
    pub(crate) async fn record_broken_run(&self, server: &BackendServer, sent_at: Millis) {
        self.gw.record_broken_run(server, &self.runs(sent_at)).await;
    }

    /// Returns a run for each fingerprint under which the end of its server would be recorded.
    pub(crate) fn runs(&self, sent_at: Millis) -> Vec<EndedRun> {
        self.suspect_keys.iter().map(|request| EndedRun { request: *request, sent_at }).collect()
    }
}

/// Returns whether a whole response proves that a server can complete the request. A server that fails or has no capacity
/// may not have started it; counting its response would lift the quarantine of a request that terminates servers.
fn proves_completion(status: StatusCode) -> bool {
    !status.is_server_error() && status != StatusCode::TOO_MANY_REQUESTS
}
