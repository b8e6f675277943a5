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
mod ends;
mod evacuation;
mod exchange;
mod facts;
mod feeds;
mod fingerprint;
mod flight_log;
mod gateway;
mod head_watch;
mod limits;
mod load;
mod meeting;
mod model_choice;
mod net;
mod peer_message;
mod peer_table;
mod peers;
mod pipeline;
mod quarantine;
mod relay;
mod request;
#[cfg(test)]
mod restored_rollouts_tests;
mod rollout_choice;
mod rollout_news;
mod rollout_turns;
mod rollouts;
mod serve;
mod server_list;
mod session_keepers;
mod settings;
mod turns;
mod upstream;

pub use answer::{GatewayResponse, ResponseBody, text_response};
pub use clock::Clock;
pub use exchange::{Fetched, Record, feed_pages, fetch_orders, fetch_servers, watch_orders_age};
pub use facts::{
    AttemptMetadata, HeaderCodec, PromptPart, ReportedLoad, RequestMetadata, RequestedModel,
    ResponseMetadata, Usage,
};
pub use feeds::{Feed, FeedPeriods, Feeds, ServerChange};
pub use gateway::{ConfigSource, Gateway, Standing, StoreCopy};
pub use meeting::{Directory, meet};
pub use net::{bind, connect, with_timeouts};
pub use peer_table::Peers;
pub use peers::{hear_peers, tell_peers};
pub use quarantine::TrialClaim;
pub use rollout_news::{Recorded, RolloutNews};
pub use rollouts::{DueStatus, Rollouts};
pub use serve::{serve_callers, serve_pages};
pub use session_keepers::tell_keepers;
pub use settings::GatewaySettings;
pub use upstream::{CallError, HttpConnection, ResponseReader};
