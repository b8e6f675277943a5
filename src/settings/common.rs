//! Settings that the entry and the side have in common.

use std::net::SocketAddr;
use std::path::PathBuf;

use redwingfold_core::{HeartbeatPolicy, Millis};
use serde::{Deserialize, Serialize};

/// Settings of the client for the log service.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LogSettings {
    /// Address of the log service.
    pub address: SocketAddr,
    /// Timeout of an append. For a read, longest pause in the response, in addition to the wait for
    /// a record.
    #[serde(default = "log_timeout")]
    pub timeout_ms: Millis,
    /// Time that a read waits for a new record at the service (long polling).
    #[serde(default = "log_wait")]
    pub wait_ms: Millis,
    /// Longest time between reads by a daemon that receives the configuration from its peers.
    #[serde(default = "log_relaxed")]
    pub relaxed_ms: Millis,
    /// Number of daemons per failure domain that read the log for the others.
    #[serde(default = "log_readers")]
    pub readers_per_domain: usize,
    /// Number of records between two snapshots of the configuration.
    #[serde(default = "log_snapshot_every")]
    pub snapshot_every: u64,
}

fn log_timeout() -> Millis {
    Millis(2_000)
}

fn log_wait() -> Millis {
    Millis(1_000)
}

fn log_relaxed() -> Millis {
    Millis(15_000)
}

fn log_readers() -> usize {
    2
}

fn log_snapshot_every() -> u64 {
    500
}

impl LogSettings {
    /// Returns the default settings for a log service at `address`.
    pub fn at(address: SocketAddr) -> Self {
        Self {
            address,
            timeout_ms: log_timeout(),
            wait_ms: log_wait(),
            relaxed_ms: log_relaxed(),
            readers_per_domain: log_readers(),
            snapshot_every: log_snapshot_every(),
        }
    }
}

/// Settings of the client for the host list.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct HostListSettings {
    /// Address of the host list.
    pub address: SocketAddr,
    /// Longest time between two reads.
    #[serde(default = "host_list_every")]
    pub every_ms: Millis,
}

fn host_list_every() -> Millis {
    Millis(2_000)
}

impl HostListSettings {
    /// Returns the default settings for a host list at `address`.
    pub fn at(address: SocketAddr) -> Self {
        Self { address, every_ms: host_list_every() }
    }
}

/// Files for mutual TLS between the system's processes.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TlsSettings {
    /// Certificate of the fleet's certificate authority, PEM.
    pub fleet: PathBuf,
    /// Certificate of this process, PEM.
    pub cert: PathBuf,
    /// Private key of this process, PEM.
    pub key: PathBuf,
}

/// Failure detection between peers, and the limit on load reports.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct HeartbeatSettings {
    /// Time between heartbeats while requests are in flight, and the timeout of a heartbeat.
    pub interval_ms: Millis,
    /// Time between heartbeats while no requests are in flight.
    pub idle_interval_ms: Millis,
    /// Consecutive missed heartbeats after which new requests go to other peers.
    pub misses: u32,
    /// Consecutive missed heartbeats after which the connection is closed and opened again.
    pub dead_misses: u32,
    /// Limit on the load reports that a daemon sends, in bytes per second.
    pub report_bytes_per_second: u64,
}

impl Default for HeartbeatSettings {
    fn default() -> Self {
        Self {
            interval_ms: Millis(500),
            idle_interval_ms: Millis(3_000),
            misses: 1,
            dead_misses: 6,
            report_bytes_per_second: 4_000,
        }
    }
}

impl HeartbeatSettings {
    /// Returns the policy of the failure detector.
    pub fn policy(&self) -> HeartbeatPolicy {
        HeartbeatPolicy {
            interval: self.interval_ms,
            idle_interval: self.idle_interval_ms,
            misses: self.misses,
            dead_misses: self.dead_misses,
        }
    }
}

/// Connections between entries and sides.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct PeerSettings {
    /// Number of entries that connect to each side.
    pub fan_in: usize,
    /// Minimum number of sides in each pool that an entry connects to.
    pub per_pool: usize,
    /// Number of sides from which the holders of sessions are chosen; the same sides for all
    /// entries.
    pub keepers: usize,
    /// Timeout of a connection attempt.
    pub connect_timeout_ms: Millis,
    /// Longest backoff between connection attempts.
    pub max_backoff_ms: Millis,
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self {
            fan_in: 2,
            per_pool: 2,
            keepers: 8,
            connect_timeout_ms: Millis(1_000),
            max_backoff_ms: Millis(5_000),
        }
    }
}

/// Batching of records that are appended to the log in the background.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct BatchSettings {
    /// Longest time between two batches.
    pub every_ms: Millis,
    /// Maximum number of records in a batch.
    pub max_records: usize,
    /// Limit on the memory for unconfirmed records, in bytes.
    pub max_bytes: usize,
    /// Time that a side waits for the entry to append a record before it appends its own copy.
    pub side_grace_ms: Millis,
}

impl Default for BatchSettings {
    fn default() -> Self {
        Self {
            every_ms: Millis(4_000),
            max_records: 500,
            max_bytes: 32 * 1024 * 1024,
            side_grace_ms: Millis(20_000),
        }
    }
}

/// Destination of metrics.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct MetricsSettings {
    /// Address of a StatsD server. Without it, no metrics are sent.
    pub statsd: Option<SocketAddr>,
}
