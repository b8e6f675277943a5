//! The platform's services, each behind one adapter: docs/PLATFORM.md has the formats.

mod engine;
mod hosts;
mod log;
mod rating;

pub(crate) use engine::{EngineLoad, engine_load, engine_request, last_usage, plain_request};
pub(crate) use hosts::{HostRecord, HostState, read_hosts};
pub(crate) use log::{LogClient, LogError, stream};
pub(crate) use rating::rate;
