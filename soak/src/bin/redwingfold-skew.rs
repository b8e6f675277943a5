//! Sends most new connections to one gateway and prints how many requests were served at their first read.

use std::path::PathBuf;
use std::time::Duration;

use clap::Parser;
use redwingfold_soak::{PhaseResult, SkewSettings, run_skew};

/// Sends most new connections to one gateway, while each gateway has a small share of a core.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// Seed of the choice of gateways.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of gateways.
    #[arg(long, default_value_t = 6)]
    gateways: usize,
    /// Share of a core that each gateway has.
    #[arg(long, default_value_t = 0.06)]
    core_share: f64,
    /// Requests per second while the connections are spread evenly.
    #[arg(long, default_value_t = 200.0)]
    even_rate: f64,
    /// Requests per second while most connections go to one gateway.
    #[arg(long, default_value_t = 400.0)]
    skewed_rate: f64,
    /// Share of the connections that go to that gateway.
    #[arg(long, default_value_t = 0.85)]
    skewed_share: f64,
    /// Seconds of the measured part of the skew.
    #[arg(long, default_value_t = 8)]
    seconds: u64,
    /// Seconds after which the connections go to a second gateway instead.
    #[arg(long)]
    moves_after: Option<u64>,
    /// Kept connections to the first gateway.
    #[arg(long, default_value_t = 0)]
    kept: usize,
    /// Callers of long streams at the first gateway.
    #[arg(long, default_value_t = 0)]
    streams: usize,
    /// Milliseconds that a backend server takes for a request.
    #[arg(long, default_value_t = 20)]
    call_ms: u64,
    /// Send streams rather than calls.
    #[arg(long)]
    sends_streams: bool,
    /// Let the servers report no load.
    #[arg(long)]
    no_load_reports: bool,
    /// Whether servers with little capacity are expected (contract `pressure`).
    #[arg(long)]
    pressure: bool,
    /// File for the log lines of the gateways.
    #[arg(long)]
    log: Option<PathBuf>,
    /// Print the metrics of the first gateway that contain this text.
    #[arg(long)]
    metrics: Option<String>,
    /// Path of the gateway binary; by default redwingfold-platform in the directory of this binary.
    #[arg(long)]
    program: Option<PathBuf>,
}

fn main() -> eyre::Result<()> {
    let args = Args::parse();
    let default_program = std::env::current_exe()?.with_file_name("redwingfold-platform");
    let outcome = run_skew(&SkewSettings {
        program: args.program.unwrap_or(default_program),
        seed: args.seed,
        gateways: args.gateways,
        core_share: args.core_share,
        even_rate: args.even_rate,
        skewed_rate: args.skewed_rate,
        skewed_share: args.skewed_share,
        even: Duration::from_secs(4),
        settling: Duration::from_secs(3),
        skewed: Duration::from_secs(args.seconds),
        moves_after: args.moves_after.map(Duration::from_secs),
        kept_connections: args.kept,
        streams: args.streams,
        call_duration: Duration::from_millis(args.call_ms),
        sends_streams: args.sends_streams,
        reports_load: !args.no_load_reports,
        contracts: if args.pressure { vec!["base", "pressure"] } else { vec!["base"] },
    });
    print_phase("before", &outcome.before);
    print_phase("settling", &outcome.settling);
    print_phase("during", &outcome.during);
    print_phase("ending", &outcome.ending);
    print_phase("after", &outcome.after);
    println!(
        "kept {}/{} streams {}/{} processor {:.3}",
        outcome.kept.0,
        outcome.kept.1,
        outcome.streams.0,
        outcome.streams.1,
        outcome.processor_share
    );
    if let Some(part) = args.metrics {
        outcome.metrics.lines().filter(|l| l.contains(&part)).for_each(|l| println!("{l}"));
    }
    if let Some(path) = args.log {
        std::fs::write(path, outcome.lines.join("\n"))?;
    }
    Ok(())
}

fn print_phase(name: &str, phase: &PhaseResult) {
    println!(
        "{name:8} requests={} first_reads_served={:.3} unconnected={} closed_unread={} p50_ms={} p99_ms={} {:?}",
        phase.requests(),
        phase.served_share(),
        phase.unconnected,
        phase.closed_unread,
        phase.quantile(0.5).as_millis(),
        phase.quantile(0.99).as_millis(),
        phase.first_reads
    );
}
