//! The decision on a request that arrives.

use super::Demand;
use crate::ids::Millis;

/// Minimum time after which a refused caller may return, so that no refusal names the present as its time.
const MIN_READY_IN: Millis = Millis(1);

/// Free capacity of the servers that may run a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    /// Number of requests that could start at once; a fraction if this gateway's part is less than one.
    pub free_slots: f64,
    /// Time until a slot becomes free; 0 if one is free.
    pub next_slot: Millis,
    /// Time that a prompt waits at its server before it is read.
    pub prefill_wait: Millis,
}

/// What to do with a request that arrives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionDecision {
    /// There is capacity for it and no request goes before it.
    Send,
    /// It can begin in time later.
    Wait,
    /// It cannot be of use to its caller.
    Refuse {
        /// Time until the requests ahead of it have started and there is capacity for it.
        ready_in: Millis,
    },
}

/// Decides which requests are sent, wait or are refused.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AdmissionPolicy;

impl AdmissionPolicy {
    /// Decides about a request.
    ///
    /// `ahead` is the number of waiting requests of the same or a higher effective rank, and `rate` the number of
    /// requests per second that start at present. If the rate is unknown (zero or not finite), only the time until the
    /// next slot counts: without an estimate, waiting costs the caller less than a refusal without reason.
    ///
    /// ```
    /// use redwingfold_core::{AdmissionDecision, AdmissionPolicy, Capacity, Demand, Millis, Priority};
    /// let demand = Demand {
    ///     rank: Priority(1),
    ///     tokens: 400,
    ///     arrived_at: Millis(0),
    ///     latency_target: Millis(500),
    ///     patience: Millis(2_000),
    ///     deadline: Millis(9_000),
    ///     prefill: Millis(100),
    ///     duration: Millis(900),
    /// };
    /// let free = Capacity { free_slots: 1.0, next_slot: Millis(0), prefill_wait: Millis(0) };
    /// let full = Capacity { free_slots: 0.0, next_slot: Millis(200), ..free };
    /// let decide = |capacity, ahead| {
    ///     AdmissionPolicy.decide(&capacity, ahead, 10.0, &demand, Millis(0))
    /// };
    /// assert_eq!(decide(free, 0), AdmissionDecision::Send);
    /// assert_eq!(decide(full, 5), AdmissionDecision::Wait);
    /// assert_eq!(decide(full, 30), AdmissionDecision::Refuse { ready_in: Millis(3_000) });
    /// ```
    pub fn decide(
        &self,
        capacity: &Capacity,
        ahead: usize,
        rate: f64,
        demand: &Demand,
        now: Millis,
    ) -> AdmissionDecision {
        if capacity.free_slots >= 1.0 && ahead == 0 {
            return AdmissionDecision::Send;
        }
        let start_in = queue_wait(capacity, ahead, rate).after(capacity.prefill_wait);
        let first_event_at = now.after(start_in).after(demand.prefill);
        let is_late = first_event_at > demand.arrived_at.after(demand.patience)
            || first_event_at.after(demand.duration) > demand.deadline;
        match is_late {
            true => AdmissionDecision::Refuse { ready_in: start_in.max(MIN_READY_IN) },
            false => AdmissionDecision::Wait,
        }
    }
}

/// Returns the time until the requests ahead have started and a further one can start.
fn queue_wait(capacity: &Capacity, ahead: usize, rate: f64) -> Millis {
    // Requests ahead that start at once in free slots do not delay the others.
    let queued = (ahead as f64 - capacity.free_slots.max(0.0).floor()).max(0.0);
    match queued / rate * 1_000.0 {
        wait if rate > 0.0 && wait.is_finite() => {
            capacity.next_slot.max(Millis(wait.ceil() as u64))
        }
        _ => capacity.next_slot,
    }
}
