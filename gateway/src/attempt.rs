//! One attempt of a request at one backend server.

use std::pin::pin;
use std::rc::Rc;

use bytes::Bytes;
use http::Request;
use http::header::CONTENT_ENCODING;
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use redwingfold_core::{
    Awaited, BackendServer, EventId, KeepAlive, Millis, ResendReason, SilenceWatch,
};

use crate::clock::within;
use crate::connection_pool::reusable_for;
use crate::gateway::Gateway;
use crate::load::InFlightGuard;
use crate::metadata::{AttemptMetadata, ReportedLoad, ResponseMetadata};
use crate::request::InFlightRequest;
use crate::segments::SegmentedBody;
use crate::upstream::{HttpConnection, SendError, error_chain};

/// Interval of the checks whether a server that owes a response is silent.
pub(crate) const SILENCE_POLL_INTERVAL: Millis = Millis(200);

/// Outcome of an attempt.
pub(crate) enum AttemptOutcome {
    /// The head of a response was received.
    Started(Box<UpstreamResponse>),
    /// There is no valid response, and the server may have run the request.
    Lost(String),
    /// The server reports that it did not run the request.
    NotRun(String),
    /// The reused connection was closed, and no part of the request was written.
    NotWritten(String),
    /// The address now belongs to a different server, which did not run the request.
    OtherServer,
    /// The server was silent for so long that the request is retried at another one; the retry budget has been charged.
    Silent,
    /// The reused connection was closed before a response. The request may have been written; most likely the server had
    /// closed the connection before it arrived.
    Stale(String),
    /// Nothing was sent.
    Unreachable(String),
}

/// Which connection an attempt uses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ConnectionSource {
    /// A kept connection if the request may use one, otherwise a new one.
    Any,
    /// A new one, as a reused connection was closed.
    New,
    /// A new one, as a reused connection was closed before the request was written; the send is already counted.
    NewAfterNotWritten,
}

/// A response whose head was received. Dropping it closes the connection, which makes the server stop its work, unless the
/// connection was released after the end of the response.
pub(crate) struct UpstreamResponse {
    pub(crate) head: http::response::Parts,
    pub(crate) metadata: ResponseMetadata,
    pub(crate) server: BackendServer,
    pub(crate) in_flight: InFlightGuard,
    pub(crate) size: Option<usize>,
    pub(crate) sent_at: Millis,
    /// Time from the send to the head.
    pub(crate) time_to_first_byte: Millis,
    body: Incoming,
    /// `None` once released.
    connection: Option<HttpConnection>,
    /// How long the connection may be kept after this response; `None` if it may not.
    keep_alive: Option<KeepAlive>,
}

/// Result of reading from a body.
pub(crate) enum BodyRead {
    Broken(String),
    Chunk(Bytes),
    End,
}

impl UpstreamResponse {
    /// Returns the number of running and waiting requests per slot that the server reported; 0 if it reported none.
    pub(crate) fn load_per_slot(&self) -> f64 {
        let per_slot = |load: ReportedLoad| {
            f64::from(load.running + load.waiting) / f64::from(load.slots.max(1))
        };
        self.metadata.load.map_or(0.0, per_slot)
    }

    /// Returns the length of the rest of the body, if it is known.
    pub(crate) fn content_length(&self) -> Option<usize> {
        self.body.size_hint().exact().map(|len| len as usize)
    }

    /// Gives the connection to the pool. Must be called only after [`BodyRead::End`], as the server would not notice that
    /// the response is no longer wanted.
    pub(crate) fn release_connection(&mut self, gw: &Rc<Gateway>) {
        if let (Some(keep_alive), Some(connection)) = (self.keep_alive, self.connection.take()) {
            gw.keep_connection(&self.server, connection, keep_alive);
        }
    }

    /// Reads the next chunk of the body.
    pub(crate) async fn read_next(&mut self) -> BodyRead {
        loop {
            match self.body.frame().await {
                None => return BodyRead::End,
                Some(Err(e)) => return BodyRead::Broken(error_chain(&e)),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) if data.is_empty() => {}
                    Ok(data) => return BodyRead::Chunk(data),
                    // Trailers concern this connection only and are not forwarded.
                    Err(_) => {}
                },
            }
        }
    }
}

impl InFlightRequest {
    /// Sends the request to a server and waits for the head of its response.
    pub(crate) async fn attempt(
        &mut self,
        server: &BackendServer,
        prefill_wait: Millis,
        resume_after: Option<EventId>,
        source: ConnectionSource,
    ) -> AttemptOutcome {
        let gw = self.gw.clone();
        let is_counted = source == ConnectionSource::NewAfterNotWritten;
        if !is_counted {
            gw.record_send_turn(server);
        }
        let kept = self.take_kept_connection(server, source);
        let is_reused = kept.is_some();
        let mut connection = match kept {
            Some(connection) => connection,
            None => match self.connect(server).await {
                Ok(connection) => connection,
                Err(outcome) => return outcome,
            },
        };
        let time_left = self.time_left();
        if time_left == Millis(0) {
            return AttemptOutcome::Unreachable("no time is left".to_owned());
        }
        let req = self.attempt_request(server, time_left, resume_after);
        let sent_at = gw.now();
        if !is_counted {
            gw.count_send_to_unavailable(server);
            self.record_send(server);
        }
        let prefill_time = self.prefill_time(self.size.unwrap_or(0));
        let expected = prefill_wait.after(prefill_time).after(self.prefill_work(self.size).shared);
        let runs = self.runs(sent_at);
        let mut in_flight = gw.loads.record_send(
            server,
            prefill_time,
            self.memory_tokens(),
            runs,
            gw.interrupted_runs.clone(),
        );
        self.starting = None;
        self.run_state = redwingfold_core::RunState::MayHaveRun;
        self.sends += 1;
        let answered = self.wait_for_head(connection.try_send(req), server, expected).await;
        let (head, body) = match answered {
            Some(Ok(res)) => res.into_parts(),
            Some(Err(SendError::NotWritten(why))) if is_reused => {
                in_flight.record_not_run();
                return AttemptOutcome::NotWritten(why);
            }
            Some(Err(SendError::Closed(why))) if is_reused => {
                self.record_broken_run(server, sent_at).await;
                return AttemptOutcome::Stale(why);
            }
            Some(Err(
                SendError::NotWritten(why) | SendError::Closed(why) | SendError::Invalid(why),
            )) => {
                self.record_broken_run(server, sent_at).await;
                return AttemptOutcome::Lost(why);
            }
            None if self.time_left() == Millis(0) => {
                return AttemptOutcome::Lost("deadline".to_owned());
            }
            None => {
                self.record_broken_run(server, sent_at).await;
                return AttemptOutcome::Silent;
            }
        };
        let now = gw.now();
        let metadata = (gw.header_codec.decode_response)(head.status, &head.headers);
        gw.loads.record_activity(server, now);
        if let Some(left) = metadata.cold_remaining {
            gw.record_cold(server, left);
        }
        if let Some(load) = metadata.load {
            gw.record_shared_host(&load);
            gw.loads.record_report(server, load, now);
        }
        let rejection = self.check_response(&head, &metadata, is_reused);
        // Invalid responses and responses from a different server must not change this server's records.
        if matches!(rejection, None | Some(AttemptOutcome::NotRun(_))) {
            gw.record_limit(server, metadata.rate_limit);
            if metadata.is_leaving {
                gw.record_leaving(server);
            }
            metadata.retry_after.iter().for_each(|delay| gw.record_retry_after(server, *delay));
        }
        if let Some(outcome) = rejection {
            if !matches!(outcome, AttemptOutcome::Lost(_)) {
                in_flight.record_not_run();
            }
            return outcome;
        }
        // Without a request id, a late response to this request could not be told from one to the next request.
        let length = body.size_hint().exact();
        let keep_alive = metadata.id.as_ref().and_then(|_| reusable_for(&head, length));
        AttemptOutcome::Started(Box::new(UpstreamResponse {
            head,
            metadata,
            server: server.clone(),
            in_flight,
            size: self.size,
            sent_at,
            time_to_first_byte: now.since(sent_at),
            body,
            connection: Some(connection),
            keep_alive,
        }))
    }

    /// Returns a kept connection to a server, if there is one that the request may use.
    ///
    /// A server may close an idle connection at the moment of the send, so that the request is lost. Only requests that may
    /// be sent once more may use one, and no trial of a request that is suspected of terminating servers, for which the lost
    /// connection would count as a termination.
    fn take_kept_connection(
        &self,
        server: &BackendServer,
        source: ConnectionSource,
    ) -> Option<HttpConnection> {
        let may_reuse = source == ConnectionSource::Any
            && self.sent_request().after_send().may_resend(ResendReason::Failure)
            && !self.is_quarantined();
        if may_reuse { self.gw.take_idle_connection(server) } else { None }
    }

    /// Connects to a server, and records the result.
    async fn connect(&self, server: &BackendServer) -> Result<HttpConnection, AttemptOutcome> {
        let gw = &self.gw;
        let limit = gw.connect_timeout.get().timeout().min(self.time_left());
        let connecting_at = gw.now();
        gw.loads.record_connect_attempt(server, connecting_at);
        let connected = HttpConnection::connect(&gw.executor, server.addr, limit).await;
        if let Err(e) = &connected {
            if e.is_timeout() {
                gw.record_connect_time(None);
            }
            if e.is_refused() {
                gw.record_server_gone(&server.id);
            }
        } else {
            gw.record_connect_time(Some(gw.now().since(connecting_at)));
        }
        connected.map_err(|e| AttemptOutcome::Unreachable(e.to_string()))
    }

    fn attempt_request(
        &self,
        server: &BackendServer,
        time_left: Millis,
        resume_after: Option<EventId>,
    ) -> Request<SegmentedBody> {
        let attempt = AttemptMetadata {
            server: server.id.clone(),
            time_left,
            customer: self.customer.as_ref().map(|c| c.name.clone()),
            model: self.size.map(|size| self.route.sizes[size].clone()),
            priority: self.priority(resume_after.is_some() && self.metadata.resume_after.is_none()),
            resume_after,
        };
        let mut req = Request::new(self.body.clone().into());
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = self.uri.clone();
        *req.headers_mut() = self.headers.clone();
        (self.gw.header_codec.encode_attempt)(req.headers_mut(), &attempt);
        req
    }

    /// Checks that a response head is valid and answers this request; returns the outcome of the attempt if not.
    fn check_response(
        &self,
        head: &http::response::Parts,
        metadata: &ResponseMetadata,
        is_reused: bool,
    ) -> Option<AttemptOutcome> {
        match metadata {
            // Some servers send an error without a request before they close an idle connection.
            f if is_reused && f.id.is_none() => {
                Some(AttemptOutcome::Lost("answer without a request id".to_owned()))
            }
            f if f.id.as_ref().is_some_and(|id| *id != self.metadata.id) => {
                Some(AttemptOutcome::Lost("answer to another request".to_owned()))
            }
            f if f.is_other_server => Some(AttemptOutcome::OtherServer),
            f if f.is_not_run => Some(AttemptOutcome::NotRun(format!("status {}", head.status))),
            f if head.status.is_success() && !f.is_signed => {
                Some(AttemptOutcome::Lost("unsigned answer".to_owned()))
            }
            _ if head.headers.contains_key(CONTENT_ENCODING) => {
                Some(AttemptOutcome::Lost("encoded answer".to_owned()))
            }
            _ => None,
        }
    }

    /// Waits for the response head. Returns `None` when the deadline passes, or when the server is silent and a retry has
    /// been taken from the budget.
    ///
    /// Without a retry, a silent server is not given up, as that could only lose its response.
    async fn wait_for_head<T>(
        &mut self,
        answered: impl Future<Output = T>,
        server: &BackendServer,
        expected: Millis,
    ) -> Option<T> {
        let awaited =
            if self.route.stream.is_some() { Awaited::Head(expected) } else { Awaited::Plain };
        let mut watch = SilenceWatch::new(self.gw.now(), SILENCE_POLL_INTERVAL);
        let mut answered = pin!(answered);
        loop {
            let time_left = self.time_left();
            if time_left == Millis(0) {
                return None;
            }
            if let Some(res) = within(SILENCE_POLL_INTERVAL.min(time_left), &mut answered).await {
                return Some(res);
            }
            if self.is_server_silent(&mut watch, server, awaited)
                && self.try_resend(ResendReason::Failure)
            {
                return None;
            }
        }
    }

    /// Returns whether a server that owes this request a response has been silent for too long.
    pub(crate) fn is_server_silent(
        &self,
        watch: &mut SilenceWatch,
        server: &BackendServer,
        awaited: Awaited,
    ) -> bool {
        watch.poll(self.gw.now(), self.gw.loads.last_activity_at(&server.id));
        watch.is_over(
            &self.gw.settings.silence,
            awaited,
            self.route.latency_target,
            self.gw.pressure(),
        )
    }
}
