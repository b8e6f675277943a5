//! When a backend server that owes a request bytes has been silent for too long.

use crate::ids::Millis;

/// How long requests wait in silence before another server is asked.
#[derive(Clone, Copy, Debug)]
pub struct SilencePolicy {
    /// Wait for the head of a stream, as a part of its aim, while there is no pressure.
    pub head_part: f64,
    /// What a pressure of one adds to that part: at such a pressure first bytes take the whole aim.
    pub head_pressure: f64,
    /// Wait for the head for each millisecond that the server is expected to need.
    pub head_expected: u64,
    /// Wait for the next event, as a part of the longest pause that is still in time.
    pub event_part: f64,
    /// Shortest wait for an event.
    pub min_event: Millis,
    /// Pressure from which only the silence of a whole server counts.
    pub full: f64,
    /// Shortest time that a model engine owes everyone something before its silence counts.
    pub min_engine: Millis,
    /// The same for a plain server.
    pub min_plain: Millis,
}

impl Default for SilencePolicy {
    /// First bytes take a tenth of the aim on servers without a queue, and 99 in 100 pauses between
    /// events are shorter than 0.6 s (envol-routage, twelve days).
    fn default() -> Self {
        Self {
            head_part: 0.5,
            head_pressure: 2.0,
            head_expected: 3,
            event_part: 0.75,
            min_event: Millis(750),
            full: 0.30,
            min_engine: Millis(2_000),
            min_plain: Millis(500),
        }
    }
}

/// What a request waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Owed {
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
    /// use redwingfold_core::{Millis, Owed, SilencePolicy};
    /// let policy = SilencePolicy::default();
    /// let wait = |owed, pressure| policy.wait(owed, Millis(2_000), pressure);
    /// assert_eq!(wait(Owed::Head(Millis(100)), 0.0), Some(Millis(1_300)));
    /// assert!(wait(Owed::Head(Millis(100)), 0.2) > wait(Owed::Head(Millis(100)), 0.1));
    /// assert_eq!(wait(Owed::Head(Millis(100)), 0.5), None);
    /// ```
    pub fn wait(&self, owed: Owed, aim: Millis, pressure: f64) -> Option<Millis> {
        let part = |whole: Millis, part: f64| Millis((whole.0 as f64 * part) as u64);
        match owed {
            Owed::Plain => Some(self.min_plain.max(Millis(aim.0 * 2))),
            _ if pressure >= self.full => None,
            Owed::Head(expected) => {
                let base = part(aim, self.head_part + self.head_pressure * pressure);
                Some(base.after(Millis(expected.0 * self.head_expected)))
            }
            Owed::Event(gap) => Some(self.min_event.max(part(gap, self.event_part))),
        }
    }

    /// Returns the silence towards everyone after which a server counts as hanging.
    pub fn hang(&self, owed: Owed, aim: Millis) -> Millis {
        let least = if owed == Owed::Plain { self.min_plain } else { self.min_engine };
        least.max(Millis(aim.0 * 3 / 2))
    }
}

/// How long a request has been owed bytes, as this process saw it.
#[derive(Clone, Copy, Debug)]
pub struct SilenceWatch {
    looked_at: Millis,
    /// Longest time between two looks that counts.
    max_step: Millis,
    own: Millis,
    server: Millis,
}

impl SilenceWatch {
    /// Begins to watch; it is looked at each `every`.
    pub fn new(now: Millis, every: Millis) -> Self {
        let max_step = Millis(every.0 * 2);
        Self { looked_at: now, max_step, own: Millis(0), server: Millis(0) }
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
    /// watch.look(Millis(250), Millis(0));
    /// watch.look(Millis(9_000), Millis(0));
    /// assert_eq!(watch.own(), Millis(750));
    /// ```
    pub fn look(&mut self, now: Millis, heard_at: Millis) {
        let step = now.since(self.looked_at).min(self.max_step);
        self.own = self.own.after(step);
        self.server = if heard_at > self.looked_at { Millis(0) } else { self.server.after(step) };
        self.looked_at = now;
    }

    /// Returns how long the request has waited.
    pub fn own(&self) -> Millis {
        self.own
    }

    /// Says whether another server should be asked.
    pub fn is_over(&self, policy: &SilencePolicy, owed: Owed, aim: Millis, pressure: f64) -> bool {
        let is_lost = policy.wait(owed, aim, pressure).is_some_and(|wait| self.own >= wait);
        is_lost || self.server >= policy.hang(owed, aim)
    }
}
