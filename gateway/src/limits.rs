//! Rate limits of backend servers, as known to this gateway.

use std::net::SocketAddr;

use redwingfold_core::{BackendServer, LimitChange, RequestRate};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::gateway::Gateway;
use crate::load::LimitUpdate;

/// Returns a hash of the server's id and incarnation, the same on every gateway.
pub(crate) fn incarnation_hash(server: &BackendServer) -> u64 {
    let incarnation = server.born.map_or(0, |born| born.0);
    xxh3_64_with_seed(server.id.as_str().as_bytes(), incarnation)
}

impl Gateway {
    /// Records the limit in a server's answer and queues it for the peers.
    pub(crate) fn record_limit(&self, server: &BackendServer, limit: Option<RequestRate>) {
        let hash = incarnation_hash(server);
        let news = LimitUpdate { limit, reported_at: self.now() };
        let change = self.server_limits.borrow_mut().record(hash, limit, news.reported_at);
        // Repeated with every answer, so that gateways that have just started or missed a message learn the limit.
        if self.server_limits.borrow().has(hash) {
            self.loads.tell_limit(hash, news);
        }
        self.log_limit(server, change, None);
    }

    /// Records the limit in an answer that a peer received.
    pub(crate) fn apply_peer_limit(&self, from: SocketAddr, hash: u64, news: LimitUpdate) {
        let change = self.server_limits.borrow_mut().record(hash, news.limit, news.reported_at);
        if change.is_none() {
            return;
        }
        let registry = self.registry.borrow();
        let found = registry.servers(self.now()).find(|s| incarnation_hash(s) == hash);
        found.iter().for_each(|server| self.log_limit(server, change, Some(from)));
    }

    fn log_limit(
        &self,
        server: &BackendServer,
        change: Option<LimitChange>,
        told_by: Option<SocketAddr>,
    ) {
        let told_by = told_by.map_or_else(|| "self".to_owned(), |peer| peer.to_string());
        match change {
            None => {}
            Some(LimitChange::Set(rate)) => self.telemetry.info(
                "server_limited",
                &[
                    ("server", &server.id),
                    ("service", &server.service),
                    ("per_s", &rate),
                    ("told_by", &told_by),
                ],
            ),
            Some(LimitChange::Cleared) => self.telemetry.info(
                "server_unlimited",
                &[("server", &server.id), ("service", &server.service), ("told_by", &told_by)],
            ),
        }
    }

    /// Returns the current limit of a server, if it reports one.
    pub(crate) fn limit_of(&self, server: &BackendServer) -> Option<RequestRate> {
        let limits = self.server_limits.borrow();
        // Called for each server on every request; skips hashing in the common case that no limit is recorded.
        if limits.is_empty() { None } else { limits.get(incarnation_hash(server)) }
    }

    /// Updates the gauge of servers that report a limit.
    pub fn update_limit_gauge(&self) {
        let limited = self.with_registry(|r| {
            r.servers(self.now()).filter(|server| self.limit_of(server).is_some()).count()
        });
        self.telemetry.gauge("servers.limited", limited as u64);
    }
}
