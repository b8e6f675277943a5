//! Starting and stopping a side.

use std::sync::{Arc, Mutex, PoisonError};

use quinn::{Connection, VarInt};
use redwingfold_core::{HostId, Millis};
use smol::Timer;
use smol::channel::Receiver;

use super::context::Side;
use super::load_reports::{Told, follow_engines, tell};
use super::orders::give_orders;
use super::requests::{answer, hold};
use super::run::run;
use crate::clock::{to_duration, with_timeout};
use crate::config_store::{feed, write_snapshots};
use crate::daemon::Daemon;
use crate::peer::{Link, LinkEvents, bind, run_control, serve};
use crate::settings::SideSettings;
use crate::tls::load_tls_configs;
use crate::wire::{Call, Control, FrameReader, FrameWriter, Hello, Reply, Role};
use redwingfold_telemetry::Telemetry;

/// Wait for the log at a stop before bills are handed to an entry instead.
const FLUSH_LIMIT: Millis = Millis(3_000);

/// Wait for an entry to take bills over.
const HAND_OVER_LIMIT: Millis = Millis(5_000);

/// Pause between looks at what a stop waits for.
const STOP_POLL: Millis = Millis(20);

/// Time after the last run in which what was sent can still leave.
const LINGER: Millis = Millis(200);

/// Runs a side until `stop` says so and everything under way has ended.
///
/// # Errors
///
/// If the settings name files or addresses that cannot be used.
pub async fn run_side(settings: SideSettings, stop: Receiver<()>) -> eyre::Result<()> {
    let telemetry = Telemetry::new(settings.metrics.statsd)?;
    let ends = load_tls_configs(&settings.tls)?;
    let daemon = Daemon::new(
        (settings.host.clone(), settings.failure_domain.clone(), Role::Side),
        settings.log.clone(),
        settings.host_list.clone(),
        settings.heartbeat.clone(),
        telemetry.clone(),
    );
    let endpoint = bind(ends.server, settings.peer_listen)?;
    let local = endpoint.local_addr()?;
    let side = Arc::new(Side::new(daemon, settings));
    side.daemon.telemetry.info(
        "side_started",
        &[("host", &side.daemon.host), ("peer", &local), ("incarnation", &side.daemon.incarnation)],
    );
    let mut tasks = Vec::new();
    tasks.push(spawn(&side, |s| async move { s.daemon.poll_hosts().await }));
    tasks.push(spawn(&side, |s| async move { follow_engines(&s).await }));
    tasks.push(spawn(&side, |s| async move { give_orders(&s).await }));
    tasks.push(spawn(&side, |s| async move { refuse_withdrawn(&s).await }));
    tasks.push(spawn(&side, |s| async move {
        let is_relaxed = || !s.links().is_empty() && !s.daemon.is_reader();
        let d = &s.daemon;
        feed(&d.store, &d.log, &d.log_settings, &d.telemetry, is_relaxed).await;
    }));
    tasks.push(spawn(&side, |s| async move {
        let d = &s.daemon;
        write_snapshots(&d.store, &d.log, &d.log_settings, &d.telemetry, || d.is_reader()).await;
    }));
    tasks.push(spawn(&side, |s| async move { s.bills.ship(&s.daemon, |_| {}).await }));
    let accepting = {
        let side = side.clone();
        let handler = move |conn, call, tx, rx| handle(side.clone(), conn, call, tx, rx);
        smol::spawn(serve(endpoint.clone(), telemetry.clone(), handler))
    };
    stop.recv().await.ok();
    shut_down(&side).await;
    drop((accepting, tasks));
    endpoint.close(VarInt::from_u32(0), b"stopped");
    endpoint.wait_idle().await;
    telemetry.info("side_stopped", &[("host", &side.daemon.host)]);
    Ok(())
}

fn spawn<F, Fut>(side: &Arc<Side>, f: F) -> smol::Task<()>
where
    F: FnOnce(Arc<Side>) -> Fut,
    Fut: Future<Output = ()> + Send + 'static,
{
    smol::spawn(f(side.clone()))
}

async fn handle(
    side: Arc<Side>,
    conn: Connection,
    call: Call,
    mut tx: FrameWriter<Reply>,
    rx: FrameReader<Call>,
) {
    match call {
        // Boxed, so that a small call does not carry the state of a run.
        Call::Control(hello) => {
            Box::pin(control(&side, &conn, hello, tx.into(), rx.into())).await;
        }
        Call::Run(call) => Box::pin(run(&side, *call, tx.into())).await,
        other => {
            tx.send(&answer(&side, other)).await.ok();
            tx.finish();
        }
    }
}

/// Runs the control stream that an entry has opened.
async fn control(
    side: &Arc<Side>,
    conn: &Connection,
    hello: Hello,
    mut tx: FrameWriter<Control>,
    rx: FrameReader<Control>,
) {
    if tx.send(&Control::Hello(side.daemon.hello())).await.is_err() {
        return;
    }
    let link = Arc::new(Link::new(&side.daemon, false));
    side.add_link(&link);
    let told = Mutex::new(Told::default());
    let events = LinkEvents {
        on_beat: &|_, _| {},
        on_confirmed: &|ids| side.bills.forget(&ids),
        on_hold: &|bills| hold(side, bills),
        on_held: &|ids| side.bills.forget(&ids),
        is_leaving: &|| side.is_leaving(),
        loads: &|| {
            let mut told = told.lock().unwrap_or_else(PoisonError::into_inner);
            told.changes(side, side.daemon.now())
        },
    };
    let peer = peer_name(&hello.host, conn);
    side.daemon.telemetry.info("peer_connected", &[("peer", &peer)]);
    let ended = run_control(&side.daemon, &link, (&peer, conn), tx, rx, &events).await;
    side.daemon.telemetry.info("peer_gone", &[("peer", &peer), ("why", &ended)]);
}

fn peer_name(host: &HostId, conn: &Connection) -> String {
    format!("{host}@{}", conn.remote_address())
}

/// Refuses what waits for a version that was withdrawn, at each change.
async fn refuse_withdrawn(side: &Side) {
    loop {
        let changed = side.daemon.store.changed();
        let config = side.daemon.store.current();
        for backend in side.backends.values() {
            backend.refuse_if(|version| {
                config.version(version).is_none_or(|spec| spec.withdrawn_at.is_some())
            });
        }
        changed.await;
    }
}

/// Lets runs end, then sees to it that no bill is lost.
async fn shut_down(side: &Arc<Side>) {
    side.leave();
    tell(side);
    side.daemon.telemetry.info("draining", &[("running", &side.running())]);
    let drained = async {
        while side.running() > 0 {
            Timer::after(to_duration(STOP_POLL)).await;
        }
    };
    if with_timeout(side.settings.queue.drain_ms, drained).await.is_none() {
        side.daemon.telemetry.warn("drain_cut", &[("running", &side.running())]);
    }
    if !side.bills.flush(FLUSH_LIMIT).await {
        hand_over(side).await;
    }
    if side.bills.len() > 0 {
        // The entries hold the other copies; only if they die too are these lost.
        side.daemon.telemetry.warn("bills_left", &[("bills", &side.bills.len())]);
    }
    Timer::after(to_duration(LINGER)).await;
}

/// Gives the unconfirmed bills to an entry, which says so on the control stream.
async fn hand_over(side: &Arc<Side>) {
    for link in side.links() {
        link.send(Control::Hold(side.bills.all()));
        let held = async {
            while side.bills.len() > 0 {
                Timer::after(to_duration(STOP_POLL)).await;
            }
        };
        if with_timeout(HAND_OVER_LIMIT, held).await.is_some() {
            side.daemon.telemetry.info("bills_handed_over", &[]);
            return;
        }
    }
}
