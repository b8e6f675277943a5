//! The messages between processes.
//!
//! Configuration objects are sent as the JSON that is stored in the log. Their JSON form is
//! designed for people to edit, and a codec without field names can't encode it.

use redwingfold_core::{
    Bill, Claim, ClaimId, CustomerName, ErrorKind, HostId, Incarnation, KeyHash, Millis, Offset,
    Pin, PinKey, RequestId, RunState, SessionId, VersionName,
};
use serde::{Deserialize, Serialize};

/// Protocol version. A connection to a peer with another version is rejected.
pub(crate) const PROTOCOL: u16 = 1;

/// The kind of a process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum Role {
    Ctl,
    Entry,
    Side,
}

/// First message in each direction of a control stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct Hello {
    pub(crate) protocol: u16,
    pub(crate) host: HostId,
    pub(crate) role: Role,
    pub(crate) incarnation: Incarnation,
}

/// The position and state hash of a process's configuration.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct ConfigMark {
    pub(crate) offset: Offset,
    pub(crate) hash: u64,
    pub(crate) rules: u32,
}

/// Load of one backend server.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct Load {
    pub(crate) backend: String,
    /// Name of the service, if the backend server is a plain service rather than an engine.
    pub(crate) service: Option<String>,
    pub(crate) versions: Vec<VersionName>,
    pub(crate) slots: u32,
    /// Requests running or waiting, as counted by the side or by the engine, whichever is higher.
    pub(crate) busy: u32,
    pub(crate) first_token: Millis,
    /// Whether the backend server responds to the side.
    pub(crate) up: bool,
}

/// The fields of a [`Load`] that change with each request.
///
/// The rest of the load would add a hundred bytes to each response.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct LoadChange {
    pub(crate) busy: u32,
    pub(crate) first_token: Millis,
}

impl From<&Load> for LoadChange {
    fn from(load: &Load) -> Self {
        Self { busy: load.busy, first_token: load.first_token }
    }
}

/// A heartbeat, with the loads that changed since the last one.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct Beat {
    pub(crate) config: ConfigMark,
    pub(crate) leaving: bool,
    pub(crate) loads: Vec<Load>,
    /// Whether the sender requests a reply.
    pub(crate) ask: bool,
}

/// A message of a control stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum Control {
    Beat(Beat),
    /// Bills that are in the log.
    Confirmed(Vec<KeyHash>),
    Hello(Hello),
    /// Bills that a stopping process transfers to its peer.
    Hold(Vec<Bill>),
    /// Ids of the transferred bills that the peer has stored.
    Held(Vec<KeyHash>),
    /// Records of the configuration stream, as stored in the log.
    Records(Vec<(Offset, Vec<u8>)>),
    /// A snapshot, as JSON.
    Snapshot(Vec<u8>),
    /// Requests the configuration after an offset.
    Want(Offset),
}

/// First message of a call's stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum Call {
    /// Requests a promise never to run a claim.
    Close(Claim),
    /// Requests the decision trace of a request.
    Explain(RequestId),
    /// Stores bills for a stopping process.
    Hold(Vec<Bill>),
    /// Makes this stream the connection's control stream.
    Control(Hello),
    /// Applies configuration records sent by the operator's tool. The reply is the process's mark.
    Install(Vec<(Offset, Vec<u8>)>),
    /// Requests the outcome of a claim.
    Outcome(Claim),
    /// Requests the pin of a session, if this process stores one.
    PinGet(PinKey),
    /// Requests the pin of a session, and stores the proposed one if there is none.
    PinSet(PinKey, Pin),
    /// Merges a pin that another process stores.
    PinMerge(PinKey, Pin),
    /// Merges several pins.
    PinMergeAll(Vec<(PinKey, Pin)>),
    Run(Box<RunCall>),
    /// Requests the process's state, as JSON.
    Status,
}

/// Identifies a run: one attempt of a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct RunId {
    pub(crate) request: RequestId,
    pub(crate) attempt: u32,
}

/// A request for a backend server.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct RunCall {
    pub(crate) run_id: RunId,
    pub(crate) config: ConfigMark,
    pub(crate) customer: CustomerName,
    pub(crate) session: Option<SessionId>,
    /// Version, for an engine.
    pub(crate) version: Option<VersionName>,
    /// Service object's name, for a plain service.
    pub(crate) service: Option<String>,
    pub(crate) backend: String,
    pub(crate) method: String,
    /// Path and query.
    pub(crate) target: String,
    pub(crate) content_type: Option<String>,
    pub(crate) body: Vec<u8>,
    pub(crate) is_streamed: bool,
    /// Time left until the request's deadline.
    pub(crate) time_left: Millis,
    pub(crate) priority: u8,
    /// Expected work, in tokens.
    pub(crate) work_tokens: u64,
    pub(crate) claim: Option<Claim>,
    pub(crate) bill: Option<KeyHash>,
    /// Tokens and cost of earlier attempts.
    pub(crate) prior_usage: Usage,
}

/// Tokens and their cost.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Usage {
    pub(crate) tokens: u64,
    pub(crate) cost: u64,
}

/// A message of a run's response.
///
/// Each has the run's id, so that the entry detects a message that belongs to another run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum RunFrame {
    Chunk(RunId, Vec<u8>),
    End(RunId, Box<RunEnd>),
    Failed(RunId, RunFailed),
    Head(RunId, RunHead),
}

impl RunFrame {
    pub(crate) fn run_id(&self) -> RunId {
        match self {
            Self::Chunk(run_id, _)
            | Self::End(run_id, _)
            | Self::Failed(run_id, _)
            | Self::Head(run_id, _) => *run_id,
        }
    }
}

/// Head of a response.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct RunHead {
    pub(crate) status: u16,
    pub(crate) content_type: Option<String>,
}

/// End of a complete response.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct RunEnd {
    pub(crate) length: u64,
    pub(crate) checksum: u64,
    pub(crate) usage: Usage,
    pub(crate) bill: Option<Bill>,
    pub(crate) load: LoadChange,
}

/// End of an incomplete response, or of a request that was rejected.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct RunFailed {
    pub(crate) kind: ErrorKind,
    pub(crate) run: RunState,
    pub(crate) reason: String,
    pub(crate) retry_after: Option<Millis>,
    pub(crate) config: ConfigMark,
}

/// Reply to a call other than a run or a control stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum Reply {
    Closed(Closed),
    Held,
    Json(Vec<u8>),
    Mark(ConfigMark),
    Outcome(Outcome),
    Pin(Option<Pin>),
    /// This process does not handle the call.
    Refused(ErrorKind),
}

/// Reply to [`Call::Close`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum Closed {
    /// The claim will never run in this process.
    Never,
    /// The claim is running or has run.
    TooLate,
    /// The claim names another incarnation of this process.
    Unknown,
}

/// Reply to [`Call::Outcome`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum Outcome {
    /// The response. The body is absent if it is not stored anymore.
    Done { status: u16, content_type: Option<String>, body: Option<Vec<u8>> },
    /// The claim has not run in this process: it was not received, was closed, or never reached its
    /// backend server.
    NotSeen,
    /// The claim is running.
    Running,
    /// The claim ran or may have run, and its response is not known.
    Unknown,
}

impl Outcome {
    /// Returns the name of the variant, for logs.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::Done { .. } => "done",
            Self::NotSeen => "not_seen",
            Self::Running => "running",
            Self::Unknown => "unknown",
        }
    }
}

/// Returns a new random claim id.
pub(crate) fn new_claim_id() -> ClaimId {
    ClaimId(fastrand::u128(..))
}
