//! One attempt of a request at one backend server.

use std::pin::pin;

use bytes::Bytes;
use http::header::CONTENT_ENCODING;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use redwingfold_core::{BackendServer, EndedRun, EventId, Millis, Owed, Repeat, SilenceWatch};

use crate::clock::within;
use crate::facts::{AttemptMetadata, ReportedLoad, ResponseMetadata};
use crate::load::UnderWay;
use crate::request::Flight;
use crate::upstream::{CallError, HttpConnection, error_chain};

/// Pause between looks at whether a server that is waited for is silent.
pub(crate) const SILENCE_POLL: Millis = Millis(200);

/// How an attempt went.
pub(crate) enum Attempted {
    /// The head of an answer has come.
    Begun(Box<Begun>),
    /// The server may have run it.
    Lost(String),
    /// The server says that it did not run it.
    NotRun(String),
    /// Another server has the address now; it did not run it.
    OtherServer,
    /// Nothing came from the server for so long that the next one is asked, at the cost of a
    /// second send.
    Silent,
    /// Nothing was sent.
    Unreachable(String),
}

/// An answer whose head has come. Dropping it stops the server's work.
pub(crate) struct Begun {
    pub(crate) head: http::response::Parts,
    pub(crate) facts: ResponseMetadata,
    pub(crate) server: BackendServer,
    pub(crate) under_way: UnderWay,
    pub(crate) size: Option<usize>,
    pub(crate) sent_at: Millis,
    /// Time from the send to the head.
    pub(crate) first_byte: Millis,
    body: Incoming,
    _caller: HttpConnection,
}

/// What comes next of a body.
pub(crate) enum Next {
    Broken(String),
    Chunk(Bytes),
    End,
}

impl Begun {
    /// Returns the requests that its server runs and that wait there, for each of its slots; 0 if it does not say.
    pub(crate) fn load(&self) -> f64 {
        let of = |load: ReportedLoad| {
            f64::from(load.running + load.waiting) / f64::from(load.slots.max(1))
        };
        self.facts.load.map_or(0.0, of)
    }

    /// Reads on.
    pub(crate) async fn next(&mut self) -> Next {
        loop {
            match self.body.frame().await {
                None => return Next::End,
                Some(Err(e)) => return Next::Broken(error_chain(&e)),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) if data.is_empty() => {}
                    Ok(data) => return Next::Chunk(data),
                    // Trailers belong to the connection, not to the answer's bytes.
                    Err(_) => {}
                },
            }
        }
    }
}

impl Flight {
    /// Sends the request to a server and waits for the head of its answer.
    pub(crate) async fn attempt(
        &mut self,
        server: &BackendServer,
        unread: Millis,
        resume_after: Option<EventId>,
    ) -> Attempted {
        let gw = self.gw.clone();
        gw.sends_to(server);
        let limit = gw.connect_times.get().limit().min(self.left());
        let connecting_at = gw.now();
        gw.loads.tries(server, connecting_at);
        let connected = HttpConnection::connect(&gw.executor, server.addr, limit).await;
        let mut caller = match connected {
            Ok(caller) => caller,
            Err(e) => {
                if e.is_timeout() {
                    gw.record_connect_time(None);
                }
                if e.is_refused() {
                    gw.server_is_gone(&server.id);
                }
                return Attempted::Unreachable(e.to_string());
            }
        };
        gw.record_connect_time(Some(gw.now().since(connecting_at)));
        let left = self.left();
        if left == Millis(0) {
            return Attempted::Unreachable("no time is left".to_owned());
        }
        let req = self.attempt_request(server, left, resume_after);
        let sent_at = gw.now();
        gw.count_send_to_unavailable(server);
        self.count_send(server);
        let reading = self.reading_time(self.size.unwrap_or(0));
        let expected = unread.after(reading).after(self.work(self.size).shared);
        let run = EndedRun { request: self.fingerprint, sent_at };
        let mut under_way = gw.loads.send(server, reading, run, gw.ends.clone());
        self.run = redwingfold_core::RunState::MayHaveRun;
        self.sends += 1;
        let answered = self.wait_for_head(caller.send(req), server, expected).await;
        let (head, body) = match answered {
            Some(Ok(res)) => res.into_parts(),
            Some(Err(CallError::Silent(why) | CallError::Unknown(why))) => {
                self.broke_run(server, sent_at).await;
                return Attempted::Lost(why);
            }
            Some(Err(e @ CallError::Unreachable(_))) => return Attempted::Lost(e.to_string()),
            None if self.left() == Millis(0) => return Attempted::Lost("deadline".to_owned()),
            None => {
                self.broke_run(server, sent_at).await;
                return Attempted::Silent;
            }
        };
        let now = gw.now();
        let facts = (gw.header_codec.decode_response)(head.status, &head.headers);
        gw.loads.heard(server, now);
        if let Some(left) = facts.cold_remaining {
            gw.heard_cold(server, left);
        }
        if let Some(load) = facts.load {
            gw.loads.reported(server, load, now);
        }
        let refusal = self.refusal(&head, &facts);
        // Invalid answers and answers from another server must not change what is recorded of this server.
        if matches!(refusal, None | Some(Attempted::NotRun(_))) {
            gw.record_limit(server, facts.rate_limit);
            if facts.is_leaving {
                gw.record_leaving(server);
            }
            facts.retry_after.iter().for_each(|delay| gw.record_retry_after(server, *delay));
        }
        if let Some(attempted) = refusal {
            if !matches!(attempted, Attempted::Lost(_)) {
                under_way.was_not_run();
            }
            return attempted;
        }
        Attempted::Begun(Box::new(Begun {
            head,
            facts,
            server: server.clone(),
            under_way,
            size: self.size,
            sent_at,
            first_byte: now.since(sent_at),
            body,
            _caller: caller,
        }))
    }

    fn attempt_request(
        &self,
        server: &BackendServer,
        left: Millis,
        resume_after: Option<EventId>,
    ) -> Request<Full<Bytes>> {
        let attempt = AttemptMetadata {
            server: server.id.clone(),
            time_left: left,
            customer: self.customer.as_ref().map(|c| c.name.clone()),
            model: self.size.map(|size| self.route.sizes[size].clone()),
            priority: self.urgency(resume_after.is_some() && self.facts.resume_after.is_none()),
            resume_after,
        };
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = self.uri.clone();
        *req.headers_mut() = self.headers.clone();
        (self.gw.header_codec.encode_attempt)(req.headers_mut(), &attempt);
        req
    }

    /// Looks at whether a head is an answer to this request at all.
    fn refusal(&self, head: &http::response::Parts, facts: &ResponseMetadata) -> Option<Attempted> {
        match facts {
            f if f.id.as_ref().is_some_and(|id| *id != self.facts.id) => {
                Some(Attempted::Lost("answer to another request".to_owned()))
            }
            f if f.is_other_server => Some(Attempted::OtherServer),
            f if f.is_not_run => Some(Attempted::NotRun(format!("status {}", head.status))),
            f if head.status.is_success() && !f.is_signed => {
                Some(Attempted::Lost("unsigned answer".to_owned()))
            }
            _ if head.headers.contains_key(CONTENT_ENCODING) => {
                Some(Attempted::Lost("encoded answer".to_owned()))
            }
            _ => None,
        }
    }

    /// Waits until the head has come, the time is over, or the silence is worth a second send.
    ///
    /// A silence that may not be answered by a second send ends nothing.
    async fn wait_for_head(
        &mut self,
        answered: impl Future<Output = Result<Response<Incoming>, CallError>>,
        server: &BackendServer,
        expected: Millis,
    ) -> Option<Result<Response<Incoming>, CallError>> {
        let owed = if self.route.stream.is_some() { Owed::Head(expected) } else { Owed::Plain };
        let mut watch = SilenceWatch::new(self.gw.now(), SILENCE_POLL);
        let mut answered = pin!(answered);
        loop {
            let left = self.left();
            if left == Millis(0) {
                return None;
            }
            if let Some(res) = within(SILENCE_POLL.min(left), &mut answered).await {
                return Some(res);
            }
            if self.is_silent(&mut watch, server, owed) && self.try_again() {
                return None;
            }
        }
    }

    /// Looks at whether a server that owes this request bytes is to be given up.
    pub(crate) fn is_silent(
        &self,
        watch: &mut SilenceWatch,
        server: &BackendServer,
        owed: Owed,
    ) -> bool {
        watch.look(self.gw.now(), self.gw.loads.heard_at(&server.id));
        watch.is_over(&self.gw.settings.silence, owed, self.route.aim, self.gw.pressure())
    }

    /// Says whether the request may run more than once.
    pub(crate) fn is_repeatable(&self) -> bool {
        match (self.route.repeat, self.route.stream) {
            (_, Some(stream)) => stream.resumable,
            (repeat, None) => repeat == Repeat::Idempotent,
        }
    }
}
