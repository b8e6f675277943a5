//! The control stream of a connection: heartbeats, loads, configuration records, bill
//! confirmations.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use event_listener::Event;
use quinn::Connection;
use redwingfold_core::{Bill, FailureDetector, KeyHash, Millis, Offset, PeerHealth, Snapshot};
use smol::Timer;
use smol::channel::{Receiver, Sender, unbounded};

use crate::clock::to_duration;
use crate::config_store::Catchup;
use crate::daemon::Daemon;
use crate::wire::{Beat, Control, FrameReader, FrameWriter, Load, WireError};

/// Checks of the failure detector per heartbeat interval, while a reply is awaited.
const CHECKS_PER_INTERVAL: u64 = 5;

/// State of a connection that is shared by the tasks of its control stream and its calls.
#[derive(Debug)]
pub(crate) struct Link {
    detector: Mutex<FailureDetector>,
    is_closed: AtomicBool,
    is_replaced: AtomicBool,
    health_changed: Event,
    calls_in_flight: AtomicUsize,
    /// Highest configuration offset that the peer is known to have.
    peer_offset: AtomicU64,
    out_tx: Sender<Control>,
    out_rx: Receiver<Control>,
    sends_heartbeats: bool,
}

impl Link {
    /// Creates a link. `sends_heartbeats` selects whether this end sends heartbeats at intervals,
    /// or only replies to those of the peer.
    pub(crate) fn new(daemon: &Daemon, sends_heartbeats: bool) -> Self {
        let (out_tx, out_rx) = unbounded();
        let detector = FailureDetector::new(daemon.heartbeat.policy(), daemon.now());
        Self {
            detector: Mutex::new(detector),
            is_closed: AtomicBool::new(false),
            is_replaced: AtomicBool::new(false),
            health_changed: Event::new(),
            calls_in_flight: AtomicUsize::new(0),
            peer_offset: AtomicU64::new(0),
            out_tx,
            out_rx,
            sends_heartbeats,
        }
    }

    fn with_detector<T>(&self, f: impl FnOnce(&mut FailureDetector) -> T) -> T {
        f(&mut self.detector.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Records for the failure detector that a message was received.
    pub(crate) fn record_receipt(&self, now: Millis) {
        self.with_detector(|d| d.record_receipt(now));
    }

    pub(crate) fn health(&self, now: Millis) -> PeerHealth {
        match self.is_closed.load(Ordering::Relaxed) {
            true => PeerHealth::Dead,
            false => self.with_detector(|d| d.health(now)),
        }
    }

    /// Counts a call as in flight until the returned guard is dropped.
    pub(crate) fn begin_call(self: &Arc<Self>) -> CallGuard {
        self.calls_in_flight.fetch_add(1, Ordering::Relaxed);
        CallGuard(self.clone())
    }

    /// Records that the peer has the configuration up to at least an offset.
    fn raise_peer_offset(&self, offset: Offset) {
        self.peer_offset.fetch_max(offset.0, Ordering::Relaxed);
    }

    /// Marks the connection as closed: from now on its health is [`PeerHealth::Dead`].
    pub(crate) fn mark_closed(&self) {
        self.is_closed.store(true, Ordering::Relaxed);
        self.health_changed.notify(usize::MAX);
    }

    /// Queues a message for the control stream. It is never sent if the connection closes first.
    pub(crate) fn send(&self, message: Control) {
        self.out_tx.try_send(message).ok();
    }

    /// Records that a new connection to the same peer replaced this one while it was silent.
    pub(crate) fn mark_replaced(&self) {
        self.is_replaced.store(true, Ordering::Relaxed);
        self.health_changed.notify(usize::MAX);
    }

    pub(crate) fn is_replaced(&self) -> bool {
        self.is_replaced.load(Ordering::Relaxed)
    }

    /// Waits until `wanted` accepts the peer's health.
    ///
    /// The control stream's timer checks the detector for all waiting tasks: with a thousand
    /// responses in flight, a timer for each would cost more than the responses.
    pub(crate) async fn wait_for_health(
        &self,
        daemon: &Daemon,
        wanted: impl Fn(PeerHealth) -> bool,
    ) {
        loop {
            let health_changed = self.health_changed.listen();
            if wanted(self.health(daemon.now())) {
                return;
            }
            health_changed.await;
        }
    }

    /// Returns the time until the next check of the detector.
    ///
    /// The checks are frequent only while a call is in flight or a heartbeat is unanswered.
    /// Frequent checks of sixty idle connections, ten times a second, took most of an idle entry's
    /// CPU time.
    fn check_interval(&self, daemon: &Daemon) -> Millis {
        let interval = daemon.heartbeat.interval_ms;
        let is_idle = self.calls_in_flight.load(Ordering::Relaxed) == 0
            && !self.with_detector(|d| d.awaits_response());
        match is_idle {
            true => interval,
            false => Millis((interval.0 / CHECKS_PER_INTERVAL).max(1)),
        }
    }
}

/// Counts a call as in flight on a link until it is dropped.
#[derive(Debug)]
pub(crate) struct CallGuard(Arc<Link>);

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.0.calls_in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Callbacks of a link's owner: handlers for received messages, and the state to send in
/// heartbeats.
pub(crate) struct LinkEvents<'a> {
    pub(crate) on_heartbeat: &'a (dyn Fn(bool, Vec<Load>) + Send + Sync),
    pub(crate) on_bills_confirmed: &'a (dyn Fn(Vec<KeyHash>) + Send + Sync),
    pub(crate) on_hold_bills: &'a (dyn Fn(Vec<Bill>) -> Vec<KeyHash> + Send + Sync),
    pub(crate) on_bills_held: &'a (dyn Fn(Vec<KeyHash>) + Send + Sync),
    pub(crate) is_leaving: &'a (dyn Fn() -> bool + Send + Sync),
    /// Returns the loads that changed since they were last sent on this link.
    pub(crate) loads: &'a (dyn Fn() -> Vec<Load> + Send + Sync),
}

/// Runs a control stream until it or the connection ends.
pub(crate) async fn run_control(
    daemon: &Daemon,
    link: &Link,
    (peer, conn): (&str, &Connection),
    mut tx: FrameWriter<Control>,
    mut rx: FrameReader<Control>,
    events: &LinkEvents<'_>,
) -> WireError {
    link.send(heartbeat(daemon, events, link.sends_heartbeats));
    let read = async {
        loop {
            match rx.next().await {
                Ok(Some(message)) => {
                    link.record_receipt(daemon.now());
                    handle_message(daemon, link, peer, message, events);
                }
                Ok(None) => return WireError::Lost("control stream ended".to_owned()),
                Err(e) => return e,
            }
        }
    };
    let write = async {
        loop {
            let Ok(message) = link.out_rx.recv().await else {
                return WireError::Lost("link dropped".to_owned());
            };
            match tx.send(&message).await {
                Ok(bytes) => daemon.telemetry.count("control.bytes_out", bytes as i64),
                Err(e) => return e,
            }
        }
    };
    let monitor = async {
        let mut last = PeerHealth::Live;
        let mut counted_bytes = (0, 0);
        loop {
            Timer::after(to_duration(link.check_interval(daemon))).await;
            counted_bytes = count_traffic(daemon, conn, counted_bytes);
            let now = daemon.now();
            let health = link.health(now);
            if std::mem::replace(&mut last, health) != health {
                link.health_changed.notify(usize::MAX);
            }
            if health == PeerHealth::Dead {
                return WireError::Lost("silent for too long".to_owned());
            }
            let is_busy = link.calls_in_flight.load(Ordering::Relaxed) > 0;
            if link.sends_heartbeats && link.with_detector(|d| d.is_heartbeat_due(now, is_busy)) {
                link.with_detector(|d| d.record_heartbeat(now));
                link.send(heartbeat(daemon, events, true));
            }
        }
    };
    let announce = async {
        loop {
            daemon.store.changed().await;
            // A peer that sent the change, or already has it, needs no heartbeat.
            if link.peer_offset.load(Ordering::Relaxed) < daemon.store.mark().offset.0 {
                link.send(heartbeat(daemon, events, false));
            }
        }
    };
    let ended =
        smol::future::or(smol::future::or(read, write), smol::future::or(monitor, announce)).await;
    link.mark_closed();
    ended
}

/// Adds the bytes sent and received since the last count to the daemon's traffic, and returns the
/// connection's totals.
fn count_traffic(daemon: &Daemon, conn: &Connection, before: (u64, u64)) -> (u64, u64) {
    let stats = conn.stats();
    let now = (stats.udp_tx.bytes, stats.udp_rx.bytes);
    daemon.traffic.sent.fetch_add(now.0 - before.0, Ordering::Relaxed);
    daemon.traffic.received.fetch_add(now.1 - before.1, Ordering::Relaxed);
    now
}

fn heartbeat(daemon: &Daemon, events: &LinkEvents<'_>, ask: bool) -> Control {
    Control::Beat(Beat {
        config: daemon.store.mark(),
        leaving: (events.is_leaving)(),
        loads: (events.loads)(),
        ask,
    })
}

fn handle_message(
    daemon: &Daemon,
    link: &Link,
    peer: &str,
    message: Control,
    events: &LinkEvents<'_>,
) {
    match message {
        Control::Beat(received) => {
            daemon.store.check_divergence(peer, received.config);
            link.raise_peer_offset(received.config.offset);
            let ours = daemon.store.mark();
            if received.config.offset > ours.offset {
                link.send(Control::Want(ours.offset));
            }
            if received.ask {
                link.send(heartbeat(daemon, events, false));
            }
            (events.on_heartbeat)(received.leaving, received.loads);
        }
        Control::Confirmed(ids) => (events.on_bills_confirmed)(ids),
        Control::Held(ids) => (events.on_bills_held)(ids),
        Control::Hello(_) => {}
        Control::Hold(bills) => link.send(Control::Held((events.on_hold_bills)(bills))),
        Control::Records(records) => {
            let has_gap =
                records.first().is_some_and(|(o, _)| o.0 > daemon.store.mark().offset.0 + 1);
            daemon.store.apply(&records);
            if has_gap {
                link.send(Control::Want(Offset(0)));
            }
        }
        Control::Snapshot(json) => match serde_json::from_slice(&json) {
            Ok(snapshot) => {
                let snapshot: Snapshot = snapshot;
                link.raise_peer_offset(snapshot.config.offset);
                daemon.store.install(snapshot);
            }
            Err(e) => daemon.telemetry.warn("bad_snapshot", &[("peer", &peer), ("why", &e)]),
        },
        Control::Want(offset) => {
            let ours = daemon.store.mark().offset;
            match daemon.store.catchup_after(offset) {
                Catchup::Nothing => {}
                Catchup::Records(records) => link.send(Control::Records(records)),
                Catchup::Snapshot(json) => link.send(Control::Snapshot(json)),
            }
            link.raise_peer_offset(ours);
        }
    }
}
