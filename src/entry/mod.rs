//! The entry process: accepts callers' requests and routes each to a backend server.

mod attempt;
mod auth;
mod body_memory;
mod chat;
mod claims;
mod connections;
mod context;
mod decisions;
mod hints;
mod limit_report;
mod pick;
mod quality;
mod response;
mod rollouts;
mod serve;
mod service_call;
mod sessions;
mod sides;
mod start;

pub use start::run_entry;
