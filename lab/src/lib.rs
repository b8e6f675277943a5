//! Starts fleets of real processes on loopback: the quickstart and the experiments.

mod args;
mod detect;
mod objects;
mod overhead;
mod plot;
mod quickstart;
mod report;
mod scale;
mod world;

pub use args::{LabArgs, run};
