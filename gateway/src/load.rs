//! What this gateway knows of each backend server's load and health.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

use redwingfold_core::{
    BackendId, BackendServer, EndedRun, Fault, HealthPolicy, Incarnation, Millis, PeerLoads, Place,
    RequestRate, ServerEnds, ServerHealth, ServerReport, Unreached,
};
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Clock;
use crate::facts::ReportedLoad;

/// Age at which a report of load says nothing any more: requests last a few seconds.
const MAX_REPORT_AGE: Millis = Millis(3_000);

#[derive(Clone, Debug, Default)]
struct Known {
    reported: ReportedLoad,
    reported_at: Millis,
    sent_since: u32,
    ended_since: u32,
    under_way: u32,
    unread: Millis,
    heard_at: Millis,
    health: ServerHealth,
    /// The start of the server to which all of this belongs.
    born: Option<Incarnation>,
}

/// The table of all servers.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadTable(Rc<RefCell<Tables>>);

#[derive(Debug, Default)]
struct Tables {
    own: HashMap<BackendId, Known>,
    peers: PeerLoads,
    unreached: Unreached<Voice>,
    /// What the peers have not been told yet.
    untold: LoadUpdate,
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

/// What one gateway tells the others of servers' loads.
#[derive(Debug, Default)]
pub(crate) struct LoadUpdate {
    /// Prompts that were sent, and how long each takes to read.
    pub(crate) sent: Vec<(u32, Millis)>,
    /// Reports that came with answers, the newest of each server.
    pub(crate) reports: HashMap<u32, ServerReport>,
    /// Servers to which no connection could be made.
    pub(crate) unreached: HashSet<u32>,
    /// Servers that have answered, though somebody could not reach them.
    pub(crate) answered: HashSet<u32>,
    /// Server limits, keyed by incarnation hash.
    pub(crate) limits: HashMap<u64, LimitUpdate>,
    /// Incarnation hashes of servers that have announced that they are leaving.
    pub(crate) leaving: HashSet<u64>,
}

/// The limit in a server's answer, as passed between gateways.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LimitUpdate {
    /// `None` if the server no longer reports a limit.
    pub(crate) limit: Option<RequestRate>,
    pub(crate) reported_at: Millis,
}

/// Who could not reach a server.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Voice {
    Own,
    Peer(SocketAddr),
}

/// Reading time below which a prompt is not worth a message.
const MIN_TOLD: Millis = Millis(30);

/// Messages that wait for the next turn at most.
const MAX_UNTOLD: usize = 64;

/// A request under way at a server; it counts until this is dropped.
#[derive(Debug)]
pub(crate) struct UnderWay {
    table: LoadTable,
    server: ServerStart,
    unread: Millis,
    run: EndedRun,
    ends: Rc<RefCell<ServerEnds>>,
    /// Whether it ended otherwise than by being given up.
    is_settled: bool,
}

/// One start of a server.
#[derive(Clone, Debug)]
struct ServerStart {
    id: BackendId,
    born: Option<Incarnation>,
}

impl From<&BackendServer> for ServerStart {
    fn from(server: &BackendServer) -> Self {
        Self { id: server.id.clone(), born: server.born }
    }
}

/// Returns the name by which gateways tell each other of a server. Two servers in a fleet of
/// thousands may share one; each then looks as loaded as both.
pub(crate) fn short_id(id: &BackendId) -> u32 {
    xxh3_64(id.as_str().as_bytes()) as u32
}

impl Tables {
    /// Returns what is known of a start of a server, with room for a new one; `None` if a later start is
    /// known already.
    fn known(&mut self, server: &BackendServer) -> Option<&mut Known> {
        let born = server.born;
        let known = self.own.entry(server.id.clone()).or_default();
        if known.born < born {
            *known = Known { born, ..Known::default() };
        }
        (known.born == born).then_some(known)
    }
}

impl LoadTable {
    /// Describes a server for placement.
    pub(crate) fn place(&self, server: &BackendServer, now: Millis) -> Place {
        let tables = self.0.borrow();
        let known = tables.own.get(&server.id).cloned().unwrap_or_default();
        let short = short_id(&server.id);
        let told = tables.peers.at(short).report.filter(|(_, at)| *at > known.reported_at);
        let since = f64::from(known.sent_since) - f64::from(known.ended_since);
        let own = (f64::from(known.reported.running) + since, known.reported.waiting);
        let (reported, waiting, at) = match told {
            Some((report, at)) => (f64::from(report.running), report.waiting, at),
            None => (own.0, own.1, known.reported_at),
        };
        let is_fresh = now.since(at) < MAX_REPORT_AGE;
        let (reported, waiting) = if is_fresh { (reported, waiting) } else { (0.0, 0) };
        Place {
            id: server.id.clone(),
            running: reported.max(f64::from(known.under_way)),
            waiting: f64::from(waiting),
            unread: known.unread.after(tables.peers.backlog(short, now)),
            slots: server.slots,
            is_out: known.health.is_ejected(now) || tables.unreached.is_out(short, now),
        }
    }

    /// Counts a request that is sent to a server, with the time that its prompt will take; `ends` is told when it ends
    /// there.
    pub(crate) fn send(
        &self,
        server: &BackendServer,
        unread: Millis,
        run: EndedRun,
        ends: Rc<RefCell<ServerEnds>>,
    ) -> UnderWay {
        let mut tables = self.0.borrow_mut();
        if unread >= MIN_TOLD && tables.untold.sent.len() < MAX_UNTOLD {
            tables.untold.sent.push((short_id(&server.id), unread));
        }
        if let Some(known) = tables.known(server) {
            known.under_way += 1;
            known.sent_since += 1;
            known.unread = known.unread.after(unread);
        }
        let server = server.into();
        UnderWay { table: self.clone(), server, unread, run, ends, is_settled: false }
    }

    /// Takes a report of load.
    pub(crate) fn reported(&self, server: &BackendServer, load: ReportedLoad, now: Millis) {
        self.change(&server.into(), |known| {
            known.reported = load;
            known.reported_at = now;
            known.sent_since = 0;
            known.ended_since = 0;
        });
        let report = ServerReport { running: load.running, waiting: load.waiting };
        self.0.borrow_mut().untold.reports.insert(short_id(&server.id), report);
    }

    /// Takes what a peer has told; returns the servers that are left out from now on, by their short names.
    pub(crate) fn apply_peer_update(
        &self,
        from: SocketAddr,
        news: LoadUpdate,
        fleet: usize,
        now: Millis,
    ) -> Vec<u32> {
        let Tables { peers, unreached, .. } = &mut *self.0.borrow_mut();
        news.sent.into_iter().for_each(|(server, takes)| peers.sent(server, takes, now));
        for (server, report) in news.reports {
            peers.reported(server, report, now);
            unreached.answered(server);
        }
        for server in news.answered {
            unreached.answered(server);
        }
        let voice = Voice::Peer(from);
        let is_out = |server: &u32| unreached.failed(*server, voice, fleet, now, fastrand::u64(..));
        news.unreached.iter().copied().filter(is_out).collect()
    }

    /// Notes that a server is tried.
    pub(crate) fn tries(&self, server: &BackendServer, now: Millis) {
        self.0.borrow_mut().unreached.tried(short_id(&server.id), now);
    }

    /// Takes that no connection to a server could be made; `true` if it is left out from now on.
    pub(crate) fn unreached(&self, server: &BackendServer, fleet: usize, now: Millis) -> bool {
        let mut tables = self.0.borrow_mut();
        if tables.unreached.is_cut_off(now) {
            return false;
        }
        let short = short_id(&server.id);
        tables.untold.reports.remove(&short);
        tables.untold.unreached.insert(short);
        tables.unreached.failed(short, Voice::Own, fleet, now, fastrand::u64(..))
    }

    /// Queues a limit for the peers; drops it if the queue is full.
    pub(crate) fn tell_limit(&self, server: u64, news: LimitUpdate) {
        let limits = &mut self.0.borrow_mut().untold.limits;
        if limits.len() < MAX_UNTOLD / 2 || limits.contains_key(&server) {
            limits.insert(server, news);
        }
    }

    /// Queues notices to the peers that a server is leaving; drops them if the queue is full.
    ///
    /// They are repeated because a message may be lost, and no further answer from the server triggers another one.
    pub(crate) fn tell_leaving(&self, server: u64, now: Millis) {
        let notices = &mut self.0.borrow_mut().leaving_notices;
        if notices.len() < MAX_UNTOLD / 2 {
            let (next_at, until) = (now, now.after(LEAVING_NOTICE_DURATION));
            notices.entry(server).or_insert(NoticeSchedule { next_at, until });
        }
    }

    /// Takes what the peers have not been told yet.
    pub(crate) fn take_pending_updates(&self, now: Millis) -> LoadUpdate {
        let Tables { untold, leaving_notices, .. } = &mut *self.0.borrow_mut();
        for (server, schedule) in leaving_notices.iter_mut().filter(|(_, s)| s.next_at <= now) {
            untold.leaving.insert(*server);
            schedule.next_at = now.after(LEAVING_NOTICE_INTERVAL);
        }
        leaving_notices.retain(|_, schedule| now < schedule.until);
        std::mem::take(untold)
    }

    /// Notes that bytes came from a server.
    pub(crate) fn heard(&self, server: &BackendServer, now: Millis) {
        self.change(&server.into(), |known| known.heard_at = now);
        let Tables { unreached, untold, .. } = &mut *self.0.borrow_mut();
        unreached.heard(now);
        let short = short_id(&server.id);
        if unreached.answered(short) {
            untold.unreached.remove(&short);
            untold.answered.insert(short);
        }
    }

    /// Returns when bytes last came from a server.
    pub(crate) fn heard_at(&self, id: &BackendId) -> Millis {
        self.0.borrow().own.get(id).map_or(Millis(0), |known| known.heard_at)
    }

    /// Counts a good answer.
    pub(crate) fn good(&self, server: &BackendServer) {
        self.change(&server.into(), |known| known.health.record_success());
    }

    /// Counts a failure; `true` if the server is left out from now on.
    pub(crate) fn bad(
        &self,
        server: &BackendServer,
        fault: Fault,
        policy: &HealthPolicy,
        now: Millis,
    ) -> bool {
        let mut tables = self.0.borrow_mut();
        tables.known(server).is_some_and(|known| known.health.record_failure(fault, policy, now))
    }

    /// Forgets a server that is gone, or has started again.
    pub(crate) fn forget(&self, id: &BackendId) {
        let mut tables = self.0.borrow_mut();
        tables.own.remove(id);
        tables.peers.forget(short_id(id));
        tables.unreached.answered(short_id(id));
    }

    /// Changes what is known of a start of a server. What its earlier starts answered, or how they
    /// ended, says nothing of the present one.
    fn change(&self, server: &ServerStart, change: impl FnOnce(&mut Known)) {
        match self.0.borrow_mut().own.get_mut(&server.id) {
            Some(known) if known.born == server.born => change(known),
            _ => {}
        }
    }
}

impl UnderWay {
    /// Notes that the server has read the prompt.
    pub(crate) fn is_read(&mut self) {
        let unread = std::mem::take(&mut self.unread);
        self.table.change(&self.server, |known| known.unread = known.unread.since(unread));
    }

    /// Notes that the server has answered the request to its end.
    pub(crate) fn is_answered(&mut self) {
        self.is_settled = true;
        self.ends.borrow_mut().answered(&self.server.id, Clock.now());
    }

    /// Notes that the server did not run the request: it cannot end under it.
    pub(crate) fn was_not_run(&mut self) {
        self.is_settled = true;
    }
}

impl Drop for UnderWay {
    fn drop(&mut self) {
        self.is_read();
        if !self.is_settled {
            self.ends.borrow_mut().left(&self.server.id, self.run, Clock.now());
        }
        self.table.change(&self.server, |known| {
            known.under_way = known.under_way.saturating_sub(1);
            known.ended_since += 1;
        });
    }
}
