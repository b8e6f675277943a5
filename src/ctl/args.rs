//! The command line.

use std::path::PathBuf;

use clap::{Parser, Subcommand};
use redwingfold_core::{ObjectKey, Offset, RequestId, VersionName};

/// The operator's tool of redwingfold.
#[derive(Debug, Parser)]
#[command(name = "redwingfold-ctl", version)]
pub struct Args {
    /// Settings file, JSON.
    #[arg(long, short, global = true, default_value = "redwingfold-ctl.json")]
    pub settings: PathBuf,
    /// Print JSON instead of tables.
    #[arg(long, global = true)]
    pub json: bool,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// The commands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// List changes: who, when, why, and what became of them.
    Audit {
        /// Changes to list, the newest.
        #[arg(long, default_value_t = 50)]
        limit: usize,
    },
    /// Add up the billing records by customer and version.
    Bills,
    /// Check objects in files against what is in force.
    Check {
        /// Files or folders of JSON objects.
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Show what each selector matches.
        #[arg(long)]
        explain: bool,
        /// Check the files by themselves, without the log service.
        #[arg(long)]
        offline: bool,
    },
    /// Print completions for a shell.
    Completions {
        /// The shell.
        shell: clap_complete::Shell,
    },
    /// Show what publishing files would change.
    Diff {
        /// Files or folders of JSON objects.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Show what was decided about a request, and from what.
    Explain {
        /// The request's id, as its answer carried it.
        request: RequestId,
    },
    /// Print the SHA-256 of a customer's key, as it goes into the configuration.
    Hash {
        /// The key.
        key: String,
    },
    /// Make the fleet's authority, and a certificate for each name.
    Keys {
        /// Folder for the files.
        #[arg(long)]
        out: PathBuf,
        /// Names of hosts and of operators' desks.
        #[arg(required = true)]
        names: Vec<String>,
    },
    /// Publish the objects of files.
    Publish(Publish),
    /// Show the objects in force.
    Show {
        /// Kind, or kind/name.
        selector: Option<String>,
    },
    /// Show what each daemon has in force, and what is loaded where.
    Status,
    /// Take a version out of service, now.
    Withdraw(Withdraw),
}

/// Publish the objects of files.
#[derive(Clone, Debug, clap::Args)]
pub struct Publish {
    /// Files or folders of JSON objects.
    pub files: Vec<PathBuf>,
    /// Who publishes.
    #[arg(long, env = "USER", default_value = "unknown")]
    pub author: String,
    /// Why.
    #[arg(long, short)]
    pub reason: String,
    /// Offset that you have looked at: the change is refused if its objects have moved since.
    #[arg(long)]
    pub at: Option<Offset>,
    /// Objects to remove, as kind/name.
    #[arg(long)]
    pub delete: Vec<ObjectKey>,
    /// Publish although a selector matches nothing.
    #[arg(long)]
    pub allow_empty: bool,
}

/// Take a version out of service.
#[derive(Clone, Debug, clap::Args)]
pub struct Withdraw {
    /// The version.
    pub version: VersionName,
    /// Who withdraws it.
    #[arg(long, env = "USER", default_value = "unknown")]
    pub author: String,
    /// Why.
    #[arg(long, short)]
    pub reason: String,
    /// Cut its streams under way; without this they run to their end.
    #[arg(long)]
    pub cut: bool,
}
