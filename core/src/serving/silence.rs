//! When a backend server that owes a request bytes has been silent for too long.

use crate::ids::Millis;

/// How long requests wait in silence before another server is asked.
#[derive(Clone, Copy, Debug)]
pub struct SilencePolicy {
    /// Wait for the head of a stream, as a part of its aim, while there is no pressure.
    pub head_aim_share: f64,
    /// What a pressure of one adds to that part: at such a pressure first bytes take the whole aim.
    pub head_aim_share_per_pressure: f64,
    /// Wait for the head for each millisecond that the server is expected to need.
    pub head_expected_factor: u64,
    /// Wait for the next event, as a part of the longest pause that is still in time.
    pub event_gap_share: f64,
    /// Shortest wait for an event.
    pub min_event: Millis,
    /// Pressure from which only the silence of a whole server counts.
    pub max_pressure: f64,
    /// Shortest time that a model engine owes everyone something before its silence counts.
    pub min_engine_silence: Millis,
    /// The same for a plain server.
    pub min_plain_silence: Millis,
}

impl Default for SilencePolicy {
    /// First bytes take a tenth of the aim on servers without a queue, and 99 in 100 pauses between
    /// events are shorter than 0.6 s (envol-routage, twelve days).
    fn default() -> Self {
        Self {
            head_aim_share: 0.5,
            head_aim_share_per_pressure: 2.0,
            head_expected_factor: 3,
            event_gap_share: 0.75,
            min_event: Millis(750),
            max_pressure: 0.30,
            min_engine_silence: Millis(2_000),
            min_plain_silence: Millis(500),
        }
    }
}

/// What a request waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Awaited {
    /// The head of a stream, which the server is expected to send after a time.
    Head(Millis),
    /// The next event of a stream in which a pause of this length is still in time.
    Event(Millis),
    /// A plain answer.
    Plain,
}

impl SilencePolicy {
    /// Returns the silence towards one request after which another server is asked, though this one
    /// goes on with others; `None` if such a silence says nothing.
    ///
    /// Failure: a server ran a request and its answer got lost, or a network element forgot the
    /// connection. The caller sees nothing until its own patience ends, a few times the aim later, and
    /// has lost its answer by then. Asked elsewhere after half of the aim, most are still in time. A
    /// server under load is silent, too, so the wait grows with what it is known to have to read, and
    /// with the pressure on all; above a bound of that nothing is sent twice, or a queue would double
    /// itself. Against a wait of twice the aim, worth was higher by 0.005 +- 0.004 on envol-routage and 0.002
    /// on the other two (five days with faults, two or three seeds each, without processor time).
    ///
    /// ```
    /// use redwingfold_core::{Millis, Awaited, SilencePolicy};
    /// let policy = SilencePolicy::default();
    /// let wait = |awaited, pressure| policy.request_timeout(awaited, Millis(2_000), pressure);
    /// assert_eq!(wait(Awaited::Head(Millis(100)), 0.0), Some(Millis(1_300)));
    /// assert!(wait(Awaited::Head(Millis(100)), 0.2) > wait(Awaited::Head(Millis(100)), 0.1));
    /// assert_eq!(wait(Awaited::Head(Millis(100)), 0.5), None);
    /// ```
    pub fn request_timeout(&self, awaited: Awaited, aim: Millis, pressure: f64) -> Option<Millis> {
        let part = |whole: Millis, part: f64| Millis((whole.0 as f64 * part) as u64);
        match awaited {
            Awaited::Plain => Some(self.min_plain_silence.max(Millis(aim.0 * 2))),
            _ if pressure >= self.max_pressure => None,
            Awaited::Head(expected) => {
                let base =
                    part(aim, self.head_aim_share + self.head_aim_share_per_pressure * pressure);
                Some(base.after(Millis(expected.0 * self.head_expected_factor)))
            }
            Awaited::Event(gap) => Some(self.min_event.max(part(gap, self.event_gap_share))),
        }
    }

    /// Returns the silence towards everyone after which a server counts as hanging.
    pub fn hang_timeout(&self, awaited: Awaited, aim: Millis) -> Millis {
        let min = if awaited == Awaited::Plain {
            self.min_plain_silence
        } else {
            self.min_engine_silence
        };
        min.max(Millis(aim.0 * 3 / 2))
    }
}

/// How long a request has been awaited bytes, as this process saw it.
#[derive(Clone, Copy, Debug)]
pub struct SilenceWatch {
    polled_at: Millis,
    /// Longest time between two looks that counts.
    max_step: Millis,
    request_silence: Millis,
    server_silence: Millis,
}

impl SilenceWatch {
    /// Begins to watch; it is looked at each `every`.
    pub fn new(now: Millis, every: Millis) -> Self {
        let max_step = Millis(every.0 * 2);
        Self { polled_at: now, max_step, request_silence: Millis(0), server_silence: Millis(0) }
    }

    /// Takes a look: `heard_at` is when the server last sent something to anyone.
    ///
    /// Failure: the process itself stood still for seconds, and what servers sent meanwhile waits
    /// unread in its sockets. By the clock all of them were silent, and each request would be sent once
    /// more; so a look counts for no more than twice the time between two.
    ///
    /// ```
    /// use redwingfold_core::{Millis, SilenceWatch};
    /// let mut watch = SilenceWatch::new(Millis(0), Millis(250));
    /// watch.poll(Millis(250), Millis(0));
    /// watch.poll(Millis(9_000), Millis(0));
    /// assert_eq!(watch.waited(), Millis(750));
    /// ```
    pub fn poll(&mut self, now: Millis, heard_at: Millis) {
        let step = now.since(self.polled_at).min(self.max_step);
        self.request_silence = self.request_silence.after(step);
        self.server_silence =
            if heard_at > self.polled_at { Millis(0) } else { self.server_silence.after(step) };
        self.polled_at = now;
    }

    /// Returns how long the request has waited.
    pub fn waited(&self) -> Millis {
        self.request_silence
    }

    /// Says whether another server should be asked.
    pub fn is_over(
        &self,
        policy: &SilencePolicy,
        awaited: Awaited,
        aim: Millis,
        pressure: f64,
    ) -> bool {
        let is_request_silent = policy
            .request_timeout(awaited, aim, pressure)
            .is_some_and(|wait| self.request_silence >= wait);
        is_request_silent || self.server_silence >= policy.hang_timeout(awaited, aim)
    }
}
