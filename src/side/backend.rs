//! One backend server: its request queue and its current load.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use redwingfold_core::{
    CustomerName, ErrorKind, FairQueue, Millis, QueueEntry, QueueLimits, VersionName,
};
use smol::channel::{Sender, bounded};

use crate::clock::Clock;
use crate::platform::EngineLoad;
use crate::settings::{BackendKind, BackendSettings, QueueSettings};
use crate::wire::Load;

/// Inverse weight of a new sample in the moving average of the time to first token.
const FIRST_TOKEN_SMOOTHING: u64 = 8;

/// A queued request: the channel for its admission result, and the version that it needs.
#[derive(Debug)]
struct QueuedRequest {
    result_tx: Sender<Result<Permit, ErrorKind>>,
    version: Option<VersionName>,
}

#[derive(Debug)]
struct State {
    queue: FairQueue<QueuedRequest>,
    running: u32,
    slots: u32,
    reported_busy: u32,
    versions: Vec<VersionName>,
    smoothed_first_token: Millis,
    is_up: bool,
}

/// One backend server.
#[derive(Debug)]
pub(crate) struct Backend {
    pub(crate) settings: BackendSettings,
    clock: Clock,
    state: Mutex<State>,
}

/// Permission to run a request; dropping it frees the slot and dispatches the next request.
#[derive(Debug)]
pub(crate) struct Permit {
    backend: Arc<Backend>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.backend.lock().running -= 1;
        self.backend.dispatch();
    }
}

/// A request for admission.
pub(crate) struct Admission {
    pub(crate) customer: CustomerName,
    pub(crate) version: Option<VersionName>,
    pub(crate) weight: u32,
    pub(crate) priority: u8,
    pub(crate) work_tokens: u64,
    pub(crate) deadline: Millis,
}

impl Backend {
    pub(crate) fn new(settings: BackendSettings, limits: &QueueSettings, clock: Clock) -> Self {
        let limits = QueueLimits {
            max_waiting: limits.max_waiting,
            max_per_customer: limits.max_per_customer,
        };
        let state = State {
            queue: FairQueue::new(limits),
            running: 0,
            slots: settings.slots,
            reported_busy: 0,
            versions: Vec::new(),
            smoothed_first_token: Millis(20),
            // A plain service sends no load reports: it counts as up, and only failed calls show
            // that it is down.
            is_up: settings.kind == BackendKind::Service,
        };
        Self { settings, clock, state: Mutex::new(state) }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the load that an engine reported, and marks it as up.
    pub(crate) fn record_engine_load(&self, load: EngineLoad) {
        let mut state = self.lock();
        state.reported_busy = load.running + load.waiting;
        state.slots = load.slots.min(self.settings.slots).max(1);
        state.versions = load.versions;
        state.is_up = true;
    }

    /// Marks an engine as down after a failed load report.
    pub(crate) fn mark_down(&self) {
        self.lock().is_up = false;
    }

    pub(crate) fn has_version(&self, version: &VersionName) -> bool {
        self.lock().versions.contains(version)
    }

    pub(crate) fn versions(&self) -> Vec<VersionName> {
        self.lock().versions.clone()
    }

    /// Adds a sample to the moving average of the time from sending a request to its first byte.
    pub(crate) fn record_first_token_time(&self, elapsed: Millis) {
        let mut state = self.lock();
        let previous = state.smoothed_first_token.0;
        state.smoothed_first_token = Millis(
            (previous * (FIRST_TOKEN_SMOOTHING - 1) + elapsed.0).div_ceil(FIRST_TOKEN_SMOOTHING),
        );
    }

    /// Returns the load that is reported to the entries.
    ///
    /// The busy slots are the requests that this side runs and queues, or the engine's last report
    /// if that is higher. The side's own count is always current, the report only after a poll.
    pub(crate) fn load(&self) -> Load {
        let state = self.lock();
        let own_busy = state.running + state.queue.len() as u32;
        Load {
            backend: self.settings.name.clone(),
            service: match self.settings.kind {
                BackendKind::Engine => None,
                BackendKind::Service => self.settings.service.clone(),
            },
            versions: state.versions.clone(),
            slots: state.slots,
            busy: own_busy.max(state.reported_busy),
            first_token: state.smoothed_first_token,
            up: state.is_up,
        }
    }

    /// Queues a request and waits for permission to run it.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Overloaded`] at once if the queue is full or the estimated start is after the
    /// deadline. While the request waits: [`ErrorKind::DeadlinePassed`], [`ErrorKind::Withdrawn`]
    /// if its version is withdrawn, or [`ErrorKind::Stopping`].
    pub(crate) async fn admit(self: &Arc<Self>, request: Admission) -> Result<Permit, ErrorKind> {
        let (tx, rx) = bounded(1);
        let queued = QueuedRequest { result_tx: tx, version: request.version };
        {
            let mut state = self.lock();
            let rounds_ahead = state.queue.len() as u64 / u64::from(state.slots.max(1));
            let estimated_start =
                self.clock.now().after(Millis(rounds_ahead * state.smoothed_first_token.0));
            if estimated_start > request.deadline {
                return Err(ErrorKind::Overloaded);
            }
            let waiting = QueueEntry {
                item: queued,
                customer: request.customer,
                work: request.work_tokens,
                deadline: request.deadline,
            };
            state
                .queue
                .push(waiting, request.weight, request.priority)
                .map_err(|(_, kind)| kind)?;
        }
        self.dispatch();
        let remaining = request.deadline.since(self.clock.now());
        match crate::clock::with_timeout(remaining, rx.recv()).await {
            Some(Ok(outcome)) => outcome,
            Some(Err(_)) => Err(ErrorKind::Stopping),
            None => Err(ErrorKind::DeadlinePassed),
        }
    }

    /// Gives free slots to queued requests.
    ///
    /// Permits are sent without holding the lock: if the receiver was dropped, the permit is
    /// dropped here, and its `Drop` takes the lock.
    fn dispatch(self: &Arc<Self>) {
        let now = self.clock.now();
        loop {
            let mut expired = Vec::new();
            let next = {
                let mut state = self.lock();
                let next = match state.running < state.slots {
                    true => state.queue.pop(now, &mut expired),
                    false => None,
                };
                state.running += u32::from(next.is_some());
                next
            };
            for queued in expired {
                queued.item.result_tx.try_send(Err(ErrorKind::DeadlinePassed)).ok();
            }
            let Some(queued) = next else { return };
            let permit = Permit { backend: self.clone() };
            queued.item.result_tx.try_send(Ok(permit)).ok();
        }
    }

    /// Rejects queued requests for withdrawn versions.
    pub(crate) fn reject_queued(&self, is_withdrawn: impl Fn(&VersionName) -> bool) {
        let waits_for_withdrawn =
            |queued: &QueuedRequest| queued.version.as_ref().is_some_and(&is_withdrawn);
        let rejected = self.lock().queue.remove_if(|waiting| waits_for_withdrawn(&waiting.item));
        for waiting in rejected {
            waiting.item.result_tx.try_send(Err(ErrorKind::Withdrawn)).ok();
        }
    }
}
