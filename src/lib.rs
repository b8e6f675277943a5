//! redwingfold: a model-aware router for versions and cascades of models that run in-house.
//!
//! The binaries are thin wrappers around this library. [`run_entry`] is the daemon that receives
//! requests from callers and routes them. [`run_side`] is the daemon on the host of the backend
//! servers: it queues requests and forwards them. [`ctl`] is the operator's tool, and [`load`] is
//! the load generator. Decisions are made in `redwingfold-core`, which does no I/O.

mod billing;
mod clock;
mod config_store;
pub mod ctl;
mod daemon;
mod daemon_main;
mod entry;
pub mod load;
mod peer;
mod platform;
pub mod settings;
mod side;
mod stop;
mod tls;
mod wire;

pub use daemon_main::daemon_main;
pub use entry::run_entry;
pub use redwingfold_telemetry::Telemetry;
pub use side::run_side;
pub use stop::stop_on_signal;
pub use tls::{TlsConfigs, issue_certificates, load_tls_configs};
