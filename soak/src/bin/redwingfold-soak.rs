//! Runs seeds of the soak test and prints the guarantees that each seed violated.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use clap::Parser;
use redwingfold_soak::{Settings, run_seed};

/// Injects random faults into gateways that run as processes.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// First seed to run; random by default.
    #[arg(long)]
    seed: Option<u64>,
    /// Number of consecutive seeds to run.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Run consecutive seeds for this many minutes, regardless of `--seeds`.
    #[arg(long)]
    minutes: Option<u64>,
    /// Seconds for which faults are injected in each run.
    #[arg(long, default_value_t = 12)]
    seconds: u64,
    /// Number of gateways.
    #[arg(long, default_value_t = 3)]
    gateways: usize,
    /// Number of engines of each of the two services.
    #[arg(long, default_value_t = 4)]
    engines: usize,
    /// Number of concurrent callers.
    #[arg(long, default_value_t = 12)]
    callers: usize,
    /// Number of unused routes of 200 bytes that enlarge the configuration; if any, connections to the store are slow.
    #[arg(long, default_value_t = 0)]
    idle_routes: usize,
    /// Send a request that crashes each engine that runs it.
    #[arg(long)]
    deadly: bool,
    /// Restore the store from older copies.
    #[arg(long)]
    restores: bool,
    /// Evacuate a failure domain and return it, and start cold engines.
    #[arg(long)]
    domains: bool,
    /// Let engines report limits, announce that they are leaving, or refuse requests with Retry-After.
    #[arg(long)]
    reports: bool,
    /// Let crowds of callers misbehave beside the others, at gateways with lowered limits.
    #[arg(long)]
    crowds: bool,
    /// Directory for the logs of seeds that violated a guarantee.
    #[arg(long, default_value = "results")]
    logs: PathBuf,
    /// Path of the gateway binary; by default redwingfold-platform in the directory of this binary.
    #[arg(long)]
    program: Option<PathBuf>,
}

fn main() -> eyre::Result<()> {
    let args = Args::parse();
    let default_program = std::env::current_exe()?.with_file_name("redwingfold-platform");
    let program = args.program.clone().unwrap_or(default_program);
    let first_seed = args.seed.unwrap_or_else(|| fastrand::u64(..1_000_000));
    let deadline = args.minutes.map(|m| Instant::now() + Duration::from_secs(m * 60));
    let mut failed = 0;
    for n in 0.. {
        let is_over = deadline.map_or(n >= args.seeds, |deadline| Instant::now() >= deadline);
        if is_over {
            break;
        }
        let settings = Settings {
            program: program.clone(),
            seed: first_seed + n,
            duration: Duration::from_secs(args.seconds),
            gateways: args.gateways,
            engines: args.engines,
            callers: args.callers,
            idle_routes: args.idle_routes,
            deadly: args.deadly,
            restores: args.restores,
            domains: args.domains,
            reports: args.reports,
            crowds: args.crowds,
        };
        let outcome = run_seed(&settings);
        println!(
            "seed={} requests={} served={} quarantined={} faults={} broken={}",
            settings.seed,
            outcome.requests,
            outcome.served,
            outcome.quarantined,
            outcome.faults.len(),
            outcome.broken.len()
        );
        if !outcome.broken.is_empty() {
            failed += 1;
            println!("  faults: {}", outcome.faults.join(", "));
            outcome.broken.iter().take(10).for_each(|violation| println!("  {violation}"));
            std::fs::create_dir_all(&args.logs)?;
            let path = args.logs.join(format!("soak-{}.log", settings.seed));
            std::fs::write(&path, outcome.lines.join("\n"))?;
            println!("  logs: {}", path.display());
        }
    }
    eyre::ensure!(failed == 0, "{failed} seeds broke a promise");
    Ok(())
}
