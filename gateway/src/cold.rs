//! Backend servers that have just started, as this gateway sees them.

use redwingfold_core::{BackendServer, ColdLimit, Millis, Registry};

use crate::gateway::Gateway;

impl Gateway {
    /// Returns what a server bears if it is cold.
    ///
    /// Servers of a domain that was emptied became cold as the order was taken back, or shortly before; their own records
    /// say so only with the next heartbeat.
    pub(crate) fn cold_limit(
        &self,
        server: &BackendServer,
        registry: &Registry,
        now: Millis,
    ) -> Option<ColdLimit> {
        let evacuations = self.evacuations.borrow();
        // Mostly no server is cold, and this is asked of each for every request.
        if !registry.has_cold(now) && !evacuations.has_returned() {
            return None;
        }
        let limit = self.catalog()?.service(&server.service)?.cold?;
        let returned_at = evacuations.returned_at(&server.domain);
        let is_returned = returned_at.is_some_and(|at| now.since(at) < limit.duration);
        let is_cold = is_returned || registry.cold_left(&server.id, now) > Millis(0);
        is_cold.then_some(limit)
    }

    /// Takes from a server's answer how much longer it is cold.
    pub(crate) fn heard_cold(&self, server: &BackendServer, left: Millis) {
        self.with_registry(|r| r.is_cold(&server.id, left, self.now()));
    }

    /// Shows on the metrics page how many servers are cold.
    pub fn update_cold_gauge(&self) {
        let now = self.now();
        let cold = self.with_registry(|r| {
            r.servers(now).filter(|server| self.cold_limit(server, r, now).is_some()).count()
        });
        self.telemetry.gauge("servers.cold", cold as u64);
    }
}
