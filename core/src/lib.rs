//! The decisions of redwingfold as pure functions of state, event and time.
//!
//! Nothing here opens a socket or a file, reads a clock or generates a random number: the caller
//! passes the current time as [`Millis`] and random values as numbers. Every decision is therefore
//! reproducible in a test and can be explained afterwards.

mod balance;
mod bill;
mod budget;
mod call_table;
mod claim;
mod config;
mod detector;
mod error;
mod ids;
mod label;
mod loads;
mod outbox;
mod pin;
mod queue;
mod ratings;
mod rollout;
mod route;
mod serving;
mod subset;

pub use balance::{
    Candidate, expected_first_token, pick_least_reported, pick_of_two, pick_round_robin,
};
pub use bill::{Bill, BillFold};
pub use budget::{ByteBudget, RetryBudget};
pub use call_table::{CallAnswer, CallState, CallTable};
pub use claim::{Claim, ClaimFold, ClaimStatus};
pub use config::{
    AuditEntry, CascadeSpec, Change, Config, ConfigFold, ConfigRecord, CustomerSpec,
    FOLD_RULES_VERSION, GrantSpec, HostSelector, ModelSpec, Object, ObjectKey, PlacementSpec,
    RolloutSpec, SeenIds, SelectorMatch, ServiceSpec, SessionSpec, Snapshot, Spec, StoredObject,
    StreamsOnWithdrawal, Verdict, VersionSpec, Withdrawal,
};
pub use detector::{FailureDetector, HeartbeatPolicy, PeerHealth};
pub use error::{ErrorKind, ErrorRow, RunState};
pub use ids::{
    ByteCount, ClaimId, CustomerName, FailureDomain, HostId, Incarnation, KeyHash, Millis,
    ModelName, Offset, ParseIdError, PerMille, Region, RequestId, RequestRate, SessionId,
    VersionName,
};
pub use label::{Labels, ParseSelectorError, Selector};
pub use loads::{FenceRecord, LoadFold, LoadRecord};
pub use outbox::{Outbox, OutboxFull};
pub use pin::{Pin, PinKey, PinTable};
pub use queue::{FairQueue, QueueEntry, QueueLimits};
pub use ratings::{RatingCounter, RatingFold, TallyRecord, next_rollout_share};
pub use rollout::{SequentialTest, Tally, TestVerdict};
pub use route::{AccessDenied, Plan, choose_version, plan, rollout_bucket};
pub use serving::{
    AcceptPolicy, AcceptQueue, Admission, AdmissionDecision, AdmissionPolicy, Affinity,
    AllowedRegions, AnswerCounts, AnswerSums, Arm, ArmChoice, Awaited, BackendId, BackendServer,
    BaselineLatency, BrokenRun, CallLimits, CallerConnections, Canary, CanaryPolicy, Capacity,
    CapacityLoans, Catalog, ColdLimit, ColdPolicy, ConfidenceGains, ConnectTimeout,
    ConnectionAdmission, ConnectionKey, ConnectionNumber, ConnectionPhase, ConnectionReusePolicy,
    CurrentSlowdown, Customer, CustomerShares, Demand, DomainRegions, EndedRun, EvacuationChange,
    Evacuations, EventId, EventSplitter, Evicted, Eviction, ExposureBudget, Fault, FeedHistory,
    FeedPositions, FeedUpdate, FeedUpdateOutcome, FeedView, Fingerprint, FleetEvidence, Headroom,
    HeadroomPolicy, HeadroomPressure, HealthPolicy, HolderNumber, Idempotency, IdleConnections,
    IdleTimeout, InterruptedRuns, KeepAlive, KnownStatus, LargerModel, LatencySums, LeavingServers,
    LimitChange, LimitPolicy, LoadSample, Mark, MarkChange, Members, MemoryBudget, MemoryFull,
    MemoryOwner, MemoryPhase, MemoryPolicy, MovedSessions, OrderAge, Part, PeerLoad, PeerLoads,
    PeerServerList, Phase, Place, PlacementPolicy, PrefillRates, Pressure, Priority, PutOutcome,
    Quarantine, QuarantinePolicy, QueueFull, Registry, RegistryPolicy, ReportNumbers,
    RequestAdmission, RequestMemory, ResendBudget, ResendReason, RetryAfterTimes, Return,
    ReturnCounts, ReturnNotice, ReturnSchedule, RolloutOrder, RolloutStatuses, Route,
    RouteEvidence, RouteName, Run, RunTimes, SendCounts, SendTurns, SentRequest, ServerFacts,
    ServerHealth, ServerLimits, ServerReport, ServerState, Service, ServiceName, SessionKey,
    SilencePolicy, SilenceWatch, SizePolicy, StartRate, StartTurn, StreamRules, StreamTimes,
    SuspectTrial, UnreachableServers, UrgencyPolicy, WaitQueue, Waiting, WholeEvents, Work,
    is_compacted_read_shorter, is_in_first_half, lead_servers, place, service_hash,
};
pub use subset::{Member, PooledSide, is_log_reader, pin_holders, rank, sides_of_entry};
