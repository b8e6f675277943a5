//! This gateway's turns at backend servers that accept a limited request rate from all gateways combined.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use redwingfold_core::{BackendServer, Millis, Registry, RequestRate, ServiceName};

use crate::gateway::Gateway;
use crate::server_choice::UpcomingTurns;

/// Number of requests waiting for a turn, by service.
#[derive(Clone, Debug, Default)]
pub(crate) struct TurnWaiters(Rc<RefCell<HashMap<ServiceName, usize>>>);

/// A request waiting for a turn, counted until dropped.
#[derive(Debug)]
pub(crate) struct TurnWaiter {
    waiters: TurnWaiters,
    service: ServiceName,
}

impl TurnWaiters {
    /// Returns the number of requests for a service that are waiting.
    pub(crate) fn count(&self, service: &ServiceName) -> usize {
        self.0.borrow().get(service).copied().unwrap_or(0)
    }

    /// Counts a request for a service as waiting until the returned guard is dropped.
    pub(crate) fn add(&self, service: &ServiceName) -> TurnWaiter {
        *self.0.borrow_mut().entry(service.clone()).or_default() += 1;
        TurnWaiter { waiters: self.clone(), service: service.clone() }
    }
}

impl Drop for TurnWaiter {
    fn drop(&mut self) {
        let mut counts = self.waiters.0.borrow_mut();
        match counts.get_mut(&self.service) {
            Some(n) if *n > 1 => *n -= 1,
            _ => {
                counts.remove(&self.service);
            }
        }
    }
}

impl Gateway {
    /// Returns this gateway's next turns at a server; `None` unless the server is cold or limited.
    pub(crate) fn upcoming_turns(
        &self,
        server: &BackendServer,
        registry: &Registry,
        now: Millis,
    ) -> Option<UpcomingTurns> {
        let rate = self.shared_rate(server, registry, now)?;
        let mut turns = self.send_turns.borrow_mut();
        let wait = turns.wait(&server.id, rate, now, fastrand::u64(..));
        let own_rate = RequestRate::new(rate.per_second() / turns.fleet(now) as f64);
        Some(UpcomingTurns { wait, rate: own_rate.unwrap_or_default() })
    }

    /// Counts a send to a server, which takes a turn if the server is cold or limited.
    pub(crate) fn record_send_turn(&self, server: &BackendServer) {
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
        self.send_turns.borrow_mut().record_send(&server.id, rate, now);
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

    /// Records the number of gateways in the fleet, including this one.
    pub(crate) fn record_fleet_size(&self, fleet: usize) {
        self.send_turns.borrow_mut().record_fleet(fleet, self.now());
    }

    /// Returns the number of gateways, if messages from all others could have arrived.
    pub(crate) fn known_fleet(&self, now: Millis) -> Option<usize> {
        let turns = self.send_turns.borrow();
        turns.is_fleet_known(now).then(|| turns.fleet(now))
    }

    /// Records that this gateway receives messages from its peers from now on, or has none.
    pub(crate) fn record_peers_joined(&self) {
        self.send_turns.borrow_mut().start_settling(self.now());
        self.set_peer_discovery_done();
    }
}
