//! Connecting to the sides, with reconnection and replacement of silent connections.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use quinn::{Connection, Endpoint, VarInt};
use redwingfold_core::{Bill, HostId, KeyHash, Millis, PeerHealth, rank, sides_of_entry};
use smol::Timer;

use super::context::Entry;
use super::sessions::replicate_pins;
use super::sides::{SideLink, is_live};
use crate::billing::HeldBill;
use crate::clock::{jittered, to_duration};
use crate::peer::{Connected, Link, LinkEvents, connect, dial, run_control};
use crate::platform::{HostRecord, HostState};
use crate::wire::{Control, FrameReader, FrameWriter};

/// Interval at which a replaced connection is checked for remaining requests.
const REPLACED_POLL_INTERVAL: Millis = Millis(200);

const INITIAL_BACKOFF: Millis = Millis(100);

/// Seed of the host ranking that makes all entries choose the same keepers, the sides that store
/// session pins.
const KEEPER_SEED: &str = "keepers";

/// A connection to a side for a few calls. One that was opened for them closes when this is
/// dropped.
pub(crate) struct SideConnection {
    pub(crate) conn: Connection,
    _endpoint: Option<Endpoint>,
}

/// Returns the existing connection to a side, or a new temporary one if this entry has none.
pub(crate) async fn side_connection(entry: &Entry, host: &HostId) -> Option<SideConnection> {
    if let Some(link) = entry.sides.get(host) {
        return Some(SideConnection { conn: link.conn.clone(), _endpoint: None });
    }
    let hosts = entry.daemon.hosts.current();
    let record = hosts.iter().find(|h| h.host == *host && h.is_side())?;
    let timeout = entry.settings.peers.connect_timeout_ms;
    let (endpoint, conn) = dial(&entry.client_config, record.address, timeout).await.ok()?;
    Some(SideConnection { conn, _endpoint: Some(endpoint) })
}

/// Keeps this entry connected to its sides, following the host list. Never returns.
pub(crate) async fn keep_connected(entry: Arc<Entry>) {
    let mut side_tasks: BTreeMap<HostId, (HostRecord, smol::Task<()>)> = BTreeMap::new();
    loop {
        let changed = entry.daemon.hosts.changed();
        let hosts = entry.daemon.hosts.current();
        let wanted = wanted_sides(&entry, &hosts);
        // A leaving side stays connected until it closes, so that its running streams can finish.
        side_tasks.retain(|host, (record, _)| {
            hosts.iter().any(|h| h.host == *host && h.address == record.address)
                && (wanted.contains(host) || !is_live(&hosts, host))
        });
        for record in hosts.iter().filter(|h| wanted.contains(&h.host)) {
            side_tasks.entry(record.host.clone()).or_insert_with(|| {
                let task = smol::spawn(keep_side_connected(entry.clone(), record.clone()));
                (record.clone(), task)
            });
        }
        changed.await;
    }
}

fn wanted_sides(entry: &Arc<Entry>, hosts: &[HostRecord]) -> BTreeSet<HostId> {
    let peers = &entry.settings.peers;
    let live = || hosts.iter().filter(|h| h.state == HostState::Live);
    let sides: Vec<_> = live().filter(|h| h.is_side()).map(HostRecord::pooled).collect();
    let entries: Vec<_> = live().filter(|h| !h.is_side()).map(HostRecord::member).collect();
    let members: Vec<_> = sides.iter().map(|side| side.member.clone()).collect();
    let keepers: Vec<_> =
        rank(KEEPER_SEED, &members).into_iter().take(peers.keepers).cloned().collect();
    let own_host = &entry.daemon.host;
    let mut wanted = sides_of_entry(own_host, &entries, &sides, peers.fan_in, peers.per_pool);
    wanted.extend(keepers.iter().map(|m| m.host.clone()));
    if entry.sides.set_keepers(keepers) {
        smol::spawn(replicate_pins(entry.clone())).detach();
    }
    wanted
}

/// Keeps one side connected, reconnecting with exponential backoff.
///
/// The backoff is jittered so that many entries (such as sixty) that lose a side at the same time
/// don't reconnect all at once.
async fn keep_side_connected(entry: Arc<Entry>, record: HostRecord) {
    let mut backoff = INITIAL_BACKOFF;
    let mut replacement: Option<Connected> = None;
    loop {
        let connected = match replacement.take() {
            Some(connected) => Ok(connected),
            None => open_connection(&entry, &record).await,
        };
        match connected {
            Ok(connected) => {
                backoff = INITIAL_BACKOFF;
                replacement = run_connection(&entry, &record, connected).await;
            }
            Err(reason) => {
                entry.daemon.telemetry.count("side.connect_failed", 1);
                entry
                    .daemon
                    .telemetry
                    .info("side_unreachable", &[("host", &record.host), ("why", &reason)]);
            }
        }
        if replacement.is_none() {
            Timer::after(jittered(backoff)).await;
            backoff = Millis((backoff.0 * 2).min(entry.settings.peers.max_backoff_ms.0));
        }
    }
}

async fn open_connection(entry: &Entry, record: &HostRecord) -> Result<Connected, String> {
    let timeout = entry.settings.peers.connect_timeout_ms;
    let hello = entry.daemon.hello();
    let connected = connect(&entry.client_config, record.address, timeout, hello)
        .await
        .map_err(|e| e.to_string())?;
    match connected.hello.host == record.host {
        true => Ok(connected),
        // The address was reassigned to another host and the host list is stale.
        false => Err(format!("address belongs to host {}", connected.hello.host)),
    }
}

/// Runs a connection until it is dead or replaced; returns the replacement, if there is one.
async fn run_connection(
    entry: &Arc<Entry>,
    record: &HostRecord,
    connected: Connected,
) -> Option<Connected> {
    let link = Arc::new(SideLink::new(
        record.host.clone(),
        connected.hello.incarnation,
        connected.conn,
        connected.endpoint,
        Link::new(&entry.daemon, true),
    ));
    entry.sides.put(&link);
    entry
        .daemon
        .telemetry
        .info("side_connected", &[("host", &link.host), ("incarnation", &link.incarnation)]);
    smol::spawn(replicate_pins(entry.clone())).detach();
    // Detached: a replaced connection stays open until its last response has been received.
    smol::spawn(run_link_control(entry.clone(), link.clone(), connected.tx, connected.rx)).detach();
    let _registration = LinkRegistration { entry: entry.clone(), link: link.clone() };
    let connection_dead = async {
        link.until_dead(&entry.daemon).await;
        None
    };
    smol::future::or(connection_dead, watch_health(entry, record, &link)).await
}

/// Keeps a link in the list of links for new requests; dropping it removes the link.
///
/// The task that runs a link is dropped when its host is no longer wanted. If the link stayed in
/// the list, requests would be sent on a connection whose health is not monitored, and be lost with
/// it.
struct LinkRegistration {
    entry: Arc<Entry>,
    link: Arc<SideLink>,
}

impl Drop for LinkRegistration {
    fn drop(&mut self) {
        self.entry.sides.remove(&self.link);
        self.link.peer_link.mark_replaced();
    }
}

/// Runs the control stream of a connection until the connection is dead, or was replaced and has no
/// requests left.
async fn run_link_control(
    entry: Arc<Entry>,
    link: Arc<SideLink>,
    tx: FrameWriter<Control>,
    rx: FrameReader<Control>,
) {
    let events = LinkEvents {
        on_heartbeat: &|leaving, loads| {
            if leaving && link.mark_leaving() {
                entry.daemon.telemetry.info("side_leaving", &[("host", &link.host)]);
            }
            link.update_loads(loads);
        },
        on_bills_confirmed: &|ids| entry.bills.remove(&ids),
        on_hold_bills: &|bills| store_bills(&entry, bills),
        on_bills_held: &|_| {},
        is_leaving: &|| entry.drain.is_draining(),
        loads: &Vec::new,
    };
    let peer = link.host.to_string();
    let run = async {
        let reason =
            run_control(&entry.daemon, &link.peer_link, (&peer, &link.conn), tx, rx, &events).await;
        entry.daemon.telemetry.info("side_gone", &[("host", &link.host), ("why", &reason)]);
    };
    let replaced_and_unused = async {
        link.until_dead_or_replaced(&entry.daemon).await;
        while Arc::strong_count(&link) > 1 {
            Timer::after(to_duration(REPLACED_POLL_INTERVAL)).await;
        }
    };
    smol::future::or(run, replaced_and_unused).await;
    link.peer_link.mark_closed();
    link.conn.close(VarInt::from_u32(0), b"over");
}

/// Waits until the connection is silent, then opens a second one to the same side and returns it.
///
/// The peer may be healthy and only this connection dead. A new connection shows which it is sooner
/// than waiting for the dead timeout. If the old connection has recovered by the time the new one
/// is open, the old one stays in use. Returns `None` if the connection is dead and the new one
/// failed.
async fn watch_health(entry: &Entry, record: &HostRecord, link: &SideLink) -> Option<Connected> {
    let daemon = &entry.daemon;
    loop {
        link.peer_link.wait_for_health(daemon, |health| health != PeerHealth::Live).await;
        daemon.telemetry.count("side.suspected", 1);
        daemon.telemetry.info("side_suspected", &[("host", &link.host)]);
        let replacement = open_connection(entry, record).await;
        match (replacement, link.peer_link.health(daemon.now())) {
            (_, PeerHealth::Live) => {
                daemon.telemetry.count("side.false_suspicion", 1);
                daemon.telemetry.info("side_back", &[("host", &link.host)]);
            }
            (Ok(replacement), _) => {
                link.peer_link.mark_replaced();
                daemon.telemetry.info("side_replaced", &[("host", &link.host)]);
                return Some(replacement);
            }
            (Err(_), PeerHealth::Dead) => return None,
            (Err(_), PeerHealth::Suspect) => {
                Timer::after(to_duration(Millis(daemon.heartbeat.interval_ms.0 / 2))).await;
            }
        }
    }
}

fn store_bills(entry: &Entry, bills: Vec<Bill>) -> Vec<KeyHash> {
    let mut stored = Vec::new();
    for bill in bills {
        let id = bill.id;
        if entry.bills.hold(HeldBill { bill, side: None }, Millis(0)).is_ok() {
            stored.push(id);
        }
    }
    stored
}
