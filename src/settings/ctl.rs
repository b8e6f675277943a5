//! Settings of the operator's tool.

use std::net::Ipv4Addr;

use serde::{Deserialize, Serialize};

use super::common::{HostListSettings, LogSettings, TlsSettings};

/// Settings of the operator's tool.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CtlSettings {
    /// The log service.
    pub log: LogSettings,
    /// The host list.
    pub host_list: HostListSettings,
    /// Files for mutual TLS.
    pub tls: TlsSettings,
}

impl CtlSettings {
    /// Returns settings with every key set. They serve as documentation, and as the list of known
    /// keys from which corrections of misspelt keys are suggested.
    pub fn example() -> Self {
        Self {
            log: LogSettings::at((Ipv4Addr::LOCALHOST, 7001).into()),
            host_list: HostListSettings::at((Ipv4Addr::LOCALHOST, 7002).into()),
            tls: TlsSettings {
                fleet: "keys/fleet.pem".into(),
                cert: "keys/ctl.pem".into(),
                key: "keys/ctl.key".into(),
            },
        }
    }
}
