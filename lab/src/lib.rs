//! The quickstart and the experiments. Each starts a fleet of real processes on loopback.

mod args;
mod detect;
mod exposure;
mod harvest;
mod latency;
mod objects;
mod outage;
mod overhead;
mod plot;
mod quickstart;
mod report;
mod scale;
mod scale_report;
mod testbed;
mod trial;

pub use args::{LabArgs, run};
