//! Rate limits that backend servers report in responses, shared between gateways.

use std::net::SocketAddr;

use redwingfold_core::{BackendServer, LimitChange, RequestRate};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::gateway::Gateway;
use crate::load::LimitUpdate;

/// Returns a hash of the server's id and incarnation, the same on every gateway.
pub(crate) fn incarnation_hash(server: &BackendServer) -> u64 {
    let incarnation = server.incarnation.map_or(0, |incarnation| incarnation.0);
    xxh3_64_with_seed(server.id.as_str().as_bytes(), incarnation)
}

impl Gateway {
    /// Records the limit in a server's response and queues it for the peers.
    pub(crate) fn record_limit(&self, server: &BackendServer, limit: Option<RequestRate>) {
        let hash = incarnation_hash(server);
        let update = LimitUpdate { limit, reported_at: self.now() };
        let change = self.server_limits.borrow_mut().record(hash, limit, update.reported_at);
        // Repeated with every response, for gateways that have just started or missed a message.
        if self.server_limits.borrow().has_record(hash) {
            self.loads.queue_limit(hash, update);
        }
        self.log_limit(server, change, None);
    }

    /// Records the limit in a response that a peer received.
    pub(crate) fn apply_peer_limit(&self, peer: SocketAddr, hash: u64, update: LimitUpdate) {
        let change = self.server_limits.borrow_mut().record(hash, update.limit, update.reported_at);
        if change.is_none() {
            return;
        }
        let registry = self.registry.borrow();
        let found = registry.servers(self.now()).find(|s| incarnation_hash(s) == hash);
        found.iter().for_each(|server| self.log_limit(server, change, Some(peer)));
    }

    fn log_limit(
        &self,
        server: &BackendServer,
        change: Option<LimitChange>,
        source: Option<SocketAddr>,
    ) {
        let source = source.map_or_else(|| "self".to_owned(), |addr| addr.to_string());
        match change {
            None => {}
            Some(LimitChange::Set(rate)) => self.telemetry.info(
                "server_limited",
                &[
                    ("server", &server.id),
                    ("service", &server.service),
                    ("per_s", &rate),
                    ("told_by", &source),
                ],
            ),
            Some(LimitChange::Cleared) => self.telemetry.info(
                "server_unlimited",
                &[("server", &server.id), ("service", &server.service), ("told_by", &source)],
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
