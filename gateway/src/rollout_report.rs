//! What gateways tell each other of a roll-out.

use std::collections::HashMap;

use redwingfold_core::{Millis, Phase, RouteEvidence, Sent, ServiceName, VersionName};

/// What one gateway tells the others of a roll-out.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutReport {
    /// The service.
    pub service: ServiceName,
    /// The version that is rolled out.
    pub target: VersionName,
    /// Time since the order.
    pub elapsed: Millis,
    /// Whether the sender, or one that told it, has seen the order come.
    pub is_age_known: bool,
    /// Whether an operator has ordered it.
    pub is_announced: bool,
    /// Its answers, by a hash of the route's name.
    pub routes: HashMap<u32, RouteEvidence>,
    /// What it has sent since the order.
    pub sent: Sent,
    /// Whether it has found the target bad.
    pub is_rolled_back: bool,
    /// What the store says, as far as it knows: nothing, that the roll-out runs, or how it ended.
    pub stored_status: StoredStatus,
    /// How often the store had come back from an older copy by then.
    pub store_era: u64,
}

impl RolloutReport {
    /// Splits it into parts with at most `max` routes each.
    pub(crate) fn split(self, max: usize) -> Vec<Self> {
        let routes: Vec<_> = self.routes.iter().map(|(route, e)| (*route, *e)).collect();
        let part = |routes: &[(u32, RouteEvidence)]| Self {
            routes: routes.iter().copied().collect(),
            ..self.clone()
        };
        if routes.is_empty() { vec![part(&[])] } else { routes.chunks(max).map(part).collect() }
    }

    /// Takes a later part of the same gateway's news.
    pub(crate) fn merge(&mut self, mut later: Self) {
        let mut routes = std::mem::take(&mut self.routes);
        routes.extend(std::mem::take(&mut later.routes));
        *self = Self { routes, ..later };
    }
}

/// What the store says of a roll-out.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoredStatus {
    /// Nothing that is known.
    #[default]
    Unknown,
    /// It runs.
    Running,
    /// It ended so.
    Ended(Phase),
}
