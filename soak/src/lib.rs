//! Runs gateways as processes under random faults and checks that their guarantees hold.
//!
//! Faults are injected from outside the processes: signals, store and connection failures, engines that cut off, lose
//! or corrupt responses or refuse requests, and repeated configuration changes. The requests and responses that callers
//! and engines recorded are then checked. A seed always gives the same schedule of faults, but the timing between
//! processes still varies.

mod checks;
mod crowds;
mod deadly;
mod domains;
mod faults;
mod reports;
mod restores;
mod run;
mod skew;
mod testbed;

pub use checks::{RequestRecord, violations};
pub use run::{Outcome, Settings, run_seed};
pub use skew::{FirstRead, PhaseResult, SkewOutcome, SkewSettings, run_skew};
