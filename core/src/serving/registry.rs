//! Registry of backend servers, read from a store that may be unavailable.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use super::catalog::{BackendId, ServiceName};
use crate::ids::{FailureDomain, Incarnation, Millis, ModelName, VersionName};

/// Whether a backend server accepts new requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerState {
    /// It will stop soon and gets no new requests.
    Draining,
    /// It accepts new requests.
    Ready,
}

/// A backend server as it registered itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BackendServer {
    /// Its id.
    pub id: BackendId,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Its address, which may later belong to another server.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Version of its software.
    pub version: VersionName,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: ServerState,
    /// Models that it has loaded; empty if it is not a model engine.
    pub models: Vec<ModelName>,
    /// Incarnation of its process, if the platform reports it: a server may restart under the same id.
    pub incarnation: Option<Incarnation>,
    /// Remaining time for which it is cold, as of its record.
    pub cold_left: Millis,
}

impl BackendServer {
    /// Returns whether this record is of a later incarnation than another one.
    ///
    /// A restarted server has none of the state of its earlier process. Without the distinction, it would be placed by
    /// the load and the failures of a process that no longer exists, and a server that once drained would never be used
    /// again.
    pub fn is_restart_of(&self, earlier: &Self) -> bool {
        matches!((self.incarnation, earlier.incarnation), (Some(now), Some(then)) if now > then)
    }
}

/// Effect of a record on the registry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PutOutcome {
    /// No effect: the record is late and of an earlier incarnation than the known one.
    Stale,
    /// The server is new or has changed.
    Applied,
    /// The server has restarted; state kept about its earlier process is invalid.
    Restarted,
}

/// A list of backend servers sent by another gateway.
#[derive(Clone, Debug, Default)]
pub struct PeerServerList {
    /// The servers in its registry.
    pub servers: Vec<BackendServer>,
    /// Servers among them whose records are gone, and the time until they are removed there.
    pub expiring: Vec<(BackendId, Millis)>,
    /// Time for which its complete lists may still come from an older copy of the store.
    pub stale_for: Millis,
}

/// How removals are handled after the store was unavailable.
#[derive(Clone, Copy, Debug)]
pub struct RegistryPolicy {
    /// Time after the return of the store for which a server whose record has expired may register again.
    pub return_grace: Millis,
}

impl Default for RegistryPolicy {
    /// Running servers register again within about two seconds of the return of the store.
    fn default() -> Self {
        Self { return_grace: Millis(2_000) }
    }
}

/// The backend servers known to this process.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    policy: RegistryPolicy,
    servers: HashMap<BackendId, Entry>,
    /// Time until which a missing record may only have expired during an outage of the store.
    removals_trusted_from: Millis,
    /// Time until which a complete list may come from an older copy of the store.
    stale_until: Millis,
    /// Time of the first complete list.
    first_list_at: Option<Millis>,
    /// Time at which the last cold server is warm.
    last_cold_until: Millis,
    /// Removed servers, and the times of their removal.
    removed: HashMap<BackendId, Millis>,
}

/// Time for which the removal of a server stays on record; longer than the age of the copies that the store is restored
/// from, which is some seconds.
const REMOVED_RETENTION: Millis = Millis(60_000);

/// Time for which gateways may still send each other a list from an older copy; by its end all running servers have
/// renewed their records.
const RESTORED_LIST_LIFETIME: Millis = Millis(10_000);

/// Tolerance between heartbeats of a cold server about when it is warm, because they are read with varying delay.
const COLD_TOLERANCE: Millis = Millis(500);

#[derive(Clone, Debug)]
struct Entry {
    /// The record, without the time for which the server is cold.
    server: BackendServer,
    cold_until: Millis,
    /// Time of removal if the record is missing.
    expires_at: Option<Millis>,
}

impl Registry {
    /// Creates an empty registry.
    pub fn new(policy: RegistryPolicy) -> Self {
        Self { policy, ..Self::default() }
    }

    /// Records that the store was unavailable until now: records of running servers may expire.
    pub fn record_outage(&mut self, now: Millis) {
        self.removals_trusted_from = now.after(self.policy.return_grace);
    }

    /// Applies the record of a server. A server that is draining stays so until it restarts.
    pub fn put(&mut self, server: BackendServer, now: Millis) -> PutOutcome {
        let before = self.servers.get(&server.id);
        let known = before.map(|entry| &entry.server);
        let outcome = match known {
            Some(known) if known.is_restart_of(&server) => return PutOutcome::Stale,
            Some(known) if server.is_restart_of(known) => PutOutcome::Restarted,
            _ => PutOutcome::Applied,
        };
        let was_draining = known.is_some_and(|known| known.state == ServerState::Draining);
        let state = match outcome {
            PutOutcome::Applied if was_draining => ServerState::Draining,
            _ => server.state,
        };
        // A record with an earlier cold time may arrive after a later announcement of the server.
        let was_cold_until = before.map_or(Millis(0), |entry| entry.cold_until);
        let cold_until = match server.cold_left {
            Millis(0) => was_cold_until,
            left => was_cold_until.max(now.after(left)),
        };
        self.last_cold_until = self.last_cold_until.max(cold_until);
        let server = BackendServer { state, cold_left: Millis(0), ..server };
        self.removed.remove(&server.id);
        self.servers.insert(server.id.clone(), Entry { server, cold_until, expires_at: None });
        outcome
    }

    /// Applies the removal of a record.
    ///
    /// A removal soon after an outage of the store may only mean that the server could not renew its record. The server
    /// is kept for a grace period and removed if no record has arrived by then.
    pub fn remove(&mut self, id: &BackendId, now: Millis) {
        if now >= self.removals_trusted_from {
            self.remove_now(id, now);
            return;
        }
        if let Some(entry) = self.servers.get_mut(id) {
            entry.expires_at.get_or_insert(self.removals_trusted_from);
        }
    }

    /// Handles a server that a complete list lacks. While the list may come from an older copy, the server is removed
    /// only if it does not register again in time.
    fn handle_unlisted(&mut self, id: &BackendId, now: Millis) {
        let expires_at = now.after(self.policy.return_grace);
        match self.servers.get_mut(id) {
            Some(entry) if now < self.stale_until => {
                entry.expires_at.get_or_insert(expires_at);
            }
            _ => self.remove(id, now),
        }
    }

    fn remove_now(&mut self, id: &BackendId, now: Millis) {
        self.removed.retain(|_, at| now.since(*at) < REMOVED_RETENTION);
        if self.servers.remove(id).is_some() {
            self.removed.insert(id.clone(), now);
        }
    }

    /// Applies the complete list of a store that was restored from an older copy.
    ///
    /// Servers that the list lacks may have registered after the copy was made, and get time to register again. Servers
    /// that the list contains but that were removed here have left since the copy was made. If these were accepted, a
    /// server that stopped without notice would get requests for seconds. Such a server is accepted again with its next
    /// heartbeat.
    pub fn replace_by_restored(
        &mut self,
        servers: Vec<BackendServer>,
        now: Millis,
    ) -> Vec<BackendId> {
        self.record_outage(now);
        self.stale_until = now.after(RESTORED_LIST_LIFETIME);
        // Servers that registered after the previous copy may also be missing from this one.
        self.servers.values_mut().for_each(|entry| entry.expires_at = None);
        self.replace(servers, now)
    }

    /// Applies a list from another gateway as of a time. Returns the servers that have restarted.
    ///
    /// If the list may come from an older copy and is the first such one here, the servers that it lacks get time to
    /// register again. Otherwise running servers would get no requests until their next heartbeats. A server that is
    /// about to be removed there and was removed here is not added again.
    pub fn replace_by_peer_list(
        &mut self,
        list: PeerServerList,
        as_of: Millis,
        now: Millis,
    ) -> Vec<BackendId> {
        let PeerServerList { mut servers, expiring, stale_for } = list;
        let is_expiring = |server: &BackendServer| expiring.iter().any(|(id, _)| *id == server.id);
        servers.retain(|server| !(self.removed.contains_key(&server.id) && is_expiring(server)));
        let is_first_restored = stale_for > Millis(0) && now >= self.stale_until;
        let restarted = match is_first_restored && self.first_list_at.is_some() {
            true => self.replace_by_restored(servers, now),
            false => self.replace(servers, now),
        };
        self.stale_until = self.stale_until.max(as_of.after(stale_for));
        expiring.iter().for_each(|(id, left)| self.expire_by(id, as_of.after(*left)));
        restarted
    }

    /// Returns the time for which complete lists from this gateway may still come from an older copy of the store.
    ///
    /// A gateway that has just started cannot tell whether its first list does.
    pub fn stale_for(&self, now: Millis) -> Millis {
        let since_start = self.first_list_at.map_or(now, |at| at.after(RESTORED_LIST_LIFETIME));
        self.stale_until.max(since_start).since(now)
    }

    /// Applies a complete list: servers that are not on it are removed. Returns the servers that have restarted.
    ///
    /// ```
    /// use redwingfold_core::{Millis, Registry};
    /// let mut registry = Registry::default();
    /// registry.replace(Vec::new(), Millis(0));
    /// assert_eq!(registry.servers(Millis(0)).count(), 0);
    /// ```
    pub fn replace(&mut self, servers: Vec<BackendServer>, now: Millis) -> Vec<BackendId> {
        self.first_list_at.get_or_insert(now);
        // Another gateway that has just started has only the restored copy, and sends it to its peers.
        let has_left = |server: &BackendServer| {
            let left_at = self.removed.get(&server.id);
            now < self.stale_until && left_at.is_some_and(|at| now.since(*at) < REMOVED_RETENTION)
        };
        let servers: Vec<_> = servers.into_iter().filter(|server| !has_left(server)).collect();
        let listed: HashSet<&BackendId> = servers.iter().map(|server| &server.id).collect();
        let gone: Vec<_> = self.servers.keys().filter(|id| !listed.contains(id)).cloned().collect();
        for id in gone {
            self.handle_unlisted(&id, now);
        }
        let mut restarted = Vec::new();
        for server in servers {
            let id = server.id.clone();
            if self.put(server, now) == PutOutcome::Restarted {
                restarted.push(id);
            }
        }
        restarted
    }

    /// Returns the servers whose records are gone and that may register again, with the time until their removal.
    pub fn expiring(&self, now: Millis) -> impl Iterator<Item = (&BackendId, Millis)> {
        let left = move |at: Millis| (now < at).then(|| at.since(now));
        self.servers
            .iter()
            .filter_map(move |(id, entry)| Some((id, entry.expires_at.and_then(left)?)))
    }

    /// Applies the expiry of a record as reported in another list.
    pub fn expire_by(&mut self, id: &BackendId, expires_at: Millis) {
        if let Some(entry) = self.servers.get_mut(id) {
            entry.expires_at = Some(entry.expires_at.map_or(expires_at, |at| at.min(expires_at)));
        }
    }

    /// Removes the servers whose grace period has ended, and returns them.
    pub fn expire(&mut self, now: Millis) -> Vec<BackendId> {
        let over = |entry: &Entry| entry.expires_at.is_some_and(|at| now >= at);
        let gone: Vec<_> =
            self.servers.iter().filter(|(_, e)| over(e)).map(|(id, _)| id.clone()).collect();
        gone.iter().for_each(|id| self.remove_now(id, now));
        gone
    }

    /// Removes a server because another one answered at its address.
    pub fn forget(&mut self, id: &BackendId) {
        self.servers.remove(id);
    }

    /// Returns the servers that are not removed.
    pub fn servers(&self, now: Millis) -> impl Iterator<Item = &BackendServer> {
        let alive = move |entry: &&Entry| entry.expires_at.is_none_or(|at| now < at);
        self.servers.values().filter(alive).map(|entry| &entry.server)
    }

    /// Returns whether a record changes nothing. A record of a server that is waiting for its removal is a change,
    /// because it shows that the server is running.
    pub fn is_up_to_date(&self, server: &BackendServer, now: Millis) -> bool {
        let Some(entry) = self.servers.get(&server.id).filter(|entry| entry.expires_at.is_none())
        else {
            return false;
        };
        match server.cold_left {
            Millis(0) => entry.server == *server,
            left => {
                let warm = BackendServer { cold_left: Millis(0), ..server.clone() };
                entry.server == warm && now.after(left) <= entry.cold_until.after(COLD_TOLERANCE)
            }
        }
    }

    /// Records the remaining cold time that a server reported in an answer.
    pub fn set_cold(&mut self, id: &BackendId, left: Millis, now: Millis) {
        if let Some(entry) = self.servers.get_mut(id) {
            entry.cold_until = entry.cold_until.max(now.after(left));
            self.last_cold_until = self.last_cold_until.max(entry.cold_until);
        }
    }

    /// Returns whether any server may be cold.
    pub fn has_cold(&self, now: Millis) -> bool {
        now < self.last_cold_until
    }

    /// Returns the remaining time for which a server is cold.
    pub fn cold_left(&self, id: &BackendId, now: Millis) -> Millis {
        self.servers.get(id).map_or(Millis(0), |entry| entry.cold_until.since(now))
    }

    /// Returns a server.
    pub fn get(&self, id: &BackendId) -> Option<&BackendServer> {
        self.servers.get(id).map(|entry| &entry.server)
    }
}
