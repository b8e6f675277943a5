//! Settings of the side daemon.

use std::net::{Ipv4Addr, SocketAddr};

use redwingfold_core::{FailureDomain, HostId, Millis};
use serde::{Deserialize, Serialize};

use super::common::{
    BatchSettings, HeartbeatSettings, HostListSettings, LogSettings, MetricsSettings, TlsSettings,
};

/// Settings of the side daemon.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SideSettings {
    /// Name of this host.
    pub host: HostId,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Listen address for connections from the system's other processes.
    #[serde(default = "default_peer_listen")]
    pub peer_listen: SocketAddr,
    /// The log service.
    pub log: LogSettings,
    /// The host list.
    pub host_list: HostListSettings,
    /// Files for mutual TLS.
    pub tls: TlsSettings,
    /// The backend servers of this host.
    pub backends: Vec<BackendSettings>,
    /// The queue in front of each backend server.
    #[serde(default)]
    pub queue: QueueSettings,
    /// Heartbeats and load reports.
    #[serde(default)]
    pub heartbeat: HeartbeatSettings,
    /// Batching of records for the log.
    #[serde(default)]
    pub batch: BatchSettings,
    /// Orders to the engines about the versions to load.
    #[serde(default)]
    pub orders: OrderSettings,
    /// Maximum number of sessions whose version this side holds for the entries.
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
    /// Returns settings with every key set. They serve as documentation, and as the list of known
    /// keys from which corrections of misspelt keys are suggested.
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

/// Kind of a backend server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendKind {
    /// A model engine.
    Engine,
    /// A plain HTTP service, without model versions.
    Service,
}

/// One backend server.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct BackendSettings {
    /// Name of the backend server, unique on the host.
    pub name: String,
    /// Address of the backend server.
    pub address: SocketAddr,
    /// Whether it is a model engine or a plain service.
    pub kind: BackendKind,
    /// For a plain service: name of the service object that it serves.
    #[serde(default)]
    pub service: Option<String>,
    /// Maximum number of requests in flight at this backend server.
    #[serde(default = "default_slots")]
    pub slots: u32,
}

fn default_slots() -> u32 {
    8
}

/// Orders to the engines about the versions to load.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct OrderSettings {
    /// Address of the weight store. Without it, weights are loaded without its permission.
    pub weight_store: Option<SocketAddr>,
    /// Longest time between two checks of whether the engines have the versions they should have.
    pub every_ms: Millis,
    /// Timeout of a load of weights.
    pub load_timeout_ms: Millis,
    /// Highest age of the last read of the log on which an order may be based.
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

/// The queue in front of a backend server, and the limits on its requests.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct QueueSettings {
    /// Maximum number of requests in the queue.
    pub max_waiting: usize,
    /// Maximum number of requests of one customer in the queue.
    pub max_per_customer: usize,
    /// Timeout for the first byte of a response.
    pub first_byte_timeout_ms: Millis,
    /// Longest pause within a response.
    pub gap_timeout_ms: Millis,
    /// Longest time between two reads of an engine's load.
    pub load_every_ms: Millis,
    /// Time that requests in flight get to finish on a graceful shutdown.
    pub drain_ms: Millis,
    /// Largest response, in bytes.
    pub max_answer_bytes: usize,
    /// Maximum number of non-idempotent calls that are remembered, so that none of them runs twice.
    pub max_remembered_calls: usize,
    /// Longest wait for a configuration that an entry already uses and that has not reached this
    /// side yet.
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
