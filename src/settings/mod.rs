//! Settings, read from JSON. Errors name the path of the wrong key.

mod common;
mod ctl;
mod entry;
mod parse;
mod side;

pub use common::{
    BatchSettings, HeartbeatSettings, HostListSettings, LogSettings, MetricsSettings, PeerSettings,
    TlsSettings,
};
pub use ctl::CtlSettings;
pub use entry::{
    BalancePolicy, BalanceSettings, EntrySettings, LimitSettings, RatingSettings, RetrySettings,
    SessionSettings,
};
pub use parse::{SettingsError, parse, read};
pub use side::{BackendKind, BackendSettings, OrderSettings, QueueSettings, SideSettings};
