//! New connections of callers: all are accepted at once, and one is read in each turn of the event loop.
//!
//! In this order, the requests that were read before, streams, kept connections and messages of peers go first, and new
//! connections get the processor time that these leave. Connections for which there is none are closed unread.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;

use event_listener::Event;
use redwingfold_core::{AcceptPolicy, AcceptQueue, Millis};
use redwingfold_telemetry::Telemetry;
use smol::Async;

use crate::caller_connection::{CallerConnection, OpenConnections};
use crate::clock::{Clock, processor_time, sleep};
use crate::loop_turn::LoopTurn;
use crate::request_memory::MemoryAccount;

/// Delay after a failed accept, most likely because file descriptors are exhausted until some are closed.
pub(crate) const ACCEPT_RETRY_DELAY: Millis = Millis(10);

/// Interval at which the end of an overload is looked for, to log it.
const OVERLOAD_POLL_INTERVAL: Millis = Millis(100);

/// An accepted connection.
#[derive(Debug)]
pub(crate) struct NewConnection {
    pub(crate) stream: TcpStream,
    pub(crate) connection: CallerConnection,
}

/// Accepted connections that wait to be read.
#[derive(Debug)]
pub(crate) struct NewConnections {
    queue: RefCell<AcceptQueue<NewConnection>>,
    /// Notified when a connection was added to the queue.
    added: Event,
    turn: LoopTurn,
    telemetry: Telemetry,
    open: OpenConnections,
    memory: Rc<MemoryAccount>,
    accepted: Cell<u64>,
    closed: Cell<u64>,
    /// Notified when connections are closed unread.
    overload_began: Event,
}

impl NewConnections {
    /// Creates an empty queue.
    ///
    /// # Errors
    ///
    /// If no socket pair can be created.
    pub(crate) fn new(
        policy: AcceptPolicy,
        telemetry: Telemetry,
        open: OpenConnections,
        memory: Rc<MemoryAccount>,
    ) -> io::Result<Self> {
        Ok(Self {
            queue: RefCell::new(AcceptQueue::new(policy)),
            added: Event::new(),
            turn: LoopTurn::new()?,
            telemetry,
            open,
            memory,
            accepted: Cell::new(0),
            closed: Cell::new(0),
            overload_began: Event::new(),
        })
    }

    /// Accepts connections forever. Those for which there is no place are closed.
    pub(crate) async fn accept(&self, listener: Arc<Async<TcpListener>>) {
        loop {
            match listener.read_with(TcpListener::accept).await {
                Err(e) => {
                    self.telemetry.debug("accept_failed", &[("why", &e)]);
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
                Ok((stream, _)) => self.add(stream),
            }
        }
    }

    /// Returns the next connection to read, not before the turn of the event loop after the last one.
    pub(crate) async fn next(&self) -> NewConnection {
        if let Err(e) = self.turn.next().await {
            self.telemetry.warn("loop_turn_failed", &[("why", &e)]);
        }
        loop {
            let added = self.added.listen();
            let now = Clock.now();
            let popped = self.queue.borrow_mut().pop(now);
            if let Some((connection, wait)) = popped {
                self.telemetry.time("connection.wait_ms", wait.0);
                let excess = self.queue.borrow_mut().take_excess(now);
                self.close(excess);
                return connection;
            }
            added.await;
        }
    }

    fn add(&self, stream: TcpStream) {
        self.memory.prepare_connection();
        let Some(connection) = self.open.open() else { return };
        self.telemetry.count("connection.accepted", 1);
        self.accepted.set(self.accepted.get() + 1);
        let connection = NewConnection { stream, connection };
        let excess = self.queue.borrow_mut().push(connection, Clock.now());
        self.close(excess);
        self.added.notify(1);
    }

    /// Closes connections. Their callers see a reset if they have sent a request.
    fn close(&self, excess: Vec<NewConnection>) {
        if excess.is_empty() {
            return;
        }
        self.telemetry.count("connection.closed_unread", excess.len() as i64);
        self.closed.set(self.closed.get() + excess.len() as u64);
        self.overload_began.notify(1);
    }

    /// Logs when connections begin to be closed unread, and when this ends.
    pub(crate) async fn log_overload(&self) {
        loop {
            self.overload_began.listen().await;
            self.log_one_overload().await;
        }
    }

    async fn log_one_overload(&self) {
        let (since, cpu) = (Clock.now(), processor_time());
        let (accepted, closed) = (self.accepted.get(), self.closed.get());
        let read_interval = self.queue.borrow().known_read_interval().unwrap_or_default();
        self.telemetry.warn(
            "overload_began",
            &[
                ("waiting", &self.queue.borrow().len()),
                ("read_interval_ms", &format_args!("{read_interval:.1}")),
            ],
        );
        while self.queue.borrow().is_behind(Clock.now()) {
            sleep(OVERLOAD_POLL_INTERVAL).await;
        }
        let spent = processor_time().since(cpu);
        self.telemetry.info(
            "overload_ended",
            &[
                ("for_ms", &Clock.now().since(since)),
                ("accepted", &(self.accepted.get() - accepted)),
                ("closed_unread", &(self.closed.get() - closed)),
                ("cpu_ms", &spent),
            ],
        );
    }
}
