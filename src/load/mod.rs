//! Load generator: sends requests to an entry, or directly to an engine for comparison, and
//! measures the responses.

mod args;
mod driver;
mod proc_usage;
mod summary;

pub use args::{LoadArgs, LoadCommand, run};
pub use driver::{Load, Pace, RequestShape, Sample, run_load, send_request};
pub use proc_usage::{ProcUsage, proc_usage};
pub use summary::{Quantiles, Summary};
