//! The command line.

use std::path::PathBuf;

use clap::{Parser, Subcommand};

use crate::{detect, exposure, harvest, latency, outage, overhead, quickstart, scale};

/// The quickstart and the experiments.
#[derive(Debug, Parser)]
#[command(name = "redwingfold-lab", version)]
pub struct LabArgs {
    /// What to do.
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Acting at the first missed heartbeat, against waiting for three.
    Detect {
        /// Seconds of each count of false alarms.
        #[arg(long, default_value_t = 20.0)]
        seconds: f64,
        /// Rounds of silence.
        #[arg(long, default_value_t = 3)]
        rounds: usize,
        /// Folder for the results.
        #[arg(long, default_value = "results")]
        out: PathBuf,
    },
    /// Bad answers that a bad new version gives, by policy.
    Exposure {
        /// Seconds of each of the loads.
        #[arg(long, default_value_t = 3.0)]
        seconds: f64,
        /// Seeds, each a run of its own.
        #[arg(long, default_value_t = 5)]
        seeds: u64,
        /// Folder for the results.
        #[arg(long, default_value = "results")]
        out: PathBuf,
    },
    /// Two of ten customers send five times what the engines can do.
    Harvest {
        /// Seconds of each of the loads.
        #[arg(long, default_value_t = 10.0)]
        seconds: f64,
        /// Seeds, each a run of its own.
        #[arg(long, default_value_t = 5)]
        seeds: u64,
        /// Folder for the results.
        #[arg(long, default_value = "results")]
        out: PathBuf,
    },
    /// Time to the first token, by the way in which an engine is chosen.
    Latency {
        /// Seconds of each of the loads.
        #[arg(long, default_value_t = 8.0)]
        seconds: f64,
        /// Seeds, each a run of its own.
        #[arg(long, default_value_t = 5)]
        seeds: u64,
        /// Folder for the results.
        #[arg(long, default_value = "results")]
        out: PathBuf,
    },
    /// A log outage under load: what waits, and what is lost.
    Outage {
        /// Seconds of each of the loads.
        #[arg(long, default_value_t = 60.0)]
        seconds: f64,
        /// Folder for the results.
        #[arg(long, default_value = "results")]
        out: PathBuf,
    },
    /// Time that the router adds to a direct call of an engine, and what a core carries.
    Overhead {
        /// Seconds of each of the loads.
        #[arg(long, default_value_t = 5.0)]
        seconds: f64,
        /// Folder for the results.
        #[arg(long, default_value = "results")]
        out: PathBuf,
    },
    /// Control cost and propagation at several sizes, for docs/CAPACITY.md.
    Scale {
        /// Numbers of daemons.
        #[arg(long, value_delimiter = ',', default_value = "10,25,50,100,200")]
        sizes: Vec<usize>,
        /// Seconds of each measurement.
        #[arg(long, default_value_t = 15.0)]
        seconds: f64,
        /// Folder for the results.
        #[arg(long, default_value = "results")]
        out: PathBuf,
    },
    /// Start everything, send one whole and one streamed request, and stay up.
    Quickstart {
        /// Stop after the two answers.
        #[arg(long)]
        once: bool,
        /// Folder with the example configurations.
        #[arg(long, default_value = "examples")]
        examples: PathBuf,
    },
}

/// Runs a command; says whether it went as it should.
///
/// # Errors
///
/// What could not be started or written.
pub fn run(args: LabArgs) -> eyre::Result<bool> {
    match args.command {
        Command::Detect { seconds, rounds, out } => detect::detect(seconds, rounds, &out),
        Command::Exposure { seconds, seeds, out } => exposure::exposure(seconds, seeds, &out),
        Command::Harvest { seconds, seeds, out } => harvest::harvest(seconds, seeds, &out),
        Command::Latency { seconds, seeds, out } => latency::latency(seconds, seeds, &out),
        Command::Outage { seconds, out } => outage::outage(seconds, &out),
        Command::Overhead { seconds, out } => overhead::overhead(seconds, &out),
        Command::Scale { sizes, seconds, out } => scale::scale(&sizes, seconds, &out),
        Command::Quickstart { once, examples } => quickstart::quickstart(once, &examples),
    }
}
