//! Keeping connections to the sides.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use quinn::{Connection, Endpoint, VarInt};
use redwingfold_core::{Bill, Health, HostId, KeyHash, Millis, rank, sides_of_entry};
use smol::Timer;

use super::context::Entry;
use super::sessions::sweep;
use super::sides::{SideLink, is_live};
use crate::billing::Held;
use crate::clock::{jittered, span};
use crate::peer::{Connected, Link, LinkEvents, connect, dial, run_control};
use crate::platform::{HostRecord, HostState};
use crate::wire::{Control, FrameReader, FrameWriter};

/// Pause between looks whether a replaced connection is needed still.
const UNNEEDED_POLL: Millis = Millis(200);

const FIRST_BACKOFF: Millis = Millis(100);

/// Seed of the ranking that gives all entries the same keepers.
const KEEPER_SEED: &str = "keepers";

/// A connection for a few calls; one that was opened for them ends with this.
pub(crate) struct Reached {
    pub(crate) conn: Connection,
    _endpoint: Option<Endpoint>,
}

/// Returns a connection to a side, be it among this entry's sides or not.
pub(crate) async fn reach(entry: &Entry, host: &HostId) -> Option<Reached> {
    if let Some(link) = entry.sides.get(host) {
        return Some(Reached { conn: link.conn.clone(), _endpoint: None });
    }
    let hosts = entry.daemon.hosts.current();
    let record = hosts.iter().find(|h| h.host == *host && h.is_side())?;
    let timeout = entry.settings.peers.connect_timeout_ms;
    let (endpoint, conn) = dial(&entry.client, record.address, timeout).await.ok()?;
    Some(Reached { conn, _endpoint: Some(endpoint) })
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
                let task = smol::spawn(stay_connected(entry.clone(), record.clone()));
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
        smol::spawn(sweep(entry.clone())).detach();
    }
    wanted
}

/// Connects to a side again and again, each time after a longer pause, with jitter: sixty that
/// begin at once must not come back in step.
async fn stay_connected(entry: Arc<Entry>, record: HostRecord) {
    let mut backoff = FIRST_BACKOFF;
    let mut next: Option<Connected> = None;
    loop {
        let connected = match next.take() {
            Some(connected) => Ok(connected),
            None => open(&entry, &record).await,
        };
        match connected {
            Ok(connected) => {
                backoff = FIRST_BACKOFF;
                next = hold(&entry, &record, connected).await;
            }
            Err(why) => {
                entry.daemon.telemetry.count("side.connect_failed", 1);
                entry
                    .daemon
                    .telemetry
                    .info("side_unreachable", &[("host", &record.host), ("why", &why)]);
            }
        }
        if next.is_none() {
            Timer::after(jittered(backoff)).await;
            backoff = Millis((backoff.0 * 2).min(entry.settings.peers.max_backoff_ms.0));
        }
    }
}

async fn open(entry: &Entry, record: &HostRecord) -> Result<Connected, String> {
    let timeout = entry.settings.peers.connect_timeout_ms;
    let hello = entry.daemon.hello();
    let connected =
        connect(&entry.client, record.address, timeout, hello).await.map_err(|e| e.to_string())?;
    match connected.hello.host == record.host {
        true => Ok(connected),
        // The address went to another host, and the list is behind.
        false => Err(format!("answers as {}", connected.hello.host)),
    }
}

/// Holds a connection until it ends; returns the one that takes its place, if there is one.
async fn hold(entry: &Arc<Entry>, record: &HostRecord, connected: Connected) -> Option<Connected> {
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
    smol::spawn(sweep(entry.clone())).detach();
    // It ends by itself, with the last answer on the connection.
    smol::spawn(control(entry.clone(), link.clone(), connected.tx, connected.rx)).detach();
    let _listed = Listed { entry: entry.clone(), link: link.clone() };
    let dead = async {
        link.dead(&entry.daemon).await;
        None
    };
    smol::future::or(dead, watch(entry, record, &link)).await
}

/// Keeps a link among those that get new work, until it is dropped.
///
/// The task that holds a link is dropped when its host is not wanted any more. Were the link not
/// taken out then, requests would go on to a connection that nobody watches, and be lost with it.
struct Listed {
    entry: Arc<Entry>,
    link: Arc<SideLink>,
}

impl Drop for Listed {
    fn drop(&mut self) {
        self.entry.sides.remove(&self.link);
        self.link.link.replace();
    }
}

/// Runs the control stream of a connection until it is dead, or was replaced and is not needed.
async fn control(
    entry: Arc<Entry>,
    link: Arc<SideLink>,
    tx: FrameWriter<Control>,
    rx: FrameReader<Control>,
) {
    let events = LinkEvents {
        on_beat: &|leaving, loads| {
            if leaving && link.leave() {
                entry.daemon.telemetry.info("side_leaving", &[("host", &link.host)]);
            }
            link.note_loads(loads);
        },
        on_confirmed: &|ids| entry.bills.forget(&ids),
        on_hold: &|bills| take_over(&entry, bills),
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
    let unneeded = async {
        link.given_up(&entry.daemon).await;
        while Arc::strong_count(&link) > 1 {
            Timer::after(span(UNNEEDED_POLL)).await;
        }
    };
    smol::future::or(run, unneeded).await;
    link.link.give_up();
    link.conn.close(VarInt::from_u32(0), b"over");
}

/// Waits until the connection is silent, and opens another beside it.
///
/// The peer may be well and only this connection dead: a new one tells the two apart sooner than
/// any waiting. If the old one speaks again first, it stays.
async fn watch(entry: &Entry, record: &HostRecord, link: &SideLink) -> Option<Connected> {
    let daemon = &entry.daemon;
    loop {
        link.link.until(daemon, |health| health != Health::Live).await;
        daemon.telemetry.count("side.suspected", 1);
        daemon.telemetry.info("side_suspected", &[("host", &link.host)]);
        let spare = open(entry, record).await;
        match (spare, link.link.health(daemon.now())) {
            (_, Health::Live) => {
                daemon.telemetry.count("side.false_suspicion", 1);
                daemon.telemetry.info("side_back", &[("host", &link.host)]);
            }
            (Ok(spare), _) => {
                link.link.replace();
                daemon.telemetry.info("side_replaced", &[("host", &link.host)]);
                return Some(spare);
            }
            (Err(_), Health::Dead) => return None,
            (Err(_), Health::Suspect) => {
                Timer::after(span(Millis(daemon.heartbeat.interval_ms.0 / 2))).await;
            }
        }
    }
}

fn take_over(entry: &Entry, bills: Vec<Bill>) -> Vec<KeyHash> {
    let mut held = Vec::new();
    for bill in bills {
        let id = bill.id;
        if entry.bills.hold(Held { bill, side: None }, Millis(0)).is_ok() {
            held.push(id);
        }
    }
    held
}
