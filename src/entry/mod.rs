//! The entry: callers' requests, and where each goes.

mod answer;
mod attempt;
mod auth;
mod chat;
mod claims;
mod context;
mod decisions;
mod hints;
mod plain;
mod quality;
mod rollouts;
mod sessions;
mod sides;
mod start;

pub use start::run_entry;
