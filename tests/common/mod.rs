//! What the tests of whole fleets share.

#![allow(dead_code, reason = "each test file uses its part")]

pub mod checks;
pub mod traffic;

use std::path::Path;

use redwingfold_standins::EngineSettings;
use redwingfold_standins::fleet::{FleetBuilder, Objects, key_of};
use sha2::{Digest, Sha256};

/// Begins a fleet of the programs under test.
pub fn builder() -> FleetBuilder {
    let entry = Path::new(env!("CARGO_BIN_EXE_redwingfold-entry"));
    FleetBuilder::new(entry.parent().expect("folder of the programs"))
}

/// Returns the hash of a test customer's key.
pub fn sha256_of(customer: &str) -> String {
    Sha256::digest(key_of(customer).as_bytes()).iter().map(|b| format!("{b:02x}")).collect()
}

/// A fast engine with these versions.
pub fn engine(versions: &[&str]) -> EngineSettings {
    let versions = versions.iter().map(|v| (*v).to_owned()).collect();
    EngineSettings { versions, slots: 16, ..EngineSettings::default() }
}

/// Two customers, two versions of one model, and a plain service.
pub fn objects() -> Objects {
    Objects::default()
        .customer("ani", 1, &sha256_of("ani"))
        .customer("haus", 1, &sha256_of("haus"))
        .version("slip-1", "slip", 100, 900)
        .version("slip-2", "slip", 200, 950)
        .model("slip", "slip-1")
        .grant("all", "org in (ani|haus)", "model=slip")
        .service("coop", "/coop")
}
