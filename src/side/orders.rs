//! Orders to the engines: that they have loaded what the placements say.
//!
//! Orders are declarative, and given again until the engine's report shows them done. What the
//! engine has loaded is all that counts: a roll-out that broke off goes on from there.

use std::collections::{BTreeMap, BTreeSet};

use redwingfold_core::{
    ClaimId, FenceRecord, LoadFold, LoadRecord, Millis, Offset, PerMille, Spec, VersionName,
};
use smol::Timer;

use super::backend::Backend;
use super::context::Side;
use crate::clock::{jittered, wall};
use crate::platform::{
    Asked, HostState, LogError, Ordered, ask_to_load, engine_load, engine_order, stream,
};
use crate::settings::BackendKind;
use crate::wire::new_claim_id;

const PAGE: usize = 1_000;

/// Longest pause of an engine that waits for its turn.
const MAX_WAIT: Millis = Millis(30_000);

/// This side's claim to its engines.
#[derive(Clone, Copy, Debug)]
struct Fence {
    id: ClaimId,
    /// Fencing number: the claim's offset.
    number: Offset,
}

/// What a side keeps between its looks at the engines.
#[derive(Debug, Default)]
struct Orders {
    fence: Option<Fence>,
    loads: BTreeMap<VersionName, LoadFold>,
    /// Versions of which no load of this host goes on by the log.
    settled: BTreeSet<VersionName>,
    /// Pause of each engine that had to wait, and when it ends.
    waits: BTreeMap<String, (Millis, Millis)>,
}

/// Why no order was given.
#[derive(Debug)]
enum Held {
    /// Another side has claimed the engines after this one: it never orders again.
    Superseded,
    Later(String),
}

impl From<LogError> for Held {
    fn from(e: LogError) -> Self {
        Self::Later(e.to_string())
    }
}

/// What the placements say of this host.
struct Wanted {
    versions: Vec<VersionName>,
    /// Loads of one version that may go on at once.
    limit: u32,
}

/// Sees to it that the engines have loaded what the placements say, until another side takes over.
pub(crate) async fn give_orders(side: &Side) {
    let mut orders = Orders::default();
    let mut offset = Offset(0);
    loop {
        let changed = side.daemon.store.changed();
        let timer = async {
            Timer::after(jittered(side.settings.orders.every_ms)).await;
        };
        smol::future::or(changed, timer).await;
        if std::mem::replace(&mut offset, side.daemon.store.mark().offset) != offset {
            orders.waits.clear();
        }
        let engines = side.backends.values().filter(|b| b.settings.kind == BackendKind::Engine);
        for backend in engines {
            let name = &backend.settings.name;
            if orders.waits.get(name).is_some_and(|(_, until)| *until > side.daemon.now()) {
                continue;
            }
            match reconcile(side, backend, &mut orders).await {
                Ok(()) => {
                    orders.waits.remove(name);
                }
                Err(Held::Later(why)) => {
                    let pause = wait_longer(side, &mut orders, name);
                    side.daemon.telemetry.info(
                        "order_waits",
                        &[("backend", name), ("pause_ms", &pause), ("why", &why)],
                    );
                }
                Err(Held::Superseded) => {
                    side.daemon.telemetry.warn("orders_superseded", &[("host", &side.daemon.host)]);
                    return;
                }
            }
        }
    }
}

/// Doubles an engine's pause, up to a bound: of hundreds of hosts that wait for their turn, each
/// looks at the log less and less often.
fn wait_longer(side: &Side, orders: &mut Orders, name: &str) -> Millis {
    let first = side.settings.orders.every_ms;
    let last = orders.waits.get(name).map_or(Millis(0), |(pause, _)| *pause);
    let pause = Millis((last.0 * 2).clamp(first.0, MAX_WAIT.0.max(first.0)));
    let until = side.daemon.now().after(Millis(jittered(pause).as_millis() as u64));
    orders.waits.insert(name.to_owned(), (pause, until));
    pause
}

fn wanted(side: &Side) -> Option<Wanted> {
    let config = side.daemon.store.current();
    let hosts = side.daemon.hosts.current();
    let own = hosts.iter().find(|h| h.host == side.daemon.host)?.labels();
    let mut versions = Vec::new();
    let mut limit = None;
    for (_, spec) in config.of_kind("placement") {
        let Spec::Placement(placement) = spec else { continue };
        if !placement.hosts.matches(&own) {
            continue;
        }
        let of_placement = hosts.iter().filter(|h| h.is_side() && h.state == HostState::Live);
        let count = of_placement.filter(|h| placement.hosts.matches(&h.labels())).count();
        let allowed = share_of(count, placement.load_share);
        limit = Some(limit.map_or(allowed, |l: u32| l.min(allowed)));
        let in_service =
            |v: &&VersionName| config.version(v).is_some_and(|spec| spec.withdrawn_at.is_none());
        versions.extend(placement.versions.iter().filter(in_service).cloned());
    }
    versions.sort();
    versions.dedup();
    Some(Wanted { versions, limit: limit? })
}

fn share_of(count: usize, share: PerMille) -> u32 {
    (count as u64 * u64::from(share.0) / 1000).max(1) as u32
}

async fn reconcile(side: &Side, backend: &Backend, orders: &mut Orders) -> Result<(), Held> {
    let Some(wanted) = wanted(side) else { return Ok(()) };
    let mut loaded = backend.versions();
    loaded.sort();
    if !backend.load().up || side.is_leaving() {
        return Ok(());
    }
    if loaded == wanted.versions {
        return settle(side, orders, &loaded).await;
    }
    let held = match orders.fence {
        Some(held) => held,
        None => *orders.fence.insert(claim_fence(side).await?),
    };
    let missing: Vec<_> = wanted.versions.iter().filter(|v| !loaded.contains(v)).collect();
    let Some(first) = missing.first() else {
        return order(side, backend, &held, &wanted.versions).await;
    };
    let stream_name = format!("{}{first}", stream::LOADS);
    let longest = side.settings.orders.load_timeout_ms;
    let loads = orders.loads.entry((*first).clone()).or_insert_with(|| LoadFold::new(longest));
    read_loads(side, &stream_name, loads).await?;
    let going_on = loads.active_on_other_hosts(&side.daemon.host, wall());
    if going_on >= wanted.limit as usize {
        return Err(Held::Later(format!("{going_on} loads go on")));
    }
    // A load of this host that the log knows of was begun by a side before this one, or ordered
    // without a clear answer: the engine may be at it still. Its turn is taken over, and not given
    // back before the engine has the version; given back sooner, two engines would load at once.
    let inherited = loads.active_load_of(&side.daemon.host);
    let id = match inherited {
        Some(id) => id,
        None => take_turn(side, &stream_name, loads, first, wanted.limit).await?,
    };
    let mut may_be_loading = inherited.is_some();
    let outcome = match ask_store(side, first).await {
        Ok(()) => {
            may_be_loading = true;
            // Versions are added one by one, so that each load is counted.
            let mut next = loaded.clone();
            next.retain(|v| wanted.versions.contains(v));
            next.push((*first).clone());
            order(side, backend, &held, &next).await
        }
        Err(held) => Err(held),
    };
    orders.settled.remove(*first);
    let has_ended = match &outcome {
        Ok(()) => true,
        // The engine was not ordered to load, or refused to. A turn that was taken over is the successor's.
        Err(Held::Superseded) => inherited.is_none(),
        Err(Held::Later(_)) => !may_be_loading,
    };
    if has_ended {
        end_load(side, &stream_name, id).await?;
        orders.settled.insert((*first).clone());
    }
    outcome
}

async fn end_load(side: &Side, name: &str, id: ClaimId) -> Result<(), LogError> {
    let end = serde_json::to_vec(&LoadRecord::End { id }).unwrap_or_default();
    side.daemon.log.append(name, end).await.map(drop)
}

/// Ends loads of this host that the log believes to go on, although the engine has the versions.
///
/// A side that dies in a load leaves its turn taken; its engine finishes by itself, so that the next
/// side has no load to make. Were the turn not given back, the other hosts would wait ten minutes.
async fn settle(side: &Side, orders: &mut Orders, loaded: &[VersionName]) -> Result<(), Held> {
    let longest = side.settings.orders.load_timeout_ms;
    for version in loaded {
        if orders.settled.contains(version) {
            continue;
        }
        let name = format!("{}{version}", stream::LOADS);
        let loads = orders.loads.entry(version.clone()).or_insert_with(|| LoadFold::new(longest));
        read_loads(side, &name, loads).await?;
        if let Some(id) = loads.active_load_of(&side.daemon.host) {
            end_load(side, &name, id).await?;
        }
        orders.settled.insert(version.clone());
    }
    Ok(())
}

/// Claims the engines of this host. The claim is looked for by its id if its answer was lost.
async fn claim_fence(side: &Side) -> Result<Fence, Held> {
    let id = new_claim_id();
    let record = FenceRecord { id, host: side.daemon.host.clone() };
    let name = fence_stream(side);
    let json = serde_json::to_vec(&record).unwrap_or_default();
    match side.daemon.log.append(&name, json).await {
        Ok(number) => Ok(Fence { id, number }),
        Err(LogError::Unknown(why)) => {
            let found = read_fences(side, Offset(1)).await?.into_iter().find(|(_, f)| f.id == id);
            found.map(|(number, _)| Fence { id, number }).ok_or(Held::Later(why))
        }
        Err(e) => Err(e.into()),
    }
}

fn fence_stream(side: &Side) -> String {
    format!("{}{}", stream::FENCES, side.daemon.host)
}

async fn read_fences(side: &Side, from: Offset) -> Result<Vec<(Offset, FenceRecord)>, Held> {
    let page = side.daemon.log.read(&fence_stream(side), from, PAGE, Millis(0)).await?;
    let parsed = page.records.iter().filter_map(|(offset, raw)| {
        serde_json::from_slice::<FenceRecord>(raw).ok().map(|record| (*offset, record))
    });
    Ok(parsed.collect())
}

/// Gives an order, after a fresh look at the log.
///
/// A side that was paused and wakes would otherwise give orders although its successor has claimed
/// the engines; engines that check the fencing number refuse it anyway, others do not. A pause in
/// the moment between look and order is what remains: the successor sees the wrong state in the
/// engine's next report and orders again.
async fn order(
    side: &Side,
    backend: &Backend,
    fence: &Fence,
    versions: &[VersionName],
) -> Result<(), Held> {
    let looked = side.daemon.now();
    let later = read_fences(side, Offset(fence.number.0 + 1)).await?;
    if later.iter().any(|(_, record)| record.id != fence.id) {
        return Err(Held::Superseded);
    }
    let settings = &side.settings.orders;
    if side.daemon.now().since(looked) > settings.fence_age_ms {
        return Err(Held::Later("the look at the log took too long".to_owned()));
    }
    let addr = backend.settings.address;
    let http = &side.daemon.http;
    let timeout = settings.load_timeout_ms;
    let ordered = engine_order(http, addr, fence.number, versions, timeout).await;
    let names: Vec<_> = versions.iter().map(ToString::to_string).collect();
    side.daemon.telemetry.info(
        "engine_ordered",
        &[
            ("backend", &backend.settings.name),
            ("fencing", &fence.number),
            ("versions", &names.join(",")),
            ("outcome", &format!("{ordered:?}")),
        ],
    );
    match ordered {
        Ordered::Fenced => Err(Held::Superseded),
        Ordered::Unknown(why) => Err(Held::Later(why)),
        Ordered::Taken => {
            if let Ok(load) = engine_load(http, addr).await {
                backend.report(load);
            }
            super::load_reports::tell(side);
            Ok(())
        }
    }
}

/// Reads a version's stream of loads up to its end.
async fn read_loads(side: &Side, name: &str, loads: &mut LoadFold) -> Result<(), Held> {
    loop {
        let from = Offset(loads.offset().0 + 1);
        let page = side.daemon.log.read(name, from, PAGE, Millis(0)).await?;
        for (offset, raw) in &page.records {
            loads.apply(*offset, raw);
        }
        if page.records.is_empty() || loads.offset().0 + 1 >= page.next.0 {
            return Ok(());
        }
    }
}

/// Takes a place among the loads that go on; the log's order decides between several that ask.
async fn take_turn(
    side: &Side,
    name: &str,
    loads: &mut LoadFold,
    version: &VersionName,
    limit: u32,
) -> Result<ClaimId, Held> {
    let id = new_claim_id();
    let host = side.daemon.host.clone();
    let begin = LoadRecord::Begin { id, host, version: version.clone(), limit, at: wall() };
    let json = serde_json::to_vec(&begin).unwrap_or_default();
    match side.daemon.log.append(name, json).await {
        Ok(_) | Err(LogError::Unknown(_)) => {}
        Err(e) => return Err(e.into()),
    }
    read_loads(side, name, loads).await?;
    match loads.is_granted(id) {
        true => Ok(id),
        false => Err(Held::Later("others were faster".to_owned())),
    }
}

async fn ask_store(side: &Side, version: &VersionName) -> Result<(), Held> {
    let Some(addr) = side.settings.orders.weight_store else { return Ok(()) };
    match ask_to_load(&side.daemon.http, addr, version).await {
        Asked::Granted => Ok(()),
        Asked::Later(after) => {
            Err(Held::Later(format!("the weight store says to come back in {after} ms")))
        }
    }
}
