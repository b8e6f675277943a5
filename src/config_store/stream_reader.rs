//! Reads the configuration stream, and writes snapshots before its records expire.

use redwingfold_core::{Millis, Offset, Snapshot};
use smol::Timer;

use super::store::ConfigStore;
use crate::clock::{jittered, to_duration};
use crate::platform::{LogClient, LogError, stream};
use crate::settings::LogSettings;
use redwingfold_telemetry::Telemetry;

const PAGE_RECORDS: usize = 500;
const MAX_BACKOFF: Millis = Millis(5_000);
const MIN_BACKOFF: Millis = Millis(100);

/// Follows the configuration stream forever.
///
/// `has_peer_updates` returns whether this daemon receives the configuration from its peers. It
/// then reads the log only at long intervals, so that hundreds of daemons do not all long-poll the
/// log service.
pub(crate) async fn follow_stream(
    store: &ConfigStore,
    log: &LogClient,
    settings: &LogSettings,
    telemetry: &Telemetry,
    has_peer_updates: impl Fn() -> bool,
) {
    let mut backoff = MIN_BACKOFF;
    loop {
        let from = Offset(store.mark().offset.0 + 1);
        let relies_on_peers = from.0 > 1 && has_peer_updates();
        let wait = if relies_on_peers { Millis(0) } else { settings.wait_ms };
        match log.read(stream::CONFIG, from, PAGE_RECORDS, wait).await {
            Ok(page) => {
                backoff = MIN_BACKOFF;
                if page.first > from && !install_newest_snapshot(store, log).await {
                    telemetry.warn(
                        "config_gap",
                        &[
                            ("from", &from),
                            ("first", &page.first),
                            ("why", &"no snapshot covers it"),
                        ],
                    );
                    Timer::after(jittered(MAX_BACKOFF)).await;
                }
                store.apply(&page.records);
            }
            Err(e) => {
                telemetry.count("log.read_failed", 1);
                telemetry.warn("log_read_failed", &[("stream", &stream::CONFIG), ("why", &e)]);
                let min_delay = match e {
                    LogError::Refused { retry_after, .. } => retry_after,
                    LogError::Unknown(_) => MIN_BACKOFF,
                };
                Timer::after(jittered(Millis(backoff.0.max(min_delay.0)))).await;
                backoff = Millis((backoff.0 * 2).min(MAX_BACKOFF.0));
            }
        }
        if relies_on_peers {
            Timer::after(jittered(settings.relaxed_ms)).await;
        }
    }
}

/// Reads the configuration stream once, up to its end.
pub(crate) async fn read_all(store: &ConfigStore, log: &LogClient) -> Result<(), LogError> {
    loop {
        let from = Offset(store.mark().offset.0 + 1);
        let page = log.read(stream::CONFIG, from, PAGE_RECORDS, Millis(0)).await?;
        if page.first > from && !install_newest_snapshot(store, log).await {
            let why = format!("records before {} are gone and no snapshot covers them", page.first);
            return Err(LogError::Unknown(why));
        }
        store.apply(&page.records);
        if store.mark().offset.0 + 1 >= page.next.0 {
            return Ok(());
        }
    }
}

/// Installs the newest snapshot in the log. Returns whether it was newer than the configuration in
/// force.
async fn install_newest_snapshot(store: &ConfigStore, log: &LogClient) -> bool {
    let Ok(tail) = log.read(stream::SNAPSHOTS, Offset(u64::MAX), 1, Millis(0)).await else {
        return false;
    };
    let from = Offset(tail.next.0.saturating_sub(1).max(1));
    let Ok(page) = log.read(stream::SNAPSHOTS, from, 8, Millis(0)).await else {
        return false;
    };
    let snapshots = page.records.iter().rev();
    let newest =
        snapshots.filter_map(|(_, raw)| serde_json::from_slice::<Snapshot>(raw).ok()).next();
    newest.is_some_and(|snapshot| store.install(snapshot))
}

/// Writes a snapshot after every `snapshot_every` records of the configuration stream.
///
/// Any daemon that reads the log may write one, and duplicates are harmless. To avoid them, each
/// waits for a random time and then checks whether another daemon has written one.
pub(crate) async fn write_snapshots(
    store: &ConfigStore,
    log: &LogClient,
    settings: &LogSettings,
    telemetry: &Telemetry,
    is_reader: impl Fn() -> bool,
) {
    let mut snapshot_offset = Offset(0);
    loop {
        let changed = store.changed();
        let offset = store.mark().offset;
        if offset.0 < snapshot_offset.0 + settings.snapshot_every || !is_reader() {
            changed.await;
            continue;
        }
        Timer::after(jittered(Millis(2_000))).await;
        snapshot_offset = newest_snapshot_offset(log).await.unwrap_or(snapshot_offset);
        if offset.0 < snapshot_offset.0 + settings.snapshot_every {
            continue;
        }
        let snapshot = store.snapshot();
        let json = serde_json::to_vec(&snapshot).unwrap_or_default();
        match log.append(stream::SNAPSHOTS, json).await {
            Ok(_) => {
                snapshot_offset = snapshot.config.offset;
                telemetry.info("snapshot_written", &[("offset", &snapshot_offset)]);
            }
            // If the append took effect but its response was lost, the next check finds the
            // snapshot.
            Err(e) => {
                telemetry.warn("snapshot_failed", &[("why", &e)]);
                Timer::after(to_duration(MAX_BACKOFF)).await;
            }
        }
    }
}

async fn newest_snapshot_offset(log: &LogClient) -> Option<Offset> {
    let tail = log.read(stream::SNAPSHOTS, Offset(u64::MAX), 1, Millis(0)).await.ok()?;
    let from = Offset(tail.next.0.saturating_sub(1).max(1));
    let page = log.read(stream::SNAPSHOTS, from, 1, Millis(0)).await.ok()?;
    let (_, raw) = page.records.last()?;
    serde_json::from_slice::<Snapshot>(raw).ok().map(|s| s.config.offset)
}
