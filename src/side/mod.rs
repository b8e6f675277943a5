//! The side: the last word before a backend server.

mod backend;
mod context;
mod load_reports;
mod orders;
mod requests;
mod run;
mod start;

pub use start::run_side;
