//! Command line arguments.

use std::path::PathBuf;

use clap::{Parser, Subcommand};

use crate::{detect, exposure, harvest, latency, outage, overhead, quickstart, scale};

/// The quickstart and the experiments.
#[derive(Debug, Parser)]
#[command(name = "redwingfold-lab", version)]
pub struct LabArgs {
    /// Command to run.
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Compare suspecting a host at the first missed heartbeat with waiting for three.
    Detect {
        /// Seconds for which false alarms are counted at each processor load.
        #[arg(long, default_value_t = 20.0)]
        seconds: f64,
        /// Number of times that one host is silenced.
        #[arg(long, default_value_t = 3)]
        rounds: usize,
        /// Directory for the results.
        #[arg(long, default_value = "results")]
        out: PathBuf,
    },
    /// Count the bad answers of a faulty new version, by rollout policy.
    Exposure {
        /// Seconds of each load.
        #[arg(long, default_value_t = 3.0)]
        seconds: f64,
        /// Number of seeds. Each seed is a separate run.
        #[arg(long, default_value_t = 5)]
        seeds: u64,
        /// Directory for the results.
        #[arg(long, default_value = "results")]
        out: PathBuf,
    },
    /// Measure fairness while two of ten customers send five times the capacity of the engines.
    Harvest {
        /// Seconds of each load.
        #[arg(long, default_value_t = 10.0)]
        seconds: f64,
        /// Number of seeds. Each seed is a separate run.
        #[arg(long, default_value_t = 5)]
        seeds: u64,
        /// Directory for the results.
        #[arg(long, default_value = "results")]
        out: PathBuf,
    },
    /// Measure the time to the first token, by load balancing policy.
    Latency {
        /// Seconds of each load.
        #[arg(long, default_value_t = 8.0)]
        seconds: f64,
        /// Number of seeds. Each seed is a separate run.
        #[arg(long, default_value_t = 5)]
        seeds: u64,
        /// Directory for the results.
        #[arg(long, default_value = "results")]
        out: PathBuf,
    },
    /// Check that a log outage under load loses and duplicates no bills.
    Outage {
        /// Seconds of each load.
        #[arg(long, default_value_t = 60.0)]
        seconds: f64,
        /// Directory for the results.
        #[arg(long, default_value = "results")]
        out: PathBuf,
    },
    /// Measure the latency that the router adds to a direct engine call, and the throughput per
    /// core.
    Overhead {
        /// Seconds of each load.
        #[arg(long, default_value_t = 5.0)]
        seconds: f64,
        /// Directory for the results.
        #[arg(long, default_value = "results")]
        out: PathBuf,
    },
    /// Measure control plane cost and propagation at several fleet sizes, for docs/CAPACITY.md.
    Scale {
        /// Fleet sizes, in daemons.
        #[arg(long, value_delimiter = ',', default_value = "10,25,50,100,200")]
        sizes: Vec<usize>,
        /// Seconds of each measurement.
        #[arg(long, default_value_t = 15.0)]
        seconds: f64,
        /// Directory for the results.
        #[arg(long, default_value = "results")]
        out: PathBuf,
    },
    /// Start a fleet, send one plain and one streamed request, and keep running.
    Quickstart {
        /// Stop after the two responses.
        #[arg(long)]
        once: bool,
        /// Directory with the example configurations.
        #[arg(long, default_value = "examples")]
        examples: PathBuf,
    },
}

/// Runs a command. Returns whether its checks passed.
///
/// # Errors
///
/// Fails if a process cannot be started, a call fails or a result cannot be written.
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
