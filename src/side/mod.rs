//! The side: the process on a backend host that admits requests and runs them on its backend
//! servers.
//!
//! It repeats the entry's access checks against its own, possibly newer, configuration before each
//! run.

mod backend;
mod context;
mod load_reports;
mod orders;
mod requests;
mod run;
mod start;

pub use start::run_side;
