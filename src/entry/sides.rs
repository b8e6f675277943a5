//! The sides that this entry is connected to, and the backend loads that they reported.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use quinn::{Connection, Endpoint};
use redwingfold_core::{HostId, Incarnation, Member, PeerHealth, PinKey, pin_holders};

use super::context::Entry;
use crate::daemon::Daemon;
use crate::peer::Link;
use crate::platform::{HostRecord, HostState};
use crate::wire::{Load, LoadChange};

/// A backend server's last reported load.
#[derive(Clone, Debug)]
pub(crate) struct ReportedLoad {
    pub(crate) load: Load,
    /// Requests that this entry has sent since that report.
    pub(crate) sent_since: u32,
}

/// One connection to a side.
#[derive(Debug)]
pub(crate) struct SideLink {
    pub(crate) host: HostId,
    pub(crate) incarnation: Incarnation,
    pub(crate) conn: Connection,
    pub(crate) peer_link: Arc<Link>,
    is_leaving: AtomicBool,
    reports: Mutex<BTreeMap<String, ReportedLoad>>,
    _endpoint: Endpoint,
}

impl SideLink {
    /// Creates a link. It owns the endpoint, which must outlive the connection.
    pub(crate) fn new(
        host: HostId,
        incarnation: Incarnation,
        conn: Connection,
        endpoint: Endpoint,
        peer_link: Link,
    ) -> Self {
        Self {
            host,
            incarnation,
            conn,
            peer_link: Arc::new(peer_link),
            is_leaving: AtomicBool::new(false),
            reports: Mutex::default(),
            _endpoint: endpoint,
        }
    }

    /// Marks the side as leaving; returns whether it was not marked before.
    pub(crate) fn mark_leaving(&self) -> bool {
        !self.is_leaving.swap(true, Ordering::Relaxed)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, ReportedLoad>> {
        self.reports.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Stores newer load reports and resets their count of sent requests.
    pub(crate) fn update_loads(&self, loads: Vec<Load>) {
        let mut reports = self.lock();
        for load in loads {
            reports.insert(load.backend.clone(), ReportedLoad { load, sent_since: 0 });
        }
    }

    /// Applies the load change that came with a response of a backend server.
    pub(crate) fn apply_load_change(&self, backend: &str, change: LoadChange) {
        if let Some(report) = self.lock().get_mut(backend) {
            report.load.busy = change.busy;
            report.load.first_token = change.first_token;
            report.sent_since = 0;
        }
    }

    /// Counts a request sent to a backend server.
    pub(crate) fn count_sent(&self, backend: &str) {
        if let Some(report) = self.lock().get_mut(backend) {
            report.sent_since += 1;
        }
    }

    pub(crate) fn backend_loads(&self) -> Vec<ReportedLoad> {
        self.lock().values().cloned().collect()
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }

    /// Waits until the connection is dead.
    pub(crate) async fn until_dead(&self, daemon: &Daemon) {
        self.peer_link.wait_for_health(daemon, |health| health == PeerHealth::Dead).await;
    }

    /// Waits until the connection is dead, or was replaced by another while it was silent.
    ///
    /// For requests without a response head yet. A stream that has started waits for
    /// [`Self::until_dead`]: the peer may just have been slow, and the rest may still arrive.
    pub(crate) async fn until_dead_or_replaced(&self, daemon: &Daemon) {
        let is_lost = |health| health == PeerHealth::Dead || self.peer_link.is_replaced();
        self.peer_link.wait_for_health(daemon, is_lost).await;
    }
}

/// The connections to sides, and the keepers: the sides that store session pins.
#[derive(Debug, Default)]
pub(crate) struct Sides {
    links: Mutex<BTreeMap<HostId, Arc<SideLink>>>,
    keepers: Mutex<Arc<Vec<Member>>>,
}

impl Sides {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<HostId, Arc<SideLink>>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn all(&self) -> Vec<Arc<SideLink>> {
        self.lock().values().cloned().collect()
    }

    pub(crate) fn get(&self, host: &HostId) -> Option<Arc<SideLink>> {
        self.lock().get(host).cloned()
    }

    pub(crate) fn put(&self, link: &Arc<SideLink>) {
        self.lock().insert(link.host.clone(), link.clone());
    }

    /// Removes a link, unless another link to the host has replaced it.
    pub(crate) fn remove(&self, link: &Arc<SideLink>) {
        let mut links = self.lock();
        if links.get(&link.host).is_some_and(|current| Arc::ptr_eq(current, link)) {
            links.remove(&link.host);
        }
    }

    /// Sets the sides that store session pins; returns whether they changed.
    pub(crate) fn set_keepers(&self, keepers: Vec<Member>) -> bool {
        let mut current = self.keepers.lock().unwrap_or_else(PoisonError::into_inner);
        let is_new = **current != keepers;
        *current = Arc::new(keepers);
        is_new
    }

    /// Returns the holders of a session's pin in rank order, each with its link if it is connected.
    pub(crate) fn holders(
        &self,
        key: &PinKey,
        copies: usize,
    ) -> Vec<(HostId, Option<Arc<SideLink>>)> {
        let keepers = self.keepers.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let holders = pin_holders(key, &keepers, copies).into_iter();
        holders.map(|m| (m.host.clone(), self.get(&m.host))).collect()
    }
}

/// Returns whether the host list has the host as live, so that it may get new requests.
pub(crate) fn is_live(hosts: &[HostRecord], host: &HostId) -> bool {
    hosts.iter().any(|h| h.host == *host && h.state == HostState::Live)
}

/// Returns the connections that new requests may be sent on.
///
/// A side announces in its heartbeats that it is leaving. The host list follows some time later,
/// and covers sides that could not announce it.
pub(crate) fn usable_links(entry: &Entry) -> Vec<Arc<SideLink>> {
    let hosts = entry.daemon.hosts.current();
    let mut links = entry.sides.all();
    links.retain(|l| !l.is_leaving() && is_live(&hosts, &l.host));
    links
}
