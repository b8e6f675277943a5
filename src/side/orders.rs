//! Reconciles the model versions that the engines have loaded with the placements.
//!
//! An order is declarative: it lists the versions that the engine must have loaded, and it is
//! repeated until the engine's load report lists them. No other progress is stored, so that an
//! interrupted rollout resumes from what the engine has loaded.

use std::collections::{BTreeMap, BTreeSet};

use redwingfold_core::{
    ClaimId, FenceRecord, LoadFold, LoadRecord, Millis, Offset, PerMille, Spec, VersionName,
};
use smol::Timer;

use super::backend::Backend;
use super::context::Side;
use crate::clock::{jittered, unix_time};
use crate::platform::{
    HostState, LoadPermission, LogError, OrderOutcome, fetch_engine_load, request_load_permission,
    send_engine_order, stream,
};
use crate::settings::BackendKind;
use crate::wire::new_claim_id;

const PAGE_RECORDS: usize = 1_000;

/// Longest pause between two attempts to reconcile an engine.
const MAX_BACKOFF: Millis = Millis(30_000);

/// This side's claim to the engines of its host, as appended to the log.
#[derive(Clone, Copy, Debug)]
struct EngineClaim {
    id: ClaimId,
    /// The offset of the claim; engines reject orders with a lower token than the highest received.
    fencing_token: Offset,
}

/// State kept between reconciliations.
#[derive(Debug, Default)]
struct OrderState {
    claim: Option<EngineClaim>,
    loads_by_version: BTreeMap<VersionName, LoadFold>,
    /// Versions for which the log has no active load of this host.
    ended_loads: BTreeSet<VersionName>,
    /// Current backoff of each engine whose reconciliation failed, and the time of the next
    /// attempt.
    backoffs: BTreeMap<String, (Millis, Millis)>,
}

/// Why an engine was not reconciled.
#[derive(Debug)]
enum NotOrdered {
    /// A later claim of another side is in the log; this side must never send orders again.
    Superseded,
    RetryLater(String),
}

impl From<LogError> for NotOrdered {
    fn from(e: LogError) -> Self {
        Self::RetryLater(e.to_string())
    }
}

/// What the placements require of this host.
struct DesiredState {
    versions: Vec<VersionName>,
    /// Hosts that may load the same version at the same time.
    limit: u32,
}

/// Orders the engines to load what the placements require, until another side claims them.
pub(crate) async fn reconcile_engines(side: &Side) {
    let mut state = OrderState::default();
    let mut offset = Offset(0);
    loop {
        let changed = side.daemon.store.changed();
        let timer = async {
            Timer::after(jittered(side.settings.orders.every_ms)).await;
        };
        smol::future::or(changed, timer).await;
        if std::mem::replace(&mut offset, side.daemon.store.mark().offset) != offset {
            state.backoffs.clear();
        }
        let engines = side.backends.values().filter(|b| b.settings.kind == BackendKind::Engine);
        for backend in engines {
            let name = &backend.settings.name;
            if state.backoffs.get(name).is_some_and(|(_, retry_at)| *retry_at > side.daemon.now()) {
                continue;
            }
            match reconcile_engine(side, backend, &mut state).await {
                Ok(()) => {
                    state.backoffs.remove(name);
                }
                Err(NotOrdered::RetryLater(reason)) => {
                    let backoff = back_off(side, &mut state, name);
                    side.daemon.telemetry.info(
                        "order_waits",
                        &[("backend", name), ("pause_ms", &backoff), ("why", &reason)],
                    );
                }
                Err(NotOrdered::Superseded) => {
                    side.daemon.telemetry.warn("orders_superseded", &[("host", &side.daemon.host)]);
                    return;
                }
            }
        }
    }
}

/// Doubles an engine's backoff up to a limit and returns it.
///
/// Hundreds of hosts may wait for a load slot; the backoff limits how often they read the log.
fn back_off(side: &Side, state: &mut OrderState, name: &str) -> Millis {
    let min_backoff = side.settings.orders.every_ms;
    let last_backoff = state.backoffs.get(name).map_or(Millis(0), |(backoff, _)| *backoff);
    let backoff =
        Millis((last_backoff.0 * 2).clamp(min_backoff.0, MAX_BACKOFF.0.max(min_backoff.0)));
    let retry_at = side.daemon.now().after(Millis(jittered(backoff).as_millis() as u64));
    state.backoffs.insert(name.to_owned(), (backoff, retry_at));
    backoff
}

fn desired_state(side: &Side) -> Option<DesiredState> {
    let config = side.daemon.store.current();
    let hosts = side.daemon.hosts.current();
    let own_labels = hosts.iter().find(|h| h.host == side.daemon.host)?.labels();
    let mut versions = Vec::new();
    let mut limit = None;
    for (_, spec) in config.of_kind("placement") {
        let Spec::Placement(placement) = spec else { continue };
        if !placement.hosts.matches(&own_labels) {
            continue;
        }
        let live_sides = hosts.iter().filter(|h| h.is_side() && h.state == HostState::Live);
        let side_count = live_sides.filter(|h| placement.hosts.matches(&h.labels())).count();
        let concurrent_loads = concurrent_load_limit(side_count, placement.load_share);
        limit = Some(limit.map_or(concurrent_loads, |l: u32| l.min(concurrent_loads)));
        let in_service =
            |v: &&VersionName| config.version(v).is_some_and(|spec| spec.withdrawn_at.is_none());
        versions.extend(placement.versions.iter().filter(in_service).cloned());
    }
    versions.sort();
    versions.dedup();
    Some(DesiredState { versions, limit: limit? })
}

fn concurrent_load_limit(side_count: usize, share: PerMille) -> u32 {
    (side_count as u64 * u64::from(share.0) / 1000).max(1) as u32
}

async fn reconcile_engine(
    side: &Side,
    backend: &Backend,
    state: &mut OrderState,
) -> Result<(), NotOrdered> {
    let Some(desired) = desired_state(side) else { return Ok(()) };
    let mut loaded = backend.versions();
    loaded.sort();
    if !backend.load().up || side.is_leaving() {
        return Ok(());
    }
    if loaded == desired.versions {
        return end_finished_loads(side, state, &loaded).await;
    }
    let claim = match state.claim {
        Some(claim) => claim,
        None => *state.claim.insert(claim_engines(side).await?),
    };
    let missing: Vec<_> = desired.versions.iter().filter(|v| !loaded.contains(v)).collect();
    let Some(next_version) = missing.first() else {
        return send_order(side, backend, &claim, &desired.versions).await;
    };
    let stream_name = format!("{}{next_version}", stream::LOADS_PREFIX);
    let load_timeout = side.settings.orders.load_timeout_ms;
    let loads = state
        .loads_by_version
        .entry((*next_version).clone())
        .or_insert_with(|| LoadFold::new(load_timeout));
    read_loads(side, &stream_name, loads).await?;
    let active_elsewhere = loads.active_on_other_hosts(&side.daemon.host, unix_time());
    if active_elsewhere >= desired.limit as usize {
        return Err(NotOrdered::RetryLater(format!(
            "{active_elsewhere} loads are active on other hosts"
        )));
    }
    // An active load of this host in the log was begun by a previous side process, or the outcome
    // of its order is unknown, so the engine may still be loading. This side takes over the load
    // slot and keeps it until the engine has the version: if it released the slot earlier, more
    // hosts than allowed could load at the same time.
    let inherited_slot = loads.active_load_of(&side.daemon.host);
    let id = match inherited_slot {
        Some(id) => id,
        None => claim_load_slot(side, &stream_name, loads, next_version, desired.limit).await?,
    };
    let mut may_be_loading = inherited_slot.is_some();
    let outcome = match check_load_permission(side, next_version).await {
        Ok(()) => {
            may_be_loading = true;
            // Versions are added one at a time, so that each load takes a slot of its own.
            let mut next = loaded.clone();
            next.retain(|v| desired.versions.contains(v));
            next.push((*next_version).clone());
            send_order(side, backend, &claim, &next).await
        }
        Err(e) => Err(e),
    };
    state.ended_loads.remove(*next_version);
    let has_ended = match &outcome {
        Ok(()) => true,
        // The engine received no order or rejected it. An inherited slot now belongs to the side
        // with the later claim.
        Err(NotOrdered::Superseded) => inherited_slot.is_none(),
        Err(NotOrdered::RetryLater(_)) => !may_be_loading,
    };
    if has_ended {
        append_load_end(side, &stream_name, id).await?;
        state.ended_loads.insert((*next_version).clone());
    }
    outcome
}

async fn append_load_end(side: &Side, name: &str, id: ClaimId) -> Result<(), LogError> {
    let end = serde_json::to_vec(&LoadRecord::End { id }).unwrap_or_default();
    side.daemon.log.append(name, end).await.map(drop)
}

/// Ends loads of this host that are active in the log although the engine has the versions.
///
/// If a side process dies during a load, its load slot stays taken, and the engine finishes the
/// load without it. The next side process has nothing to load and must release the slot, or the
/// other hosts would wait for the load timeout, which is ten minutes.
async fn end_finished_loads(
    side: &Side,
    state: &mut OrderState,
    loaded: &[VersionName],
) -> Result<(), NotOrdered> {
    let load_timeout = side.settings.orders.load_timeout_ms;
    for version in loaded {
        if state.ended_loads.contains(version) {
            continue;
        }
        let name = format!("{}{version}", stream::LOADS_PREFIX);
        let loads = state
            .loads_by_version
            .entry(version.clone())
            .or_insert_with(|| LoadFold::new(load_timeout));
        read_loads(side, &name, loads).await?;
        if let Some(id) = loads.active_load_of(&side.daemon.host) {
            append_load_end(side, &name, id).await?;
        }
        state.ended_loads.insert(version.clone());
    }
    Ok(())
}

/// Claims the engines of this host by an append to the log.
///
/// If the result of the append is unknown, the log is searched for the claim's id.
async fn claim_engines(side: &Side) -> Result<EngineClaim, NotOrdered> {
    let id = new_claim_id();
    let record = FenceRecord { id, host: side.daemon.host.clone() };
    let name = claim_stream(side);
    let json = serde_json::to_vec(&record).unwrap_or_default();
    match side.daemon.log.append(&name, json).await {
        Ok(fencing_token) => Ok(EngineClaim { id, fencing_token }),
        Err(LogError::Unknown(reason)) => {
            let found = read_claims(side, Offset(1)).await?.into_iter().find(|(_, f)| f.id == id);
            found
                .map(|(fencing_token, _)| EngineClaim { id, fencing_token })
                .ok_or(NotOrdered::RetryLater(reason))
        }
        Err(e) => Err(e.into()),
    }
}

fn claim_stream(side: &Side) -> String {
    format!("{}{}", stream::FENCES_PREFIX, side.daemon.host)
}

async fn read_claims(side: &Side, from: Offset) -> Result<Vec<(Offset, FenceRecord)>, NotOrdered> {
    let page = side.daemon.log.read(&claim_stream(side), from, PAGE_RECORDS, Millis(0)).await?;
    let parsed = page.records.iter().filter_map(|(offset, raw)| {
        serde_json::from_slice::<FenceRecord>(raw).ok().map(|record| (*offset, record))
    });
    Ok(parsed.collect())
}

/// Sends an order to an engine, after a check of the log for later claims.
///
/// Without the check, a side process that was paused could send orders after its successor has
/// claimed the engines. Engines that check the fencing token reject such an order, but others
/// accept it. A pause between the check and the order remains possible: the successor then finds
/// the wrong versions in the engine's next load report and sends its own order again.
async fn send_order(
    side: &Side,
    backend: &Backend,
    claim: &EngineClaim,
    versions: &[VersionName],
) -> Result<(), NotOrdered> {
    let checked_at = side.daemon.now();
    let later_claims = read_claims(side, Offset(claim.fencing_token.0 + 1)).await?;
    if later_claims.iter().any(|(_, record)| record.id != claim.id) {
        return Err(NotOrdered::Superseded);
    }
    let settings = &side.settings.orders;
    if side.daemon.now().since(checked_at) > settings.fence_age_ms {
        return Err(NotOrdered::RetryLater(
            "reading later claims from the log took too long".to_owned(),
        ));
    }
    let addr = backend.settings.address;
    let http = &side.daemon.http;
    let timeout = settings.load_timeout_ms;
    let outcome = send_engine_order(http, addr, claim.fencing_token, versions, timeout).await;
    let version_list: Vec<_> = versions.iter().map(ToString::to_string).collect();
    side.daemon.telemetry.info(
        "engine_ordered",
        &[
            ("backend", &backend.settings.name),
            ("fencing", &claim.fencing_token),
            ("versions", &version_list.join(",")),
            ("outcome", &format!("{outcome:?}")),
        ],
    );
    match outcome {
        OrderOutcome::Fenced => Err(NotOrdered::Superseded),
        OrderOutcome::Unknown(reason) => Err(NotOrdered::RetryLater(reason)),
        OrderOutcome::Taken => {
            if let Ok(load) = fetch_engine_load(http, addr).await {
                backend.record_engine_load(load);
            }
            super::load_reports::broadcast_heartbeat(side);
            Ok(())
        }
    }
}

/// Applies the records of a version's load stream up to its end.
async fn read_loads(side: &Side, name: &str, loads: &mut LoadFold) -> Result<(), NotOrdered> {
    loop {
        let from = Offset(loads.offset().0 + 1);
        let page = side.daemon.log.read(name, from, PAGE_RECORDS, Millis(0)).await?;
        for (offset, raw) in &page.records {
            loads.apply(*offset, raw);
        }
        if page.records.is_empty() || loads.offset().0 + 1 >= page.next.0 {
            return Ok(());
        }
    }
}

/// Claims one of the limited slots for concurrent loads of a version.
///
/// If several hosts claim a slot at the same time, the order of their records in the log decides.
async fn claim_load_slot(
    side: &Side,
    name: &str,
    loads: &mut LoadFold,
    version: &VersionName,
    limit: u32,
) -> Result<ClaimId, NotOrdered> {
    let id = new_claim_id();
    let host = side.daemon.host.clone();
    let begin = LoadRecord::Begin { id, host, version: version.clone(), limit, at: unix_time() };
    let json = serde_json::to_vec(&begin).unwrap_or_default();
    match side.daemon.log.append(name, json).await {
        Ok(_) | Err(LogError::Unknown(_)) => {}
        Err(e) => return Err(e.into()),
    }
    read_loads(side, name, loads).await?;
    match loads.is_granted(id) {
        true => Ok(id),
        false => Err(NotOrdered::RetryLater("other hosts claimed the load slots first".to_owned())),
    }
}

async fn check_load_permission(side: &Side, version: &VersionName) -> Result<(), NotOrdered> {
    let Some(addr) = side.settings.orders.weight_store else { return Ok(()) };
    match request_load_permission(&side.daemon.http, addr, version).await {
        LoadPermission::Granted => Ok(()),
        LoadPermission::RetryAfter(after) => {
            Err(NotOrdered::RetryLater(format!("the weight store asks to retry after {after} ms")))
        }
    }
}
