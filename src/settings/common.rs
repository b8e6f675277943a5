//! Settings that entry and side share.

use std::net::SocketAddr;
use std::path::PathBuf;

use redwingfold_core::{HeartbeatPolicy, Millis};
use serde::{Deserialize, Serialize};

/// Where the log service is and how it is used.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LogSettings {
    /// Address of the log service.
    pub address: SocketAddr,
    /// Longest wait for an answer.
    #[serde(default = "log_timeout")]
    pub timeout_ms: Millis,
    /// How long a read waits at the service for a new record.
    #[serde(default = "log_wait")]
    pub wait_ms: Millis,
    /// Time between reads by a daemon that gets the configuration from its peers.
    #[serde(default = "log_relaxed")]
    pub relaxed_ms: Millis,
    /// Daemons of a failure domain that read the log for the others.
    #[serde(default = "log_readers")]
    pub readers_per_domain: usize,
    /// Records between snapshots of the configuration.
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
    /// Makes the default settings for a log service at `address`.
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

/// Where the host list is and how it is used.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct HostListSettings {
    /// Address of the host list.
    pub address: SocketAddr,
    /// Time between reads.
    #[serde(default = "host_list_every")]
    pub every_ms: Millis,
}

fn host_list_every() -> Millis {
    Millis(2_000)
}

impl HostListSettings {
    /// Makes the default settings for a host list at `address`.
    pub fn at(address: SocketAddr) -> Self {
        Self { address, every_ms: host_list_every() }
    }
}

/// The process's certificate, and the fleet's.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TlsSettings {
    /// Certificate of the fleet's authority, PEM.
    pub fleet: PathBuf,
    /// Certificate of this process, PEM.
    pub cert: PathBuf,
    /// Its key, PEM.
    pub key: PathBuf,
}

/// How peers are watched.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct HeartbeatSettings {
    /// Time between heartbeats while answers are awaited, and the time that one may take.
    pub interval_ms: Millis,
    /// Time between heartbeats while nothing is awaited.
    pub idle_interval_ms: Millis,
    /// Heartbeats missed before new work goes elsewhere.
    pub misses: u32,
    /// Heartbeats missed before the connection is given up.
    pub dead_misses: u32,
    /// Bytes of load reports a second that a daemon sends at most.
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

/// How many peers a daemon has.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct PeerSettings {
    /// Entries that each side is connected to.
    pub fan_in: usize,
    /// Sides of each pool that an entry is connected to at least.
    pub per_pool: usize,
    /// Sides, the same for all entries, among which the holders of sessions are chosen.
    pub keepers: usize,
    /// Longest wait for a connection.
    pub connect_timeout_ms: Millis,
    /// Longest pause between tries to connect.
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

/// How records that can wait go to the log.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct BatchSettings {
    /// Time between batches.
    pub every_ms: Millis,
    /// Records in a batch.
    pub max_records: usize,
    /// Memory for records that are not confirmed.
    pub max_bytes: usize,
    /// How long a side leaves its copies to the entry before it appends them itself.
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

/// Where metrics go.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct MetricsSettings {
    /// Address of a StatsD server; none sends no metrics.
    pub statsd: Option<SocketAddr>,
}
