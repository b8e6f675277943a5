//! The platform's services, each behind one adapter: docs/PLATFORM.md has the formats.

mod engine;
mod hosts;
mod log;
mod rating;
mod weights;

pub(crate) use engine::{
    EngineLoad, Ordered, engine_load, engine_order, engine_request, last_usage, plain_request,
};
pub(crate) use hosts::{HostRecord, HostState, read_hosts};
pub(crate) use log::{LogClient, LogError, stream};
pub(crate) use rating::rate;
pub(crate) use weights::{Asked, ask_to_load};
