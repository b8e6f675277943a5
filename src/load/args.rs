//! The load tool's command line.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::{Parser, Subcommand};
use eyre::Context;
use redwingfold_http::Client;
use serde_json::json;

use super::driver::{Load, Pace, RequestShape, run_load, send_request};
use super::summary::Summary;

/// The load tool of redwingfold.
#[derive(Debug, Parser)]
#[command(name = "redwingfold-load", version)]
pub struct LoadArgs {
    /// What to do.
    #[command(subcommand)]
    pub command: LoadCommand,
}

/// The commands.
#[derive(Debug, Subcommand)]
pub enum LoadCommand {
    /// Send a load and print what became of it, as JSON.
    Run {
        /// What requests look like.
        #[command(flatten)]
        request: RequestArgs,
        /// Callers, each sending its next request when the last has ended.
        #[arg(long, default_value_t = 1)]
        callers: usize,
        /// Requests a second at random times, in place of callers.
        #[arg(long)]
        rate: Option<f64>,
        /// Seconds.
        #[arg(long, default_value_t = 10.0)]
        seconds: f64,
        /// Seed of the times.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Send one request and print the answer.
    Send {
        /// What the request looks like.
        #[command(flatten)]
        request: RequestArgs,
    },
}

/// What requests look like.
#[derive(Clone, Debug, clap::Args)]
pub struct RequestArgs {
    /// Address of an entry.
    #[arg(long)]
    pub to: SocketAddr,
    /// File with the customer's key.
    #[arg(long)]
    pub key_file: Option<PathBuf>,
    /// Model, version or cascade.
    #[arg(long)]
    pub model: String,
    /// Characters of the prompt.
    #[arg(long, default_value_t = 200)]
    pub prompt_chars: usize,
    /// Different beginnings of prompts.
    #[arg(long, default_value_t = 16)]
    pub prefixes: usize,
    /// Tokens of an answer.
    #[arg(long, default_value_t = 32)]
    pub tokens: u64,
    /// Stream the answers.
    #[arg(long)]
    pub stream: bool,
    /// Session of all requests.
    #[arg(long)]
    pub session: Option<String>,
}

impl RequestArgs {
    fn shape(&self) -> eyre::Result<RequestShape> {
        let key = match &self.key_file {
            Some(path) => {
                let text = std::fs::read_to_string(path);
                Some(text.wrap_err_with(|| path.display().to_string())?.trim().to_owned())
            }
            None => None,
        };
        let session = self.session.iter().map(|s| ("x-session-id".to_owned(), s.clone()));
        Ok(RequestShape {
            model: self.model.clone(),
            key,
            prompt_chars: self.prompt_chars,
            prefixes: self.prefixes,
            tokens: self.tokens,
            stream: self.stream,
            headers: session.collect(),
        })
    }
}

/// Runs a command; says whether every answer came whole.
///
/// # Errors
///
/// If a file cannot be read.
pub async fn run(args: LoadArgs) -> eyre::Result<bool> {
    match args.command {
        LoadCommand::Run { request, callers, rate, seconds, seed } => {
            let load = Load {
                addr: request.to,
                shape: request.shape()?,
                pace: rate.map_or(Pace::Callers(callers), Pace::Rate),
                duration: Duration::from_secs_f64(seconds),
                seed,
            };
            let summary = Summary::of(&run_load(&load).await);
            println!("{}", serde_json::to_string_pretty(&summary)?);
            Ok(summary.whole == summary.requests)
        }
        LoadCommand::Send { request } => {
            let shape = request.shape()?;
            let sample = send_request(&Client::default(), request.to, &shape, 1).await;
            println!(
                "{}",
                serde_json::to_string_pretty(&json!({
                    "status": sample.status,
                    "version": sample.version,
                    "tokens": sample.tokens,
                    "whole": sample.is_complete,
                    "first_ms": sample.time_to_first_byte.as_secs_f64() * 1000.0,
                    "took_ms": sample.total_time.as_secs_f64() * 1000.0,
                }))?
            );
            Ok(sample.is_complete)
        }
    }
}
