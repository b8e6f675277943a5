//! The entry daemon, which receives requests from callers.

use redwingfold::settings::EntrySettings;
use redwingfold::{daemon_main, run_entry};

fn main() -> eyre::Result<()> {
    daemon_main(EntrySettings::example(), |settings| &settings.tls, run_entry)
}
