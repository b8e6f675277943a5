//! Test doubles of the platform: its store, its engines and its callers, with gateways as child processes.
//!
//! They use blocking threads and raw sockets, so that a test controls each byte on the wire.

mod caller;
mod crowd;
mod engine;
mod fleet;
mod http;
mod store;

pub use caller::{Conn, Got, get, request};
pub use crowd::{Crowd, Script, unfinished_body, unfinished_chunks};
pub use engine::{Arrival, Engine, EngineSpec, Plan, StreamPlan};
pub use fleet::{Config, Gateway, PlatformFleet, Route, eventually, message, wait_for};
pub use http::Head;
pub use store::{Store, StoreFault, StoreSnapshot};
