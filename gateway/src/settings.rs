//! Settings of a gateway.

use redwingfold_core::{
    AcceptPolicy, ByteCount, CanaryPolicy, ColdPolicy, ConnectionReusePolicy, HealthPolicy,
    LimitPolicy, MemoryBudget, MemoryPolicy, Millis, PlacementPolicy, QuarantinePolicy,
    SilencePolicy, SizePolicy, UrgencyPolicy,
};

use crate::feeds::FeedPeriods;

/// Settings of a gateway, fixed at its start.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Memory that callers' connections and requests share, and the maximum number of connections.
    pub memory_budget: MemoryBudget,
    /// Policy for closing new connections that would wait too long.
    pub accept: AcceptPolicy,
    /// Policy for the memory of requests; its total comes from the budget.
    pub memory: MemoryPolicy,
    /// Maximum ratio of retries to requests.
    pub retry_ratio: f64,
    /// Maximum ratio of retries to requests up to which retries may be used for larger models.
    pub larger_model_ratio: f64,
    /// Number of retries that are allowed in addition to the ratio.
    pub retry_reserve: f64,
    /// Time window of the retry budget.
    pub retry_window: Millis,
    /// Time for which a session's version is retained after its last request.
    pub session_retention: Millis,
    /// Maximum timeout of connecting to a backend server.
    pub connect_timeout: Millis,
    /// Whether and how long idle connections to backend servers are kept.
    pub connection_reuse: ConnectionReusePolicy,
    /// Maximum size of a response that is buffered before it is forwarded, in bytes; the limit on request bodies applies if
    /// it is larger. Also the maximum size of an event of a stream.
    pub max_buffered_response_bytes: usize,
    /// Policy of rollouts.
    pub canary: CanaryPolicy,
    /// Policy for excluding unhealthy servers.
    pub health: HealthPolicy,
    /// Policy for choosing servers.
    pub placement: PlacementPolicy,
    /// Policy for quarantining requests that terminate servers.
    pub quarantine: QuarantinePolicy,
    /// Policy for giving up silent servers.
    pub silence: SilencePolicy,
    /// Policy for retries with larger models.
    pub sizes: SizePolicy,
    /// Policy for the priority of requests at servers.
    pub urgency: UrgencyPolicy,
    /// Policy for the request rate of cold servers.
    pub cold: ColdPolicy,
    /// Policy for the request rate of servers that report a limit.
    pub limits: LimitPolicy,
    /// Periods of reading the store's feeds.
    pub feeds: FeedPeriods,
    /// Maximum size of the operator's records fetched from another gateway, in bytes.
    pub max_orders_bytes: usize,
    /// Whether the whole deployment starts for the first time.
    pub is_first_start: bool,
    /// Whether decisions under load follow the estimated capacity of the servers from the start. Otherwise they do once a
    /// server reports that it shares its host with others.
    pub admission_control: bool,
}

impl Default for GatewaySettings {
    /// Returns the defaults for settings that the platform does not set.
    ///
    /// ```
    /// use redwingfold_gateway::GatewaySettings;
    /// let settings = GatewaySettings::default();
    /// assert!(settings.larger_model_ratio < settings.retry_ratio);
    /// ```
    fn default() -> Self {
        Self {
            memory_budget: MemoryBudget {
                total: ByteCount(128 * 1024 * 1024),
                per_connection: ByteCount(48 * 1024),
                min_connections: 300,
                max_connections: 1_500,
            },
            accept: AcceptPolicy::default(),
            memory: MemoryPolicy::default(),
            retry_ratio: 0.8,
            larger_model_ratio: 0.6,
            retry_reserve: 2.0,
            retry_window: Millis(10_000),
            session_retention: Millis(10_000),
            // Round trips within a region take a few milliseconds. The kernel retransmits a lost SYN only after a
            // second, which is too long for most calls.
            connect_timeout: Millis(250),
            connection_reuse: ConnectionReusePolicy::default(),
            max_buffered_response_bytes: 256 * 1024,
            canary: CanaryPolicy::default(),
            health: HealthPolicy::default(),
            placement: PlacementPolicy::default(),
            quarantine: QuarantinePolicy::default(),
            silence: SilencePolicy::default(),
            sizes: SizePolicy::default(),
            urgency: UrgencyPolicy::default(),
            cold: ColdPolicy::default(),
            limits: LimitPolicy::default(),
            feeds: FeedPeriods::default(),
            max_orders_bytes: 16 * 1024 * 1024,
            is_first_start: false,
            admission_control: false,
        }
    }
}
