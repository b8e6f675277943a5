//! A request on its way: which servers it has seen, and what may still be done for it.

use std::rc::Rc;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode, Uri};
use redwingfold_core::{
    Arm, BackendId, BackendServer, Catalog, Customer, EndedRun, ErrorKind, EventId, Fault,
    Fingerprint, Millis, Priority, RepeatUse, Route, RunState, ServiceName, VersionName, Work,
    is_in_first_half,
};

use crate::answer::{Failed, GatewayResponse, full_body, passed_on};
use crate::attempt::{Attempted, Begun, Next};
use crate::clock::within;
use crate::facts::{RequestMetadata, RequestedModel};
use crate::gateway::Gateway;
use crate::load::short_id;
use crate::quarantine::Trial;
use crate::rollout_choice::BindingReason;
use crate::rollouts::{AnswerSample, AnswerSignal, Rollouts};
use crate::session_keepers::KeepersReply;

/// Connections that are tried in vain before a request is given up.
const MAX_UNREACHABLE: u32 = 6;

/// Servers that refuse a request, or turn out to be others, before it is given up.
const MAX_REFUSALS: u32 = 4;

/// A request on its way.
pub(crate) struct Flight {
    pub(crate) gw: Rc<Gateway>,
    pub(crate) catalog: Rc<Catalog>,
    pub(crate) route: Rc<Route>,
    pub(crate) service: ServiceName,
    pub(crate) customer: Option<Customer>,
    pub(crate) facts: RequestMetadata,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) begun: Millis,
    pub(crate) until: Millis,
    /// Index of the model among the route's sizes, if the gateway chooses it.
    pub(crate) size: Option<usize>,
    pub(crate) run: RunState,
    /// Sends to servers, the one under way included: one that is waited for is as good as run.
    pub(crate) sends: u32,
    /// The version that it was sent to; the one on trial if it was ever sent there.
    pub(crate) reached: Option<Arm>,
    /// What the keepers of its session answered, if they were asked.
    pub(crate) keepers_answer: Option<KeepersReply>,
    /// The version of its first send, and what decided it, for the log.
    pub(crate) first_version: Option<(VersionName, BindingReason)>,
    /// Servers that are passed over.
    pub(crate) avoid: Vec<BackendId>,
    unreachable: u32,
    refusals: u32,
    /// Set if it is sent once more to a server, though servers have ended under it.
    pub(crate) trial: Option<Trial>,
    /// How it ended, for the log.
    pub(crate) outcome: String,
    pub(crate) server: Option<BackendServer>,
    pub(crate) confidence: Option<u8>,
    /// The model that was asked last, and its confidence.
    pub(crate) opinion: Option<(usize, u8)>,
    pub(crate) first_byte: Option<Millis>,
    /// Events passed on, and the longest pause before one of them.
    pub(crate) events: usize,
    pub(crate) longest_pause: Millis,
}

/// What is asked of a new flight.
pub(crate) struct Asked {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) fingerprint: Fingerprint,
}

impl Flight {
    pub(crate) fn new(
        gw: Rc<Gateway>,
        catalog: Rc<Catalog>,
        route: Rc<Route>,
        customer: Option<Customer>,
        facts: RequestMetadata,
        asked: Asked,
        begun: Millis,
    ) -> Self {
        let service = route.target(fastrand::u64(..)).cloned().unwrap_or_default();
        let longest = route.timeout.unwrap_or(Millis(u64::MAX));
        let until = begun.after(facts.timeout.unwrap_or(longest).min(longest));
        let is_chosen_here = facts.model == RequestedModel::Any && !route.sizes.is_empty();
        // The smallest goes first, also where a caller takes up a broken answer: which model began
        // it is not known, but the small one says again whether it is up to the request. After a
        // restart of all processes, hundreds come back at once; with the largest for all of them,
        // engines were full for ten seconds.
        let size = is_chosen_here.then_some(0);
        gw.in_flight.set(gw.in_flight.get() + 1);
        gw.held_bytes.set(gw.held_bytes.get() + asked.body.len());
        gw.count_request(&service);
        Self {
            gw,
            catalog,
            route,
            service,
            customer,
            facts,
            fingerprint: asked.fingerprint,
            method: asked.method,
            uri: asked.uri,
            headers: asked.headers,
            body: asked.body,
            begun,
            until,
            size,
            run: RunState::NotRun,
            sends: 0,
            reached: None,
            keepers_answer: None,
            first_version: None,
            avoid: Vec::new(),
            unreachable: 0,
            refusals: 0,
            trial: None,
            outcome: "caller_gone".to_owned(),
            server: None,
            confidence: None,
            opinion: None,
            first_byte: None,
            events: 0,
            longest_pause: Millis(0),
        }
    }

    /// Returns the time left.
    pub(crate) fn left(&self) -> Millis {
        self.until.since(self.gw.now())
    }

    /// Ranks the request; `is_resumed` if the gateway itself goes on with a stream that its caller reads.
    ///
    /// Load pattern: all gateways were lost, and their callers come back with broken streams in one wave.
    /// These are late already; ranked before all others, they made hundreds of new ones late as well. Ranked
    /// as others, and without steps up that cannot end in time, worth was higher by 0.009 +- 0.003 on
    /// envol-routage-grown (five days with faults, two seeds, without processor time).
    pub(crate) fn urgency(&self, is_resumed: bool) -> Priority {
        let own = self.customer.as_ref().and_then(|c| c.priority).unwrap_or(self.route.priority);
        self.gw.settings.urgency.rank(self.own_tokens(), own, is_resumed)
    }

    /// Counts a send to a server for the service's roll-out.
    pub(crate) fn count_send(&mut self, server: &BackendServer) {
        self.trial.iter_mut().for_each(Trial::sent);
        let (bound, reached, now) = (self.bound(), self.reached, self.gw.now());
        let bound_by = self.gw.with_rollouts(|r| r.binding_reason(bound, now));
        self.first_version.get_or_insert_with(|| (server.version.clone(), bound_by));
        self.record_session(server, now);
        let sent = |r: &mut Rollouts| r.record_send(&server.service, &server.version, reached, now);
        self.reached = self.gw.with_rollouts(sent).or(reached);
    }

    /// Records that the session moves with a request that is sent to a server, if it does.
    ///
    /// At the send and not at the answer: another request of the session may be on its way already.
    pub(crate) fn record_session(&self, server: &BackendServer, now: Millis) {
        let moves =
            self.gw.with_rollouts(|r| r.moves_session(&server.service, &server.version, now));
        if let (true, Some(session)) = (moves, self.bound().session) {
            self.gw.session_moved(session);
        }
    }

    /// Answers the request.
    pub(crate) async fn answer(mut self) -> Result<GatewayResponse, (Box<Self>, Failed)> {
        let begun = match Box::pin(self.begin(self.facts.resume_after)).await {
            Ok(begun) => begun,
            Err(failed) => return Err((Box::new(self), failed)),
        };
        if self.route.stream.is_some() && begun.head.status.is_success() {
            return Ok(crate::relay::start(self, begun));
        }
        match Box::pin(self.whole(begun)).await {
            Ok(answer) => Ok(answer),
            Err(failed) => Err((Box::new(self), failed)),
        }
    }

    /// Finds a server whose answer has begun and is worth having.
    pub(crate) async fn begin(
        &mut self,
        resume_after: Option<EventId>,
    ) -> Result<Box<Begun>, Failed> {
        loop {
            self.check_time()?;
            Box::pin(self.pass_quarantine()).await?;
            let (server, unread) = self.pick_in_turn().await?;
            let run_before = self.run;
            let attempted = Box::pin(self.attempt(&server, unread, resume_after)).await;
            self.log_attempt(&server, &attempted);
            match attempted {
                Attempted::Begun(begun) => {
                    if self.is_kept(&begun) {
                        return Ok(begun);
                    }
                }
                Attempted::Unreachable(why) => self.unreachable(&server, why)?,
                Attempted::OtherServer => {
                    self.gw.server_is_gone(&server.id);
                    self.run = run_before;
                    // It reached none of the servers that it was meant for.
                    self.sends -= 1;
                    self.gw.with_registry(|r| r.forget(&server.id));
                    self.refused(&server, "the address has another server now")?;
                }
                Attempted::NotRun(why) => {
                    self.run = run_before;
                    self.refused(&server, &why)?;
                    if self.sends >= self.route.max_attempts
                        || !self.may_go_on()
                        || !self.pay_repeat()
                    {
                        return Err(self.overloaded(why));
                    }
                }
                Attempted::Silent => {
                    self.failed_at(&server, Fault::Lost);
                }
                Attempted::Lost(why) => {
                    self.failed_at(&server, Fault::Lost);
                    self.check_time()?;
                    if !self.try_again() {
                        return Err(Failed::new(ErrorKind::BackendLost, why));
                    }
                }
            }
        }
    }

    /// Says whether an answer is kept, or dropped for a better one.
    fn is_kept(&mut self, begun: &Begun) -> bool {
        let is_failure = begun.head.status.is_server_error();
        let expected = self.reading_time(begun.size.unwrap_or(0));
        let first = AnswerSignal::FirstByte { took: begun.first_byte, expected };
        self.saw(begun, if is_failure { AnswerSignal::Failed } else { first });
        (self.server, self.confidence) = (Some(begun.server.clone()), begun.facts.confidence);
        self.first_byte = Some(self.gw.now().since(self.begun));
        if is_failure {
            self.log_failure(begun);
            self.failed_at(&begun.server, Fault::Answered);
            return !self.try_again();
        }
        self.gw.loads.good(&begun.server);
        let (Some(size), true) = (self.size, begun.head.status.is_success()) else { return true };
        if size == 0 {
            self.gw.record_first_attempt(begun.first_byte, self.route.aim);
        }
        let own = self.own_tokens();
        self.gw.rates.borrow_mut().learn(&self.service, size, own, begun.first_byte);
        match begun.facts.confidence {
            Some(confidence) => self.is_sure_enough(size, confidence),
            None => true,
        }
    }

    /// Estimates how long a server takes for the prompt; shared parts are mostly cached.
    pub(crate) fn reading_time(&self, size: usize) -> Millis {
        self.gw.rates.borrow().estimate(&self.service, size, self.own_tokens())
    }

    /// Returns the tokens of the prompt that no other request shares.
    fn own_tokens(&self) -> u64 {
        let shared: u64 = self.facts.shared_parts().iter().map(|part| part.tokens).sum();
        self.facts.usage.prompt.saturating_sub(shared)
    }

    pub(crate) fn work(&self, size: Option<usize>) -> Work {
        let shared = self.facts.shared_parts();
        let tokens = shared.iter().map(|part| part.tokens).sum();
        let size = size.unwrap_or(0);
        Work {
            shared_prompt: shared.last().map(|part| part.id),
            shared: self.gw.rates.borrow().estimate(&self.service, size, tokens),
            shared_tokens: tokens,
        }
    }

    pub(crate) fn saw(&self, begun: &Begun, sight: AnswerSignal) {
        let seen = AnswerSample {
            service: &self.service,
            version: &begun.server.version,
            route: &self.route.name,
            size: begun.size.unwrap_or(0),
            load: begun.load(),
            is_first_half: is_in_first_half(&begun.server.id),
            signal: sight,
        };
        self.gw.with_rollouts(|r| r.record_answer(&seen, self.gw.now()));
    }

    /// Reads a whole answer and passes it on; one that breaks is had again elsewhere if it may.
    async fn whole(&mut self, mut begun: Box<Begun>) -> Result<GatewayResponse, Failed> {
        loop {
            let why = match self.read_whole(&mut begun).await {
                Ok(bytes) => {
                    begun.under_way.is_answered();
                    self.outcome = format!("status_{}", begun.head.status.as_u16());
                    if is_answered(begun.head.status) {
                        self.gw.completed(self.fingerprint);
                    }
                    return Ok(passed_on(&begun, full_body(bytes)));
                }
                Err(why) => why,
            };
            self.broke_at(&begun, &why).await;
            drop(begun);
            self.check_time()?;
            if !self.try_again() {
                return Err(Failed::new(ErrorKind::BackendLost, why));
            }
            begun = Box::pin(self.begin(None)).await?;
        }
    }

    async fn read_whole(&self, begun: &mut Begun) -> Result<Bytes, String> {
        let max = self.gw.settings.max_buffered_response_bytes.max(self.catalog.limits.body_bytes);
        let mut bytes = Vec::new();
        loop {
            match within(self.left(), begun.next()).await {
                None => return Err("deadline".to_owned()),
                Some(Next::End) => return Ok(bytes.into()),
                Some(Next::Broken(why)) => return Err(why),
                Some(Next::Chunk(chunk)) if bytes.len() + chunk.len() > max => {
                    return Err(format!("an answer of more than {max} bytes"));
                }
                Some(Next::Chunk(chunk)) => bytes.extend_from_slice(&chunk),
            }
        }
    }

    fn check_time(&self) -> Result<(), Failed> {
        let kind = match self.run {
            _ if self.left() > Millis(0) => return Ok(()),
            RunState::NotRun => ErrorKind::DeadlinePassed,
            _ => ErrorKind::DeadlineInRun,
        };
        Err(Failed::new(kind, format!("after {} ms", self.until.since(self.begun))))
    }

    /// Says whether the request may be sent once more after a failure, and pays for it.
    pub(crate) fn try_again(&mut self) -> bool {
        let may = self.is_repeatable()
            && self.sends < self.route.max_attempts
            && self.left() > Millis(0)
            && self.may_go_on();
        may && self.pay_repeat()
    }

    fn pay_repeat(&mut self) -> bool {
        self.gw.try_repeat(&self.service, RepeatUse::Failure)
    }

    fn unreachable(&mut self, server: &BackendServer, why: String) -> Result<(), Failed> {
        self.unreachable += 1;
        self.failed_at(server, Fault::Lost);
        let fleet = self.gw.with_feeds(|feeds| feeds.fleet_size());
        if self.gw.loads.unreached(server, fleet, self.gw.now()) {
            self.gw.log_unreachable_server(short_id(&server.id), None);
        }
        match self.unreachable {
            n if n < MAX_UNREACHABLE => Ok(()),
            _ => Err(Failed { run: self.run, ..Failed::new(ErrorKind::NoBackend, why) }),
        }
    }

    /// Counts a refusal; the server is passed over, but it did not fail.
    fn refused(&mut self, server: &BackendServer, why: &str) -> Result<(), Failed> {
        self.avoid.push(server.id.clone());
        self.trial.iter_mut().for_each(Trial::was_not_run);
        self.refusals += 1;
        if self.refusals < MAX_REFUSALS { Ok(()) } else { Err(self.overloaded(why.to_owned())) }
    }

    pub(crate) fn overloaded(&self, why: String) -> Failed {
        Failed { run: self.run, ..Failed::new(ErrorKind::Overloaded, why) }
    }

    fn failed_at(&mut self, server: &BackendServer, fault: Fault) {
        self.avoid.push(server.id.clone());
        let now = self.gw.now();
        if self.gw.loads.bad(server, fault, &self.gw.settings.health, now) {
            self.gw.telemetry.warn(
                "server_left_out",
                &[("server", &server.id), ("service", &server.service), ("addr", &server.addr)],
            );
        }
    }

    /// Takes that an answer broke off that had begun.
    pub(crate) async fn broke_at(&mut self, begun: &Begun, why: &str) {
        self.log_broken(&begun.server, why);
        self.failed_at(&begun.server, Fault::Lost);
        self.broke_run(&begun.server, begun.sent_at).await;
    }

    /// Takes that a run broke off, whose server may have ended.
    pub(crate) async fn broke_run(&self, server: &BackendServer, sent_at: Millis) {
        self.gw.broke(server, EndedRun { request: self.fingerprint, sent_at }).await;
    }
}

/// Says whether a whole answer shows that a server bears the request. A server that fails, or has no room, may not have
/// begun with it: such answers would let a request go under which all others end.
fn is_answered(status: StatusCode) -> bool {
    !status.is_server_error() && status != StatusCode::TOO_MANY_REQUESTS
}
