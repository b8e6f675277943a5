//! Command line of the load generator.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::{Parser, Subcommand};
use eyre::Context;
use redwingfold_http::Client;
use serde_json::json;

use super::driver::{Load, Pace, RequestShape, run_load, send_request};
use super::summary::Summary;

/// Load generator of redwingfold.
#[derive(Debug, Parser)]
#[command(name = "redwingfold-load", version)]
pub struct LoadArgs {
    /// Command to run.
    #[command(subcommand)]
    pub command: LoadCommand,
}

/// Commands of the load generator.
#[derive(Debug, Subcommand)]
pub enum LoadCommand {
    /// Generate load and print a summary of the responses as JSON.
    Run {
        /// Shape of the requests.
        #[command(flatten)]
        request: RequestArgs,
        /// Number of concurrent callers; each sends its next request when its last one has ended.
        #[arg(long, default_value_t = 1)]
        callers: usize,
        /// Requests per second at random times, instead of callers (open loop).
        #[arg(long)]
        rate: Option<f64>,
        /// Duration of the load in seconds.
        #[arg(long, default_value_t = 10.0)]
        seconds: f64,
        /// Seed of the random times and of the request numbers.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Send one request and print its result as JSON.
    Send {
        /// Shape of the request.
        #[command(flatten)]
        request: RequestArgs,
    },
}

/// Shape of the requests.
#[derive(Clone, Debug, clap::Args)]
pub struct RequestArgs {
    /// Address of an entry, or of an engine.
    #[arg(long)]
    pub to: SocketAddr,
    /// File that contains the customer's key.
    #[arg(long)]
    pub key_file: Option<PathBuf>,
    /// Name of a model, version or cascade.
    #[arg(long)]
    pub model: String,
    /// Length of the prompt in characters.
    #[arg(long, default_value_t = 200)]
    pub prompt_chars: usize,
    /// Number of distinct prompt prefixes.
    #[arg(long, default_value_t = 16)]
    pub prefixes: usize,
    /// Maximum number of tokens of a response.
    #[arg(long, default_value_t = 32)]
    pub tokens: u64,
    /// Request streamed responses.
    #[arg(long)]
    pub stream: bool,
    /// Session of the requests.
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

/// Runs a command. Returns whether every response was complete.
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
