//! Keeping connections to the sides.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use quinn::{Connection, Endpoint, VarInt};
use redwingfold_core::{Bill, Health, HostId, KeyHash, Millis, rank, sides_of_entry};
use smol::Timer;

use super::context::Entry;
use super::sessions::replicate_pins;
use super::sides::{SideLink, is_live};
use crate::billing::Held;
use crate::clock::{jittered, span};
use crate::peer::{Connected, Link, LinkEvents, connect, dial, run_control};
use crate::platform::{HostRecord, HostState};
use crate::wire::{Control, FrameReader, FrameWriter};

/// Pause between looks whether a replaced connection is needed still.
const REPLACED_POLL_INTERVAL: Millis = Millis(200);

const INITIAL_BACKOFF: Millis = Millis(100);

/// Seed of the ranking that gives all entries the same keepers.
const KEEPER_SEED: &str = "keepers";

/// A connection for a few calls; one that was opened for them ends with this.
pub(crate) struct SideConnection {
    pub(crate) conn: Connection,
    _endpoint: Option<Endpoint>,
}

/// Returns a connection to a side, be it among this entry's sides or not.
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

/// Keeps connections to this entry's sides, for ever.
pub(crate) async fn keep_connected(entry: Arc<Entry>) {
    let mut connecting: BTreeMap<HostId, (HostRecord, smol::Task<()>)> = BTreeMap::new();
    loop {
        let changed = entry.daemon.hosts.changed();
        let hosts = entry.daemon.hosts.current();
        let wanted = wanted_sides(&entry, &hosts);
        // A side that leaves stays connected until it closes: its streams under way go on.
        connecting.retain(|host, (record, _)| {
            hosts.iter().any(|h| h.host == *host && h.address == record.address)
                && (wanted.contains(host) || !is_live(&hosts, host))
        });
        for record in hosts.iter().filter(|h| wanted.contains(&h.host)) {
            connecting.entry(record.host.clone()).or_insert_with(|| {
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
    let own = &entry.daemon.host;
    let mut wanted = sides_of_entry(own, &entries, &sides, peers.fan_in, peers.per_pool);
    wanted.extend(keepers.iter().map(|m| m.host.clone()));
    if entry.sides.set_keepers(keepers) {
        smol::spawn(replicate_pins(entry.clone())).detach();
    }
    wanted
}

/// Connects to a side again and again, each time after a longer pause, with jitter: sixty that
/// begin at once must not come back in step.
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
            Err(why) => {
                entry.daemon.telemetry.count("side.connect_failed", 1);
                entry
                    .daemon
                    .telemetry
                    .info("side_unreachable", &[("host", &record.host), ("why", &why)]);
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
        // The address went to another host, and the list is behind.
        false => Err(format!("answers as {}", connected.hello.host)),
    }
}

/// Holds a connection until it ends; returns the one that takes its place, if there is one.
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
    // It ends by itself, with the last answer on the connection.
    smol::spawn(run_link_control(entry.clone(), link.clone(), connected.tx, connected.rx)).detach();
    let _registration = LinkRegistration { entry: entry.clone(), link: link.clone() };
    let connection_dead = async {
        link.until_dead(&entry.daemon).await;
        None
    };
    smol::future::or(connection_dead, watch_health(entry, record, &link)).await
}

/// Keeps a link among those that get new work, until it is dropped.
///
/// The task that holds a link is dropped when its host is not wanted any more. Were the link not
/// taken out then, requests would go on to a connection that nobody watches, and be lost with it.
struct LinkRegistration {
    entry: Arc<Entry>,
    link: Arc<SideLink>,
}

impl Drop for LinkRegistration {
    fn drop(&mut self) {
        self.entry.sides.remove(&self.link);
        self.link.link.replace();
    }
}

/// Runs the control stream of a connection until it is dead, or was replaced and is not needed.
async fn run_link_control(
    entry: Arc<Entry>,
    link: Arc<SideLink>,
    tx: FrameWriter<Control>,
    rx: FrameReader<Control>,
) {
    let events = LinkEvents {
        on_beat: &|leaving, loads| {
            if leaving && link.mark_leaving() {
                entry.daemon.telemetry.info("side_leaving", &[("host", &link.host)]);
            }
            link.update_loads(loads);
        },
        on_confirmed: &|ids| entry.bills.forget(&ids),
        on_hold: &|bills| store_bills(&entry, bills),
        on_held: &|_| {},
        is_leaving: &|| entry.drain.is_draining(),
        loads: &Vec::new,
    };
    let peer = link.host.to_string();
    let run = async {
        let why =
            run_control(&entry.daemon, &link.link, (&peer, &link.conn), tx, rx, &events).await;
        entry.daemon.telemetry.info("side_gone", &[("host", &link.host), ("why", &why)]);
    };
    let replaced_and_unused = async {
        link.until_dead_or_replaced(&entry.daemon).await;
        while Arc::strong_count(&link) > 1 {
            Timer::after(span(REPLACED_POLL_INTERVAL)).await;
        }
    };
    smol::future::or(run, replaced_and_unused).await;
    link.link.give_up();
    link.conn.close(VarInt::from_u32(0), b"over");
}

/// Waits until the connection is silent, and opens another beside it.
///
/// The peer may be well and only this connection dead: a new one tells the two apart sooner than
/// any waiting. If the old one speaks again first, it stays.
async fn watch_health(entry: &Entry, record: &HostRecord, link: &SideLink) -> Option<Connected> {
    let daemon = &entry.daemon;
    loop {
        link.link.until(daemon, |health| health != Health::Live).await;
        daemon.telemetry.count("side.suspected", 1);
        daemon.telemetry.info("side_suspected", &[("host", &link.host)]);
        let replacement = open_connection(entry, record).await;
        match (replacement, link.link.health(daemon.now())) {
            (_, Health::Live) => {
                daemon.telemetry.count("side.false_suspicion", 1);
                daemon.telemetry.info("side_back", &[("host", &link.host)]);
            }
            (Ok(replacement), _) => {
                link.link.replace();
                daemon.telemetry.info("side_replaced", &[("host", &link.host)]);
                return Some(replacement);
            }
            (Err(_), Health::Dead) => return None,
            (Err(_), Health::Suspect) => {
                Timer::after(span(Millis(daemon.heartbeat.interval_ms.0 / 2))).await;
            }
        }
    }
}

fn store_bills(entry: &Entry, bills: Vec<Bill>) -> Vec<KeyHash> {
    let mut stored = Vec::new();
    for bill in bills {
        let id = bill.id;
        if entry.bills.hold(Held { bill, side: None }, Millis(0)).is_ok() {
            stored.push(id);
        }
    }
    stored
}
