//! Selection of the backend server for a request.

use std::collections::BTreeSet;
use std::sync::Arc;

use redwingfold_core::{
    Candidate, HostId, PeerHealth, pick_least_reported, pick_of_two, pick_round_robin,
};

use super::context::Entry;
use super::sides::{SideLink, usable_links};
use crate::settings::BalancePolicy;
use crate::wire::Load;

/// Backend servers that a request was sent to, each with the ID of the connection used. A backend
/// may be tried again on a new connection to the same host, as only the old one may have failed.
pub(crate) type TriedBackends = BTreeSet<(usize, String)>;

/// A backend server's name, and the connection to its side.
pub(crate) type BackendTarget = (Arc<SideLink>, String);

/// Picks an untried backend server that `accepts` allows, by the configured balancing policy.
///
/// `cached_share` returns the share of the prompt that a backend server probably has in its cache.
pub(crate) fn pick_backend(
    entry: &Entry,
    tried: &TriedBackends,
    accepts: impl Fn(&Load) -> bool,
    cached_share: impl Fn(&HostId, &str) -> f32,
) -> Option<BackendTarget> {
    let now = entry.daemon.now();
    let mut candidates = Vec::new();
    for link in usable_links(entry) {
        let is_healthy = link.peer_link.health(now) == PeerHealth::Live;
        for report in link.backend_loads() {
            let load = report.load;
            let is_tried = tried.contains(&(link.conn.stable_id(), load.backend.clone()));
            if is_tried || !load.up || !accepts(&load) {
                continue;
            }
            candidates.push(Candidate {
                reported_requests: load.busy,
                sent_since_report: report.sent_since,
                slots: load.slots,
                first_token: load.first_token,
                cached_share: cached_share(&link.host, &load.backend),
                is_healthy,
                id: (link.clone(), load.backend),
            });
        }
    }
    let picked = match entry.settings.balance.policy {
        BalancePolicy::Expected => pick_of_two(&candidates, |n| fastrand::usize(0..n)),
        BalancePolicy::LeastReported => pick_least_reported(&candidates),
        BalancePolicy::RoundRobin => pick_round_robin(&candidates, entry.next_round_robin()),
    };
    picked.map(|candidate| candidate.id.clone())
}
