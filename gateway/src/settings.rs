//! Settings of a gateway.

use redwingfold_core::{
    CanaryPolicy, ColdPolicy, HealthPolicy, LimitPolicy, Millis, PlacementPolicy, QuarantinePolicy,
    SilencePolicy, SizePolicy, UrgencyPolicy,
};

use crate::feeds::FeedPeriods;

/// What a gateway is told at its start.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Connections from callers at a time.
    pub max_connections: usize,
    /// Bytes of request bodies that are held at a time.
    pub max_request_body_bytes: usize,
    /// Second sends for each request.
    pub retry_ratio: f64,
    /// Second sends for each request that may go to larger models.
    pub larger_model_ratio: f64,
    /// Second sends that are allowed without requests.
    pub retry_reserve: f64,
    /// Window of the budget of second sends.
    pub retry_window: Millis,
    /// How long a session's version is remembered after its last request.
    pub session_retention: Millis,
    /// Longest time within which a connection to a backend server must stand.
    pub connect_timeout: Millis,
    /// Bytes of a whole answer that are held back until it is complete.
    pub max_buffered_response_bytes: usize,
    /// How roll-outs go on.
    pub canary: CanaryPolicy,
    /// When servers are left out.
    pub health: HealthPolicy,
    /// How servers are chosen.
    pub placement: PlacementPolicy,
    /// When requests are kept from servers that end under them.
    pub quarantine: QuarantinePolicy,
    /// When silent servers are given up.
    pub silence: SilencePolicy,
    /// When larger models are asked.
    pub sizes: SizePolicy,
    /// How requests are ranked at servers.
    pub urgency: UrgencyPolicy,
    /// How much cold servers get.
    pub cold: ColdPolicy,
    /// Bounds on requests to servers that report a limit.
    pub limits: LimitPolicy,
    /// How often the store's feeds are read.
    pub feeds: FeedPeriods,
    /// Bytes of the operator's newest records that are taken from another gateway.
    pub max_orders_bytes: usize,
}

impl Default for GatewaySettings {
    /// Figures for where the platform names none.
    ///
    /// ```
    /// use redwingfold_gateway::GatewaySettings;
    /// let settings = GatewaySettings::default();
    /// assert!(settings.larger_model_ratio < settings.retry_ratio);
    /// ```
    fn default() -> Self {
        Self {
            max_connections: 1_500,
            max_request_body_bytes: 16 * 1024 * 1024,
            retry_ratio: 0.8,
            larger_model_ratio: 0.6,
            retry_reserve: 2.0,
            retry_window: Millis(10_000),
            session_retention: Millis(10_000),
            // Round trips within a region take a few milliseconds; a lost first packet comes again
            // after a second, which is too long for most calls.
            connect_timeout: Millis(250),
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
        }
    }
}
