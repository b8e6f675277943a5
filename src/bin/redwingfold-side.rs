//! The side daemon, which runs on the host of the backend servers.

use redwingfold::settings::SideSettings;
use redwingfold::{daemon_main, run_side};

fn main() -> eyre::Result<()> {
    daemon_main(SideSettings::example(), |settings| &settings.tls, run_side)
}
