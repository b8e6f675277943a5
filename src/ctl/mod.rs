//! `redwingfold-ctl`, the command-line tool for operators.

mod args;
mod audit;
mod bills;
mod check;
mod context;
mod explain;
mod objects;
mod publish;
mod show;
mod status;
mod table;

pub use args::{Args, Command};

use clap::CommandFactory;
use context::Ctl;

/// Outcome of a command, with its exit code.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// Success.
    Ok = 0,
    /// The change was rejected: it is not valid, or another operator has changed the same object.
    Rejected = 3,
    /// A service or daemon is unreachable, so the outcome is unknown.
    Unknown = 4,
    /// The check found problems, or no entry has a decision for the request.
    Found = 5,
}

/// Runs a command.
///
/// # Errors
///
/// If the settings or other files cannot be read. The message names the file and the reason.
pub async fn run(args: Args) -> eyre::Result<Exit> {
    match &args.command {
        Command::Completions { shell } => {
            let mut command = Args::command();
            let name = command.get_name().to_owned();
            clap_complete::generate(*shell, &mut command, name, &mut std::io::stdout());
            return Ok(Exit::Ok);
        }
        Command::Keys { out, names } => {
            for path in crate::issue_certificates(out, names)? {
                println!("{}", path.display());
            }
            return Ok(Exit::Ok);
        }
        Command::Hash { key } => {
            println!("{}", objects::key_sha256(key));
            return Ok(Exit::Ok);
        }
        Command::Check { files, offline: true, explain } => {
            return check::check_files(None, files, *explain, args.json).await;
        }
        _ => {}
    }
    let ctl = Ctl::open(&args)?;
    match &args.command {
        Command::Audit { limit } => audit::audit(&ctl, *limit).await,
        Command::Bills => bills::bills(&ctl).await,
        Command::Check { files, explain, .. } => {
            check::check_files(Some(&ctl), files, *explain, args.json).await
        }
        Command::Completions { .. } | Command::Hash { .. } | Command::Keys { .. } => Ok(Exit::Ok),
        Command::Diff { files } => publish::diff(&ctl, files).await,
        Command::Explain { request } => explain::explain(&ctl, *request).await,
        Command::Publish(publish) => publish::publish(&ctl, publish).await,
        Command::Show { selector } => show::show(&ctl, selector.as_deref()).await,
        Command::Status => status::status(&ctl).await,
        Command::Withdraw(withdraw) => publish::withdraw(&ctl, withdraw).await,
    }
}
