//! The users' platform: its store, its engines, its callers, and gateways as processes before them.
//!
//! Blocking threads and raw sockets, so that a test sees and sends the very bytes.

mod caller;
mod engine;
mod fleet;
mod http;
mod store;

pub use caller::{Conn, Got, get, request};
pub use engine::{Arrival, Engine, EngineSpec, Plan, StreamPlan};
pub use fleet::{Config, Gateway, PlatformFleet, Route, eventually, message, wait_for};
pub use http::Head;
pub use store::{Store, StoreFault, StoreSnapshot};
