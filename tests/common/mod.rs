//! Helpers shared by the tests that run a whole fleet.

#![allow(dead_code, reason = "each test program uses only some of the helpers")]

pub mod checks;
pub mod traffic;

use std::path::Path;

use redwingfold_standins::EngineSettings;
use redwingfold_standins::fleet::{FleetBuilder, Objects, key_of};
use sha2::{Digest, Sha256};

/// Returns a builder of a fleet that runs the binaries under test.
pub fn builder() -> FleetBuilder {
    let entry = Path::new(env!("CARGO_BIN_EXE_redwingfold-entry"));
    FleetBuilder::new(entry.parent().expect("folder of the binaries"))
}

/// Returns the SHA-256 hash of a test customer's API key, in hexadecimal.
pub fn sha256_of(customer: &str) -> String {
    Sha256::digest(key_of(customer).as_bytes()).iter().map(|b| format!("{b:02x}")).collect()
}

/// Returns the settings of an engine with 16 slots and these versions loaded.
pub fn engine(versions: &[&str]) -> EngineSettings {
    let versions = versions.iter().map(|v| (*v).to_owned()).collect();
    EngineSettings { versions, slots: 16, ..EngineSettings::default() }
}

/// Returns the configuration of most tests: two customers, two versions of one model, and a plain
/// HTTP service.
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
