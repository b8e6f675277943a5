//! Entry point of the daemons: command line, and validation of the settings.

use std::path::PathBuf;

use clap::Parser;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol::channel::Receiver;

use crate::settings::{TlsSettings, read};
use crate::stop::stop_on_signal;
use crate::tls::load_tls_configs;

/// A daemon's command line.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// Settings file (JSON).
    #[arg(long, short, required_unless_present = "example")]
    settings: Option<PathBuf>,
    /// Validate the settings and the certificates, then exit.
    #[arg(long)]
    check: bool,
    /// Print example settings with every key set, then exit.
    #[arg(long)]
    example: bool,
}

/// Parses the command line and runs a daemon until SIGTERM or SIGINT.
///
/// # Errors
///
/// If the settings or certificates are invalid, or the daemon fails to start.
pub fn daemon_main<S, Fut>(
    example: S,
    tls: impl Fn(&S) -> &TlsSettings,
    run: impl FnOnce(S, Receiver<()>) -> Fut,
) -> eyre::Result<()>
where
    S: DeserializeOwned + Serialize,
    Fut: Future<Output = eyre::Result<()>>,
{
    let args = Args::parse();
    let Some(path) = args.settings.filter(|_| !args.example) else {
        println!("{}", serde_json::to_string_pretty(&example)?);
        return Ok(());
    };
    let settings = read(&path, &example)?;
    if args.check {
        load_tls_configs(tls(&settings))?;
        println!("{}: ok", path.display());
        return Ok(());
    }
    smol::block_on(run(settings, stop_on_signal()?))
}
