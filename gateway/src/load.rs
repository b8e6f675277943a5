//! Load and health of each backend server, from this gateway's own requests and from peers.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

use redwingfold_core::{
    BackendId, BackendServer, EndedRun, Fault, HealthPolicy, Incarnation, InterruptedRuns,
    LoadSample, Millis, PeerLoads, Place, RequestRate, ServerFacts, ServerHealth, ServerReport,
    UnreachableServers,
};
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Clock;
use crate::metadata::ReportedLoad;

/// Age above which load reports are ignored, as requests last only a few seconds.
const MAX_REPORT_AGE: Millis = Millis(3_000);

/// Load and health of one incarnation of a server, as observed by this gateway.
#[derive(Clone, Debug, Default)]
struct ServerLoad {
    reported: ReportedLoad,
    reported_at: Millis,
    /// Requests sent since the last report.
    sent_since_report: u32,
    /// Requests that ended since the last report.
    ended_since_report: u32,
    /// Requests of this gateway in flight.
    in_flight: u32,
    /// Tokens of these requests.
    tokens: u64,
    /// Estimated time to process the prompts sent by this gateway that the server has not processed yet.
    prefill_wait: Millis,
    /// When bytes were last received from the server.
    last_activity_at: Millis,
    health: ServerHealth,
    incarnation: Option<Incarnation>,
}

/// Load and health of all servers; clones share the same tables.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadTable(Rc<RefCell<Tables>>);

#[derive(Debug, Default)]
struct Tables {
    own: HashMap<BackendId, ServerLoad>,
    peers: PeerLoads,
    unreached: UnreachableServers<Observer>,
    /// Updates to be sent to the peers.
    pending: LoadUpdate,
    /// Pending notices to the peers about leaving servers, keyed by incarnation hash.
    leaving_notices: HashMap<u64, NoticeSchedule>,
}

/// When to send the peers a notice, and when to stop repeating it.
#[derive(Clone, Copy, Debug)]
struct NoticeSchedule {
    next_at: Millis,
    until: Millis,
}

/// Time for which notices about a leaving server are repeated.
const LEAVING_NOTICE_DURATION: Millis = Millis(5_000);

/// Time between two notices about the same leaving server.
const LEAVING_NOTICE_INTERVAL: Millis = Millis(1_000);

/// An update of servers' load and availability that one gateway sends to the others.
#[derive(Debug, Default)]
pub(crate) struct LoadUpdate {
    /// Prompts that were sent: hash of the server's id and estimated prefill time.
    pub(crate) sent: Vec<(u32, Millis)>,
    /// The newest load report in a response of each server.
    pub(crate) reports: HashMap<u32, ServerReport>,
    /// Servers to which no connection could be made.
    pub(crate) unreached: HashSet<u32>,
    /// Servers that have responded although a gateway had failed to connect to them.
    pub(crate) answered: HashSet<u32>,
    /// Server limits, keyed by incarnation hash.
    pub(crate) limits: HashMap<u64, LimitUpdate>,
    /// Incarnation hashes of servers that have announced that they are leaving.
    pub(crate) leaving: HashSet<u64>,
}

/// The limit in a server's response, as sent between gateways.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LimitUpdate {
    /// `None` if the server no longer reports a limit.
    pub(crate) limit: Option<RequestRate>,
    pub(crate) reported_at: Millis,
}

/// The gateway that failed to connect to a server.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Observer {
    Own,
    Peer(SocketAddr),
}

/// Minimum estimated prefill time of prompts that are reported to the peers.
const MIN_SHARED_PREFILL: Millis = Millis(30);

/// Maximum number of prompts queued for the next update to the peers; half as many limits and leaving notices.
const MAX_PENDING_UPDATES: usize = 64;

/// Guard of a request in flight at a server, which is counted there until this is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    table: LoadTable,
    server: ServerInstance,
    prefill_wait: Millis,
    tokens: u64,
    /// One run for each fingerprint under which the end of the server would be recorded.
    runs: Vec<EndedRun>,
    interrupted_runs: Rc<RefCell<InterruptedRuns>>,
    /// Whether the request completed or was not run, rather than being abandoned.
    is_settled: bool,
}

/// A server and its incarnation.
#[derive(Clone, Debug)]
struct ServerInstance {
    id: BackendId,
    incarnation: Option<Incarnation>,
}

impl From<&BackendServer> for ServerInstance {
    fn from(server: &BackendServer) -> Self {
        Self { id: server.id.clone(), incarnation: server.incarnation }
    }
}

/// Returns the hash that identifies a server in messages between gateways. Hashes may collide in a fleet of thousands; each
/// of the two servers then appears to have the load of both.
pub(crate) fn id_hash(id: &BackendId) -> u32 {
    xxh3_64(id.as_str().as_bytes()) as u32
}

impl Tables {
    /// Returns the entry of a server, reset if this is a later incarnation; `None` if the entry belongs to a later one than
    /// `server`.
    fn entry(&mut self, server: &BackendServer) -> Option<&mut ServerLoad> {
        let incarnation = server.incarnation;
        let load = self.own.entry(server.id.clone()).or_default();
        if load.incarnation < incarnation {
            *load = ServerLoad { incarnation, ..ServerLoad::default() };
        }
        (load.incarnation == incarnation).then_some(load)
    }
}

impl LoadTable {
    /// Returns the load and health of a server as an input to placement.
    pub(crate) fn place(&self, server: &BackendServer, now: Millis) -> Place {
        let tables = self.0.borrow();
        let load = tables.own.get(&server.id).cloned().unwrap_or_default();
        let hash = id_hash(&server.id);
        let peer_report = tables.peers.get(hash).report.filter(|(_, at)| *at > load.reported_at);
        let since = f64::from(load.sent_since_report) - f64::from(load.ended_since_report);
        let own = (f64::from(load.reported.running) + since, load.reported.waiting);
        let (reported, waiting, at) = match peer_report {
            Some((report, at)) => (f64::from(report.running), report.waiting, at),
            None => (own.0, own.1, load.reported_at),
        };
        let is_fresh = now.since(at) < MAX_REPORT_AGE;
        let (reported, waiting) = if is_fresh { (reported, waiting) } else { (0.0, 0) };
        Place {
            id: server.id.clone(),
            running: reported.max(f64::from(load.in_flight)),
            waiting: f64::from(waiting),
            prefill_wait: load.prefill_wait.after(tables.peers.backlog(hash, now)),
            slots: server.slots,
            is_ejected: load.health.is_ejected(now) || tables.unreached.is_excluded(hash, now),
        }
    }

    /// Returns what is known about the capacity of a server whose memory holds `memory_tokens`.
    pub(crate) fn facts(
        &self,
        server: &BackendServer,
        memory_tokens: Option<u64>,
        now: Millis,
    ) -> ServerFacts {
        let tables = self.0.borrow();
        let none = ServerLoad::default();
        let load = tables.own.get(&server.id).unwrap_or(&none);
        let hash = id_hash(&server.id);
        let sample = |running, waiting, at| LoadSample { running, waiting, age: now.since(at) };
        let own = (load.reported_at > Millis(0))
            .then(|| sample(load.reported.running, load.reported.waiting, load.reported_at));
        let of_peer = tables.peers.get(hash).report.filter(|(_, at)| *at > load.reported_at);
        let of_peer = of_peer.map(|(report, at)| sample(report.running, report.waiting, at));
        ServerFacts {
            slots: server.slots,
            memory_tokens,
            report: of_peer.or(own),
            own_running: load.in_flight,
            own_tokens: load.tokens,
            sent_since_report: load.sent_since_report,
            prefill_wait: load.prefill_wait.after(tables.peers.backlog(hash, now)),
        }
    }

    /// Counts a request sent to a server with its estimated prefill time, until the guard is dropped. Whether the request
    /// completed or was abandoned is recorded in `interrupted_runs`.
    pub(crate) fn record_send(
        &self,
        server: &BackendServer,
        prefill_wait: Millis,
        tokens: u64,
        runs: Vec<EndedRun>,
        interrupted_runs: Rc<RefCell<InterruptedRuns>>,
    ) -> InFlightGuard {
        let mut tables = self.0.borrow_mut();
        if prefill_wait >= MIN_SHARED_PREFILL && tables.pending.sent.len() < MAX_PENDING_UPDATES {
            tables.pending.sent.push((id_hash(&server.id), prefill_wait));
        }
        if let Some(load) = tables.entry(server) {
            load.in_flight += 1;
            load.tokens = load.tokens.saturating_add(tokens);
            load.sent_since_report += 1;
            load.prefill_wait = load.prefill_wait.after(prefill_wait);
        }
        let server = server.into();
        InFlightGuard {
            table: self.clone(),
            server,
            prefill_wait,
            tokens,
            runs,
            interrupted_runs,
            is_settled: false,
        }
    }

    /// Records a load report and queues it for the peers.
    pub(crate) fn record_report(&self, server: &BackendServer, report: ReportedLoad, now: Millis) {
        self.update(&server.into(), |load| {
            load.reported = report;
            load.reported_at = now;
            load.sent_since_report = 0;
            load.ended_since_report = 0;
        });
        let report = ServerReport { running: report.running, waiting: report.waiting };
        self.0.borrow_mut().pending.reports.insert(id_hash(&server.id), report);
    }

    /// Applies an update from a peer. Returns the hashes of the servers that are excluded from now on.
    pub(crate) fn apply_peer_update(
        &self,
        peer: SocketAddr,
        update: LoadUpdate,
        fleet: usize,
        now: Millis,
    ) -> Vec<u32> {
        let Tables { peers, unreached, .. } = &mut *self.0.borrow_mut();
        update
            .sent
            .into_iter()
            .for_each(|(server, prefill_time)| peers.record_sent(server, prefill_time, now));
        for (server, report) in update.reports {
            peers.record_report(server, report, now);
            unreached.record_answer(server);
        }
        for server in update.answered {
            unreached.record_answer(server);
        }
        let observer = Observer::Peer(peer);
        let is_out = |server: &u32| {
            unreached.record_failure(*server, observer, fleet, now, fastrand::u64(..))
        };
        update.unreached.iter().copied().filter(is_out).collect()
    }

    /// Records an attempt to connect to a server.
    pub(crate) fn record_connect_attempt(&self, server: &BackendServer, now: Millis) {
        self.0.borrow_mut().unreached.record_attempt(id_hash(&server.id), now);
    }

    /// Records that a connection to a server failed. Returns whether the server is excluded from now on.
    pub(crate) fn record_connect_failure(
        &self,
        server: &BackendServer,
        fleet: usize,
        now: Millis,
    ) -> bool {
        let mut tables = self.0.borrow_mut();
        if tables.unreached.is_cut_off(now) {
            return false;
        }
        let hash = id_hash(&server.id);
        tables.pending.reports.remove(&hash);
        tables.pending.unreached.insert(hash);
        tables.unreached.record_failure(hash, Observer::Own, fleet, now, fastrand::u64(..))
    }

    /// Queues a limit for the peers; drops it if the queue is full.
    pub(crate) fn queue_limit(&self, server: u64, update: LimitUpdate) {
        let limits = &mut self.0.borrow_mut().pending.limits;
        if limits.len() < MAX_PENDING_UPDATES / 2 || limits.contains_key(&server) {
            limits.insert(server, update);
        }
    }

    /// Queues notices to the peers that a server is leaving; drops them if the queue is full.
    ///
    /// They are repeated because a message may be lost, and no further response from the server triggers another one.
    pub(crate) fn queue_leaving_notices(&self, server: u64, now: Millis) {
        let notices = &mut self.0.borrow_mut().leaving_notices;
        if notices.len() < MAX_PENDING_UPDATES / 2 {
            let (next_at, until) = (now, now.after(LEAVING_NOTICE_DURATION));
            notices.entry(server).or_insert(NoticeSchedule { next_at, until });
        }
    }

    /// Removes and returns the updates to be sent to the peers.
    pub(crate) fn take_pending_updates(&self, now: Millis) -> LoadUpdate {
        let Tables { pending, leaving_notices, .. } = &mut *self.0.borrow_mut();
        for (server, schedule) in leaving_notices.iter_mut().filter(|(_, s)| s.next_at <= now) {
            pending.leaving.insert(*server);
            schedule.next_at = now.after(LEAVING_NOTICE_INTERVAL);
        }
        leaving_notices.retain(|_, schedule| now < schedule.until);
        std::mem::take(pending)
    }

    /// Records that bytes were received from a server.
    pub(crate) fn record_activity(&self, server: &BackendServer, now: Millis) {
        self.update(&server.into(), |load| load.last_activity_at = now);
        let Tables { unreached, pending, .. } = &mut *self.0.borrow_mut();
        unreached.record_contact(now);
        let hash = id_hash(&server.id);
        if unreached.record_answer(hash) {
            pending.unreached.remove(&hash);
            pending.answered.insert(hash);
        }
    }

    /// Returns when bytes were last received from a server; zero if never.
    pub(crate) fn last_activity_at(&self, id: &BackendId) -> Millis {
        self.0.borrow().own.get(id).map_or(Millis(0), |load| load.last_activity_at)
    }

    /// Records a successful response.
    pub(crate) fn record_success(&self, server: &BackendServer) {
        self.update(&server.into(), |load| load.health.record_success());
    }

    /// Records a failure. Returns whether the server is excluded from now on.
    pub(crate) fn record_failure(
        &self,
        server: &BackendServer,
        fault: Fault,
        policy: &HealthPolicy,
        now: Millis,
    ) -> bool {
        let mut tables = self.0.borrow_mut();
        tables.entry(server).is_some_and(|load| load.health.record_failure(fault, policy, now))
    }

    /// Removes the entries of a server that is gone or has restarted.
    pub(crate) fn forget(&self, id: &BackendId) {
        let mut tables = self.0.borrow_mut();
        tables.own.remove(id);
        tables.peers.forget(id_hash(id));
        tables.unreached.record_answer(id_hash(id));
    }

    /// Updates the entry of a server's incarnation. Late events of earlier incarnations are ignored, as they say nothing
    /// about the current one.
    fn update(&self, server: &ServerInstance, change: impl FnOnce(&mut ServerLoad)) {
        match self.0.borrow_mut().own.get_mut(&server.id) {
            Some(load) if load.incarnation == server.incarnation => change(load),
            _ => {}
        }
    }
}

impl InFlightGuard {
    /// Records that the server has processed the prompt.
    pub(crate) fn record_prefill_done(&mut self) {
        let prefill_wait = std::mem::take(&mut self.prefill_wait);
        self.table
            .update(&self.server, |load| load.prefill_wait = load.prefill_wait.since(prefill_wait));
    }

    /// Records that the server completed the request.
    pub(crate) fn record_completion(&mut self) {
        self.is_settled = true;
        self.interrupted_runs.borrow_mut().record_answer(&self.server.id, Clock.now());
    }

    /// Records that the server did not run the request, so that a later termination is not attributed to it.
    pub(crate) fn record_not_run(&mut self) {
        self.is_settled = true;
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.record_prefill_done();
        if !self.is_settled {
            let mut interrupted = self.interrupted_runs.borrow_mut();
            let now = Clock.now();
            self.runs
                .iter()
                .for_each(|run| interrupted.record_abandoned(&self.server.id, *run, now));
        }
        self.table.update(&self.server, |load| {
            load.in_flight = load.in_flight.saturating_sub(1);
            load.tokens = load.tokens.saturating_sub(self.tokens);
            load.ended_since_report += 1;
        });
    }
}
