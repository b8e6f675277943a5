//! Wire format of the messages between gateways.

use std::net::SocketAddr;

use redwingfold_core::{
    AnswerCounts, AnswerSums, BackendServer, FeedUpdate, Fingerprint, Incarnation, LatencySums,
    Mark, MarkChange, Millis, ParseIdError, Phase, RequestRate, ReturnNotice, RouteEvidence,
    SendCounts, ServerReport, ServerState,
};
use serde::{Deserialize, Serialize};

use crate::capacity_loans::{CapacityLoan, CapacityRequest};
use crate::feeds::ServerChange;
use crate::load::{LimitUpdate, LoadUpdate};
use crate::rollout_report::{RolloutReport, StoredStatus};
use crate::session_keepers::SessionMessage;

/// A message from one gateway to another. Servers are identified by hashes.
#[derive(Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct PeerMessage {
    /// Prompts sent: server, and the milliseconds that processing takes there.
    pub(crate) sent: Vec<(u32, u16)>,
    /// Reported loads: server, running requests, waiting requests.
    pub(crate) reports: Vec<(u32, u16, u16)>,
    /// Servers to which no connection could be made.
    pub(crate) unreached: Vec<u32>,
    /// Servers that have answered, although another gateway could not connect to them.
    pub(crate) answered: Vec<u32>,
    pub(crate) orders: Option<FeedWire>,
    pub(crate) servers: Option<(FeedWire, Vec<ServerChangeWire>)>,
    pub(crate) marks: Option<(FeedWire, Vec<MarkWire>)>,
    pub(crate) rollouts: Vec<RolloutWire>,
    /// Addresses of other gateways.
    pub(crate) gateways: Vec<SocketAddr>,
    pub(crate) limits: Vec<LimitWire>,
    /// Incarnation hashes of servers that are leaving.
    pub(crate) leaving: Vec<u64>,
    pub(crate) direct: Option<DirectWire>,
    /// Number of the report in `shares`, by which receivers detect missed and repeated ones.
    pub(crate) shares_number: u32,
    /// Work sent since the last report: hash of the customer's name, and milliseconds of server time.
    pub(crate) shares: Vec<(u32, u32)>,
    pub(crate) returns: Vec<ReturnWire>,
}

/// Bytes of the fields after `direct`, if they are empty. Messages of earlier versions end without them.
pub(crate) const LATER_FIELDS_BYTES: usize = 3;

/// A server's limit: incarnation hash, requests per second (`None` if the limit was cleared), age of the answer in
/// milliseconds.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct LimitWire(u64, Option<f64>, u16);

/// A promised return: fingerprint of the request, number of the promise, hash of the service's name, and milliseconds
/// until the return.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct ReturnWire(u64, u16, u32, u16);

/// A message to one gateway. The variants of [`SessionMessage`] come first, with the same values as in earlier versions.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum DirectWire {
    Moved(u64),
    Query(u32, u64),
    ForwardedQuery(u32, u64, SocketAddr),
    Reply(u32, bool, u8),
    CapacityRequest(u16, u32),
    /// Share in 65,535ths of the whole.
    CapacityLoan(u16, u32, u16),
}

/// A message to one gateway.
#[derive(Clone, Copy, Debug)]
pub(crate) enum DirectMessage {
    Session(SessionMessage),
    CapacityRequest(CapacityRequest),
    CapacityLoan(CapacityLoan),
}

impl From<DirectMessage> for DirectWire {
    fn from(message: DirectMessage) -> Self {
        match message {
            DirectMessage::Session(SessionMessage::Moved(session)) => Self::Moved(session),
            DirectMessage::Session(SessionMessage::Query(id, session)) => Self::Query(id, session),
            DirectMessage::Session(SessionMessage::ForwardedQuery(id, session, requester)) => {
                Self::ForwardedQuery(id, session, requester)
            }
            DirectMessage::Session(SessionMessage::Reply(id, has_moved, keepers)) => {
                Self::Reply(id, has_moved, keepers)
            }
            DirectMessage::CapacityRequest(CapacityRequest { number, service }) => {
                Self::CapacityRequest(number, service)
            }
            // Rounded down, so that the borrower never has more than was lent.
            DirectMessage::CapacityLoan(CapacityLoan { number, service, share }) => {
                Self::CapacityLoan(number, service, (share * f64::from(u16::MAX)) as u16)
            }
        }
    }
}

impl From<DirectWire> for DirectMessage {
    fn from(message: DirectWire) -> Self {
        match message {
            DirectWire::Moved(session) => Self::Session(SessionMessage::Moved(session)),
            DirectWire::Query(id, session) => Self::Session(SessionMessage::Query(id, session)),
            DirectWire::ForwardedQuery(id, session, requester) => {
                Self::Session(SessionMessage::ForwardedQuery(id, session, requester))
            }
            DirectWire::Reply(id, has_moved, keepers) => {
                Self::Session(SessionMessage::Reply(id, has_moved, keepers))
            }
            DirectWire::CapacityRequest(number, service) => {
                Self::CapacityRequest(CapacityRequest { number, service })
            }
            DirectWire::CapacityLoan(number, service, share) => {
                let share = f64::from(share) / f64::from(u16::MAX);
                Self::CapacityLoan(CapacityLoan { number, service, share })
            }
        }
    }
}

/// Position in a feed: offset from which changes are included, next offset, age in milliseconds.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct FeedWire(u64, u64, u32);

/// A change in the list of backend servers.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum ServerChangeWire {
    Removed(String),
    Put(Box<ServerWire>),
}

/// A mark of a request: fingerprint, kind, and age in milliseconds (`None` if it was withdrawn).
#[derive(Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct MarkWire(u64, MarkKindWire, Option<u32>);

#[derive(Debug, Deserialize, PartialEq, Serialize)]
enum MarkKindWire {
    End(String),
    Trial(u8),
}

#[derive(Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct ServerWire {
    id: String,
    service: String,
    addr: SocketAddr,
    domain: String,
    version: String,
    slots: u32,
    is_draining: bool,
    models: Vec<String>,
    born: Option<u64>,
    /// Milliseconds for which the server is still cold.
    cold_left: u32,
}

/// Good answers, failed answers; number, sum and sum of squares of times to the first byte, and of gaps between events.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct SumsWire(u64, u64, (u64, f32, f32), (u64, f32, f32));

/// Sums over all answers, and over those of the first half of the servers if there are any.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct CountsWire(SumsWire, Option<SumsWire>);

/// Requests that a gateway has sent in a rollout, those to the target, and its requests per second.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
struct SentWire(u64, u64, f32);

impl From<SendCounts> for SentWire {
    fn from(sent: SendCounts) -> Self {
        Self(sent.all, sent.target, sent.per_s as f32)
    }
}

impl From<SentWire> for SendCounts {
    fn from(message: SentWire) -> Self {
        Self { all: message.0, target: message.1, per_s: f64::from(message.2) }
    }
}

/// One gateway's report on a rollout.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct RolloutWire {
    service: String,
    target: String,
    elapsed_ms: u64,
    is_age_known: bool,
    is_announced: bool,
    /// Hash of the route; counts of the target, and of the current version.
    routes: Vec<(u32, [CountsWire; 2])>,
    sent: SentWire,
    is_rolled_back: bool,
    stored_status: StoredStatusWire,
    status_age_ms: u64,
    store_era: u64,
}

#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
enum StoredStatusWire {
    Unknown,
    Running,
    Done,
    RolledBack,
}

impl From<FeedUpdate> for FeedWire {
    fn from(position: FeedUpdate) -> Self {
        Self(position.from, position.next, position.age.0.min(u64::from(u32::MAX)) as u32)
    }
}

impl From<FeedWire> for FeedUpdate {
    fn from(message: FeedWire) -> Self {
        Self { from: message.0, next: message.1, age: Millis(u64::from(message.2)) }
    }
}

impl From<&ServerChange> for ServerChangeWire {
    fn from(change: &ServerChange) -> Self {
        match change {
            ServerChange::Removed(id) => Self::Removed(id.to_string()),
            ServerChange::Put(server) => Self::Put(Box::new(server.into())),
        }
    }
}

impl TryFrom<ServerChangeWire> for ServerChange {
    type Error = ParseIdError;

    fn try_from(message: ServerChangeWire) -> Result<Self, Self::Error> {
        match message {
            ServerChangeWire::Removed(id) => Ok(Self::Removed(id.as_str().into())),
            ServerChangeWire::Put(server) => (*server).try_into().map(Self::Put),
        }
    }
}

impl From<&MarkChange> for MarkWire {
    fn from(change: &MarkChange) -> Self {
        let kind = match &change.mark {
            Mark::End(server) => MarkKindWire::End(server.to_string()),
            Mark::Trial(number) => MarkKindWire::Trial(*number),
        };
        let age = change.age.map(|age| age.0.min(u64::from(u32::MAX)) as u32);
        Self(change.request.0, kind, age)
    }
}

impl From<MarkWire> for MarkChange {
    fn from(message: MarkWire) -> Self {
        let mark = match message.1 {
            MarkKindWire::End(server) => Mark::End(server.as_str().into()),
            MarkKindWire::Trial(number) => Mark::Trial(number),
        };
        let age = message.2.map(|age| Millis(age.into()));
        Self { request: Fingerprint(message.0), mark, age }
    }
}

impl From<ReturnNotice> for ReturnWire {
    fn from(notice: ReturnNotice) -> Self {
        let due_in = notice.due_in.0.min(u64::from(u16::MAX)) as u16;
        Self(notice.request.0, notice.number, notice.service, due_in)
    }
}

impl From<ReturnWire> for ReturnNotice {
    fn from(message: ReturnWire) -> Self {
        let ReturnWire(request, number, service, due_in) = message;
        let request = Fingerprint(request);
        Self { request, number, service, due_in: Millis(due_in.into()) }
    }
}

impl From<&BackendServer> for ServerWire {
    fn from(server: &BackendServer) -> Self {
        Self {
            id: server.id.to_string(),
            service: server.service.to_string(),
            addr: server.addr,
            domain: server.domain.to_string(),
            version: server.version.to_string(),
            slots: server.slots,
            is_draining: server.state == ServerState::Draining,
            models: server.models.iter().map(ToString::to_string).collect(),
            born: server.incarnation.map(|incarnation| incarnation.0),
            cold_left: server.cold_left.0.min(u64::from(u32::MAX)) as u32,
        }
    }
}

impl TryFrom<ServerWire> for BackendServer {
    type Error = ParseIdError;

    fn try_from(message: ServerWire) -> Result<Self, Self::Error> {
        let models: Result<_, _> = message.models.iter().map(|m| m.parse()).collect();
        Ok(Self {
            id: message.id.as_str().into(),
            service: message.service.as_str().into(),
            addr: message.addr,
            domain: message.domain.parse()?,
            version: message.version.parse()?,
            slots: message.slots,
            state: if message.is_draining { ServerState::Draining } else { ServerState::Ready },
            models: models?,
            incarnation: message.born.map(Incarnation),
            cold_left: Millis(message.cold_left.into()),
        })
    }
}

impl From<&RolloutReport> for RolloutWire {
    fn from(report: &RolloutReport) -> Self {
        Self {
            service: report.service.to_string(),
            target: report.target.to_string(),
            elapsed_ms: report.elapsed.0,
            is_age_known: report.is_age_known,
            is_announced: report.is_announced,
            routes: report.routes.iter().map(|(route, e)| (*route, evidence_to_wire(e))).collect(),
            sent: report.sent.into(),
            is_rolled_back: report.is_rolled_back,
            stored_status: report.stored_status.into(),
            status_age_ms: report.status_age.0,
            store_era: report.store_era,
        }
    }
}

impl From<StoredStatus> for StoredStatusWire {
    fn from(recorded: StoredStatus) -> Self {
        match recorded {
            StoredStatus::Unknown => Self::Unknown,
            StoredStatus::Ended(Phase::Done) => Self::Done,
            StoredStatus::Ended(Phase::RolledBack) => Self::RolledBack,
            StoredStatus::Running | StoredStatus::Ended(_) => Self::Running,
        }
    }
}

impl From<StoredStatusWire> for StoredStatus {
    fn from(message: StoredStatusWire) -> Self {
        match message {
            StoredStatusWire::Unknown => Self::Unknown,
            StoredStatusWire::Running => Self::Running,
            StoredStatusWire::Done => Self::Ended(Phase::Done),
            StoredStatusWire::RolledBack => Self::Ended(Phase::RolledBack),
        }
    }
}

impl From<AnswerSums> for SumsWire {
    fn from(sums: AnswerSums) -> Self {
        let times = |t: LatencySums| (t.count, t.log_sum as f32, t.log_square_sum as f32);
        Self(sums.good, sums.failed, times(sums.first_byte), times(sums.event_gap))
    }
}

impl From<SumsWire> for AnswerSums {
    fn from(message: SumsWire) -> Self {
        let times = |(n, sum, squares): (u64, f32, f32)| LatencySums {
            count: n,
            log_sum: f64::from(sum),
            log_square_sum: f64::from(squares),
        };
        Self {
            good: message.0,
            failed: message.1,
            first_byte: times(message.2),
            event_gap: times(message.3),
        }
    }
}

impl From<AnswerCounts> for CountsWire {
    fn from(counts: AnswerCounts) -> Self {
        let half = (counts.half != AnswerSums::default()).then(|| counts.half.into());
        Self(counts.sums().into(), half)
    }
}

impl From<CountsWire> for AnswerCounts {
    fn from(message: CountsWire) -> Self {
        let half = message.1.map(AnswerSums::from).unwrap_or_default();
        Self { half, ..AnswerSums::from(message.0).into() }
    }
}

fn evidence_to_wire(evidence: &RouteEvidence) -> [CountsWire; 2] {
    [evidence.target.into(), evidence.current.into()]
}

fn evidence_from_wire([target, current]: [CountsWire; 2]) -> RouteEvidence {
    RouteEvidence { target: target.into(), current: current.into() }
}

impl TryFrom<RolloutWire> for RolloutReport {
    type Error = ParseIdError;

    fn try_from(message: RolloutWire) -> Result<Self, Self::Error> {
        Ok(Self {
            service: message.service.as_str().into(),
            target: message.target.parse()?,
            elapsed: Millis(message.elapsed_ms),
            is_age_known: message.is_age_known,
            is_announced: message.is_announced,
            routes: message
                .routes
                .into_iter()
                .map(|(route, n)| (route, evidence_from_wire(n)))
                .collect(),
            sent: message.sent.into(),
            is_rolled_back: message.is_rolled_back,
            stored_status: message.stored_status.into(),
            status_age: Millis(message.status_age_ms),
            store_era: message.store_era,
        })
    }
}

impl LimitWire {
    /// Returns the server's incarnation hash and limit, or `None` if the rate is invalid.
    fn into_limit_update(self, now: Millis) -> Option<(u64, LimitUpdate)> {
        let Self(server, per_second, age) = self;
        let limit = match per_second {
            Some(per_second) => Some(RequestRate::new(per_second)?),
            None => None,
        };
        Some((server, LimitUpdate { limit, reported_at: Millis(now.0.saturating_sub(age.into())) }))
    }
}

impl PeerMessage {
    /// Decodes a datagram, also one of an earlier version, in which the last fields are missing.
    ///
    /// postcard writes no field names or count and fails at the end of its input, but an empty field is a zero byte. It
    /// ignores bytes after the message, so a complete message is not affected.
    ///
    /// # Errors
    ///
    /// The datagram is not a message.
    pub(crate) fn decode(datagram: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(&[datagram, &[0; LATER_FIELDS_BYTES]].concat())
    }

    /// Returns whether the message is empty, which makes it a heartbeat.
    pub(crate) fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Returns whether the sender serves callers: it has reports on servers or customers.
    pub(crate) fn is_from_serving_gateway(&self) -> bool {
        !(self.sent.is_empty() && self.reports.is_empty() && self.shares.is_empty())
    }

    /// Sets the fields on loads.
    pub(crate) fn set_loads(&mut self, update: LoadUpdate, now: Millis) {
        let short = |n: u64| n.min(u64::from(u16::MAX)) as u16;
        self.sent = update
            .sent
            .into_iter()
            .map(|(server, prefill_time)| (server, short(prefill_time.0)))
            .collect();
        let report = |(server, r): (u32, ServerReport)| {
            (server, short(u64::from(r.running)), short(u64::from(r.waiting)))
        };
        self.reports = update.reports.into_iter().map(report).collect();
        self.unreached = update.unreached.into_iter().collect();
        self.answered = update.answered.into_iter().collect();
        let limit = |(server, update): (u64, LimitUpdate)| {
            let age = short(now.since(update.reported_at).0);
            LimitWire(server, update.limit.map(RequestRate::per_second), age)
        };
        self.limits = update.limits.into_iter().map(limit).collect();
        self.leaving = update.leaving.into_iter().collect();
    }

    /// Takes the fields on loads out of the message.
    pub(crate) fn take_loads(&mut self, now: Millis) -> LoadUpdate {
        let sent = std::mem::take(&mut self.sent);
        let reports = std::mem::take(&mut self.reports);
        let limits = std::mem::take(&mut self.limits);
        let report = |(server, running, waiting): (u32, u16, u16)| {
            (server, ServerReport { running: running.into(), waiting: waiting.into() })
        };
        LoadUpdate {
            sent: sent.into_iter().map(|(s, ms)| (s, Millis(ms.into()))).collect(),
            reports: reports.into_iter().map(report).collect(),
            unreached: std::mem::take(&mut self.unreached).into_iter().collect(),
            answered: std::mem::take(&mut self.answered).into_iter().collect(),
            limits: limits.into_iter().filter_map(|limit| limit.into_limit_update(now)).collect(),
            leaving: std::mem::take(&mut self.leaving).into_iter().collect(),
        }
    }
}
