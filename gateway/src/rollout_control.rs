//! Operations of a gateway on rollouts. Each change is logged.

use std::collections::BTreeSet;

use redwingfold_core::{Millis, OrderAge, Phase, RolloutOrder, ServiceName, VersionName};

use crate::feeds::Feed;
use crate::gateway::{Gateway, StoreCopy};
use crate::rollouts::{DueStatus, PhaseChange};

fn phase_name(phase: Phase) -> String {
    format!("{phase:?}").to_lowercase()
}

impl Gateway {
    /// Adds an operator's order that was read from the store. The read started at `began`.
    pub fn order_rollout(
        &self,
        service: &ServiceName,
        order: RolloutOrder,
        began: Millis,
        copy: StoreCopy,
    ) {
        let known_as_of = self.with_feeds(|feeds| feeds.as_of(Feed::Orders));
        let now = self.now();
        let least = now.since(began);
        let most = known_as_of.map_or(least, |as_of| now.since(as_of));
        let age = OrderAge { min: least, max: most, is_unknown: known_as_of.is_none() };
        let (target, window) = (order.target.clone(), order.window);
        if !self.with_rollouts(|r| r.add_order(service, order, age, copy, now)) {
            return;
        }
        self.telemetry().info(
            "rollout_ordered",
            &[
                ("service", service),
                ("target", &target),
                ("window_ms", &window),
                ("age_least_ms", &least),
                ("age_most_ms", &most),
            ],
        );
    }

    /// Records that all orders written before `began` are known, and starts trials of versions that none of them names.
    pub fn advance_orders_as_of(&self, began: Millis) {
        let started = self.with_rollouts(|r| r.advance_orders_as_of(began, self.now()));
        for (service, version, seen_at) in started {
            self.telemetry().info(
                "unannounced_trial",
                &[
                    ("service", &service),
                    ("version", &version),
                    ("seen_ms_ago", &self.now().since(seen_at)),
                    ("orders_read_ms_ago", &self.now().since(began)),
                ],
            );
        }
    }

    /// Sets the versions of a service that are in service, from the store.
    pub fn set_stored_versions(&self, service: &ServiceName, versions: BTreeSet<VersionName>) {
        self.with_rollouts(|r| r.set_stored_versions(service, versions));
    }

    /// Returns the versions of a service that are in service.
    pub fn versions_in_service(&self, service: &ServiceName) -> BTreeSet<VersionName> {
        self.with_rollouts(|r| r.versions_in_service(service))
    }

    /// Returns the services that have a version in service.
    pub fn services_in_service(&self) -> Vec<ServiceName> {
        self.with_rollouts(|r| r.services_in_service())
    }

    /// Advances all rollouts.
    pub fn step_rollouts(&self) {
        for change in self.with_rollouts(|r| r.step(self.now())) {
            self.log_phase_change(&change);
            self.gossip_due.notify(usize::MAX);
        }
    }

    /// Records that this gateway has written the status of a rollout.
    pub fn record_written_status(&self, status: &DueStatus) {
        let DueStatus { service, target, phase, replaced } = status;
        let replaced = replaced.as_ref().map_or("none".into(), ToString::to_string);
        self.telemetry().info(
            "status_written",
            &[
                ("service", service),
                ("target", target),
                ("phase", &phase_name(*phase)),
                ("replaced", &replaced),
            ],
        );
        let ended = (*phase >= Phase::Done).then_some(*phase);
        self.with_rollouts(|r| r.record_written_status(service, target, ended, self.now()));
        self.gossip_due.notify(usize::MAX);
    }

    fn log_phase_change(&self, change: &PhaseChange) {
        let total = change.evidence.total();
        self.telemetry().info(
            "rollout_moved",
            &[
                ("service", &change.service),
                ("target", &change.target),
                ("phase", &phase_name(change.phase)),
                ("target_good", &total.target.good),
                ("target_failed", &total.target.failed),
                ("target_begin", &format_args!("{:.2}", total.target.first_byte.mean().exp())),
                ("target_pace", &format_args!("{:.2}", total.target.event_gap.mean().exp())),
                ("current_good", &total.current.good),
                ("current_failed", &total.current.failed),
                ("current_begin", &format_args!("{:.2}", total.current.first_byte.mean().exp())),
                ("current_pace", &format_args!("{:.2}", total.current.event_gap.mean().exp())),
                ("sent", &change.evidence.sent.all),
                ("sent_target", &change.evidence.sent.target),
                ("per_s", &format_args!("{:.0}", change.evidence.sent.per_s)),
            ],
        );
    }
}
