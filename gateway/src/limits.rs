//! Rate limits of backend servers, as known to this gateway.

use redwingfold_core::{BackendServer, LimitChange, RequestRate};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::gateway::Gateway;

/// Returns a hash of the server's id and incarnation, the same on every gateway.
pub(crate) fn incarnation_hash(server: &BackendServer) -> u64 {
    let incarnation = server.born.map_or(0, |born| born.0);
    xxh3_64_with_seed(server.id.as_str().as_bytes(), incarnation)
}

impl Gateway {
    /// Records the limit in a server's answer and logs any change.
    pub(crate) fn record_limit(&self, server: &BackendServer, limit: Option<RequestRate>) {
        let change =
            self.server_limits.borrow_mut().record(incarnation_hash(server), limit, self.now());
        match change {
            None => {}
            Some(LimitChange::Set(rate)) => self.telemetry.info(
                "server_limited",
                &[("server", &server.id), ("service", &server.service), ("per_s", &rate)],
            ),
            Some(LimitChange::Cleared) => self
                .telemetry
                .info("server_unlimited", &[("server", &server.id), ("service", &server.service)]),
        }
    }

    /// Returns the current limit of a server, if it reports one.
    pub(crate) fn limit_of(&self, server: &BackendServer) -> Option<RequestRate> {
        let limits = self.server_limits.borrow();
        // Runs on every send: skips the hash in the usual case that no limit is recorded.
        if limits.is_empty() { None } else { limits.get(incarnation_hash(server)) }
    }

    /// Updates the gauge of servers that report a limit.
    pub fn show_limits(&self) {
        let limited = self.with_registry(|r| {
            r.servers(self.now()).filter(|server| self.limit_of(server).is_some()).count()
        });
        self.telemetry.gauge("servers.limited", limited as u64);
    }
}
