//! Starts a whole fleet on loopback: stand-ins in this process, daemons as processes.

mod caller;
mod launch;
mod objects;
mod process;

pub use caller::{Answered, Ask, Caller};
pub use launch::{Fleet, FleetBuilder, wait_until};
pub use objects::{Objects, key_of};
pub use process::Process;
