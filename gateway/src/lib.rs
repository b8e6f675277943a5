//! Answers HTTP requests from backend servers that it chooses, watches and goes on from.
//!
//! One pipeline: caller, request facts, route and customer, choice of version, model and server,
//! attempt, relay, caller. What a deployment says on its wire comes in through a [`HeaderCodec`], and
//! what it believes through [`Gateway`]'s methods; decisions are made in `redwingfold-core`.

mod answer;
mod attempt;
mod availability;
mod choice;
mod clock;
mod cold;
mod discovery;
mod ends;
mod evacuation;
mod exchange;
mod facts;
mod feeds;
mod fingerprint;
mod flight_log;
mod gateway;
mod gossip;
mod head_watch;
mod limits;
mod load;
mod model_choice;
mod net;
mod peer_message;
mod peer_table;
mod pipeline;
mod quarantine;
mod relay;
mod request;
#[cfg(test)]
mod restored_rollouts_tests;
mod rollout_choice;
mod rollout_control;
mod rollout_report;
mod rollouts;
mod serve;
mod server_list;
mod session_keepers;
mod settings;
mod turns;
mod upstream;

pub use answer::{GatewayResponse, ResponseBody, text_response};
pub use clock::Clock;
pub use discovery::{AddressStore, discover_peers};
pub use exchange::{
    FetchedOrders, Record, feed_pages, fetch_newer_orders, fetch_newer_servers, watch_orders_age,
};
pub use facts::{
    AttemptMetadata, HeaderCodec, PromptPart, ReportedLoad, RequestMetadata, RequestedModel,
    ResponseMetadata, Usage,
};
pub use feeds::{Feed, FeedPeriods, Feeds, ServerChange};
pub use gateway::{ConfigSource, Gateway, Lifecycle, StoreCopy};
pub use gossip::{receive_gossip, send_gossip};
pub use net::{bind, connect, with_timeouts};
pub use peer_table::PeerTable;
pub use quarantine::TrialClaim;
pub use rollout_report::{RolloutReport, StoredStatus};
pub use rollouts::{DueStatus, Rollouts};
pub use serve::{serve_callers, serve_pages};
pub use session_keepers::send_session_messages;
pub use settings::GatewaySettings;
pub use upstream::{CallError, HttpConnection, ResponseReader};
