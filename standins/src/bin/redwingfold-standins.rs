//! Runs one test double until it is killed, and prints its address.

use std::net::SocketAddr;
use std::time::Duration;

use clap::{Parser, Subcommand};
use redwingfold_standins::{
    Engine, EngineSettings, HostList, LogService, Rating, Service, WeightStore,
};

#[derive(Debug, Parser)]
#[command(about = "Test doubles of the platform's services, for tests and trials")]
struct Args {
    /// Address to listen on; port 0 selects a free port.
    #[arg(long, global = true, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Seed of the random number generator.
    #[arg(long, global = true, default_value_t = 1)]
    seed: u64,
    #[command(subcommand)]
    standin: Standin,
}

#[derive(Debug, Subcommand)]
enum Standin {
    /// A model engine.
    Engine {
        /// Model versions that are loaded.
        #[arg(long, value_delimiter = ',')]
        versions: Vec<String>,
        /// Maximum number of requests that run at once.
        #[arg(long, default_value_t = 8)]
        slots: usize,
        /// Prefill time of 1,000 characters of an uncached prompt, in milliseconds.
        #[arg(long, default_value_t = 2)]
        prefill_ms: u64,
        /// Time per token, in milliseconds.
        #[arg(long, default_value_t = 1)]
        token_ms: u64,
        /// Accept orders with an old fencing number.
        #[arg(long)]
        ignore_fencing: bool,
    },
    /// The host list.
    Hosts,
    /// The log service.
    Log,
    /// The rating service.
    Rating,
    /// A plain service.
    Service,
    /// The weight store.
    Weights,
}

fn main() -> eyre::Result<()> {
    let args = Args::parse();
    let addr = match args.standin {
        Standin::Engine { versions, slots, prefill_ms, token_ms, ignore_fencing } => {
            let settings = EngineSettings {
                versions,
                slots,
                prefill_ms,
                token_ms,
                fencing: !ignore_fencing,
                seed: args.seed,
                ..EngineSettings::default()
            };
            leak(Engine::start(args.listen, settings)?, |e| e.addr)
        }
        Standin::Hosts => leak(HostList::start(args.listen)?, |s| s.addr),
        Standin::Log => leak(LogService::start(args.listen, args.seed)?, |s| s.addr),
        Standin::Rating => leak(Rating::start(args.listen)?, |s| s.addr),
        Standin::Service => leak(Service::start(args.listen)?, |s| s.addr),
        Standin::Weights => leak(WeightStore::start(args.listen)?, |s| s.addr),
    };
    println!("{addr}");
    smol::block_on(async {
        loop {
            smol::Timer::after(Duration::from_secs(3600)).await;
        }
    })
}

/// Leaks a test double, which keeps it running until the process ends, and returns its address.
fn leak<T>(standin: T, addr: impl FnOnce(&T) -> SocketAddr) -> SocketAddr {
    let addr = addr(&standin);
    std::mem::forget(standin);
    addr
}
