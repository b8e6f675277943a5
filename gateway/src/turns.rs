//! This gateway's turns at backend servers that accept a limited request rate from all gateways combined.

use redwingfold_core::{BackendServer, Millis, Registry, RequestRate};

use crate::gateway::Gateway;

impl Gateway {
    /// Returns the time until this gateway may send to a server; zero unless the server is cold or limited.
    pub(crate) fn turn_wait(
        &self,
        server: &BackendServer,
        registry: &Registry,
        now: Millis,
    ) -> Millis {
        match self.shared_rate(server, registry, now) {
            None => Millis(0),
            Some(rate) => {
                self.send_turns.borrow_mut().wait(&server.id, rate, now, fastrand::u64(..))
            }
        }
    }

    /// Notes a send to a server.
    pub(crate) fn sends_to(&self, server: &BackendServer) {
        let now = self.now();
        let (is_cold, rate) = self.with_registry(|r| {
            (self.cold_limit(server, r, now).is_some(), self.shared_rate(server, r, now))
        });
        let Some(rate) = rate else { return };
        if is_cold {
            self.telemetry.count("cold.sent", 1);
        }
        if self.limit_of(server).is_some() {
            self.telemetry.count("limit.sent", 1);
        }
        self.send_turns.borrow_mut().sent(&server.id, rate, now);
    }

    /// Returns the target rate of all gateways combined for a server, if it is cold or limited.
    fn shared_rate(
        &self,
        server: &BackendServer,
        registry: &Registry,
        now: Millis,
    ) -> Option<RequestRate> {
        let cold = self.cold_limit(server, registry, now).map(|c| self.settings.cold.rate(c));
        let limited = self
            .limit_of(server)
            .map(|limit| self.settings.limits.rate(limit, self.send_turns.borrow().fleet(now)));
        match (cold, limited) {
            (Some(cold), Some(limited)) if limited < cold => Some(limited),
            (cold, limited) => cold.or(limited),
        }
    }

    /// Notes how many gateways know of each other, this one included.
    pub(crate) fn saw_fleet(&self, fleet: usize) {
        self.send_turns.borrow_mut().saw_fleet(fleet, self.now());
    }

    /// Notes that the other gateways could be heard from now on, or that there are none.
    pub(crate) fn met_others(&self) {
        self.send_turns.borrow_mut().met(self.now());
    }
}
