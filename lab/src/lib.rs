//! Starts fleets of real processes on loopback: the quickstart and the experiments.

mod args;
mod overhead;
mod quickstart;
mod report;
mod world;

pub use args::{LabArgs, run};
