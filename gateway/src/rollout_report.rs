//! The report on a rollout that gateways send each other.

use std::collections::HashMap;

use redwingfold_core::{Millis, Phase, RouteEvidence, SendCounts, ServiceName, VersionName};

/// One gateway's report on a rollout.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutReport {
    /// The service.
    pub service: ServiceName,
    /// The version being rolled out.
    pub target: VersionName,
    /// Time since the order.
    pub elapsed: Millis,
    /// Whether the age of the order is known: the sender, or a gateway that reported to it, was reading orders when the
    /// order was written.
    pub is_age_known: bool,
    /// Whether an operator ordered the rollout; `false` for a trial.
    pub is_announced: bool,
    /// Evidence from the sender's answers, by a hash of the route's name.
    pub routes: HashMap<u32, RouteEvidence>,
    /// Requests that the sender has sent since the order.
    pub sent: SendCounts,
    /// Whether the sender has rolled the target back.
    pub is_rolled_back: bool,
    /// The status in the store, as last read by the sender or reported to it.
    pub stored_status: StoredStatus,
    /// Time since the store held that status.
    pub status_age: Millis,
    /// Era of the store: how often it had been restored from an older copy.
    pub store_era: u64,
}

impl RolloutReport {
    /// Splits the report into parts with at most `max` routes each.
    pub(crate) fn split(self, max: usize) -> Vec<Self> {
        let routes: Vec<_> = self.routes.iter().map(|(route, e)| (*route, *e)).collect();
        let part = |routes: &[(u32, RouteEvidence)]| Self {
            routes: routes.iter().copied().collect(),
            ..self.clone()
        };
        if routes.is_empty() { vec![part(&[])] } else { routes.chunks(max).map(part).collect() }
    }

    /// Merges a later part of the same gateway's report.
    pub(crate) fn merge(&mut self, mut later: Self) {
        let mut routes = std::mem::take(&mut self.routes);
        routes.extend(std::mem::take(&mut later.routes));
        *self = Self { routes, ..later };
    }
}

/// A rollout's status in the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoredStatus {
    /// Neither read nor reported yet.
    #[default]
    Unknown,
    /// Running.
    Running,
    /// Ended in this phase.
    Ended(Phase),
}
