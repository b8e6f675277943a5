//! Detection of servers that terminated while they ran requests.

use std::io;
use std::rc::Rc;

use redwingfold_core::{BackendId, BackendServer, BrokenRun, EndedRun, Millis, ServerState};

use crate::clock::{sleep, within};
use crate::gateway::Gateway;
use crate::net::connect;

/// Delays before the probes whether a server still listens. A terminating server may close its listener shortly after its
/// connections break, so one immediate probe is not enough.
const PROBE_DELAYS: [Millis; 2] = [Millis(0), Millis(300)];

/// Timeout of a probe's connection attempt.
const PROBE_TIMEOUT: Millis = Millis(500);

impl Gateway {
    /// Records an interrupted run and probes its server in the background. Ignored unless the server's record is ready: a
    /// server that announced its shutdown is expected to interrupt its runs.
    ///
    /// Only a request that is already suspected of terminating a server waits for the probe. Retried immediately, it could
    /// reach a third server before the second is known to have terminated.
    ///
    /// `runs` has an entry for the content of the request and for each shared part of its prompt.
    pub(crate) async fn record_broken_run(
        self: &Rc<Self>,
        server: &BackendServer,
        runs: &[EndedRun],
    ) {
        if !self.is_ready_server(&server.id) {
            return;
        }
        let is_suspect = self.with_quarantine(|q| runs.iter().any(|run| q.is_suspect(run.request)));
        let mut has_ended = false;
        for run in runs {
            let now = self.now();
            match self.interrupted_runs.borrow_mut().record_broken(&server.id, *run, now) {
                BrokenRun::ProbeServer => self.spawn(probe_server(self.clone(), server.clone())),
                BrokenRun::ServerEnded => has_ended = true,
                BrokenRun::ProbePending => {}
            }
        }
        if has_ended {
            self.record_ended_runs(&server.id, runs);
        } else if is_suspect {
            within(PROBE_TIMEOUT, self.wait_for_probe(&server.id)).await;
        }
    }

    /// Waits until the server has been probed.
    async fn wait_for_probe(&self, id: &BackendId) {
        loop {
            let probed = self.server_probed.listen();
            if !self.interrupted_runs.borrow().awaits_probe(id) {
                return;
            }
            probed.await;
        }
    }

    /// Records that a server terminated: it refuses connections, or has restarted.
    pub(crate) fn record_server_end(&self, id: &BackendId) {
        self.close_idle_connections(id);
        let runs = self.interrupted_runs.borrow_mut().record_end(id, self.now());
        self.record_ended_runs(id, &runs);
    }

    /// Records that a server's address refuses connections or belongs to a different server. Ignored unless the server's
    /// record is ready, as a server that announced its shutdown is expected to be gone.
    pub(crate) fn record_server_gone(&self, id: &BackendId) {
        self.close_idle_connections(id);
        if self.is_ready_server(id) {
            self.record_server_end(id);
        }
    }

    fn is_ready_server(&self, id: &BackendId) -> bool {
        self.with_registry(|r| r.get(id).is_some_and(|known| known.state == ServerState::Ready))
    }

    /// Records that a server's record was removed, for example because its heartbeats stopped.
    pub(crate) fn record_server_lapse(&self, id: &BackendId) {
        if self.is_ready_server(id) {
            let runs = self.interrupted_runs.borrow_mut().record_expiry(id, self.now());
            self.record_ended_runs(id, &runs);
        }
    }
}

/// Probes whether a server still listens, and records its termination if it refuses connections.
async fn probe_server(gw: Rc<Gateway>, server: BackendServer) {
    for pause in PROBE_DELAYS {
        sleep(pause).await;
        let is_refused = match connect(server.addr, PROBE_TIMEOUT).await {
            Err(e) => e.kind() == io::ErrorKind::ConnectionRefused,
            Ok(_) => false,
        };
        if is_refused {
            gw.record_server_end(&server.id);
        }
        gw.interrupted_runs.borrow_mut().record_probe(&server.id);
        gw.server_probed.notify(usize::MAX);
        if is_refused {
            return;
        }
    }
}
