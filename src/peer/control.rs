//! The control stream of a connection: heartbeats, loads, the configuration, confirmed bills.

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

/// How often the detector is looked at, as a part of the heartbeat interval.
const CHECKS_PER_INTERVAL: u64 = 5;

/// What both tasks of a control stream, and the calls beside it, know of the connection.
#[derive(Debug)]
pub(crate) struct Link {
    detector: Mutex<FailureDetector>,
    is_over: AtomicBool,
    is_replaced: AtomicBool,
    moved: Event,
    calls: AtomicUsize,
    /// How far the peer's configuration goes, as far as is known here.
    theirs: AtomicU64,
    out_tx: Sender<Control>,
    out_rx: Receiver<Control>,
    asks: bool,
}

impl Link {
    /// Makes a link; `asks` says whether this end sends heartbeats of its own.
    pub(crate) fn new(daemon: &Daemon, asks: bool) -> Self {
        let (out_tx, out_rx) = unbounded();
        let detector = FailureDetector::new(daemon.heartbeat.policy(), daemon.now());
        Self {
            detector: Mutex::new(detector),
            is_over: AtomicBool::new(false),
            is_replaced: AtomicBool::new(false),
            moved: Event::new(),
            calls: AtomicUsize::new(0),
            theirs: AtomicU64::new(0),
            out_tx,
            out_rx,
            asks,
        }
    }

    fn with<T>(&self, f: impl FnOnce(&mut FailureDetector) -> T) -> T {
        f(&mut self.detector.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Notes that something arrived on the connection.
    pub(crate) fn heard(&self, now: Millis) {
        self.with(|d| d.record_receipt(now));
    }

    pub(crate) fn health(&self, now: Millis) -> PeerHealth {
        match self.is_over.load(Ordering::Relaxed) {
            true => PeerHealth::Dead,
            false => self.with(|d| d.health(now)),
        }
    }

    /// Counts a call whose answer is awaited, until it is dropped.
    pub(crate) fn begin_call(self: &Arc<Self>) -> CallCount {
        self.calls.fetch_add(1, Ordering::Relaxed);
        CallCount(self.clone())
    }

    /// Notes that the peer has the configuration up to an offset.
    fn note_theirs(&self, offset: Offset) {
        self.theirs.fetch_max(offset.0, Ordering::Relaxed);
    }

    /// Gives the connection up: from now on it counts as dead.
    pub(crate) fn give_up(&self) {
        self.is_over.store(true, Ordering::Relaxed);
        self.moved.notify(usize::MAX);
    }

    /// Queues a message; it is dropped if the connection is gone.
    pub(crate) fn send(&self, message: Control) {
        self.out_tx.try_send(message).ok();
    }

    /// Notes that another connection has taken this one's place while it was silent.
    pub(crate) fn replace(&self) {
        self.is_replaced.store(true, Ordering::Relaxed);
        self.moved.notify(usize::MAX);
    }

    pub(crate) fn is_replaced(&self) -> bool {
        self.is_replaced.load(Ordering::Relaxed)
    }

    /// Waits until the peer's health is one that `wanted` accepts. The control stream's clock looks
    /// at the detector for all who wait: with a thousand answers under way, a timer for each would
    /// cost more than the answers.
    pub(crate) async fn until(&self, daemon: &Daemon, wanted: impl Fn(PeerHealth) -> bool) {
        loop {
            let moved = self.moved.listen();
            if wanted(self.health(daemon.now())) {
                return;
            }
            moved.await;
        }
    }

    /// Returns the time until the detector is looked at again: often only while an answer is awaited
    /// or a heartbeat is out. Looking at sixty idle connections ten times a second took most of the
    /// processor time of an idle entry.
    fn next_check(&self, daemon: &Daemon) -> Millis {
        let interval = daemon.heartbeat.interval_ms;
        let is_idle =
            self.calls.load(Ordering::Relaxed) == 0 && !self.with(|d| d.awaits_response());
        match is_idle {
            true => interval,
            false => Millis((interval.0 / CHECKS_PER_INTERVAL).max(1)),
        }
    }
}

/// Counts a call on a link.
#[derive(Debug)]
pub(crate) struct CallCount(Arc<Link>);

impl Drop for CallCount {
    fn drop(&mut self) {
        self.0.calls.fetch_sub(1, Ordering::Relaxed);
    }
}

/// What the owner of a link does with what arrives, and says of itself.
pub(crate) struct LinkEvents<'a> {
    pub(crate) on_beat: &'a (dyn Fn(bool, Vec<Load>) + Send + Sync),
    pub(crate) on_confirmed: &'a (dyn Fn(Vec<KeyHash>) + Send + Sync),
    pub(crate) on_hold: &'a (dyn Fn(Vec<Bill>) -> Vec<KeyHash> + Send + Sync),
    pub(crate) on_held: &'a (dyn Fn(Vec<KeyHash>) + Send + Sync),
    pub(crate) is_leaving: &'a (dyn Fn() -> bool + Send + Sync),
    /// Loads that changed since they were last told on this link.
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
    link.send(beat(daemon, events, link.asks));
    let read = async {
        loop {
            match rx.next().await {
                Ok(Some(message)) => {
                    link.heard(daemon.now());
                    receive(daemon, link, peer, message, events);
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
    let ask = async {
        let mut last = PeerHealth::Live;
        let mut counted = (0, 0);
        loop {
            Timer::after(to_duration(link.next_check(daemon))).await;
            counted = count_traffic(daemon, conn, counted);
            let now = daemon.now();
            let health = link.health(now);
            if std::mem::replace(&mut last, health) != health {
                link.moved.notify(usize::MAX);
            }
            if health == PeerHealth::Dead {
                return WireError::Lost("silent for too long".to_owned());
            }
            let is_busy = link.calls.load(Ordering::Relaxed) > 0;
            if link.asks && link.with(|d| d.is_heartbeat_due(now, is_busy)) {
                link.with(|d| d.record_heartbeat(now));
                link.send(beat(daemon, events, true));
            }
        }
    };
    let tell = async {
        loop {
            daemon.store.changed().await;
            // The one that a change came from, or that has it already, need not be told.
            if link.theirs.load(Ordering::Relaxed) < daemon.store.mark().offset.0 {
                link.send(beat(daemon, events, false));
            }
        }
    };
    let ended = smol::future::or(smol::future::or(read, write), smol::future::or(ask, tell)).await;
    link.give_up();
    ended
}

/// Adds what a connection has carried since it was last looked at.
fn count_traffic(daemon: &Daemon, conn: &Connection, before: (u64, u64)) -> (u64, u64) {
    let stats = conn.stats();
    let now = (stats.udp_tx.bytes, stats.udp_rx.bytes);
    daemon.traffic.sent.fetch_add(now.0 - before.0, Ordering::Relaxed);
    daemon.traffic.received.fetch_add(now.1 - before.1, Ordering::Relaxed);
    now
}

fn beat(daemon: &Daemon, events: &LinkEvents<'_>, ask: bool) -> Control {
    Control::Beat(Beat {
        config: daemon.store.mark(),
        leaving: (events.is_leaving)(),
        loads: (events.loads)(),
        ask,
    })
}

fn receive(daemon: &Daemon, link: &Link, peer: &str, message: Control, events: &LinkEvents<'_>) {
    match message {
        Control::Beat(theirs) => {
            daemon.store.check_peer(peer, theirs.config);
            link.note_theirs(theirs.config.offset);
            let ours = daemon.store.mark();
            if theirs.config.offset > ours.offset {
                link.send(Control::Want(ours.offset));
            }
            if theirs.ask {
                link.send(beat(daemon, events, false));
            }
            (events.on_beat)(theirs.leaving, theirs.loads);
        }
        Control::Confirmed(ids) => (events.on_confirmed)(ids),
        Control::Held(ids) => (events.on_held)(ids),
        Control::Hello(_) => {}
        Control::Hold(bills) => link.send(Control::Held((events.on_hold)(bills))),
        Control::Records(records) => {
            let lacks =
                records.first().is_some_and(|(o, _)| o.0 > daemon.store.mark().offset.0 + 1);
            daemon.store.apply(&records);
            if lacks {
                link.send(Control::Want(Offset(0)));
            }
        }
        Control::Snapshot(json) => match serde_json::from_slice(&json) {
            Ok(snapshot) => {
                let snapshot: Snapshot = snapshot;
                link.note_theirs(snapshot.config.offset);
                daemon.store.install(snapshot);
            }
            Err(e) => daemon.telemetry.warn("bad_snapshot", &[("peer", &peer), ("why", &e)]),
        },
        Control::Want(offset) => {
            let ours = daemon.store.mark().offset;
            match daemon.store.after(offset) {
                Catchup::Nothing => {}
                Catchup::Records(records) => link.send(Control::Records(records)),
                Catchup::Snapshot(json) => link.send(Control::Snapshot(json)),
            }
            link.note_theirs(ours);
        }
    }
}
