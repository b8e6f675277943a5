//! The entry: callers' requests, and where each goes.

mod answer;
mod attempt;
mod auth;
mod chat;
mod claims;
mod connections;
mod context;
mod decisions;
mod hints;
mod pick;
mod plain;
mod quality;
mod rollouts;
mod serve;
mod sessions;
mod sides;
mod start;

pub use start::run_entry;
