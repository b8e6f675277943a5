//! Updates of the list of backend servers from the store and from other gateways.

use std::collections::HashSet;
use std::net::SocketAddr;

use redwingfold_core::{BackendId, BackendServer, Millis, PeerServerList, PutOutcome};

use crate::feeds::ServerChange;
use crate::gateway::{Gateway, StoreCopy};
use crate::load::id_hash;

impl Gateway {
    /// Adds or updates a backend server.
    pub fn put_server(&self, server: BackendServer) {
        let now = self.now();
        let known = self.registry.borrow().get(&server.id).cloned();
        self.rollouts.borrow_mut().add_version(&server.service, &server.version, false, now);
        if known.as_ref().map(|k| (k.state, k.addr)) != Some((server.state, server.addr)) {
            let state = format!("{:?}", server.state).to_lowercase();
            self.telemetry.info(
                "server",
                &[
                    ("server", &server.id),
                    ("service", &server.service),
                    ("addr", &server.addr),
                    ("version", &server.version),
                    ("state", &state),
                ],
            );
        }
        let id = server.id.clone();
        if self.registry.borrow_mut().put(server, now) == PutOutcome::Restarted {
            self.reset_restarted_server(&id);
        }
        self.close_unusable_connections();
    }

    /// Discards the load and health of a server's previous incarnation, and records that it terminated.
    fn reset_restarted_server(&self, id: &BackendId) {
        self.loads.forget(id);
        self.record_server_end(id);
        self.telemetry.info("server_restarted", &[("server", id)]);
    }

    /// Removes a backend server whose record was removed.
    pub fn remove_server(&self, id: &BackendId) {
        self.telemetry.info("server_removed", &[("server", id)]);
        self.record_server_lapse(id);
        self.registry.borrow_mut().remove(id, self.now());
        self.close_idle_connections(id);
    }

    /// Applies changes in the list of backend servers.
    pub fn apply_server_changes(&self, changes: Vec<ServerChange>) {
        for change in changes {
            match change {
                ServerChange::Removed(id) => self.remove_server(&id),
                ServerChange::Put(server) => self.put_server(server),
            }
        }
    }

    /// Returns those of the changes that this gateway has not applied yet.
    pub fn retain_new_changes(&self, changes: Vec<ServerChange>) -> Vec<ServerChange> {
        let (registry, now) = (self.registry.borrow(), self.now());
        // A server that was removed and registered again with the same record must be kept, as its removal is applied first.
        let mut changed = HashSet::new();
        let is_new = |change: &ServerChange| match change {
            ServerChange::Removed(id) => {
                changed.insert(id.clone());
                true
            }
            ServerChange::Put(server) => {
                let is_new = changed.contains(&server.id) || !registry.is_up_to_date(server, now);
                if is_new {
                    changed.insert(server.id.clone());
                }
                is_new
            }
        };
        changes.into_iter().filter(is_new).collect()
    }

    /// Replaces the list of backend servers with that of the store.
    pub fn replace_servers(&self, servers: Vec<BackendServer>, copy: StoreCopy) {
        let now = self.now();
        self.record_listed_versions(&servers);
        let restarted = match copy {
            StoreCopy::Current => self.registry.borrow_mut().replace(servers, now),
            StoreCopy::Older => self.registry.borrow_mut().replace_by_restored(servers, now),
        };
        self.finish_list_update(&restarted);
    }

    /// Replaces the list of backend servers with that of another gateway, as of `as_of`.
    pub(crate) fn replace_servers_from_peer(&self, list: PeerServerList, as_of: Millis) {
        self.record_listed_versions(&list.servers);
        let restarted = self.registry.borrow_mut().replace_by_peer_list(list, as_of, self.now());
        self.finish_list_update(&restarted);
    }

    fn record_listed_versions(&self, servers: &[BackendServer]) {
        let is_first = !self.is_registry_known.get();
        for server in servers {
            let mut rollouts = self.rollouts.borrow_mut();
            rollouts.add_version(&server.service, &server.version, is_first, self.now());
        }
        self.telemetry.info("servers_listed", &[("servers", &servers.len())]);
    }

    fn finish_list_update(&self, restarted: &[BackendId]) {
        restarted.iter().for_each(|id| self.reset_restarted_server(id));
        self.close_unusable_connections();
        self.is_registry_known.set(true);
        self.state_changed.notify(usize::MAX);
    }

    /// Records that the store was unavailable or restored until now, so that records of running servers may have expired.
    pub fn record_store_outage(&self) {
        self.registry.borrow_mut().record_outage(self.now());
    }

    /// Removes servers whose grace period has expired.
    pub fn expire_servers(&self) {
        for id in self.registry.borrow_mut().expire(self.now()) {
            self.loads.forget(&id);
            self.close_idle_connections(&id);
            self.telemetry.info("server_gone", &[("server", &id)]);
        }
    }

    /// Logs that a server is excluded because gateways failed to connect to it; `source` is the peer that reported the last
    /// failure, or `None` for this gateway.
    pub(crate) fn log_unreachable_server(&self, server: u32, source: Option<SocketAddr>) {
        self.telemetry.count("servers.unreached", 1);
        let registry = self.registry.borrow();
        let found = registry.servers(self.now()).find(|s| id_hash(&s.id) == server);
        let Some(server) = found else { return };
        let source = source.map_or_else(|| "self".to_owned(), |addr| addr.to_string());
        self.telemetry.info(
            "server_unreached",
            &[("server", &server.id), ("addr", &server.addr), ("told_by", &source)],
        );
    }
}
