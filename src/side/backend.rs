//! One backend server: the queue before it, and what is known of its load.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use redwingfold_core::{
    CustomerName, ErrorKind, FairQueue, Millis, QueueLimits, QueuedRequest, VersionName,
};
use smol::channel::{Sender, bounded};

use crate::clock::Clock;
use crate::platform::EngineLoad;
use crate::settings::{BackendKind, BackendSettings, QueueSettings};
use crate::wire::Load;

/// Part of a new measurement in the smoothed time to the first token: one eighth.
const SMOOTHING: u64 = 8;

/// What waits in the queue: the way to tell the request, and its version.
#[derive(Debug)]
struct Ticket {
    tell: Sender<Result<Permit, ErrorKind>>,
    version: Option<VersionName>,
}

#[derive(Debug)]
struct State {
    queue: FairQueue<Ticket>,
    running: u32,
    slots: u32,
    reported: u32,
    versions: Vec<VersionName>,
    first_token: Millis,
    up: bool,
}

/// One backend server.
#[derive(Debug)]
pub(crate) struct Backend {
    pub(crate) settings: BackendSettings,
    clock: Clock,
    state: Mutex<State>,
}

/// Permission to run a request; dropping it lets the next one run.
#[derive(Debug)]
pub(crate) struct Permit {
    backend: Arc<Backend>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.backend.lock().running -= 1;
        self.backend.pump();
    }
}

/// A request for admission.
pub(crate) struct Admission {
    pub(crate) customer: CustomerName,
    pub(crate) version: Option<VersionName>,
    pub(crate) weight: u32,
    pub(crate) priority: u8,
    pub(crate) work: u64,
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
            reported: 0,
            versions: Vec::new(),
            first_token: Millis(20),
            // A plain service does not say how it is: it is up until calls fail.
            up: settings.kind == BackendKind::Service,
        };
        Self { settings, clock, state: Mutex::new(state) }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes an engine's report.
    pub(crate) fn report(&self, load: EngineLoad) {
        let mut state = self.lock();
        state.reported = load.running + load.waiting;
        state.slots = load.slots.min(self.settings.slots).max(1);
        state.versions = load.versions;
        state.up = true;
    }

    /// Notes that an engine did not report.
    pub(crate) fn down(&self) {
        self.lock().up = false;
    }

    pub(crate) fn has(&self, version: &VersionName) -> bool {
        self.lock().versions.contains(version)
    }

    pub(crate) fn versions(&self) -> Vec<VersionName> {
        self.lock().versions.clone()
    }

    /// Notes how long a request that did not wait took to its first byte.
    pub(crate) fn note_first_token(&self, took: Millis) {
        let mut state = self.lock();
        let old = state.first_token.0;
        state.first_token = Millis((old * (SMOOTHING - 1) + took.0).div_ceil(SMOOTHING));
    }

    /// Returns the load as entries are told it: what this side sent itself is known at once, the
    /// engine's own report counts where it is higher.
    pub(crate) fn load(&self) -> Load {
        let state = self.lock();
        let own = state.running + state.queue.len() as u32;
        Load {
            backend: self.settings.name.clone(),
            service: match self.settings.kind {
                BackendKind::Engine => None,
                BackendKind::Service => self.settings.service.clone(),
            },
            versions: state.versions.clone(),
            slots: state.slots,
            busy: own.max(state.reported),
            first_token: state.first_token,
            up: state.up,
        }
    }

    /// Waits for permission to run.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Overloaded`] at once if the queue is full or the deadline cannot be met, and
    /// whatever happened to the request while it waited.
    pub(crate) async fn admit(self: &Arc<Self>, ask: Admission) -> Result<Permit, ErrorKind> {
        let (tx, rx) = bounded(1);
        let ticket = Ticket { tell: tx, version: ask.version };
        {
            let mut state = self.lock();
            let rounds = state.queue.len() as u64 / u64::from(state.slots.max(1));
            let begins = self.clock.now().after(Millis(rounds * state.first_token.0));
            if begins > ask.deadline {
                return Err(ErrorKind::Overloaded);
            }
            let waiting = QueuedRequest {
                item: ticket,
                customer: ask.customer,
                work: ask.work,
                deadline: ask.deadline,
            };
            state.queue.push(waiting, ask.weight, ask.priority).map_err(|(_, kind)| kind)?;
        }
        self.pump();
        let left = ask.deadline.since(self.clock.now());
        match crate::clock::within(left, rx.recv()).await {
            Some(Ok(outcome)) => outcome,
            Some(Err(_)) => Err(ErrorKind::Stopping),
            None => Err(ErrorKind::DeadlinePassed),
        }
    }

    /// Gives free slots to those who wait. Permits are sent without the lock: one whose receiver
    /// has gone is dropped here, and dropping it takes the lock.
    fn pump(self: &Arc<Self>) {
        let now = self.clock.now();
        loop {
            let mut late = Vec::new();
            let next = {
                let mut state = self.lock();
                let next = match state.running < state.slots {
                    true => state.queue.pop(now, &mut late),
                    false => None,
                };
                state.running += u32::from(next.is_some());
                next
            };
            for ticket in late {
                ticket.item.tell.try_send(Err(ErrorKind::DeadlinePassed)).ok();
            }
            let Some(ticket) = next else { return };
            let permit = Permit { backend: self.clone() };
            ticket.item.tell.try_send(Ok(permit)).ok();
        }
    }

    /// Refuses those who wait for a version that is withdrawn.
    pub(crate) fn refuse_if(&self, is_withdrawn: impl Fn(&VersionName) -> bool) {
        let refused = |t: &Ticket| t.version.as_ref().is_some_and(&is_withdrawn);
        let taken = self.lock().queue.remove_if(|waiting| refused(&waiting.item));
        for waiting in taken {
            waiting.item.tell.try_send(Err(ErrorKind::Withdrawn)).ok();
        }
    }
}
