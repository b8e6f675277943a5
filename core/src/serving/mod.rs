//! Decisions of a gateway: routing, backend servers, placement, retries, model cascades and rollouts.

mod accept_queue;
mod admission;
mod allowed_regions;
mod answers;
mod baseline_latency;
mod budget;
mod caller_connections;
mod canary;
mod canary_policy;
mod capacity_loans;
mod catalog;
mod cold;
mod connect_timeout;
mod evacuations;
mod events;
mod exposure;
mod feed;
mod feed_positions;
mod fingerprint;
mod headroom;
mod health;
mod idle_connections;
mod idle_timeout;
mod interrupted_runs;
mod leaving;
mod limits;
mod load;
mod members;
mod memory_budget;
mod placement;
mod quarantine;
mod registry;
mod request_memory;
mod retry_after;
mod returns;
mod second_run;
mod sessions;
mod shares;
mod silence;
mod sizes;
mod start_turn;
mod status;
mod stream_time;
mod turns;
mod unreachable;
mod urgency;

pub use accept_queue::{AcceptPolicy, AcceptQueue};
pub use admission::{
    AdmissionDecision, AdmissionPolicy, Capacity, Demand, QueueFull, StartRate, WaitQueue, Waiting,
};
pub use allowed_regions::{AllowedRegions, DomainRegions};
pub use answers::{AnswerCounts, AnswerSums, FleetEvidence, LatencySums, RouteEvidence};
pub use baseline_latency::{BaselineLatency, CurrentSlowdown};
pub use budget::{ResendBudget, ResendReason};
pub use caller_connections::{
    CallerConnections, ConnectionAdmission, ConnectionNumber, ConnectionPhase,
};
pub use canary::{Affinity, Arm, ArmChoice, Canary, OrderAge, Phase, RolloutOrder};
pub use canary_policy::CanaryPolicy;
pub use capacity_loans::{CapacityLoans, Part};
pub use catalog::{
    BackendId, CallLimits, Catalog, Customer, Idempotency, Priority, Route, RouteName, Service,
    ServiceName, StreamRules,
};
pub use cold::{ColdLimit, ColdPolicy};
pub use connect_timeout::ConnectTimeout;
pub use evacuations::{EvacuationChange, Evacuations};
pub use events::{EventId, EventSplitter, WholeEvents};
pub use exposure::{ExposureBudget, SendCounts};
pub use feed::{FeedHistory, FeedUpdate, FeedUpdateOutcome, FeedView, is_compacted_read_shorter};
pub use feed_positions::FeedPositions;
pub use fingerprint::Fingerprint;
pub use headroom::{
    Headroom, HeadroomPolicy, HeadroomPressure, LoadSample, Run, RunTimes, ServerFacts,
};
pub use health::{Fault, HealthPolicy, ServerHealth};
pub use idle_connections::{ConnectionKey, ConnectionReusePolicy, IdleConnections, KeepAlive};
pub use idle_timeout::IdleTimeout;
pub use interrupted_runs::{BrokenRun, EndedRun, InterruptedRuns};
pub use leaving::LeavingServers;
pub use limits::{LimitChange, LimitPolicy, ServerLimits};
pub use load::{PeerLoad, PeerLoads, PrefillRates, ServerReport};
pub use members::Members;
pub use memory_budget::MemoryBudget;
pub use placement::{Place, PlacementPolicy, Work, is_in_first_half, lead_servers, place};
pub use quarantine::{
    Admission, Mark, MarkChange, Quarantine, QuarantinePolicy, RequestAdmission, SuspectTrial,
};
pub use registry::{
    BackendServer, PeerServerList, PutOutcome, Registry, RegistryPolicy, ServerState,
};
pub use request_memory::{
    Evicted, Eviction, HolderNumber, MemoryFull, MemoryOwner, MemoryPhase, MemoryPolicy,
    RequestMemory,
};
pub use retry_after::RetryAfterTimes;
pub use returns::{Return, ReturnCounts, ReturnNotice, ReturnSchedule, service_hash};
pub use second_run::SentRequest;
pub use sessions::{MovedSessions, SessionKey};
pub use shares::{CustomerShares, ReportNumbers};
pub use silence::{Awaited, SilencePolicy, SilenceWatch};
pub use sizes::{ConfidenceGains, LargerModel, Pressure, SizePolicy};
pub use start_turn::StartTurn;
pub use status::{KnownStatus, RolloutStatuses};
pub use stream_time::StreamTimes;
pub use turns::SendTurns;
pub use unreachable::UnreachableServers;
pub use urgency::UrgencyPolicy;
