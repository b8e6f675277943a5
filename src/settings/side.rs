//! Settings of the side.

use std::net::{Ipv4Addr, SocketAddr};

use redwingfold_core::{FailureDomain, HostId, Millis};
use serde::{Deserialize, Serialize};

use super::common::{
    BatchSettings, HeartbeatSettings, HostListSettings, LogSettings, MetricsSettings, TlsSettings,
};

/// Settings of the side.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SideSettings {
    /// Name of this host.
    pub host: HostId,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Address for the system's own processes.
    #[serde(default = "default_peer_listen")]
    pub peer_listen: SocketAddr,
    /// The log service.
    pub log: LogSettings,
    /// The host list.
    pub host_list: HostListSettings,
    /// Certificates.
    pub tls: TlsSettings,
    /// The backend servers of this host.
    pub backends: Vec<BackendSettings>,
    /// The queue before each of them.
    #[serde(default)]
    pub queue: QueueSettings,
    /// Heartbeats.
    #[serde(default)]
    pub heartbeat: HeartbeatSettings,
    /// Records for the log.
    #[serde(default)]
    pub batch: BatchSettings,
    /// Orders to the engines.
    #[serde(default)]
    pub orders: OrderSettings,
    /// Sessions that are held for the entries.
    #[serde(default = "default_max_pins")]
    pub max_pins: usize,
    /// Metrics.
    #[serde(default)]
    pub metrics: MetricsSettings,
}

fn default_peer_listen() -> SocketAddr {
    (Ipv4Addr::UNSPECIFIED, 7412).into()
}

fn default_max_pins() -> usize {
    200_000
}

impl SideSettings {
    /// Returns settings with every key set, for documentation and for suggestions.
    pub fn example() -> Self {
        Self {
            host: "gpu-1".parse().expect("a name"),
            failure_domain: "tarlac-hall".parse().expect("a name"),
            peer_listen: default_peer_listen(),
            log: LogSettings::at((Ipv4Addr::LOCALHOST, 7001).into()),
            host_list: HostListSettings::at((Ipv4Addr::LOCALHOST, 7002).into()),
            tls: TlsSettings {
                fleet: "keys/fleet.pem".into(),
                cert: "keys/gpu-1.pem".into(),
                key: "keys/gpu-1.key".into(),
            },
            backends: vec![BackendSettings {
                name: "engine-0".to_owned(),
                address: (Ipv4Addr::LOCALHOST, 7101).into(),
                kind: BackendKind::Engine,
                service: Some("coop-api".to_owned()),
                slots: 8,
            }],
            queue: QueueSettings::default(),
            heartbeat: HeartbeatSettings::default(),
            batch: BatchSettings::default(),
            orders: OrderSettings::default(),
            max_pins: default_max_pins(),
            metrics: MetricsSettings::default(),
        }
    }
}

/// What a backend server is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// One backend server.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct BackendSettings {
    /// Name, unique on the host.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
    /// What it is.
    pub kind: BackendKind,
    /// Name of the service object that it serves, for a plain service.
    #[serde(default)]
    pub service: Option<String>,
    /// Requests that it is given at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
}

fn default_slots() -> u32 {
    8
}

/// Orders to the engines.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct OrderSettings {
    /// Address of the weight store; none loads without asking.
    pub weight_store: Option<SocketAddr>,
    /// Time between looks whether the engines have what they are to have.
    pub every_ms: Millis,
    /// Longest time of a load.
    pub load_timeout_ms: Millis,
    /// Oldest look at the log that an order may be given by.
    pub fence_age_ms: Millis,
}

impl Default for OrderSettings {
    fn default() -> Self {
        Self {
            weight_store: None,
            every_ms: Millis(2_000),
            load_timeout_ms: Millis(600_000),
            fence_age_ms: Millis(1_000),
        }
    }
}

/// The queue before a backend server.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct QueueSettings {
    /// Requests that wait at most.
    pub max_waiting: usize,
    /// Requests of one customer that wait at most.
    pub max_per_customer: usize,
    /// Longest wait for the first byte of an answer.
    pub first_byte_timeout_ms: Millis,
    /// Longest pause within an answer.
    pub gap_timeout_ms: Millis,
    /// Time between reads of an engine's load.
    pub load_every_ms: Millis,
    /// Time in which a planned stop lets runs end.
    pub drain_ms: Millis,
    /// Bytes of an answer at most.
    pub max_answer_bytes: usize,
    /// Calls that may not be repeated and are remembered.
    pub max_remembered_calls: usize,
    /// Longest wait for a configuration that an entry has and the side has not.
    pub config_wait_ms: Millis,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            max_waiting: 256,
            max_per_customer: 64,
            first_byte_timeout_ms: Millis(30_000),
            gap_timeout_ms: Millis(10_000),
            load_every_ms: Millis(250),
            drain_ms: Millis(120_000),
            max_answer_bytes: 16 * 1024 * 1024,
            max_remembered_calls: 200_000,
            config_wait_ms: Millis(1_000),
        }
    }
}
