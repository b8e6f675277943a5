//! The memory that callers' requests hold: reserved before it is used, and given back when a request ends in any way.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt::Display;
use std::rc::Rc;

use event_listener::Event;
use redwingfold_core::{
    Evicted, Eviction, HolderNumber, MemoryBudget, MemoryFull, MemoryOwner, MemoryPhase,
    MemoryPolicy, RequestMemory,
};
use redwingfold_telemetry::Telemetry;

use crate::caller_connection::{CallerConnection, OpenConnections};
use crate::clock::Clock;
use crate::log_rate::LogRate;

/// Copies of a head that a request holds: the one that was received, and the one that is sent.
const HEAD_COPIES: usize = 2;

/// The account of all requests of a gateway.
#[derive(Debug)]
pub(crate) struct MemoryAccount {
    budget: MemoryBudget,
    /// The connections that share the budget.
    connections: OpenConnections,
    memory: RefCell<RequestMemory>,
    holders: RefCell<HashMap<HolderNumber, Rc<HolderState>>>,
    telemetry: Telemetry,
    log_rate: LogRate,
}

/// Whether a request has lost its memory.
#[derive(Debug)]
struct HolderState {
    eviction: Cell<Option<Eviction>>,
    evicted: Event,
    connection: Rc<CallerConnection>,
}

/// The memory of one request, until it is dropped.
#[derive(Debug)]
pub(crate) struct HeldMemory {
    account: Rc<MemoryAccount>,
    number: HolderNumber,
    state: Rc<HolderState>,
    /// Bytes that are reserved for its head.
    head: usize,
}

impl MemoryAccount {
    pub(crate) fn new(
        policy: MemoryPolicy,
        budget: MemoryBudget,
        connections: OpenConnections,
        telemetry: Telemetry,
    ) -> Self {
        let policy = MemoryPolicy { total: budget.for_requests(0), ..policy };
        Self {
            budget,
            connections,
            memory: RefCell::new(RequestMemory::new(policy)),
            holders: RefCell::default(),
            telemetry,
            log_rate: LogRate::default(),
        }
    }

    /// Prepares for a further connection: sets how many places there is memory for, after requests that have stalled gave way.
    pub(crate) fn prepare_connection(&self) {
        self.fit_beside(self.connections.count() + 1);
        self.connections.set_max(self.budget.connections(self.memory.borrow().in_use()));
    }

    /// Limits the memory of requests to what a number of connections leaves.
    fn fit_beside(&self, connections: usize) {
        let total = self.budget.for_requests(connections);
        let evicted = self.memory.borrow_mut().set_total(total, Clock.now());
        self.evict(evicted);
    }

    /// Reserves memory for a request whose head of `head` bytes was received.
    ///
    /// # Errors
    ///
    /// [`MemoryFull`] if there is none.
    pub(crate) fn open(
        self: &Rc<Self>,
        owner: MemoryOwner,
        head: usize,
        connection: &Rc<CallerConnection>,
    ) -> Result<HeldMemory, MemoryFull> {
        let held = self.hold(owner, head, connection);
        held.inspect_err(|_| self.record_refusal("request", head))
    }

    fn hold(
        self: &Rc<Self>,
        owner: MemoryOwner,
        head: usize,
        connection: &Rc<CallerConnection>,
    ) -> Result<HeldMemory, MemoryFull> {
        self.fit_beside(self.connections.count());
        let (number, evicted) = self.memory.borrow_mut().open(owner, Clock.now())?;
        self.evict(evicted);
        let state = Rc::new(HolderState {
            eviction: Cell::default(),
            evicted: Event::new(),
            connection: connection.clone(),
        });
        self.holders.borrow_mut().insert(number, state.clone());
        let held = HeldMemory { account: self.clone(), number, state, head: HEAD_COPIES * head };
        held.resize(0)?;
        Ok(held)
    }

    /// Records that a response of a request is forwarded without a buffer, as there is no memory for it.
    pub(crate) fn record_unbuffered(&self, request: &str) {
        self.telemetry.count("memory.unbuffered_responses", 1);
        if self.log_rate.take_line("response_unbuffered", Clock.now()) {
            let in_use = self.memory.borrow().in_use();
            let pairs: &[(&str, &dyn Display)] = &[("request", &request), ("in_use", &in_use)];
            self.telemetry.info("response_unbuffered", pairs);
        }
    }

    /// Updates the gauges of the memory in use.
    pub(crate) fn update_gauges(&self) {
        let memory = self.memory.borrow();
        self.telemetry.gauge("memory.request_bytes", memory.in_use().0 as u64);
        self.telemetry.gauge("memory.requests", memory.holders() as u64);
    }

    fn evict(&self, evicted: Evicted) {
        for (number, why) in evicted {
            self.telemetry.count(&format!("memory.evicted.{why}"), 1);
            if self.log_rate.take_line("memory_evicted", Clock.now()) {
                let in_use = self.memory.borrow().in_use();
                self.telemetry.info("memory_evicted", &[("why", &why), ("in_use", &in_use)]);
            }
            if let Some(state) = self.holders.borrow_mut().remove(&number) {
                state.eviction.set(Some(why));
                state.evicted.notify(usize::MAX);
                // The caller has the beginning of its response already.
                if why == Eviction::UnreadResponse {
                    state.connection.close();
                }
            }
        }
    }

    fn record_refusal(&self, what: &str, bytes: usize) {
        self.telemetry.count(&format!("memory.refused.{what}"), 1);
        if self.log_rate.take_line("memory_full", Clock.now()) {
            let memory = self.memory.borrow();
            self.telemetry.warn(
                "memory_full",
                &[
                    ("for", &what),
                    ("bytes", &bytes),
                    ("in_use", &memory.in_use()),
                    ("requests", &memory.holders()),
                ],
            );
        }
    }
}

impl HeldMemory {
    /// Reserves `bytes` in all for the request's body and response.
    ///
    /// # Errors
    ///
    /// [`MemoryFull`] if there is not enough; the request keeps what it has.
    pub(crate) fn resize(&self, bytes: usize) -> Result<(), MemoryFull> {
        self.account.fit_beside(self.account.connections.count());
        let bytes = self.head + bytes;
        let resized = self.account.memory.borrow_mut().resize(self.number, bytes, Clock.now());
        self.account.evict(resized?);
        Ok(())
    }

    /// Records that the request is refused, as there is no memory for `bytes` of its body.
    pub(crate) fn record_refusal(&self, bytes: usize) {
        self.account.record_refusal("body", bytes);
    }

    /// Gives back what the request needs no longer.
    pub(crate) fn shrink(&self, bytes: usize) {
        // Less memory is always granted.
        self.resize(bytes).ok();
    }

    /// Gives back a part of what is reserved for the body and the response.
    pub(crate) fn release(&self, bytes: usize) {
        let reserved = self.account.memory.borrow().reserved(self.number);
        self.shrink(reserved.0.saturating_sub(self.head + bytes));
    }

    /// Returns an error if the request could not get `bytes` now.
    pub(crate) fn check_room(&self, bytes: usize) -> Result<(), MemoryFull> {
        self.account.fit_beside(self.account.connections.count());
        let bytes = self.head + bytes;
        let has_room = self.account.memory.borrow().has_room(self.number, bytes, Clock.now());
        has_room.then_some(()).ok_or(MemoryFull)
    }

    /// Records whom the request belongs to.
    ///
    /// # Errors
    ///
    /// [`MemoryFull`] if the owner may not have so much.
    pub(crate) fn set_owner(&self, owner: MemoryOwner) -> Result<(), MemoryFull> {
        self.account.memory.borrow_mut().set_owner(self.number, owner)
    }

    /// Records what the request does with its memory.
    pub(crate) fn set_phase(&self, phase: MemoryPhase) {
        self.account.memory.borrow_mut().set_phase(self.number, phase, Clock.now());
    }

    /// Records that bytes were received from the caller, or sent to it.
    pub(crate) fn record_progress(&self, bytes: usize) {
        self.account.memory.borrow_mut().record_progress(self.number, bytes, Clock.now());
    }

    /// Waits until the request has lost its memory, and returns why.
    pub(crate) async fn wait_evicted(&self) -> Eviction {
        loop {
            let evicted = self.state.evicted.listen();
            if let Some(why) = self.state.eviction.get() {
                return why;
            }
            evicted.await;
        }
    }
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        self.account.memory.borrow_mut().close(self.number);
        self.account.holders.borrow_mut().remove(&self.number);
    }
}
