//! Runs gateways as processes under random faults and checks the promises meanwhile.
//!
//! Faults come from outside the processes: signals, a store that misbehaves, engines that break
//! off, lose, garble or refuse, configurations and roll-outs in series. What callers and engines
//! saw is then checked. A seed gives the same schedule of faults each time; what races between
//! processes still differs.

mod checks;
mod deadly;
mod domains;
mod faults;
mod reports;
mod restores;
mod run;
mod testbed;

pub use checks::{RequestRecord, violations};
pub use run::{Outcome, Settings, run_seed};
