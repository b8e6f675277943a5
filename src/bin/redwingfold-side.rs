//! The side daemon.

use std::path::PathBuf;

use clap::Parser;
use redwingfold::settings::{SideSettings, read};
use redwingfold::{run_side, stop_on_signal, tls_ends};

#[derive(Debug, Parser)]
#[command(version, about = "The redwingfold side daemon")]
struct Args {
    /// Settings file, JSON.
    #[arg(long, short)]
    settings: PathBuf,
    /// Check the settings and the certificates, and exit.
    #[arg(long)]
    check: bool,
    /// Print settings with every key set, and exit.
    #[arg(long)]
    example: bool,
}

fn main() -> eyre::Result<()> {
    if std::env::args().any(|arg| arg == "--example") {
        println!("{}", serde_json::to_string_pretty(&SideSettings::example())?);
        return Ok(());
    }
    let args = Args::parse();
    let settings = read(&args.settings, &SideSettings::example())?;
    if args.check {
        tls_ends(&settings.tls)?;
        println!("{}: ok", args.settings.display());
        return Ok(());
    }
    let stop = stop_on_signal()?;
    smol::block_on(run_side(settings, stop))
}
