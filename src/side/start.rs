//! Starting and stopping a side.

use std::sync::{Arc, Mutex, PoisonError};

use quinn::{Connection, VarInt};
use redwingfold_core::{HostId, Millis};
use smol::Timer;
use smol::channel::Receiver;

use super::context::Side;
use super::load_reports::{SentLoads, broadcast_heartbeat, poll_engine_loads};
use super::orders::reconcile_engines;
use super::requests::{answer_call, hold_bills};
use super::run::run_request;
use crate::clock::{to_duration, with_timeout};
use crate::config_store::{follow_stream, write_snapshots};
use crate::daemon::Daemon;
use crate::peer::{Link, LinkEvents, bind, run_control, serve};
use crate::settings::SideSettings;
use crate::tls::load_tls_configs;
use crate::wire::{Call, Control, FrameReader, FrameWriter, Hello, Reply, Role};
use redwingfold_telemetry::Telemetry;

/// Timeout for appending the remaining bills at shutdown; after it, they are transferred to an
/// entry.
const FLUSH_TIMEOUT: Millis = Millis(3_000);

/// Timeout for one entry to confirm that it holds the transferred bills.
const TRANSFER_TIMEOUT: Millis = Millis(5_000);

/// Interval between checks of what the shutdown waits for.
const STOP_POLL_INTERVAL: Millis = Millis(20);

/// Delay before the connections are closed, so that messages already queued are still sent.
const CLOSE_DELAY: Millis = Millis(200);

/// Runs a side until `stop` receives a message or is closed, then drains the runs in progress.
///
/// # Errors
///
/// If the settings name files or addresses that cannot be used.
pub async fn run_side(settings: SideSettings, stop: Receiver<()>) -> eyre::Result<()> {
    let telemetry = Telemetry::new(settings.metrics.statsd)?;
    let tls = load_tls_configs(&settings.tls)?;
    let daemon = Daemon::new(
        (settings.host.clone(), settings.failure_domain.clone(), Role::Side),
        settings.log.clone(),
        settings.host_list.clone(),
        settings.heartbeat.clone(),
        telemetry.clone(),
    );
    let endpoint = bind(tls.server, settings.peer_listen)?;
    let local_addr = endpoint.local_addr()?;
    let side = Arc::new(Side::new(daemon, settings));
    side.daemon.telemetry.info(
        "side_started",
        &[
            ("host", &side.daemon.host),
            ("peer", &local_addr),
            ("incarnation", &side.daemon.incarnation),
        ],
    );
    let mut tasks = Vec::new();
    tasks.push(spawn(&side, |side| async move { side.daemon.poll_hosts().await }));
    tasks.push(spawn(&side, |side| async move { poll_engine_loads(&side).await }));
    tasks.push(spawn(&side, |side| async move { reconcile_engines(&side).await }));
    tasks.push(spawn(&side, |side| async move { reject_withdrawn(&side).await }));
    tasks.push(spawn(&side, |side| async move {
        let has_peer_updates = || !side.links().is_empty() && !side.daemon.is_reader();
        let daemon = &side.daemon;
        follow_stream(
            &daemon.store,
            &daemon.log,
            &daemon.log_settings,
            &daemon.telemetry,
            has_peer_updates,
        )
        .await;
    }));
    tasks.push(spawn(&side, |side| async move {
        let daemon = &side.daemon;
        write_snapshots(
            &daemon.store,
            &daemon.log,
            &daemon.log_settings,
            &daemon.telemetry,
            || daemon.is_reader(),
        )
        .await;
    }));
    tasks.push(spawn(
        &side,
        |side| async move { side.bills.run_appender(&side.daemon, |_| {}).await },
    ));
    let accepting = {
        let side = side.clone();
        let handler = move |conn, call, tx, rx| handle_call(side.clone(), conn, call, tx, rx);
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

async fn handle_call(
    side: Arc<Side>,
    conn: Connection,
    call: Call,
    mut tx: FrameWriter<Reply>,
    rx: FrameReader<Call>,
) {
    match call {
        // Boxed, so that the future of a small call is not as large as that of a run.
        Call::Control(hello) => {
            Box::pin(serve_control(&side, &conn, hello, tx.into(), rx.into())).await;
        }
        Call::Run(call) => Box::pin(run_request(&side, *call, tx.into())).await,
        other => {
            tx.send(&answer_call(&side, other)).await.ok();
            tx.finish();
        }
    }
}

/// Runs the control stream that an entry opened.
async fn serve_control(
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
    let sent_loads = Mutex::new(SentLoads::default());
    let events = LinkEvents {
        on_heartbeat: &|_, _| {},
        on_bills_confirmed: &|ids| side.bills.remove(&ids),
        on_hold_bills: &|bills| hold_bills(side, bills),
        on_bills_held: &|ids| side.bills.remove(&ids),
        is_leaving: &|| side.is_leaving(),
        loads: &|| {
            let mut sent_loads = sent_loads.lock().unwrap_or_else(PoisonError::into_inner);
            sent_loads.take_due(side, side.daemon.now())
        },
    };
    let peer = peer_label(&hello.host, conn);
    side.daemon.telemetry.info("peer_connected", &[("peer", &peer)]);
    let ended = run_control(&side.daemon, &link, (&peer, conn), tx, rx, &events).await;
    side.daemon.telemetry.info("peer_gone", &[("peer", &peer), ("why", &ended)]);
}

fn peer_label(host: &HostId, conn: &Connection) -> String {
    format!("{host}@{}", conn.remote_address())
}

/// Rejects queued requests for withdrawn versions, at each configuration change.
async fn reject_withdrawn(side: &Side) {
    loop {
        let changed = side.daemon.store.changed();
        let config = side.daemon.store.current();
        for backend in side.backends.values() {
            backend.reject_queued(|version| {
                config.version(version).is_none_or(|spec| spec.withdrawn_at.is_some())
            });
        }
        changed.await;
    }
}

/// Waits for the runs in progress, then appends or transfers the remaining bills.
async fn shut_down(side: &Arc<Side>) {
    side.start_leaving();
    broadcast_heartbeat(side);
    side.daemon.telemetry.info("draining", &[("running", &side.running_count())]);
    let drained = async {
        while side.running_count() > 0 {
            Timer::after(to_duration(STOP_POLL_INTERVAL)).await;
        }
    };
    if with_timeout(side.settings.queue.drain_ms, drained).await.is_none() {
        side.daemon.telemetry.warn("drain_cut", &[("running", &side.running_count())]);
    }
    if !side.bills.flush(FLUSH_TIMEOUT).await {
        transfer_bills(side).await;
    }
    if side.bills.len() > 0 {
        // The entries hold the other copies. The bills are lost only if those entries die too.
        side.daemon.telemetry.warn("bills_left", &[("bills", &side.bills.len())]);
    }
    Timer::after(to_duration(CLOSE_DELAY)).await;
}

/// Sends the unconfirmed bills to one entry after the other, until one confirms on the control
/// stream that it holds them.
async fn transfer_bills(side: &Arc<Side>) {
    for link in side.links() {
        link.send(Control::Hold(side.bills.unconfirmed()));
        let held = async {
            while side.bills.len() > 0 {
                Timer::after(to_duration(STOP_POLL_INTERVAL)).await;
            }
        };
        if with_timeout(TRANSFER_TIMEOUT, held).await.is_some() {
            side.daemon.telemetry.info("bills_handed_over", &[]);
            return;
        }
    }
}
