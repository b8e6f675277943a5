//! The messages.
//!
//! Objects of the configuration travel as the JSON in which they stand in the log: their JSON form
//! is made for people and is not what a codec without field names can carry.

use redwingfold_core::{
    Bill, Claim, ClaimId, CustomerName, ErrorKind, HostId, Incarnation, KeyHash, Millis, Offset,
    Pin, PinKey, RequestId, RunState, SessionId, VersionName,
};
use serde::{Deserialize, Serialize};

/// Number of this protocol; processes with another do not talk.
pub(crate) const PROTOCOL: u16 = 1;

/// What a process is.
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

/// How far a process's configuration goes.
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
    /// Name of the plain service, if it is none of the engines.
    pub(crate) service: Option<String>,
    pub(crate) versions: Vec<VersionName>,
    pub(crate) slots: u32,
    /// Requests running or waiting, at the side or at the engine.
    pub(crate) busy: u32,
    pub(crate) first_token: Millis,
    /// Whether it answers the side.
    pub(crate) up: bool,
}

/// What changes in a backend server's load from request to request. The rest of a [`Load`] would be
/// a hundred bytes with each answer.
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

/// A heartbeat. It also carries what changed since the last one.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct Beat {
    pub(crate) config: ConfigMark,
    pub(crate) leaving: bool,
    pub(crate) loads: Vec<Load>,
    /// Whether an answer is wanted.
    pub(crate) ask: bool,
}

/// A message of a control stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum Control {
    Beat(Beat),
    /// Bills that are in the log.
    Confirmed(Vec<KeyHash>),
    Hello(Hello),
    /// Bills that a stopping process hands over.
    Hold(Vec<Bill>),
    /// The bills are held.
    Held(Vec<KeyHash>),
    /// Records of the configuration stream as they stand in the log.
    Records(Vec<(Offset, Vec<u8>)>),
    /// A snapshot, as JSON.
    Snapshot(Vec<u8>),
    /// Asks for what follows an offset.
    Want(Offset),
}

/// First message of a call's stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum Call {
    /// Promise never to run a claim.
    Close(Claim),
    /// What was decided about a request.
    Explain(RequestId),
    /// Hold bills for a stopping process.
    Hold(Vec<Bill>),
    /// The stream becomes the connection's control stream.
    Control(Hello),
    /// Records of the configuration, from the operator's tool. Answered with the process's mark.
    Install(Vec<(Offset, Vec<u8>)>),
    /// What became of a claim.
    Outcome(Claim),
    /// The pin of a session, if one is held.
    PinGet(PinKey),
    /// The pin of a session; the proposal if none is held.
    PinSet(PinKey, Pin),
    /// Takes a pin that another holder has.
    PinMerge(PinKey, Pin),
    /// Takes many.
    PinMergeAll(Vec<(PinKey, Pin)>),
    Run(Box<RunCall>),
    /// The process's state, as JSON.
    Status,
}

/// Identifies a run.
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
    /// Time that is left.
    pub(crate) time_left: Millis,
    pub(crate) priority: u8,
    /// Work that it is expected to make, in tokens.
    pub(crate) work_tokens: u64,
    pub(crate) claim: Option<Claim>,
    pub(crate) bill: Option<KeyHash>,
    /// Tokens and cost of earlier attempts.
    pub(crate) prior_usage: Usage,
}

/// Tokens and cost.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Usage {
    pub(crate) tokens: u64,
    pub(crate) cost: u64,
}

/// A message of a run's answer. Each names the run, so that one that belongs elsewhere is noticed.
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

/// Head of an answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct RunHead {
    pub(crate) status: u16,
    pub(crate) content_type: Option<String>,
}

/// End mark of an answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct RunEnd {
    pub(crate) length: u64,
    pub(crate) checksum: u64,
    pub(crate) usage: Usage,
    pub(crate) bill: Option<Bill>,
    pub(crate) load: LoadChange,
}

/// End of an answer that is not whole, or of a request that was refused.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct RunFailed {
    pub(crate) kind: ErrorKind,
    pub(crate) run: RunState,
    pub(crate) reason: String,
    pub(crate) retry_after: Option<Millis>,
    pub(crate) config: ConfigMark,
}

/// Answer to a call that is not a run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum Reply {
    Closed(Closed),
    Held,
    Json(Vec<u8>),
    Mark(ConfigMark),
    Outcome(Outcome),
    Pin(Option<Pin>),
    /// The call is not for this process.
    Refused(ErrorKind),
}

/// Answer to [`Call::Close`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum Closed {
    /// It will never run here.
    Never,
    /// It runs or has run.
    TooLate,
    /// The claim names another start of this process.
    Unknown,
}

/// Answer to [`Call::Outcome`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum Outcome {
    /// The answer, as far as it is kept.
    Done { status: u16, content_type: Option<String>, body: Option<Vec<u8>> },
    /// It has not arrived here.
    NotSeen,
    /// It is running.
    Running,
    /// It ran, or may have run, and its answer is not known.
    Unknown,
}

impl Outcome {
    /// Returns the claim-independent part for logs.
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
