//! Passing a stream on, and going on with it at another server when it breaks.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use async_channel::{Receiver, Sender, bounded};
use bytes::Bytes;
use futures_lite::Stream;
use http_body::Frame;
use redwingfold_core::{EventSplitter, Millis, Owed, SilenceWatch};

use crate::answer::{GatewayResponse, boxed, passed_on};
use crate::attempt::{Begun, Next, SILENCE_POLL};
use crate::clock::sleep;
use crate::request::Flight;
use crate::rollouts::AnswerSignal;

/// Chunks between a server and a caller; a slow caller holds its server back.
const CHUNKS_IN_FLIGHT: usize = 4;

/// Time after which a stream has run on: servers that end under a request do so within a few tenths of a second.
const RUNS_ON: Millis = Millis(500);

/// Begins to pass a stream on; the rest goes on in a task of its own.
pub(crate) fn start(flight: Flight, begun: Box<Begun>) -> GatewayResponse {
    let (tx, rx) = bounded(CHUNKS_IN_FLIGHT);
    let res = passed_on(&begun, boxed(ChannelBody { rx: Box::pin(rx) }));
    let gw = flight.gw.clone();
    gw.spawn(async move {
        let events = EventSplitter::after(flight.facts.resume_after);
        let mut relay = Relay { flight, events, tx, is_paid: false, event_at: None };
        let outcome = Box::pin(relay.run(begun)).await;
        relay.finish(outcome).await;
    });
    res
}

struct Relay {
    flight: Flight,
    events: EventSplitter,
    tx: Sender<io::Result<Bytes>>,
    /// Whether going on at another server is paid for already.
    is_paid: bool,
    /// When the last event was passed on.
    event_at: Option<Millis>,
}

/// How a stream ended.
enum Ended {
    /// The caller has gone.
    CallerGone,
    /// All of it was passed on.
    Complete,
    /// It could not be finished.
    Cut(String),
}

/// What happens next in a stream.
enum Step {
    CallerGone,
    Deadline,
    Next(Next),
    Silent,
}

impl Relay {
    async fn run(&mut self, mut begun: Box<Begun>) -> Ended {
        loop {
            let why = match self.pass_on(&mut begun).await {
                Ok(ended) => return ended,
                Err(why) => why,
            };
            self.flight.broke_at(&begun, &why).await;
            // Dropped first: two servers must not work on one stream.
            drop(begun);
            self.events.drop_piece();
            if !std::mem::take(&mut self.is_paid) && !self.flight.try_again() {
                return Ended::Cut(why);
            }
            self.flight.gw.telemetry.info(
                "stream_goes_on",
                &[
                    ("request", &self.flight.facts.id),
                    ("why", &why),
                    ("after", &self.events.last().map_or(0, |id| id.0)),
                ],
            );
            let last = self.events.last().or(self.flight.facts.resume_after);
            let next =
                smol::future::or(async { Some(Box::pin(self.flight.begin(last)).await) }, async {
                    self.tx.closed().await;
                    None
                });
            begun = match next.await {
                None => return Ended::CallerGone,
                Some(Ok(begun)) if begun.head.status.is_success() => begun,
                Some(Ok(begun)) => return Ended::Cut(format!("status {}", begun.head.status)),
                Some(Err(failed)) => return Ended::Cut(failed.why),
            };
        }
    }

    /// Passes on what one server sends; `Err` if it broke off and another may go on.
    async fn pass_on(&mut self, begun: &mut Begun) -> Result<Ended, String> {
        let is_resumable = self.flight.route.stream.is_some_and(|s| s.resumable);
        let mut pace = Pace::default();
        loop {
            let chunk = match self.step(begun).await {
                Step::CallerGone => return Ok(Ended::CallerGone),
                Step::Deadline => return Ok(Ended::Cut("deadline".to_owned())),
                // Silence alone ends nothing: only if another server may be asked.
                Step::Silent if self.flight.try_again() => {
                    self.is_paid = true;
                    return Err("silent".to_owned());
                }
                Step::Silent => continue,
                Step::Next(Next::Broken(why)) => return Err(why),
                Step::Next(Next::End) if self.events.is_inside_event() => {
                    return Err("ended inside an event".to_owned());
                }
                Step::Next(Next::End) => {
                    begun.under_way.is_answered();
                    return Ok(Ended::Complete);
                }
                Step::Next(Next::Chunk(chunk)) => chunk,
            };
            self.flight.gw.loads.heard(&begun.server, self.flight.gw.now());
            let whole = self.events.push(&chunk);
            if whole.count > 0 {
                self.count_events(whole.count);
                begun.under_way.is_read();
                self.runs_on(begun);
                if let Some(pause) = pace.events(whole.count, self.flight.gw.now()) {
                    self.flight.saw(begun, AnswerSignal::EventGap(pause));
                }
            }
            let bytes = if is_resumable { whole.bytes.into() } else { chunk };
            if !bytes.is_empty() && self.tx.send(Ok(bytes)).await.is_err() {
                return Ok(Ended::CallerGone);
            }
        }
    }

    /// Notes that a server has run the request for so long that it is most likely not one under which servers end.
    fn runs_on(&self, begun: &Begun) {
        let (flight, now) = (&self.flight, self.flight.gw.now());
        if now.since(begun.sent_at.after(begun.first_byte)) >= RUNS_ON {
            flight.gw.with_quarantine(|q| q.runs_on(flight.fingerprint, now));
        }
    }

    /// Counts events for the request's log line: a pause is what makes a stream late that began in time.
    fn count_events(&mut self, count: usize) {
        let now = self.flight.gw.now();
        let pause = self.event_at.map_or(Millis(0), |at| now.since(at));
        self.event_at = Some(now);
        self.flight.events += count;
        self.flight.longest_pause = self.flight.longest_pause.max(pause);
    }

    async fn step(&self, begun: &mut Begun) -> Step {
        let server = begun.server.clone();
        let next = async { Step::Next(begun.next().await) };
        let gone = async {
            self.tx.closed().await;
            Step::CallerGone
        };
        let late = async {
            sleep(self.flight.left()).await;
            Step::Deadline
        };
        let silent = async {
            let mut watch = SilenceWatch::new(self.flight.gw.now(), SILENCE_POLL);
            let gap = self.flight.route.stream.map_or(Millis(0), |stream| stream.gap);
            loop {
                sleep(SILENCE_POLL).await;
                let is_silent = self.flight.is_silent(&mut watch, &server, Owed::Event(gap));
                if is_silent && self.flight.is_repeatable() {
                    return Step::Silent;
                }
            }
        };
        smol::future::or(next, smol::future::or(gone, smol::future::or(late, silent))).await
    }

    /// Learns how long a stream takes that ran without a break from its first event on.
    fn learn_time(&self) {
        let flight = &self.flight;
        let first = match flight.first_byte {
            Some(first) if flight.facts.resume_after.is_none() => first,
            _ => return,
        };
        let took = flight.gw.now().since(flight.begun.after(first));
        let mut times = flight.gw.stream_times.borrow_mut();
        times.learn(&flight.service, flight.facts.usage.max_output, took);
    }

    async fn finish(mut self, ended: Ended) {
        self.flight.outcome = match ended {
            Ended::CallerGone => "caller_gone".to_owned(),
            Ended::Complete => {
                self.learn_time();
                self.flight.gw.completed(self.flight.fingerprint);
                "stream_complete".to_owned()
            }
            Ended::Cut(why) => {
                let error = io::Error::new(io::ErrorKind::ConnectionAborted, why.clone());
                self.tx.send(Err(error)).await.ok();
                format!("stream_cut: {why}")
            }
        };
    }
}

/// Events after which the pace of a stream is known: later ones would tell of a slow version only
/// after it has had many requests more.
const PACE_EVENTS: usize = 5;

/// The pace of a stream, measured once over its first events.
#[derive(Debug, Default)]
struct Pace {
    first: Option<Millis>,
    count: usize,
    is_known: bool,
}

impl Pace {
    /// Counts events, and returns the mean pause once enough have come.
    fn events(&mut self, count: usize, now: Millis) -> Option<Millis> {
        let first = *self.first.get_or_insert(now);
        self.count += count;
        if self.is_known || self.count < PACE_EVENTS {
            return None;
        }
        self.is_known = true;
        Some(Millis(now.since(first).0 / (self.count as u64 - 1)))
    }
}

struct ChannelBody {
    rx: Pin<Box<Receiver<io::Result<Bytes>>>>,
}

impl http_body::Body for ChannelBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let next = ready!(self.rx.as_mut().poll_next(cx));
        Poll::Ready(next.map(|chunk| chunk.map(Frame::data)))
    }
}
