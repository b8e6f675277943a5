//! Backend servers that announce in responses that they are leaving, or request a delay with `Retry-After`.

use std::net::SocketAddr;

use redwingfold_core::{BackendServer, Millis};

use crate::gateway::Gateway;
use crate::limits::incarnation_hash;

impl Gateway {
    /// Records that a server announced in a response that it is leaving, and queues notices for the peers.
    pub(crate) fn record_leaving(&self, server: &BackendServer) {
        let hash = incarnation_hash(server);
        if self.insert_leaving(hash) {
            self.loads.queue_leaving_notices(hash, self.now());
            self.log_leaving(server, "self".to_owned());
        }
    }

    /// Records a peer's notice that a server is leaving.
    pub(crate) fn apply_peer_leaving(&self, peer: SocketAddr, hash: u64) {
        if !self.insert_leaving(hash) {
            return;
        }
        let registry = self.registry.borrow();
        let found = registry.servers(self.now()).find(|s| incarnation_hash(s) == hash);
        found.iter().for_each(|server| self.log_leaving(server, peer.to_string()));
    }

    /// Adds a server to those that are leaving and returns whether it is new among them.
    fn insert_leaving(&self, hash: u64) -> bool {
        let is_new = self.leaving_servers.borrow_mut().record(hash, self.now());
        if is_new {
            // The list cached for other gateways may still contain the server as ready.
            self.encoded_servers.take();
            self.close_unusable_connections();
        }
        is_new
    }

    fn log_leaving(&self, server: &BackendServer, source: String) {
        self.telemetry.info(
            "server_leaving",
            &[("server", &server.id), ("service", &server.service), ("told_by", &source)],
        );
    }

    /// Records the delay that a server requested when it refused a request.
    pub(crate) fn record_retry_after(&self, server: &BackendServer, delay: Millis) {
        if self.retry_after.borrow_mut().record(incarnation_hash(server), delay, self.now()) {
            self.telemetry.info(
                "server_rests",
                &[("server", &server.id), ("service", &server.service), ("rest_ms", &delay)],
            );
        }
    }

    /// Returns whether a server has announced that it is leaving.
    pub(crate) fn is_leaving(&self, server: &BackendServer) -> bool {
        let leaving = self.leaving_servers.borrow();
        !leaving.is_empty() && leaving.contains(incarnation_hash(server))
    }

    /// Returns the rest of the delay that a server requested, or zero if none is in effect.
    pub(crate) fn retry_after_remaining(&self, server: &BackendServer, now: Millis) -> Millis {
        let times = self.retry_after.borrow();
        if times.is_empty() { Millis(0) } else { times.left(incarnation_hash(server), now) }
    }

    /// Counts a send to a server that is leaving or whose requested delay is still in effect.
    pub(crate) fn count_send_to_unavailable(&self, server: &BackendServer) {
        if self.is_leaving(server) {
            self.telemetry.count("leaving.sent", 1);
        }
        if self.retry_after_remaining(server, self.now()) > Millis(0) {
            self.telemetry.count("rest.sent", 1);
        }
    }

    /// Updates the gauges of servers that are leaving or whose requested delay is still in effect.
    pub fn update_availability_gauges(&self) {
        let now = self.now();
        let (leaving, delayed) = self.with_registry(|r| {
            let leaving = r.servers(now).filter(|server| self.is_leaving(server)).count();
            let is_delayed =
                |server: &&BackendServer| self.retry_after_remaining(server, now) > Millis(0);
            (leaving, r.servers(now).filter(is_delayed).count())
        });
        self.telemetry.gauge("servers.leaving", leaving as u64);
        self.telemetry.gauge("servers.resting", delayed as u64);
    }
}
