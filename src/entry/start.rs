//! Startup and graceful shutdown of an entry.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use quinn::{Connection, VarInt};
use redwingfold_core::{ErrorKind, Millis};
use redwingfold_http::{Limits, serve as serve_http};
use serde_json::json;
use smol::Timer;
use smol::channel::Receiver;
use smol::net::TcpListener;

use super::connections::{keep_connected, side_connection};
use super::context::Entry;
use super::limit_report::report_limits;
use super::response::refusal_response;
use super::rollouts::run_rating_loop;
use super::serve::handle;
use crate::billing::HeldBill;
use crate::clock::{to_duration, unix_time, with_timeout};
use crate::config_store::{follow_stream, write_snapshots};
use crate::daemon::Daemon;
use crate::peer::{bind, call, serve as serve_peers};
use crate::settings::EntrySettings;
use crate::tls::load_tls_configs;
use crate::wire::{Call, Control, FrameReader, FrameWriter, Reply, Role};
use redwingfold_telemetry::Telemetry;

const FLUSH_TIMEOUT: Millis = Millis(3_000);
const TRANSFER_TIMEOUT: Millis = Millis(3_000);
const DRAIN_POLL_INTERVAL: Millis = Millis(20);

/// Runs an entry until `stop` receives a message or is closed, then shuts it down gracefully.
///
/// # Errors
///
/// If the settings name files or addresses that cannot be used.
pub async fn run_entry(settings: EntrySettings, stop: Receiver<()>) -> eyre::Result<()> {
    let telemetry = Telemetry::new(settings.metrics.statsd)?;
    let tls_configs = load_tls_configs(&settings.tls)?;
    let daemon = Daemon::new(
        (settings.host.clone(), settings.failure_domain.clone(), Role::Entry),
        settings.log.clone(),
        settings.host_list.clone(),
        settings.heartbeat.clone(),
        telemetry.clone(),
    );
    let endpoint = bind(tls_configs.server, settings.peer_listen)?;
    let listener = TcpListener::bind(settings.listen).await?;
    let (local, peer_local) = (listener.local_addr()?, endpoint.local_addr()?);
    let limits = Limits {
        connections: settings.limits.connections,
        head_timeout: to_duration(settings.limits.head_timeout_ms),
    };
    let entry = Arc::new(Entry::new(daemon, settings, tls_configs.client));
    entry.daemon.telemetry.info(
        "entry_started",
        &[("host", &entry.daemon.host), ("listen", &local), ("peer", &peer_local)],
    );
    let mut tasks = Vec::new();
    tasks.push(spawn(&entry, |e| async move { e.daemon.poll_hosts().await }));
    tasks.push(spawn(&entry, keep_connected));
    tasks.push(spawn(&entry, |e| async move {
        let has_peer_updates = || !e.sides.all().is_empty() && !e.daemon.is_reader();
        let d = &e.daemon;
        follow_stream(&d.store, &d.log, &d.log_settings, &d.telemetry, has_peer_updates).await;
    }));
    tasks.push(spawn(&entry, |e| async move {
        let d = &e.daemon;
        write_snapshots(&d.store, &d.log, &d.log_settings, &d.telemetry, || d.is_reader()).await;
    }));
    tasks.push(spawn(&entry, |e| async move {
        e.bills.run_appender(&e.daemon, |batch| confirm_bills(&e, batch)).await;
    }));
    tasks.push(spawn(&entry, |e| async move { run_rating_loop(&e).await }));
    tasks.push(spawn(&entry, report_limits));
    let peer_server = {
        let entry = entry.clone();
        let handler = move |_: Connection, call, tx, _: FrameReader<Call>| {
            handle_peer_call(entry.clone(), call, tx)
        };
        smol::spawn(serve_peers(endpoint.clone(), telemetry.clone(), handler))
    };
    let http_server = {
        let (entry, drain) = (entry.clone(), entry.drain.clone());
        let handler = move |req, peer| handle(entry.clone(), req, peer);
        smol::spawn(serve_http(listener, limits, drain, refusal_response, handler))
    };
    stop.recv().await.ok();
    shut_down(&entry).await;
    drop((http_server, peer_server, tasks));
    endpoint.close(VarInt::from_u32(0), b"stopped");
    endpoint.wait_idle().await;
    telemetry.info("entry_stopped", &[("host", &entry.daemon.host)]);
    Ok(())
}

fn spawn<F, Fut>(entry: &Arc<Entry>, f: F) -> smol::Task<()>
where
    F: FnOnce(Arc<Entry>) -> Fut,
    Fut: Future<Output = ()> + Send + 'static,
{
    smol::spawn(f(entry.clone()))
}

/// Confirms to each side the bills it holds that are now in the log.
fn confirm_bills(entry: &Entry, batch: Vec<HeldBill>) {
    for link in entry.sides.all() {
        let of_side = batch.iter().filter(|held| held.side.as_ref() == Some(&link.host));
        let ids: Vec<_> = of_side.map(|held| held.bill.id).collect();
        if !ids.is_empty() {
            link.peer_link.send(Control::Confirmed(ids));
        }
    }
}

/// Answers a call from another process of the system.
async fn handle_peer_call(entry: Arc<Entry>, call: Call, mut tx: FrameWriter<Reply>) {
    let reply = match call {
        Call::Explain(request) => match entry.decisions.get(request) {
            Some(trace) => Reply::Json(trace.to_json()),
            None => Reply::Json(Vec::new()),
        },
        Call::Install(records) => {
            entry.daemon.store.apply(&records);
            Reply::Mark(entry.daemon.store.mark())
        }
        Call::Status => Reply::Json(status_json(&entry)),
        _ => Reply::Refused(ErrorKind::BadPeer),
    };
    tx.send(&reply).await.ok();
    tx.finish();
    // Dropping the stream before the peer has received all of it would reset it and lose the reply.
    tx.stopped().await;
}

fn status_json(entry: &Entry) -> Vec<u8> {
    let mark = entry.daemon.store.mark();
    let value = json!({
        "host": entry.daemon.host,
        "role": "entry",
        "failure_domain": entry.daemon.domain,
        "incarnation": entry.daemon.incarnation,
        "offset": mark.offset,
        "hash": format!("{:016x}", mark.hash),
        "rules": mark.rules,
        "leaving": entry.drain.is_draining(),
        "running": entry.in_flight(),
        "unconfirmed_bills": entry.bills.len(),
        "sides": entry.sides.all().iter().map(|l| l.host.to_string()).collect::<Vec<_>>(),
        "peer_bytes_sent": entry.daemon.traffic.sent.load(Ordering::Relaxed),
        "peer_bytes_received": entry.daemon.traffic.received.load(Ordering::Relaxed),
        "at": unix_time(),
    });
    serde_json::to_vec(&value).unwrap_or_default()
}

/// Drains requests in flight, then flushes the bills to the log. Bills that remain are
/// transferred to a side.
async fn shut_down(entry: &Arc<Entry>) {
    entry.drain.begin();
    let limits = &entry.settings.limits;
    entry.daemon.telemetry.info("draining", &[("under_way", &entry.drain.in_flight())]);
    // The load balancer takes a while to detect failed readiness; until then it still sends
    // requests.
    Timer::after(to_duration(limits.drain_accept_ms)).await;
    let drained = async {
        while entry.drain.in_flight() > 0 || entry.in_flight() > 0 {
            Timer::after(to_duration(DRAIN_POLL_INTERVAL)).await;
        }
    };
    if with_timeout(limits.drain_ms, drained).await.is_none() {
        let left = entry.drain.in_flight();
        entry.daemon.telemetry.warn("drain_cut", &[("under_way", &left)]);
    }
    if !entry.bills.flush(FLUSH_TIMEOUT).await {
        transfer_bills(entry).await;
    }
    if entry.bills.len() > 0 {
        entry.daemon.telemetry.warn("bills_left", &[("bills", &entry.bills.len())]);
    }
}

/// Transfers the unconfirmed bills to the first side that accepts them.
async fn transfer_bills(entry: &Arc<Entry>) {
    let bills = entry.bills.unconfirmed();
    let ids: Vec<_> = bills.iter().map(|bill| bill.id).collect();
    for link in entry.sides.all() {
        let Some(connection) = side_connection(entry, &link.host).await else { continue };
        let reply = call(&connection.conn, &Call::Hold(bills.clone()), TRANSFER_TIMEOUT).await;
        if reply == Ok(Reply::Held) {
            entry.bills.remove(&ids);
            entry.daemon.telemetry.info("bills_handed_over", &[("side", &link.host)]);
            return;
        }
    }
}
