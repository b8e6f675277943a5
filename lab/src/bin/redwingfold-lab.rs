//! The quickstart and the experiments.

use std::process::ExitCode;

use clap::Parser;
use redwingfold_lab::{LabArgs, run};

fn main() -> ExitCode {
    match run(LabArgs::parse()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(2),
        Err(e) => {
            eprintln!("error: {e:#}");
            ExitCode::FAILURE
        }
    }
}
