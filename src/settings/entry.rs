//! Settings of the entry.

use std::net::{Ipv4Addr, SocketAddr};

use redwingfold_core::{FailureDomain, HostId, Millis};
use serde::{Deserialize, Serialize};

use super::common::{
    BatchSettings, HeartbeatSettings, HostListSettings, LogSettings, MetricsSettings, PeerSettings,
    TlsSettings,
};

/// Settings of the entry.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EntrySettings {
    /// Name of this host.
    pub host: HostId,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Address for callers.
    #[serde(default = "default_listen")]
    pub listen: SocketAddr,
    /// Address for the system's own processes.
    #[serde(default = "default_peer_listen")]
    pub peer_listen: SocketAddr,
    /// The log service.
    pub log: LogSettings,
    /// The host list.
    pub host_list: HostListSettings,
    /// Certificates.
    pub tls: TlsSettings,
    /// Peers.
    #[serde(default)]
    pub peers: PeerSettings,
    /// Heartbeats.
    #[serde(default)]
    pub heartbeat: HeartbeatSettings,
    /// Records for the log.
    #[serde(default)]
    pub batch: BatchSettings,
    /// What callers may take up.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Choice of backend servers.
    #[serde(default)]
    pub balance: BalanceSettings,
    /// Repeated attempts.
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

/// What callers may take up.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct LimitSettings {
    /// Open connections.
    pub connections: usize,
    /// Requests under way.
    pub requests: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for a request's head, and between requests.
    pub head_timeout_ms: Millis,
    /// Time for a request's body.
    pub body_timeout_ms: Millis,
    /// Deadline of a request that names none.
    pub default_deadline_ms: Millis,
    /// Latest deadline that a request may name.
    pub max_deadline_ms: Millis,
    /// Time in which a planned stop lets requests end.
    pub drain_ms: Millis,
    /// Time after readiness has gone during which new connections are still served.
    pub drain_accept_ms: Millis,
    /// Decisions that are kept for `explain`.
    pub decisions: usize,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            connections: 4_000,
            requests: 2_000,
            body_bytes: 4 * 1024 * 1024,
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

/// How a backend server is chosen among those that may serve a request.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BalancePolicy {
    /// The better of two by the expected time to the first token.
    #[default]
    Expected,
    /// The least reported load; a baseline.
    LeastReported,
    /// Each in turn; a baseline.
    RoundRobin,
}

/// Choice of backend servers.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct BalanceSettings {
    /// How one is chosen.
    pub policy: BalancePolicy,
}

/// Repeated attempts.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct RetrySettings {
    /// Attempts of one request, the first included.
    pub max_attempts: u32,
    /// Retries as a share of requests, in thousandths.
    pub budget_per_mille: u16,
    /// Retries that can be saved up.
    pub budget_max: u32,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self { max_attempts: 3, budget_per_mille: 100, budget_max: 20 }
    }
}

/// Sessions.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct SessionSettings {
    /// Holders of a session's version.
    pub copies: usize,
    /// Longest wait for a holder.
    pub timeout_ms: Millis,
    /// Sessions that an entry remembers, so that it need not ask.
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
    /// Its address; none rates nothing, and cascades answer with their first step.
    pub address: Option<SocketAddr>,
    /// Share of answers that are rated, in thousandths.
    pub sample_per_mille: u16,
    /// Share of answers by a version under roll-out that are rated, in thousandths.
    pub rollout_sample_per_mille: u16,
    /// Longest wait for a rating.
    pub timeout_ms: Millis,
    /// Score from which an answer is good, in thousandths.
    pub good_from: u16,
    /// Share of bad answers that a version may give, in thousandths, before it is withdrawn.
    pub allowed_bad_per_mille: u16,
    /// Probability of withdrawing a version that is as good as allowed, in millionths.
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
