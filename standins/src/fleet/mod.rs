//! Starts a complete fleet on loopback: test doubles in this process, daemons as child processes.

mod caller;
mod launch;
mod objects;
mod process;
mod resources;
mod throttle;

pub use caller::{Answered, Ask, Caller};
pub use launch::{Fleet, FleetBuilder, wait_until};
pub use objects::{Objects, key_of};
pub use process::Process;
pub use resources::{ResourceWatch, Resources};
pub use throttle::throttle;
