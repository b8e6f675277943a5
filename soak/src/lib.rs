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
mod play;
mod reports;
mod restores;
mod world;

pub use checks::{Seen, violations};
pub use play::{Outcome, Settings, play};
