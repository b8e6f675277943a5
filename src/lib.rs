//! redwingfold: a model-aware router for versions and cascades of models that run in-house.
//!
//! The programs are thin mains over this library: [`run_entry`] answers callers, [`run_side`]
//! has the last word before a backend server, [`ctl`] is the operator's tool and [`load`] the load
//! and experiment tool. Decisions are made in `redwingfold-core`, which does no input or output.

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
