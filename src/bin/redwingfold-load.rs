//! The load generator.

use std::process::ExitCode;

use clap::Parser;
use redwingfold::load::{LoadArgs, run};

fn main() -> ExitCode {
    match smol::block_on(run(LoadArgs::parse())) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(2),
        Err(e) => {
            eprintln!("error: {e:#}");
            ExitCode::FAILURE
        }
    }
}
