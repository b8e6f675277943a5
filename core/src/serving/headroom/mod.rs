//! Free capacity of backend servers, as one gateway may use it without a coordinator.

mod pressure;
mod run_times;

pub use pressure::HeadroomPressure;
pub use run_times::{Run, RunTimes};

use super::capacity_loans::Part;
use crate::ids::Millis;

/// Maximum age of a load report; runs last a few seconds, so that an older report says little about the present.
const MAX_REPORT_AGE: Millis = Millis(3_000);

/// Maximum number of waiting requests per slot that a report counts with. A queue of 8 runs of a few seconds per slot
/// takes longer than any caller waits, so that a larger value makes no difference to a decision.
const MAX_WAITING_PER_SLOT: u32 = 8;

/// A wait that never ends.
const NEVER: Millis = Millis(u64::MAX);

/// What a gateway knows about one server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServerFacts {
    /// Requests that the server runs at the same time.
    pub slots: u32,
    /// Tokens that fit in its memory, if it is limited.
    pub memory_tokens: Option<u64>,
    /// The newest load report, whichever gateway received it.
    pub report: Option<LoadSample>,
    /// Requests of this gateway that are at the server now, including those sent since the report.
    pub own_running: u32,
    /// Tokens of these requests.
    pub own_tokens: u64,
    /// Requests of this gateway that the report does not include: sent after it was made, or so shortly before that
    /// they had not arrived. The report in the first event of an answer includes its own request.
    pub sent_since_report: u32,
    /// Time that the server needs for the prompts that it has not read yet.
    pub prefill_wait: Millis,
}

/// Load of a server according to its report.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadSample {
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Time since the report was made.
    pub age: Millis,
}

impl LoadSample {
    /// Returns the load that is left of the report, after the completions that are expected since it was made.
    ///
    /// Load pattern: calls of a few tens of milliseconds at a small service. A gateway hears of its load only in answers
    /// and, a tenth of a second later, from its peers. By the report alone a server that was full stays full until then,
    /// although it has completed all that it ran.
    ///
    /// ```
    /// use redwingfold_core::{LoadSample, Millis, Run};
    /// let run = Run { duration: Millis(60), tokens: 0 };
    /// let left = |age| LoadSample { running: 6, waiting: 4, age: Millis(age) }.remaining(6, run);
    /// assert_eq!((left(0).waiting, left(20).waiting, left(50).running, left(100).running), (4, 2, 5, 0));
    /// ```
    pub fn remaining(self, slots: u32, run: Run) -> Self {
        let completed = u64::from(slots) * self.age.0 / run.duration.0.max(1);
        let completed = u32::try_from(completed).unwrap_or(u32::MAX);
        let waiting = self.waiting.saturating_sub(completed);
        let running = self.running.saturating_sub(completed.saturating_sub(self.waiting));
        Self { running, waiting, ..self }
    }
}

/// Capacity of a server or service that this gateway may use now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Headroom {
    /// Requests that this gateway may send at once; a whole number.
    pub free_slots: f64,
    /// Free memory in tokens; `None` if it is not limited. For a service, the sum over its servers.
    pub free_tokens: Option<u64>,
    /// Time until the server begins to read a new prompt.
    pub prefill_wait: Millis,
    /// Expected time until this gateway may send a request; zero if a slot is free. For a service, that of the server
    /// where a new prompt is read first, like `prefill_wait`.
    pub next_slot: Millis,
    /// Age of the oldest report in the estimate, even if it has expired; `None` if there is no report.
    pub age: Option<Millis>,
}

impl Headroom {
    /// Returns it with no more than `slots` free slots.
    #[must_use]
    pub fn limited_to(self, slots: u32) -> Self {
        Self { free_slots: self.free_slots.min(f64::from(slots)), ..self }
    }

    /// Returns the expected time until the first event of a new prompt that takes `prefill` to read.
    ///
    /// ```
    /// use redwingfold_core::{HeadroomPolicy, Millis, Run, ServerFacts};
    /// let facts = ServerFacts { slots: 6, prefill_wait: Millis(80), ..ServerFacts::default() };
    /// let room = HeadroomPolicy::default().server(&facts, Run::default(), 3);
    /// assert_eq!(room.first_event(Millis(20)), Millis(100));
    /// ```
    pub fn first_event(&self, prefill: Millis) -> Millis {
        self.next_slot.after(self.prefill_wait).after(prefill)
    }

    /// Returns whether a request of `tokens` fits in the free memory. That of a service may be spread over servers none
    /// of which has room for it, so that the answer is final for a single server only.
    pub fn fits(&self, tokens: u64) -> bool {
        self.free_tokens.is_none_or(|free| tokens <= free)
    }
}

/// How a gateway estimates the capacity that it may use.
///
/// Load pattern: in a burst, 23 gateways see the same 8 free slots of a server. If each used all of them before the
/// next report, the server would get 184 requests. Therefore each gateway uses its part of the free slots, but at least
/// one.
///
/// With the right fleet size, all gateways together exceed the slots of a server by less than the larger of its slots
/// and the fleet size, whatever their reports say (`core/tests/headroom.rs`).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeadroomPolicy {
    /// Maximum age of a load report.
    pub max_report_age: Millis,
}

impl Default for HeadroomPolicy {
    fn default() -> Self {
        Self { max_report_age: MAX_REPORT_AGE }
    }
}

impl HeadroomPolicy {
    /// Returns the capacity of a server for requests like `run`. `part` is that of this gateway, or the number of
    /// gateways if it neither lends nor borrows.
    ///
    /// A gateway that does not know the size of the fleet, because it has just started, passes 0. It then uses at most
    /// one slot of the server before the next report. A single gateway passes 1.
    ///
    /// Without a report, the gateway uses its part of all slots. So it does with an expired one, but no more than its
    /// part of the slots that were free then. One request is allowed even if none were: otherwise a server that was
    /// full in its last report would not be used again.
    ///
    /// ```
    /// use redwingfold_core::{HeadroomPolicy, LoadSample, Millis, Run, ServerFacts};
    /// let report = LoadSample { running: 30, waiting: 0, age: Millis(200) };
    /// let facts = ServerFacts { slots: 48, report: Some(report), ..ServerFacts::default() };
    /// let free = |fleet| HeadroomPolicy::default().server(&facts, Run::default(), fleet).free_slots;
    /// assert_eq!((free(0), free(1), free(3), free(330)), (1.0, 18.0, 6.0, 1.0));
    /// ```
    pub fn server(&self, facts: &ServerFacts, run: Run, part: impl Into<Part>) -> Headroom {
        let part = part.into();
        let report = facts.capped_report();
        let valid = report.filter(|report| report.age <= self.max_report_age);
        let free_tokens = facts.free_tokens(valid, run);
        let free_slots = match (valid, report) {
            (Some(valid), _) => {
                part.of(facts.reported_free(valid, run)).saturating_sub(facts.unseen())
            }
            (None, Some(expired)) => part
                .of(facts.reported_free(expired, run).max(1))
                .saturating_sub(facts.unseen())
                .min(facts.free_without_report(run, part)),
            (None, None) => facts.free_without_report(run, part),
        };
        Headroom {
            free_slots: f64::from(free_slots),
            free_tokens,
            prefill_wait: facts.prefill_wait,
            next_slot: match free_slots {
                0 => facts.next_slot(valid, run, part),
                _ => Millis(0),
            },
            age: facts.report.map(|report| report.age),
        }
    }

    /// Returns the capacity of a service: the sums of the free slots and tokens of its servers, the waits of the server
    /// where a new prompt is read first, and the largest age of a report.
    ///
    /// Both waits are those of one server. The smallest of each would promise a time that no server can keep if the
    /// server with a free slot has many prompts to read and the one without prompts has no slot.
    ///
    /// ```
    /// use redwingfold_core::{HeadroomPolicy, Millis, Run, ServerFacts};
    /// let policy = HeadroomPolicy::default();
    /// let room = |prefill_wait| {
    ///     let facts = ServerFacts { slots: 6, prefill_wait, ..ServerFacts::default() };
    ///     policy.server(&facts, Run::default(), 3)
    /// };
    /// let service = policy.service([room(Millis(90)), room(Millis(40))]);
    /// assert_eq!((service.free_slots, service.prefill_wait), (4.0, Millis(40)));
    /// ```
    pub fn service(&self, rooms: impl IntoIterator<Item = Headroom>) -> Headroom {
        let none = Headroom {
            free_slots: 0.0,
            free_tokens: Some(0),
            prefill_wait: Millis(0),
            next_slot: NEVER,
            age: None,
        };
        rooms.into_iter().fold(none, |sum, room| {
            let is_sooner = room.first_event(Millis(0)) < sum.first_event(Millis(0));
            let soonest = if is_sooner { room } else { sum };
            Headroom {
                free_slots: sum.free_slots + room.free_slots,
                free_tokens: sum
                    .free_tokens
                    .zip(room.free_tokens)
                    .map(|(a, b)| a.saturating_add(b)),
                age: sum.age.max(room.age),
                ..soonest
            }
        })
    }

    /// Returns the slots of a server that are free for all gateways together, according to a valid report and the
    /// requests that this gateway sent since; `None` without a valid report.
    ///
    /// This is the measure for [`HeadroomPressure`]: at 330 gateways the part of one gateway is one slot until the
    /// server is full.
    ///
    /// ```
    /// use redwingfold_core::{HeadroomPolicy, LoadSample, Millis, ServerFacts};
    /// let report = LoadSample { running: 30, waiting: 0, age: Millis(200) };
    /// let facts = ServerFacts { slots: 48, report: Some(report), ..ServerFacts::default() };
    /// assert_eq!(HeadroomPolicy::default().fleet_free_slots(&facts), Some(18.0));
    /// ```
    pub fn fleet_free_slots(&self, facts: &ServerFacts) -> Option<f64> {
        let valid = facts.capped_report().filter(|report| report.age <= self.max_report_age)?;
        let taken = valid.running + valid.waiting;
        Some(f64::from(facts.slots.saturating_sub(taken.saturating_add(facts.unseen()))))
    }
}

/// Returns how many requests of `tokens` each fit in the memory.
fn runs_in(free_tokens: Option<u64>, tokens: u64) -> u32 {
    let runs = free_tokens.and_then(|free| free.checked_div(tokens));
    runs.map_or(u32::MAX, |runs| u32::try_from(runs).unwrap_or(u32::MAX))
}

impl ServerFacts {
    /// Returns the report with values that the server can have.
    fn capped_report(&self) -> Option<LoadSample> {
        let max_waiting = self.slots.saturating_mul(MAX_WAITING_PER_SLOT).min(u32::MAX / 2);
        self.report.map(|report| LoadSample {
            running: report.running.min(self.slots).min(u32::MAX / 2),
            waiting: report.waiting.min(max_waiting),
            age: report.age,
        })
    }

    /// Returns the requests at the server that the report does not include; those that have ended no longer count.
    fn unseen(&self) -> u32 {
        self.sent_since_report.min(self.own_running)
    }

    /// Returns the memory that is left by own requests and by those of other gateways, which are assumed to use
    /// `run.tokens` each.
    fn free_tokens(&self, report: Option<LoadSample>, run: Run) -> Option<u64> {
        let own_reported = self.own_running - self.unseen();
        let others = report.map_or(0, |report| report.running.saturating_sub(own_reported));
        let used = run.tokens.saturating_mul(u64::from(others)).saturating_add(self.own_tokens);
        self.memory_tokens.map(|memory| memory.saturating_sub(used))
    }

    /// Returns how many requests the server could start when it made the report.
    fn reported_free(&self, report: LoadSample, run: Run) -> u32 {
        let fitting = runs_in(self.free_tokens(Some(report), run), run.tokens);
        self.slots
            .saturating_sub(report.running + report.waiting)
            .min(fitting.saturating_add(self.unseen()))
    }

    /// Returns the requests that may be sent if only those of this gateway are known.
    fn free_without_report(&self, run: Run, part: Part) -> u32 {
        let fitting = runs_in(self.free_tokens(None, run), run.tokens);
        part.of(self.slots.min(fitting.saturating_add(self.own_running)))
            .saturating_sub(self.own_running)
    }

    /// Returns the expected time until this request can start if no slot is free now: after one completion for each
    /// request ahead of it and one for itself.
    fn next_slot(&self, valid: Option<LoadSample>, run: Run, part: Part) -> Millis {
        let fits_now = runs_in(self.free_tokens(valid, run), run.tokens) > 0;
        // The requests at the server or, without a report, in the part of this gateway; and the slots that they use.
        let (present, slots) = match valid {
            Some(report) => {
                ((report.running + report.waiting).saturating_add(self.unseen()), self.slots)
            }
            None => (self.own_running, part.of(self.slots)),
        };
        let ending = if fits_now { slots } else { slots.min(present).max(1) };
        match self.memory_tokens {
            _ if self.slots == 0 => NEVER,
            Some(memory) if run.tokens > memory => NEVER,
            _ => {
                let completions = f64::from(present.saturating_sub(slots)) + 1.0;
                let duration = run.duration.0.max(1) as f64;
                Millis((completions * duration / f64::from(ending)).ceil() as u64)
            }
        }
    }
}
