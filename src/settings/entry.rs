//! Settings of the entry daemon.

use std::net::{Ipv4Addr, SocketAddr};

use redwingfold_core::{FailureDomain, HostId, Millis};
use serde::{Deserialize, Serialize};

use super::common::{
    BatchSettings, HeartbeatSettings, HostListSettings, LogSettings, MetricsSettings, PeerSettings,
    TlsSettings,
};

/// Settings of the entry daemon.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EntrySettings {
    /// Name of this host.
    pub host: HostId,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Listen address for callers.
    #[serde(default = "default_listen")]
    pub listen: SocketAddr,
    /// Listen address for connections from the system's other processes.
    #[serde(default = "default_peer_listen")]
    pub peer_listen: SocketAddr,
    /// The log service.
    pub log: LogSettings,
    /// The host list.
    pub host_list: HostListSettings,
    /// Files for mutual TLS.
    pub tls: TlsSettings,
    /// Connections to sides.
    #[serde(default)]
    pub peers: PeerSettings,
    /// Heartbeats and load reports.
    #[serde(default)]
    pub heartbeat: HeartbeatSettings,
    /// Batching of records for the log.
    #[serde(default)]
    pub batch: BatchSettings,
    /// Limits on connections and requests.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Load balancing.
    #[serde(default)]
    pub balance: BalanceSettings,
    /// Retries.
    #[serde(default)]
    pub retry: RetrySettings,
    /// Sessions.
    #[serde(default)]
    pub sessions: SessionSettings,
    /// The rating service.
    #[serde(default)]
    pub rating: RatingSettings,
    /// Metrics.
    #[serde(default)]
    pub metrics: MetricsSettings,
}

fn default_listen() -> SocketAddr {
    (Ipv4Addr::UNSPECIFIED, 8080).into()
}

fn default_peer_listen() -> SocketAddr {
    (Ipv4Addr::UNSPECIFIED, 7411).into()
}

impl EntrySettings {
    /// Returns settings with every key set, for documentation and for suggestions.
    ///
    /// ```
    /// let settings = redwingfold::settings::EntrySettings::example();
    /// assert_eq!(settings.listen.port(), 8080);
    /// ```
    pub fn example() -> Self {
        Self {
            host: "entry-1".parse().expect("a name"),
            failure_domain: "tarlac-hall".parse().expect("a name"),
            listen: default_listen(),
            peer_listen: default_peer_listen(),
            log: LogSettings::at((Ipv4Addr::LOCALHOST, 7001).into()),
            host_list: HostListSettings::at((Ipv4Addr::LOCALHOST, 7002).into()),
            tls: TlsSettings {
                fleet: "keys/fleet.pem".into(),
                cert: "keys/entry-1.pem".into(),
                key: "keys/entry-1.key".into(),
            },
            peers: PeerSettings::default(),
            heartbeat: HeartbeatSettings::default(),
            batch: BatchSettings::default(),
            limits: LimitSettings::default(),
            balance: BalanceSettings::default(),
            retry: RetrySettings::default(),
            sessions: SessionSettings::default(),
            rating: RatingSettings::default(),
            metrics: MetricsSettings::default(),
        }
    }
}

/// Limits on connections and requests.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct LimitSettings {
    /// Maximum number of open connections from callers.
    pub connections: usize,
    /// Maximum number of requests in flight.
    pub requests: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Memory for the bodies of all requests together, in bytes; 32 of the largest if absent.
    pub body_memory_bytes: Option<usize>,
    /// Timeout for reading the head of a request. It also bounds the idle time between two
    /// requests.
    pub head_timeout_ms: Millis,
    /// Timeout for reading the body of a request.
    pub body_timeout_ms: Millis,
    /// Deadline of a request that sets none.
    pub default_deadline_ms: Millis,
    /// Latest deadline that a request may set.
    pub max_deadline_ms: Millis,
    /// Time that requests in flight get to finish on a graceful shutdown.
    pub drain_ms: Millis,
    /// Time for which new connections are still accepted on shutdown, after the entry reports
    /// itself as not ready.
    pub drain_accept_ms: Millis,
    /// Number of routing decisions that are kept for `redwingfold-ctl explain`.
    pub decisions: usize,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            connections: 4_000,
            requests: 2_000,
            body_bytes: 4 * 1024 * 1024,
            body_memory_bytes: None,
            head_timeout_ms: Millis(10_000),
            body_timeout_ms: Millis(15_000),
            default_deadline_ms: Millis(60_000),
            max_deadline_ms: Millis(600_000),
            drain_ms: Millis(120_000),
            drain_accept_ms: Millis(2_000),
            decisions: 10_000,
        }
    }
}

/// How a backend server is selected among those that may serve a request.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BalancePolicy {
    /// Of two candidates, the one with the lower expected time to the first token.
    #[default]
    Expected,
    /// The lowest reported load. Serves as a baseline for comparisons.
    LeastReported,
    /// Round robin. Serves as a baseline for comparisons.
    RoundRobin,
}

/// Load balancing.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct BalanceSettings {
    /// How a backend server is selected.
    pub policy: BalancePolicy,
}

/// Retries of failed attempts.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct RetrySettings {
    /// Maximum number of attempts per request, including the first.
    pub max_attempts: u32,
    /// Retry budget: retries as a share of requests, in thousandths.
    pub budget_per_mille: u16,
    /// Maximum number of unused retries that the budget accumulates.
    pub budget_max: u32,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self { max_attempts: 3, budget_per_mille: 100, budget_max: 20 }
    }
}

/// Sessions, whose requests stay on one version.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct SessionSettings {
    /// Number of sides that hold a replica of a session's version.
    pub copies: usize,
    /// Timeout of a call to a holder.
    pub timeout_ms: Millis,
    /// Number of sessions that an entry caches, to save calls to their holders.
    pub cache: usize,
}

impl Default for SessionSettings {
    fn default() -> Self {
        Self { copies: 3, timeout_ms: Millis(500), cache: 50_000 }
    }
}

/// The rating service.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct RatingSettings {
    /// Address of the rating service. Without it, nothing is rated, and cascades return the answer
    /// of their first step.
    pub address: Option<SocketAddr>,
    /// Share of answers that are rated, in thousandths.
    pub sample_per_mille: u16,
    /// Share of the answers of a version in a rollout that are rated, in thousandths.
    pub rollout_sample_per_mille: u16,
    /// Timeout of a rating.
    pub timeout_ms: Millis,
    /// Lowest score of a good answer, in thousandths.
    pub good_from: u16,
    /// Allowed share of bad answers of a version, in thousandths. A version that exceeds it is
    /// withdrawn.
    pub allowed_bad_per_mille: u16,
    /// Probability of withdrawing by mistake a version whose share of bad answers is just the
    /// allowed one, in millionths.
    pub false_stop_per_million: u32,
}

impl Default for RatingSettings {
    fn default() -> Self {
        Self {
            address: None,
            sample_per_mille: 100,
            rollout_sample_per_mille: 1000,
            timeout_ms: Millis(2_000),
            good_from: 500,
            allowed_bad_per_mille: 100,
            false_stop_per_million: 1_000,
        }
    }
}
