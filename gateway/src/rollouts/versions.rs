//! Which versions of a service are in service, and what becomes of those that no order names.

use std::collections::BTreeSet;

use redwingfold_core::{Arm, Canary, Millis, Phase, ServiceName, VersionName};

use super::{END_REPORTED_FOR, Rollouts};

/// Time for which a version that no order names gets nothing while others are left: its order may come that much later
/// than its servers.
const UNANNOUNCED_HOLD: Millis = Millis(10_000);

impl Rollouts {
    /// Takes a version that a backend server has registered with.
    ///
    /// What the first list shows is in service, but for the target of an order, where the store has not said what is: this
    /// process has just started, and whatever it has not seen begin was there before it.
    pub(crate) fn add_version(
        &mut self,
        service: &ServiceName,
        version: &VersionName,
        is_first_list: bool,
        now: Millis,
    ) {
        let versions = self.services.entry(service.clone()).or_default();
        let is_target = versions.latest().is_some_and(|c| c.order().target == *version);
        match versions {
            v if is_target || v.in_service.contains(version) || v.rolled_back.contains(version) => {
            }
            v if (is_first_list && !v.has_stored_versions) || v.in_service.is_empty() => {
                v.in_service.insert(version.clone());
            }
            v => {
                v.unannounced_since.entry(version.clone()).or_insert(now);
            }
        }
    }

    /// Notes that all orders given before `began` are known here; returns versions whose trial begins as none names them, and
    /// when each was first seen.
    ///
    /// Servers of a new version may register some time before the order for it is given. Until then they get nothing while
    /// others are left: a bad version would have its part of the traffic at each gateway.
    pub(crate) fn advance_orders_as_of(
        &mut self,
        began: Millis,
        now: Millis,
    ) -> Vec<(ServiceName, VersionName, Millis)> {
        self.orders_as_of = self.orders_as_of.max(began);
        let mut started = Vec::new();
        for (service, versions) in &mut self.services {
            let is_over = |c: &Canary| {
                let is_written = !self.statuses.is_missing(service, &c.order().target, c.phase());
                c.phase() >= Phase::Done && (is_written || !c.is_announced())
            };
            let is_end_reported =
                versions.ended_at.is_none_or(|at| now.since(at) >= END_REPORTED_FOR);
            let is_due = |at: &Millis| at.after(UNANNOUNCED_HOLD) <= began;
            let due = versions.unannounced_since.iter().filter(|(_, at)| is_due(at));
            let oldest = due.min_by_key(|(_, at)| **at).map(|(version, at)| (version.clone(), *at));
            match oldest {
                Some((version, seen_at))
                    if is_end_reported && versions.latest().is_none_or(is_over) =>
                {
                    versions.unannounced_since.remove(&version);
                    versions.start(Canary::unannounced(
                        self.policy,
                        version.clone(),
                        now,
                        fastrand::u64(..),
                    ));
                    started.push((service.clone(), version, seen_at));
                }
                _ => {}
            }
        }
        started
    }

    /// Takes which versions the store says are in service, before the first list of servers is known. Others on that list have
    /// been seen to begin by other gateways only, and wait for an order or a trial.
    pub(crate) fn set_stored_versions(
        &mut self,
        service: &ServiceName,
        versions: BTreeSet<VersionName>,
    ) {
        let entry = self.services.entry(service.clone()).or_default();
        let target = entry.canary.as_ref().map(|c| &c.order().target);
        entry.in_service.extend(versions.into_iter().filter(|v| Some(v) != target));
        entry.has_stored_versions = true;
    }

    /// Returns the versions of a service that are in service.
    pub(crate) fn versions_in_service(&self, service: &ServiceName) -> BTreeSet<VersionName> {
        let versions = self.services.get(service).map(|v| &v.in_service);
        versions.into_iter().flatten().cloned().collect()
    }

    /// Returns the services that have a version in service.
    pub(crate) fn services_in_service(&self) -> Vec<ServiceName> {
        let in_service = self.services.iter().filter(|(_, v)| !v.in_service.is_empty());
        in_service.map(|(service, _)| service.clone()).collect()
    }

    /// Takes the services of which this gateway should write which versions are in service.
    pub fn take_unwritten_services(&mut self) -> Vec<ServiceName> {
        std::mem::take(&mut self.unwritten_services)
    }

    /// Says whether a version that no order names may serve where no other is left.
    pub(crate) fn is_last_resort(&self, service: &ServiceName, version: &VersionName) -> bool {
        let versions = self.services.get(service);
        let seen_at = versions.and_then(|v| v.unannounced_since.get(version));
        seen_at.is_some_and(|at| *at <= self.orders_as_of)
    }

    /// Says to which arm a version belongs; `None` if it may not be used.
    pub(crate) fn arm_of(&self, service: &ServiceName, version: &VersionName) -> Option<Arm> {
        let versions = self.services.get(service)?;
        match versions.latest() {
            Some(c) if c.order().target == *version => match c.phase() {
                Phase::RolledBack => None,
                _ => Some(Arm::Target),
            },
            _ if versions.rolled_back.contains(version) => None,
            _ if versions.unannounced_since.contains_key(version) => None,
            _ => Some(Arm::Current),
        }
    }
}
