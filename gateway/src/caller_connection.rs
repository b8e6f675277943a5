//! Open connections of callers: their places, and the state that the requests of one share.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt::Display;
use std::rc::Rc;

use event_listener::Event;
use redwingfold_core::{
    CallerConnections, ConnectionAdmission, ConnectionNumber, ConnectionPhase, Millis,
};
use redwingfold_telemetry::Telemetry;

use crate::clock::{Clock, sleep};
use crate::log_rate::LogRate;

/// The open connections of a listener. Clones share them.
#[derive(Clone, Debug)]
pub(crate) struct OpenConnections(Rc<Places>);

#[derive(Debug)]
struct Places {
    /// Prefix of the metrics.
    kind: &'static str,
    connections: RefCell<CallerConnections>,
    signals: RefCell<HashMap<ConnectionNumber, Rc<CloseSignal>>>,
    telemetry: Telemetry,
    log_rate: LogRate,
}

/// Tells a connection that it has to be closed.
#[derive(Debug, Default)]
struct CloseSignal {
    is_set: Cell<bool>,
    changed: Event,
}

impl CloseSignal {
    fn set(&self) {
        self.is_set.set(true);
        self.changed.notify(usize::MAX);
    }
}

impl OpenConnections {
    /// Creates a table with `max` places, whose metrics begin with `kind`.
    pub(crate) fn new(kind: &'static str, max: usize, telemetry: Telemetry) -> Self {
        Self(Rc::new(Places {
            kind,
            connections: RefCell::new(CallerConnections::new(max)),
            signals: RefCell::default(),
            telemetry,
            log_rate: LogRate::default(),
        }))
    }

    /// Counts that a limit of the listener or of one of its connections has acted, and logs it.
    pub(crate) fn record_limit(&self, limit: &'static str) {
        let Places { kind, telemetry, log_rate, .. } = &*self.0;
        telemetry.count(&format!("{kind}.{limit}"), 1);
        if log_rate.take_line(limit, Clock.now()) {
            let pairs: &[(&str, &dyn Display)] =
                &[("listener", kind), ("limit", &limit), ("open", &self.count())];
            telemetry.warn("connection_limit", pairs);
        }
    }

    /// Changes the number of places.
    pub(crate) fn set_max(&self, max: usize) {
        self.0.connections.borrow_mut().set_max(max);
    }

    /// Returns the number of open connections.
    pub(crate) fn count(&self) -> usize {
        self.0.connections.borrow().count()
    }

    /// Returns the number of connections with a request in progress.
    pub(crate) fn busy(&self) -> usize {
        self.0.connections.borrow().busy()
    }

    /// Returns the place of a new connection, for which another one may have to be closed; `None` if all are needed.
    pub(crate) fn open(&self) -> Option<CallerConnection> {
        let places = &self.0;
        let admission = places.connections.borrow_mut().open(Clock.now());
        let number = match admission {
            ConnectionAdmission::Admitted(number) => number,
            ConnectionAdmission::InsteadOf(number, closed) => {
                self.record_limit("closed_for_new");
                let signal = places.signals.borrow_mut().remove(&closed);
                signal.iter().for_each(|signal| signal.set());
                number
            }
            ConnectionAdmission::Full => {
                self.record_limit("refused");
                return None;
            }
        };
        let signal = Rc::new(CloseSignal::default());
        places.signals.borrow_mut().insert(number, signal.clone());
        Some(CallerConnection {
            open: self.clone(),
            number,
            signal,
            phase: Cell::new(ConnectionPhase::Queued),
            head_began: Cell::new(Millis(0)),
            has_unread_body: Cell::new(false),
        })
    }
}

/// A connection of a caller, which has its place until it is dropped.
///
/// The HTTP parser has a single timer for idle connections and heads. With it alone, a caller that sends a byte now and
/// then keeps its connection for as long as an idle one may be kept. Therefore the head has a separate, shorter timeout.
#[derive(Debug)]
pub(crate) struct CallerConnection {
    open: OpenConnections,
    number: ConnectionNumber,
    signal: Rc<CloseSignal>,
    phase: Cell<ConnectionPhase>,
    /// When the first byte of an incomplete head was received.
    head_began: Cell<Millis>,
    /// Whether its last response refuses a request whose body is not read to its end.
    has_unread_body: Cell<bool>,
}

impl CallerConnection {
    fn set_phase(&self, phase: ConnectionPhase) {
        self.phase.set(phase);
        self.open.0.connections.borrow_mut().set_phase(self.number, phase, Clock.now());
    }

    /// Records that it is read from now on.
    pub(crate) fn record_start(&self) {
        self.set_phase(ConnectionPhase::Idle);
    }

    /// Records that bytes were received. Those that come while a request is processed belong to it, or to a pipelined
    /// request that has to wait.
    pub(crate) fn record_bytes(&self) {
        if self.phase.get() == ConnectionPhase::Idle {
            self.head_began.set(Clock.now());
            self.set_phase(ConnectionPhase::Head);
        }
    }

    /// Records that a whole head was received.
    pub(crate) fn record_request(&self) {
        self.set_phase(ConnectionPhase::Busy);
    }

    /// Records that the response was passed on.
    pub(crate) fn record_response(&self) {
        self.set_phase(ConnectionPhase::Idle);
    }

    /// Records that a request is refused while its caller may still be sending its body.
    pub(crate) fn record_unread_body(&self) {
        self.has_unread_body.set(true);
    }

    /// Returns whether the caller may still be sending the body of a refused request.
    pub(crate) fn has_unread_body(&self) -> bool {
        self.has_unread_body.get()
    }

    /// Records that what its caller still sends is discarded.
    pub(crate) fn record_closing(&self) {
        self.set_phase(ConnectionPhase::Closing);
    }

    /// Counts that a limit of the connection has acted, and logs it.
    pub(crate) fn record_limit(&self, limit: &'static str) {
        self.open.record_limit(limit);
    }

    /// Closes it, whatever it does.
    pub(crate) fn close(&self) {
        self.signal.set();
    }

    /// Waits until it has to be closed.
    pub(crate) async fn wait_close(&self) {
        loop {
            let changed = self.signal.changed.listen();
            if self.signal.is_set.get() {
                return;
            }
            changed.await;
        }
    }

    /// Waits until a head has been incomplete for `limit`. Detection takes at most twice as long.
    pub(crate) async fn wait_for_head_timeout(&self, limit: Millis) {
        loop {
            sleep(limit).await;
            let is_in_head = self.phase.get() == ConnectionPhase::Head;
            if is_in_head && Clock.now().since(self.head_began.get()) >= limit {
                return;
            }
        }
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        self.open.0.connections.borrow_mut().close(self.number);
        self.open.0.signals.borrow_mut().remove(&self.number);
    }
}
