//! Cold backend servers: those that have just started and accept only a limited request rate.

use redwingfold_core::{BackendServer, ColdLimit, Millis, Registry};

use crate::gateway::Gateway;

impl Gateway {
    /// Returns the limit of a server if it is cold.
    ///
    /// Servers of an evacuated domain become cold when the order is withdrawn or shortly before, but their records reflect
    /// this only with the next heartbeat. Therefore they count as cold here from the withdrawal until the limit's duration
    /// has passed.
    pub(crate) fn cold_limit(
        &self,
        server: &BackendServer,
        registry: &Registry,
        now: Millis,
    ) -> Option<ColdLimit> {
        let evacuations = self.evacuations.borrow();
        // Called for each server on every request; skips the lookups in the common case that no server is cold.
        if !registry.has_cold(now) && !evacuations.has_returned() {
            return None;
        }
        let limit = self.catalog()?.service(&server.service)?.cold?;
        let returned_at = evacuations.returned_at(&server.domain);
        let is_returned = returned_at.is_some_and(|at| now.since(at) < limit.duration);
        let is_cold = is_returned || registry.cold_left(&server.id, now) > Millis(0);
        is_cold.then_some(limit)
    }

    /// Records the remaining time for which a server is cold, as reported in its response.
    pub(crate) fn record_cold(&self, server: &BackendServer, remaining: Millis) {
        self.with_registry(|r| r.set_cold(&server.id, remaining, self.now()));
    }

    /// Updates the gauge of cold servers.
    pub fn update_cold_gauge(&self) {
        let now = self.now();
        let cold = self.with_registry(|r| {
            r.servers(now).filter(|server| self.cold_limit(server, r, now).is_some()).count()
        });
        self.telemetry.gauge("servers.cold", cold as u64);
    }
}
