//! Command line of `redwingfold-ctl`.

use std::path::PathBuf;

use clap::{Parser, Subcommand};
use redwingfold_core::{ObjectKey, Offset, RequestId, VersionName};

/// Command-line tool for operators of redwingfold.
#[derive(Debug, Parser)]
#[command(name = "redwingfold-ctl", version)]
pub struct Args {
    /// Settings file (JSON).
    #[arg(long, short, global = true, default_value = "redwingfold-ctl.json")]
    pub settings: PathBuf,
    /// Print JSON instead of tables.
    #[arg(long, global = true)]
    pub json: bool,
    /// Command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// Commands of `redwingfold-ctl`.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// List changes to the configuration: author, time, reason and verdict.
    Audit {
        /// Number of changes to list, newest last.
        #[arg(long, default_value_t = 50)]
        limit: usize,
    },
    /// Add up the billing records by customer and version.
    Bills,
    /// Validate the objects in files, together with the configuration in force.
    Check {
        /// JSON files with objects, or directories of such files.
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Show the objects that each selector matches.
        #[arg(long)]
        explain: bool,
        /// Validate the files on their own, without the log service.
        #[arg(long)]
        offline: bool,
    },
    /// Print shell completions.
    Completions {
        /// The shell.
        shell: clap_complete::Shell,
    },
    /// Show what publishing files would change.
    Diff {
        /// JSON files with objects, or directories of such files.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Show the routing decisions for a request, and their inputs.
    Explain {
        /// Request ID, as returned with the response.
        request: RequestId,
    },
    /// Print the SHA-256 hash of a customer's key, for use in the configuration.
    Hash {
        /// The key.
        key: String,
    },
    /// Issue a certificate for each name, and create the fleet's certificate authority if needed.
    Keys {
        /// Directory for the files.
        #[arg(long)]
        out: PathBuf,
        /// Names of hosts, and of operators' machines.
        #[arg(required = true)]
        names: Vec<String>,
    },
    /// Publish the objects in files.
    Publish(Publish),
    /// Show the objects in force.
    Show {
        /// Kind or kind/name of the objects; all objects by default.
        selector: Option<String>,
    },
    /// Show the configuration in force on each daemon, and the versions loaded on each backend
    /// server.
    Status,
    /// Withdraw a version from service immediately.
    Withdraw(Withdraw),
}

/// Publish the objects in files.
#[derive(Clone, Debug, clap::Args)]
pub struct Publish {
    /// JSON files with objects, or directories of such files.
    pub files: Vec<PathBuf>,
    /// Author of the change.
    #[arg(long, env = "USER", default_value = "unknown")]
    pub author: String,
    /// Reason for the change, for the audit log.
    #[arg(long, short)]
    pub reason: String,
    /// Offset of the configuration that the change is based on. The change is rejected if one of
    /// its objects has a newer revision.
    #[arg(long)]
    pub at: Option<Offset>,
    /// Objects to remove, as kind/name.
    #[arg(long)]
    pub delete: Vec<ObjectKey>,
    /// Publish even if a selector matches nothing.
    #[arg(long)]
    pub allow_empty: bool,
}

/// Withdraw a version from service.
#[derive(Clone, Debug, clap::Args)]
pub struct Withdraw {
    /// Version to withdraw.
    pub version: VersionName,
    /// Author of the withdrawal.
    #[arg(long, env = "USER", default_value = "unknown")]
    pub author: String,
    /// Reason for the withdrawal, for the audit log.
    #[arg(long, short)]
    pub reason: String,
    /// Cancel its streams in flight. By default, they run to their end.
    #[arg(long)]
    pub cut: bool,
}
