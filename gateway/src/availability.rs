//! Backend servers that announce in answers that they are leaving, or request a delay with `Retry-After`.

use redwingfold_core::{BackendServer, Millis};

use crate::gateway::Gateway;
use crate::limits::incarnation_hash;

impl Gateway {
    /// Records that a server announced in an answer that it is leaving.
    pub(crate) fn record_leaving(&self, server: &BackendServer) {
        if self.leaving.borrow_mut().record(incarnation_hash(server), self.now()) {
            self.telemetry
                .info("server_leaving", &[("server", &server.id), ("service", &server.service)]);
        }
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
        let leaving = self.leaving.borrow();
        !leaving.is_empty() && leaving.contains(incarnation_hash(server))
    }

    /// Returns the rest of the delay that a server requested, or zero if none is in effect.
    pub(crate) fn retry_after_left(&self, server: &BackendServer, now: Millis) -> Millis {
        let times = self.retry_after.borrow();
        if times.is_empty() { Millis(0) } else { times.left(incarnation_hash(server), now) }
    }

    /// Counts a send to a server that is leaving or whose requested delay is still in effect.
    pub(crate) fn count_send_to_unavailable(&self, server: &BackendServer) {
        if self.is_leaving(server) {
            self.telemetry.count("leaving.sent", 1);
        }
        if self.retry_after_left(server, self.now()) > Millis(0) {
            self.telemetry.count("rest.sent", 1);
        }
    }

    /// Updates the gauges of servers that are leaving or whose requested delay is still in effect.
    pub fn show_availability(&self) {
        let now = self.now();
        let (leaving, delayed) = self.with_registry(|r| {
            let leaving = r.servers(now).filter(|server| self.is_leaving(server)).count();
            let is_delayed =
                |server: &&BackendServer| self.retry_after_left(server, now) > Millis(0);
            (leaving, r.servers(now).filter(is_delayed).count())
        });
        self.telemetry.gauge("servers.leaving", leaving as u64);
        self.telemetry.gauge("servers.resting", delayed as u64);
    }
}
