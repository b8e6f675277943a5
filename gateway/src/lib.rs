//! HTTP gateway that forwards requests to backend servers, monitors these, and resumes broken streams.
//!
//! A request passes these steps: decoding of its metadata, lookup of route and customer, choice of version, model and
//! server, attempt, and relay of the response. The headers of a deployment are converted by a [`HeaderCodec`], and its state
//! is applied through the methods of [`Gateway`]. Decisions are made in `redwingfold-core`.

mod accept;
mod admission;
#[cfg(test)]
mod admission_tests;
mod attempt;
mod availability;
mod caller_channel;
mod caller_connection;
mod caller_stream;
mod capacity_loans;
#[cfg(test)]
mod capacity_loans_tests;
mod clock;
mod cold;
mod connection_pool;
#[cfg(test)]
mod connection_pool_tests;
mod customer_shares;
#[cfg(test)]
mod customer_shares_tests;
mod discovery;
mod evacuation;
mod exchange;
mod feeds;
#[cfg(test)]
mod feeds_tests;
mod fingerprint;
mod gateway;
mod gossip;
mod hyper_io;
mod interim_limit;
mod limits;
mod load;
mod log_rate;
mod loop_turn;
mod metadata;
mod model_choice;
mod net;
mod peer_message;
mod peer_table;
mod pipeline;
mod quarantine;
mod relay;
mod request;
mod request_body;
mod request_log;
mod request_memory;
mod response;
#[cfg(test)]
mod restored_rollouts_tests;
mod returns;
#[cfg(test)]
mod returns_tests;
mod rollout_choice;
mod rollout_control;
mod rollout_report;
#[cfg(test)]
mod rollout_status_tests;
mod rollouts;
mod segments;
#[cfg(test)]
mod segments_tests;
mod serve;
mod server_choice;
mod server_list;
mod server_probe;
mod session_keepers;
mod settings;
mod start;
mod turns;
mod unbuffered;
mod upstream;

pub use clock::Clock;
pub use discovery::{AddressStore, discover_peers};
pub use exchange::{
    FetchedMarks, FetchedOrders, Record, VersionsInService, feed_pages, fetch_newer_marks,
    fetch_newer_orders, fetch_newer_servers, fetch_versions, watch_orders_age,
};
pub use feeds::{Feed, FeedPeriods, Feeds, ServerChange};
pub use gateway::{ConfigSource, Gateway, Lifecycle, StoreCopy};
pub use gossip::{receive_gossip, send_gossip};
pub use metadata::{
    AttemptMetadata, HeaderCodec, PromptPart, ReportedLoad, RequestMetadata, RequestedModel,
    ResponseMetadata, Usage,
};
pub use net::{bind, connect, set_socket_options};
pub use peer_table::PeerTable;
pub use quarantine::TrialClaim;
pub use response::{GatewayResponse, ResponseBody, text_response};
pub use rollout_report::{RolloutReport, StoredStatus};
pub use rollouts::{DueStatus, Rollouts};
pub use segments::SegmentedBody;
pub use serve::{PageLimits, serve_callers, serve_pages};
pub use session_keepers::send_session_messages;
pub use settings::GatewaySettings;
pub use upstream::{CallError, HttpConnection, ResponseReader};
