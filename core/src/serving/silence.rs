//! Timeouts for backend servers that send nothing while a request waits for data.

use crate::ids::Millis;

/// How long requests wait without receiving data before they are sent to another server.
#[derive(Clone, Copy, Debug)]
pub struct SilencePolicy {
    /// Timeout for the head of a stream, as a share of the target latency, at zero pressure.
    pub head_target_share: f64,
    /// Increase of that share per unit of pressure; at a pressure of one, first bytes take the whole target latency.
    pub head_target_share_per_pressure: f64,
    /// Increase of the timeout for the head, as a multiple of the time that the server is expected to need.
    pub head_expected_factor: u64,
    /// Timeout for the next event, as a share of the longest gap that still meets its target.
    pub event_gap_share: f64,
    /// Minimum timeout for an event.
    pub min_event: Millis,
    /// Timeout for the next event, as a multiple of the longest gap that still meets its target, of a stream that no other
    /// server could resume within that gap.
    pub late_event_gap_factor: f64,
    /// Pressure from which requests are sent elsewhere only if their server sends nothing to any request.
    pub max_pressure: f64,
    /// Minimum time without data on any request after which a model engine counts as hanging.
    pub min_engine_silence: Millis,
    /// The same for a plain server, and the minimum timeout for its answer.
    pub min_plain_silence: Millis,
}

impl Default for SilencePolicy {
    /// First bytes from servers without a queue take a tenth of the target latency. On a deployment with streams, 99 in
    /// 100 gaps between events were shorter than 0.6 s.
    fn default() -> Self {
        Self {
            head_target_share: 0.5,
            head_target_share_per_pressure: 2.0,
            head_expected_factor: 3,
            event_gap_share: 0.75,
            min_event: Millis(750),
            // Callers give up a stream after eight times the gap.
            late_event_gap_factor: 3.0,
            max_pressure: 0.30,
            min_engine_silence: Millis(2_000),
            min_plain_silence: Millis(500),
        }
    }
}

/// The next data that a request waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Awaited {
    /// The head of a stream, which the server is expected to send within this time.
    Head(Millis),
    /// The next event of a stream, for which a gap of this length still meets the target.
    Event(Millis),
    /// The same, where the time is known that another server needs to resume the stream.
    ResumableEvent {
        /// Longest gap that still meets the target.
        gap: Millis,
        /// Expected time until the first event from another server, which has to prefill the whole prompt.
        resume: Millis,
    },
    /// A plain answer.
    Plain,
}

impl SilencePolicy {
    /// Returns the time without data on one request after which it is sent to another server, although its server sends
    /// data to others; `None` if it is not sent elsewhere for that reason.
    ///
    /// Failure: a server ran a request and the answer was lost, or a network element dropped the connection state. The
    /// caller gives up a few times the target latency later without an answer. If the request is sent elsewhere after
    /// half of the target latency, most answers are still in time. A server under load also sends nothing for a while,
    /// so the timeout grows with the work that is known to wait there and with the overall pressure. Above a maximum
    /// pressure nothing is sent twice, because second sends would double a queue.
    ///
    /// ```
    /// use redwingfold_core::{Awaited, Millis, SilencePolicy};
    /// let policy = SilencePolicy::default();
    /// let wait = |awaited, pressure| policy.request_timeout(awaited, Millis(2_000), pressure);
    /// assert_eq!(wait(Awaited::Head(Millis(100)), 0.0), Some(Millis(1_300)));
    /// assert!(wait(Awaited::Head(Millis(100)), 0.2) > wait(Awaited::Head(Millis(100)), 0.1));
    /// assert_eq!(wait(Awaited::Head(Millis(100)), 0.5), None);
    /// ```
    pub fn request_timeout(
        &self,
        awaited: Awaited,
        target_latency: Millis,
        pressure: f64,
    ) -> Option<Millis> {
        let part = |whole: Millis, part: f64| Millis((whole.0 as f64 * part) as u64);
        match awaited {
            Awaited::Plain => Some(self.min_plain_silence.max(Millis(target_latency.0 * 2))),
            _ if pressure >= self.max_pressure => None,
            Awaited::Head(expected) => {
                let base = part(
                    target_latency,
                    self.head_target_share + self.head_target_share_per_pressure * pressure,
                );
                Some(base.after(Millis(expected.0 * self.head_expected_factor)))
            }
            Awaited::Event(gap) => Some(self.min_event.max(part(gap, self.event_gap_share))),
            Awaited::ResumableEvent { gap, resume } => Some(self.event_timeout(gap, resume)),
        }
    }

    /// Returns the timeout for an event of a stream that another server can resume within `resume`.
    ///
    /// Load pattern: a server that prefills a prompt of fifty thousand tokens with a large model sends an event of each
    /// other stream only about once a second. Streams that were sent elsewhere meanwhile were late all the same, and their
    /// own long prompts, prefilled again, stalled the streams of the next server. So a stream changes its server early
    /// only if its next event can then still be in time.
    ///
    /// ```
    /// use redwingfold_core::{Millis, SilencePolicy};
    /// let policy = SilencePolicy::default();
    /// let timeout = |resume| policy.event_timeout(Millis(1_200), Millis(resume));
    /// assert_eq!((timeout(100), timeout(2_000)), (Millis(900), Millis(3_600)));
    /// ```
    pub fn event_timeout(&self, gap: Millis, resume: Millis) -> Millis {
        let part = |part: f64| Millis((gap.0 as f64 * part) as u64);
        let early = self.min_event.max(part(self.event_gap_share));
        if early.after(resume) <= gap { early } else { early.max(part(self.late_event_gap_factor)) }
    }

    /// Returns the time without data on any request after which a server counts as hanging.
    pub fn hang_timeout(&self, awaited: Awaited, target_latency: Millis) -> Millis {
        let min = if awaited == Awaited::Plain {
            self.min_plain_silence
        } else {
            self.min_engine_silence
        };
        min.max(Millis(target_latency.0 * 3 / 2))
    }
}

/// Measures how long a request has received no data while this process was running.
#[derive(Clone, Copy, Debug)]
pub struct SilenceWatch {
    polled_at: Millis,
    /// Maximum time that counts between two polls.
    max_step: Millis,
    request_silence: Millis,
    server_silence: Millis,
}

impl SilenceWatch {
    /// Starts a measurement that is polled at the interval `every`.
    pub fn new(now: Millis, every: Millis) -> Self {
        let max_step = Millis(every.0 * 2);
        Self { polled_at: now, max_step, request_silence: Millis(0), server_silence: Millis(0) }
    }

    /// Adds the time since the last poll; `last_data_at` is the time of the last data from the server on any request.
    ///
    /// Failure: the process itself was stopped for seconds, and the data that servers sent in that time waits unread in
    /// its sockets. By the clock, all servers sent nothing, and each request would be sent again. So the time between
    /// two polls counts for at most twice the interval.
    ///
    /// ```
    /// use redwingfold_core::{Millis, SilenceWatch};
    /// let mut watch = SilenceWatch::new(Millis(0), Millis(250));
    /// watch.poll(Millis(250), Millis(0));
    /// watch.poll(Millis(9_000), Millis(0));
    /// assert_eq!(watch.waited(), Millis(750));
    /// ```
    pub fn poll(&mut self, now: Millis, last_data_at: Millis) {
        let step = now.since(self.polled_at).min(self.max_step);
        self.request_silence = self.request_silence.after(step);
        self.server_silence =
            if last_data_at > self.polled_at { Millis(0) } else { self.server_silence.after(step) };
        self.polled_at = now;
    }

    /// Returns how long the request has waited.
    pub fn waited(&self) -> Millis {
        self.request_silence
    }

    /// Returns whether the request should be sent to another server.
    pub fn is_over(
        &self,
        policy: &SilencePolicy,
        awaited: Awaited,
        target_latency: Millis,
        pressure: f64,
    ) -> bool {
        let is_request_silent = policy
            .request_timeout(awaited, target_latency, pressure)
            .is_some_and(|wait| self.request_silence >= wait);
        is_request_silent || self.server_silence >= policy.hang_timeout(awaited, target_latency)
    }
}
