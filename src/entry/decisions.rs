//! Traces of routing decisions, kept for the most recent requests.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use redwingfold_core::{Millis, RequestId};
use serde::Serialize;

/// One step of a decision trace.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Step {
    /// Milliseconds since the request was received.
    pub(crate) at: Millis,
    pub(crate) what: &'static str,
    pub(crate) detail: String,
}

/// The decision trace of one request.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Decision {
    pub(crate) request: RequestId,
    pub(crate) customer: String,
    pub(crate) asked_for: String,
    pub(crate) began: Millis,
    pub(crate) steps: Vec<Step>,
}

/// Shared handle to a request's trace, with the monotonic start time.
#[derive(Clone, Debug)]
pub(crate) struct DecisionTrace(Arc<Mutex<Decision>>, Millis);

impl DecisionTrace {
    pub(crate) fn step(&self, now: Millis, what: &'static str, detail: impl Into<String>) {
        let mut decision = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let at = now.since(self.1);
        decision.steps.push(Step { at, what, detail: detail.into() });
    }

    pub(crate) fn set_request(&self, customer: &str, name: &str) {
        let mut decision = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        decision.customer = customer.to_owned();
        decision.asked_for = name.to_owned();
    }

    pub(crate) fn to_json(&self) -> Vec<u8> {
        let decision = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        serde_json::to_vec(&*decision).unwrap_or_default()
    }
}

/// The traces of this entry's most recent requests, at most `max_traces`.
#[derive(Debug)]
pub(crate) struct Decisions {
    max_traces: usize,
    traces: Mutex<TraceTable>,
}

#[derive(Debug, Default)]
struct TraceTable {
    by_id: HashMap<RequestId, DecisionTrace>,
    order: VecDeque<RequestId>,
}

impl Decisions {
    pub(crate) fn new(max_traces: usize) -> Self {
        Self { max_traces, traces: Mutex::default() }
    }

    fn lock(&self) -> MutexGuard<'_, TraceTable> {
        self.traces.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts the trace of a request. `wall` is the start time that is reported; `now` is monotonic
    /// and the base of the steps' times.
    pub(crate) fn start_trace(
        &self,
        request: RequestId,
        wall: Millis,
        now: Millis,
    ) -> DecisionTrace {
        let decision = Decision {
            request,
            customer: String::new(),
            asked_for: String::new(),
            began: wall,
            steps: Vec::new(),
        };
        let trace = DecisionTrace(Arc::new(Mutex::new(decision)), now);
        let mut traces = self.lock();
        traces.by_id.insert(request, trace.clone());
        traces.order.push_back(request);
        if traces.order.len() > self.max_traces
            && let Some(oldest) = traces.order.pop_front()
        {
            traces.by_id.remove(&oldest);
        }
        trace
    }

    pub(crate) fn get(&self, request: RequestId) -> Option<DecisionTrace> {
        self.lock().by_id.get(&request).cloned()
    }
}
