//! Forwards a streamed response, and resumes it at another server when it breaks off.

use std::io;

use redwingfold_core::{Awaited, EventSplitter, Millis, ResendReason, SilenceWatch};

use crate::attempt::{BodyRead, SILENCE_POLL_INTERVAL, UpstreamResponse};
use crate::caller_channel::{CallerSender, caller_channel, own_copy};
use crate::clock::sleep;
use crate::request::InFlightRequest;
use crate::response::{GatewayResponse, forwarded_response};
use crate::rollouts::AnswerSignal;

/// Duration of a stream that shows that the request does not terminate servers; those that do take a few tenths of a second.
const SURVIVAL_TIME: Millis = Millis(500);

/// Starts forwarding a stream in a separate task, and returns the response for the caller.
pub(crate) fn start(
    mut request: InFlightRequest,
    response: Box<UpstreamResponse>,
) -> GatewayResponse {
    request.is_answer_begun = true;
    if !request.route.stream.is_some_and(|s| s.resumable) {
        request.drop_body();
    }
    let (tx, body) = caller_channel(&request.memory);
    let res = forwarded_response(&response, Box::pin(body));
    let gw = request.gw.clone();
    gw.spawn(async move {
        let events = EventSplitter::after(request.metadata.resume_after);
        let mut relay =
            Relay { request, events, tx, is_retry_budgeted: false, last_event_at: None };
        let outcome = Box::pin(relay.run(response)).await;
        relay.finish(outcome).await;
    });
    res
}

struct Relay {
    request: InFlightRequest,
    events: EventSplitter,
    tx: CallerSender,
    /// Whether a retry has already been taken from the budget.
    is_retry_budgeted: bool,
    /// When the last event was received.
    last_event_at: Option<Millis>,
}

/// How a stream ended.
enum StreamEnd {
    /// The caller disconnected.
    CallerGone,
    /// The whole stream was forwarded.
    Complete,
    /// The stream broke off and could not be resumed.
    Cut(String),
}

/// What occurs next while a stream is forwarded.
enum RelayStep {
    CallerGone,
    Deadline,
    Body(BodyRead),
    Silent,
}

impl Relay {
    async fn run(&mut self, mut response: Box<UpstreamResponse>) -> StreamEnd {
        loop {
            let why = match self.forward(&mut response).await {
                Ok(ended) => return ended,
                Err(why) => why,
            };
            self.request.record_broken_response(&response, &why).await;
            // Dropped before the next attempt, so that two servers never work on the same stream.
            drop(response);
            self.events.discard_partial();
            if !std::mem::take(&mut self.is_retry_budgeted)
                && !self.request.try_resend(ResendReason::Failure)
            {
                return StreamEnd::Cut(why);
            }
            self.request.gw.telemetry.info(
                "stream_goes_on",
                &[
                    ("request", &self.request.metadata.id),
                    ("why", &why),
                    ("after", &self.events.last().map_or(0, |id| id.0)),
                ],
            );
            let last = self.events.last().or(self.request.metadata.resume_after);
            let next = smol::future::or(
                async { Some(Box::pin(self.request.obtain_response(last)).await) },
                async {
                    self.tx.closed().await;
                    None
                },
            );
            response = match next.await {
                None => return StreamEnd::CallerGone,
                Some(Ok(response)) if response.head.status.is_success() => response,
                Some(Ok(response)) => {
                    return StreamEnd::Cut(format!("status {}", response.head.status));
                }
                Some(Err(failed)) => return StreamEnd::Cut(failed.why),
            };
        }
    }

    /// Forwards the response of one server; `Err` if it broke off and may be resumed at another server.
    async fn forward(&mut self, response: &mut UpstreamResponse) -> Result<StreamEnd, String> {
        let is_resumable = self.request.route.stream.is_some_and(|s| s.resumable);
        let mut pace = Pace::default();
        loop {
            let chunk = match self.next_step(response).await {
                RelayStep::CallerGone => return Ok(StreamEnd::CallerGone),
                RelayStep::Deadline => return Ok(StreamEnd::Cut("deadline".to_owned())),
                // A silent server is given up only if a retry is allowed.
                RelayStep::Silent if self.request.try_resend(ResendReason::Failure) => {
                    self.is_retry_budgeted = true;
                    return Err("silent".to_owned());
                }
                RelayStep::Silent => continue,
                RelayStep::Body(BodyRead::Broken(why)) => return Err(why),
                RelayStep::Body(BodyRead::End) if self.events.has_partial() => {
                    return Err("ended inside an event".to_owned());
                }
                RelayStep::Body(BodyRead::End) => {
                    response.in_flight.record_completion();
                    response.release_connection(&self.request.gw);
                    return Ok(StreamEnd::Complete);
                }
                RelayStep::Body(BodyRead::Chunk(chunk)) => chunk,
            };
            self.request.gw.loads.record_activity(&response.server, self.request.gw.now());
            let whole = self.events.push(&chunk);
            if whole.count > 0 {
                self.record_events(whole.count);
                response.in_flight.record_prefill_done();
                self.record_survival(response);
                if let Some(pause) = pace.record_events(whole.count, self.request.gw.now()) {
                    self.request.record_observation(response, AnswerSignal::EventGap(pause));
                }
            }
            let bytes = if is_resumable { whole.bytes.into() } else { own_copy(&chunk) };
            if !bytes.is_empty() && self.tx.send(Ok(bytes)).await.is_err() {
                return Ok(StreamEnd::CallerGone);
            }
            let max = self.request.gw.settings.max_buffered_response_bytes;
            if self.events.partial_len() > max {
                return Err(format!("an event of more than {max} bytes"));
            }
        }
    }

    /// Records that a server has run the request for so long that it will most likely complete, which delays the write of
    /// a mark for it.
    fn record_survival(&self, response: &UpstreamResponse) {
        let (request, now) = (&self.request, self.request.gw.now());
        if now.since(response.sent_at.after(response.time_to_first_byte)) >= SURVIVAL_TIME {
            request.gw.with_quarantine(|q| {
                request.suspect_keys.iter().for_each(|key| q.postpone_marks(*key, now));
            });
        }
    }

    /// Counts events and pauses for the request's log line, as a long pause makes a stream late that began in time.
    fn record_events(&mut self, count: usize) {
        let now = self.request.gw.now();
        let pause = self.last_event_at.map_or(Millis(0), |at| now.since(at));
        self.last_event_at = Some(now);
        self.request.event_count += count;
        self.request.longest_pause = self.request.longest_pause.max(pause);
    }

    async fn next_step(&self, response: &mut UpstreamResponse) -> RelayStep {
        let server = response.server.clone();
        let next = async { RelayStep::Body(response.read_next().await) };
        let caller_gone = async {
            self.tx.closed().await;
            RelayStep::CallerGone
        };
        let deadline = async {
            sleep(self.request.time_left()).await;
            RelayStep::Deadline
        };
        let silent = async {
            let mut watch = SilenceWatch::new(self.request.gw.now(), SILENCE_POLL_INTERVAL);
            let awaited = self.awaited_event();
            loop {
                sleep(SILENCE_POLL_INTERVAL).await;
                let is_silent = self.request.is_server_silent(&mut watch, &server, awaited);
                if is_silent && self.request.sent_request().may_resend(ResendReason::Failure) {
                    return RelayStep::Silent;
                }
            }
        };
        smol::future::or(next, smol::future::or(caller_gone, smol::future::or(deadline, silent)))
            .await
    }

    /// Returns what the stream waits for, with the time that another server needs to resume it where that counts.
    fn awaited_event(&self) -> Awaited {
        let gap = self.request.route.stream.map_or(Millis(0), |stream| stream.max_gap);
        if !self.request.gw.has_admission_control() {
            return Awaited::Event(gap);
        }
        let size = self.request.size;
        let own = self.request.prefill_time(size.unwrap_or(0));
        Awaited::ResumableEvent { gap, resume: own.after(self.request.prefill_work(size).shared) }
    }

    /// Records the duration of a stream from its first byte, unless it resumed an earlier one.
    fn record_stream_duration(&self) {
        let request = &self.request;
        let first = match request.time_to_first_byte {
            Some(first) if request.metadata.resume_after.is_none() => first,
            _ => return,
        };
        let took = request.gw.now().since(request.received_at.after(first));
        let mut times = request.gw.stream_times.borrow_mut();
        times.record(&request.service, request.metadata.usage.max_output, took);
    }

    async fn finish(mut self, ended: StreamEnd) {
        self.request.outcome = match ended {
            StreamEnd::CallerGone => "caller_gone".to_owned(),
            StreamEnd::Complete => {
                self.record_stream_duration();
                // A stream without an event says nothing: a server may end before it writes the first one, on a connection
                // whose end ends the answer as well.
                if self.request.event_count > 0 {
                    self.request.gw.record_completion(&self.request.suspect_keys);
                }
                "stream_complete".to_owned()
            }
            StreamEnd::Cut(why) => {
                let error = io::Error::new(io::ErrorKind::ConnectionAborted, why.clone());
                self.tx.send(Err(error)).await.ok();
                format!("stream_cut: {why}")
            }
        };
    }
}

/// Number of events over which the pace of a stream is measured. With more, a slow version would be detected only after it
/// has received many more requests.
const PACE_EVENTS: usize = 5;

/// Measures the mean interval between the first events of a stream.
#[derive(Debug, Default)]
struct Pace {
    first: Option<Millis>,
    count: usize,
    is_reported: bool,
}

impl Pace {
    /// Counts events, and returns the mean interval once, when enough events were received.
    fn record_events(&mut self, count: usize, now: Millis) -> Option<Millis> {
        let first = *self.first.get_or_insert(now);
        self.count += count;
        if self.is_reported || self.count < PACE_EVENTS {
            return None;
        }
        self.is_reported = true;
        Some(Millis(now.since(first).0 / (self.count as u64 - 1)))
    }
}
