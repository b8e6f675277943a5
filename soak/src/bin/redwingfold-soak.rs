//! Plays seeds of the soak, and says which broke a promise.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use clap::Parser;
use redwingfold_soak::{Settings, run_seed};

/// Plays random faults against gateways that run as processes.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// Play this seed, and as many as `--seeds` says from there on.
    #[arg(long)]
    seed: Option<u64>,
    /// Seeds to play.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Play fresh seeds for so many minutes instead.
    #[arg(long)]
    minutes: Option<u64>,
    /// Seconds of faults in each play.
    #[arg(long, default_value_t = 12)]
    seconds: u64,
    /// Gateways.
    #[arg(long, default_value_t = 3)]
    gateways: usize,
    /// Engines of each of the two services.
    #[arg(long, default_value_t = 4)]
    engines: usize,
    /// Callers at a time.
    #[arg(long, default_value_t = 12)]
    callers: usize,
    /// Routes that make the configuration large, and the way to the store slow; each takes 200 bytes.
    #[arg(long, default_value_t = 0)]
    idle_routes: usize,
    /// A request comes under which each engine ends that runs it.
    #[arg(long)]
    deadly: bool,
    /// The store comes back from older copies.
    #[arg(long)]
    restores: bool,
    /// A failure domain is emptied and returned, and engines are cold.
    #[arg(long)]
    domains: bool,
    /// Engines report limits, announce that they are leaving, or refuse requests with Retry-After.
    #[arg(long)]
    reports: bool,
    /// Folder for the logs of seeds that broke a promise.
    #[arg(long, default_value = "results")]
    logs: PathBuf,
    /// The gateway's program; by default the one beside this one.
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
