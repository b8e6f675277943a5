//! The list of backend servers, as it comes from the store and from other gateways.

use std::collections::HashSet;
use std::net::SocketAddr;

use redwingfold_core::{BackendId, BackendServer, Millis, PassedServers, PutOutcome};

use crate::feeds::ServerChange;
use crate::gateway::{Gateway, StoreCopy};
use crate::load::short_id;

impl Gateway {
    /// Takes a backend server's record.
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
            self.started_again(&id);
        }
    }

    /// Forgets what is believed of a server's earlier start.
    fn started_again(&self, id: &BackendId) {
        self.loads.forget(id);
        self.server_ended(id);
        self.telemetry.info("server_restarted", &[("server", id)]);
    }

    /// Takes the removal of a backend server's record.
    pub fn remove_server(&self, id: &BackendId) {
        self.telemetry.info("server_removed", &[("server", id)]);
        self.server_lapsed(id);
        self.registry.borrow_mut().remove(id, self.now());
    }

    /// Takes changes in the list of backend servers.
    pub fn apply_server_changes(&self, changes: Vec<ServerChange>) {
        for change in changes {
            match change {
                ServerChange::Removed(id) => self.remove_server(&id),
                ServerChange::Put(server) => self.put_server(server),
            }
        }
    }

    /// Returns what of some records is new to this gateway.
    pub fn retain_new_changes(&self, changes: Vec<ServerChange>) -> Vec<ServerChange> {
        let (registry, now) = (self.registry.borrow(), self.now());
        // A server that lapsed and registered again is known as it was, but its removal comes first.
        let mut changed = HashSet::new();
        let is_new = |change: &ServerChange| match change {
            ServerChange::Removed(id) => {
                changed.insert(id.clone());
                true
            }
            ServerChange::Put(server) => {
                let is_new = changed.contains(&server.id) || !registry.has(server, now);
                if is_new {
                    changed.insert(server.id.clone());
                }
                is_new
            }
        };
        changes.into_iter().filter(is_new).collect()
    }

    /// Takes the whole list of backend servers, as the store knows it.
    pub fn replace_servers(&self, servers: Vec<BackendServer>, copy: StoreCopy) {
        let now = self.now();
        self.saw_list(&servers);
        let restarted = match copy {
            StoreCopy::Current => self.registry.borrow_mut().replace(servers, now),
            StoreCopy::Older => self.registry.borrow_mut().replace_by_copy(servers, now),
        };
        self.took_list(&restarted);
    }

    /// Takes the list of backend servers that another gateway passes on, as of a time.
    pub(crate) fn replace_servers_from_peer(&self, list: PassedServers, as_of: Millis) {
        self.saw_list(&list.servers);
        let restarted = self.registry.borrow_mut().replace_by_passed(list, as_of, self.now());
        self.took_list(&restarted);
    }

    fn saw_list(&self, servers: &[BackendServer]) {
        let is_first = !self.is_registry_known.get();
        for server in servers {
            let mut rollouts = self.rollouts.borrow_mut();
            rollouts.add_version(&server.service, &server.version, is_first, self.now());
        }
        self.telemetry.info("servers_listed", &[("servers", &servers.len())]);
    }

    fn took_list(&self, restarted: &[BackendId]) {
        restarted.iter().for_each(|id| self.started_again(id));
        self.is_registry_known.set(true);
        self.state_changed.notify(usize::MAX);
    }

    /// Notes that the store that lists the servers was in trouble.
    pub fn record_store_outage(&self) {
        self.registry.borrow_mut().store_was_away(self.now());
    }

    /// Forgets servers whose grace has ended.
    pub fn expire_servers(&self) {
        for id in self.registry.borrow_mut().expire(self.now()) {
            self.loads.forget(&id);
            self.telemetry.info("server_gone", &[("server", &id)]);
        }
    }

    /// Logs that a server is left out because gateways could not reach it, this one the last or another.
    pub(crate) fn log_unreachable_server(&self, server: u32, told_by: Option<SocketAddr>) {
        self.telemetry.count("servers.unreached", 1);
        let registry = self.registry.borrow();
        let found = registry.servers(self.now()).find(|s| short_id(&s.id) == server);
        let Some(server) = found else { return };
        let told_by = told_by.map_or_else(|| "self".to_owned(), |peer| peer.to_string());
        self.telemetry.info(
            "server_unreached",
            &[("server", &server.id), ("addr", &server.addr), ("told_by", &told_by)],
        );
    }
}
