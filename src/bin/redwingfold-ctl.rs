//! Command-line tool for operators.

use std::process::ExitCode;

use clap::Parser;
use redwingfold::ctl::{Args, run};

fn main() -> ExitCode {
    match smol::block_on(run(Args::parse())) {
        Ok(exit) => ExitCode::from(exit as u8),
        Err(e) => {
            eprintln!("error: {e:#}");
            ExitCode::FAILURE
        }
    }
}
