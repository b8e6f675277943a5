//! Decisions of a gateway: routes, backend servers, placement, repeats, cascades and roll-outs.

mod allowed_regions;
mod answers;
mod budget;
mod canary;
mod canary_policy;
mod catalog;
mod cold;
mod connect_timeout;
mod evacuations;
mod events;
mod exposure;
mod feed;
mod fingerprint;
mod health;
mod leads;
mod leaving;
mod limits;
mod load;
mod members;
mod patience;
mod placement;
mod quarantine;
mod registry;
mod retry_after;
mod server_ends;
mod sessions;
mod silence;
mod sizes;
mod status;
mod stream_time;
mod turns;
mod unreached;
mod urgency;
mod usual_time;

pub use allowed_regions::{AllowedRegions, DomainRegions};
pub use answers::{AnswerCounts, AnswerSums, FleetEvidence, LatencySums, RouteEvidence};
pub use budget::{ResendBudget, ResendReason};
pub use canary::{Affinity, Arm, ArmChoice, Canary, OrderAge, Phase, RolloutOrder};
pub use canary_policy::CanaryPolicy;
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
pub use fingerprint::Fingerprint;
pub use health::{Fault, HealthPolicy, ServerHealth};
pub use leads::Leads;
pub use leaving::LeavingServers;
pub use limits::{LimitChange, LimitPolicy, ServerLimits};
pub use load::{PeerLoad, PeerLoads, ReadRates, ServerReport};
pub use members::Members;
pub use patience::Patience;
pub use placement::{Place, PlacementPolicy, Work, is_in_first_half, lead_servers, place};
pub use quarantine::{Admission, Mark, MarkChange, Quarantine, QuarantinePolicy};
pub use registry::{
    BackendServer, PassedServers, PutOutcome, Registry, RegistryPolicy, ServerState,
};
pub use retry_after::RetryAfterTimes;
pub use server_ends::{Broke, EndedRun, ServerEnds};
pub use sessions::{MovedSessions, SessionKey};
pub use silence::{Owed, SilencePolicy, SilenceWatch};
pub use sizes::{Larger, Pressure, Rises, SizePolicy};
pub use status::StatusBook;
pub use stream_time::StreamTimes;
pub use turns::SendTurns;
pub use unreached::Unreached;
pub use urgency::UrgencyPolicy;
pub use usual_time::{PresentTime, UsualTime};
