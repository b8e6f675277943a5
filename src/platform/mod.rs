//! Clients for the platform's services, one module per service. docs/PLATFORM.md describes the
//! formats.

mod engine;
mod hosts;
mod log;
mod rating;
mod weights;

pub(crate) use engine::{
    EngineLoad, OrderOutcome, engine_request, fetch_engine_load, plain_request,
    reported_total_tokens, send_engine_order,
};
pub(crate) use hosts::{HostRecord, HostState, fetch_hosts};
pub(crate) use log::{LogClient, LogError, stream};
pub(crate) use rating::rate_answer;
pub(crate) use weights::{LoadPermission, request_load_permission};
