//! Which backend servers exist, from a store that may be away.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use super::catalog::{BackendId, ServiceName};
use crate::ids::{FailureDomain, Incarnation, Millis, ModelName, VersionName};

/// Whether a backend server takes new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerState {
    /// It will stop soon and gets no new work.
    Draining,
    /// It takes new work.
    Ready,
}

/// A backend server as it registered itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BackendServer {
    /// Its id.
    pub id: BackendId,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Its address; another server may have it later.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Version of its software.
    pub version: VersionName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: ServerState,
    /// Models that it has loaded; empty if it is no model engine.
    pub models: Vec<ModelName>,
    /// Its start, if the platform tells: a server may start again under its id.
    pub born: Option<Incarnation>,
    /// How much longer it is cold, as of its record.
    pub cold_left: Millis,
}

impl BackendServer {
    /// Says whether this record is of a later start than another one.
    ///
    /// A server that starts again holds and knows nothing of before. Were the two taken for one, its
    /// callers would be sent there by the load and the failures of a process that is gone, and a server
    /// that once drained would never be used again.
    pub fn is_restart_of(&self, earlier: &Self) -> bool {
        matches!((self.born, earlier.born), (Some(now), Some(then)) if now > then)
    }
}

/// What a record changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PutOutcome {
    /// Nothing: it is of an earlier start than the one that is known, and came late.
    Stale,
    /// The server was not known, or has changed.
    Applied,
    /// The server has started again: what was believed of it is void.
    Restarted,
}

/// A list of backend servers that another gateway passes on.
#[derive(Clone, Debug, Default)]
pub struct PeerServerList {
    /// The servers that it believes in.
    pub servers: Vec<BackendServer>,
    /// Those among them that it will take as gone after a time.
    pub expiring: Vec<(BackendId, Millis)>,
    /// Time for which its whole lists may yet be of an older copy of the store.
    pub stale_for: Millis,
}

/// How removals are taken while the store is in trouble.
#[derive(Clone, Copy, Debug)]
pub struct RegistryPolicy {
    /// How long after the store's return a server that lapsed meanwhile may still come back.
    pub return_grace: Millis,
}

impl Default for RegistryPolicy {
    /// Servers that live are back within about two seconds of the store's return.
    fn default() -> Self {
        Self { return_grace: Millis(2_000) }
    }
}

/// The backend servers that this process believes in.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    policy: RegistryPolicy,
    servers: HashMap<BackendId, Entry>,
    /// Until when a missing entry may be one that lapsed while the store was away.
    removals_trusted_from: Millis,
    /// Until when a whole list may be of an older copy of the store.
    stale_until: Millis,
    /// When the first whole list was taken.
    first_list_at: Option<Millis>,
    /// When the last server that is known to be cold is warm.
    last_cold_until: Millis,
    /// Servers that were removed, and when.
    removed: HashMap<BackendId, Millis>,
}

/// Time for which a removed server is remembered: copies from which the store comes back are some seconds old.
const REMOVED_RETENTION: Millis = Millis(60_000);

/// Time for which an older copy may be passed on: all servers that live have written again by then.
const RESTORED_LIST_LIFETIME: Millis = Millis(10_000);

/// Time by which heartbeats of a cold server differ on when it is warm, as they are read sooner or later.
const COLD_TOLERANCE: Millis = Millis(500);

#[derive(Clone, Debug)]
struct Entry {
    /// Its record, without the time for which it is cold.
    server: BackendServer,
    cold_until: Millis,
    /// When it is to be taken as gone, if its record is missing.
    expires_at: Option<Millis>,
}

impl Registry {
    /// Makes an empty registry.
    pub fn new(policy: RegistryPolicy) -> Self {
        Self { policy, ..Self::default() }
    }

    /// Notes that the store was in trouble up to now: records of live servers may lapse.
    pub fn record_outage(&mut self, now: Millis) {
        self.removals_trusted_from = now.after(self.policy.return_grace);
    }

    /// Takes a server's record. A server that was seen draining stays so until it starts again.
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
        // A record that was written before the server said otherwise may come after.
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

    /// Takes the removal of a server's record.
    ///
    /// A removal soon after an outage of the store may only mean that the server could not renew
    /// its record: the server stays for the grace, and goes if no record has come by then.
    pub fn remove(&mut self, id: &BackendId, now: Millis) {
        if now >= self.removals_trusted_from {
            self.remove_now(id, now);
            return;
        }
        if let Some(entry) = self.servers.get_mut(id) {
            entry.expires_at.get_or_insert(self.removals_trusted_from);
        }
    }

    /// Takes that a whole list lacks a server. While that may be an older copy's, only time shows whether the server lives.
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

    /// Takes the whole list of a store that has come back from an older copy.
    ///
    /// What it lacks may have registered since, and is given the time to do so again. What was removed here and is on it
    /// has left since the copy was made: one that said nothing of its end goes on for seconds, and got work again. It
    /// is taken back with its next heartbeat if it lives.
    pub fn replace_by_restored(
        &mut self,
        servers: Vec<BackendServer>,
        now: Millis,
    ) -> Vec<BackendId> {
        self.record_outage(now);
        self.stale_until = now.after(RESTORED_LIST_LIFETIME);
        // What registered again after the copy before may be missing from this one, too.
        self.servers.values_mut().for_each(|entry| entry.expires_at = None);
        self.replace(servers, now)
    }

    /// Takes the list that another gateway passes on, as of a time; returns those that have started again.
    ///
    /// If that list may be of an older copy, and this gateway has not heard of one yet, what the list lacks is given time to
    /// register again: otherwise servers that live are refused requests until their next heartbeats. A server that is about
    /// to be taken as gone there, and was seen to go here, does not come back for that time.
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

    /// Returns the time for which whole lists that are passed on from here may yet be of an older copy of the store.
    ///
    /// A gateway that has just started cannot tell whether its first list is of one.
    pub fn stale_for(&self, now: Millis) -> Millis {
        let since_start = self.first_list_at.map_or(now, |at| at.after(RESTORED_LIST_LIFETIME));
        self.stale_until.max(since_start).since(now)
    }

    /// Takes a whole list: servers that are not on it are removed. Returns those that have started
    /// again.
    ///
    /// ```
    /// use redwingfold_core::{Millis, Registry};
    /// let mut registry = Registry::default();
    /// registry.replace(Vec::new(), Millis(0));
    /// assert_eq!(registry.servers(Millis(0)).count(), 0);
    /// ```
    pub fn replace(&mut self, servers: Vec<BackendServer>, now: Millis) -> Vec<BackendId> {
        self.first_list_at.get_or_insert(now);
        // A gateway that has just started knows only the copy, and passes it on.
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

    /// Returns the servers whose records are gone and that may yet come back, with the time until they are taken as
    /// gone.
    pub fn expiring(&self, now: Millis) -> impl Iterator<Item = (&BackendId, Millis)> {
        let left = move |at: Millis| (now < at).then(|| at.since(now));
        self.servers
            .iter()
            .filter_map(move |(id, entry)| Some((id, entry.expires_at.and_then(left)?)))
    }

    /// Takes from another list that a server's record is gone, and when it is to be taken as gone.
    pub fn expire_by(&mut self, id: &BackendId, expires_at: Millis) {
        if let Some(entry) = self.servers.get_mut(id) {
            entry.expires_at = Some(entry.expires_at.map_or(expires_at, |at| at.min(expires_at)));
        }
    }

    /// Forgets the servers whose grace has ended, and returns them.
    pub fn expire(&mut self, now: Millis) -> Vec<BackendId> {
        let over = |entry: &Entry| entry.expires_at.is_some_and(|at| now >= at);
        let gone: Vec<_> =
            self.servers.iter().filter(|(_, e)| over(e)).map(|(id, _)| id.clone()).collect();
        gone.iter().for_each(|id| self.remove_now(id, now));
        gone
    }

    /// Says that a server's address answered as another one.
    pub fn forget(&mut self, id: &BackendId) {
        self.servers.remove(id);
    }

    /// Returns the servers that are believed to exist.
    pub fn servers(&self, now: Millis) -> impl Iterator<Item = &BackendServer> {
        let alive = move |entry: &&Entry| entry.expires_at.is_none_or(|at| now < at);
        self.servers.values().filter(alive).map(|entry| &entry.server)
    }

    /// Says whether a record brings nothing new. One of a server that is to be taken as gone does:
    /// the server lives.
    pub fn has(&self, server: &BackendServer, now: Millis) -> bool {
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

    /// Takes from a server itself how much longer it is cold.
    pub fn set_cold(&mut self, id: &BackendId, left: Millis, now: Millis) {
        if let Some(entry) = self.servers.get_mut(id) {
            entry.cold_until = entry.cold_until.max(now.after(left));
            self.last_cold_until = self.last_cold_until.max(entry.cold_until);
        }
    }

    /// Says whether any server may be cold.
    pub fn has_cold(&self, now: Millis) -> bool {
        now < self.last_cold_until
    }

    /// Returns how much longer a server is cold.
    pub fn cold_left(&self, id: &BackendId, now: Millis) -> Millis {
        self.servers.get(id).map_or(Millis(0), |entry| entry.cold_until.since(now))
    }

    /// Returns a server.
    pub fn get(&self, id: &BackendId) -> Option<&BackendServer> {
        self.servers.get(id).map(|entry| &entry.server)
    }
}
