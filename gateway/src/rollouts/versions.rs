//! Which versions of a service are in service, and how versions without an order are tried.

use std::collections::BTreeSet;

use redwingfold_core::{Arm, Canary, Millis, Phase, ServiceName, VersionName};

use super::{END_REPORTED_FOR, Rollouts};

/// Time for which a version that no order names gets no requests while other versions have servers. Its order may be
/// written that much later than its servers register.
const UNANNOUNCED_HOLD: Millis = Millis(10_000);

impl Rollouts {
    /// Adds the version of a registered backend server.
    ///
    /// If the store has no record of the versions in service, all versions in the first server list count as in
    /// service, except the target of an order: this process has just started, so they were there before it. The first
    /// version of a service is in service as well. Any other waits for an order or a trial.
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

    /// Records that all orders written before `began` are known, and starts due trials of versions that none of them
    /// names. Returns these versions and when each was first registered.
    ///
    /// Servers of a new version may register some time before the order for it is written. Until then they get no
    /// requests while other versions have servers; otherwise a bad version would get its share of the traffic at each
    /// gateway.
    pub(crate) fn advance_orders_as_of(
        &mut self,
        began: Millis,
        now: Millis,
    ) -> Vec<(ServiceName, VersionName, Millis)> {
        self.orders_as_of = self.orders_as_of.max(began);
        let mut started = Vec::new();
        for (service, versions) in &mut self.services {
            let is_over = |c: &Canary| {
                let is_written =
                    !self.statuses.is_unrecorded(service, &c.order().target, c.phase());
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

    /// Sets the versions in service from the store's record, before the first list of servers is read. Any other
    /// version on that list has appeared since the record was written, and waits for an order or a trial.
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

    /// Removes and returns the services whose versions in service this gateway should write to the store.
    pub fn take_unwritten_services(&mut self) -> Vec<ServiceName> {
        std::mem::take(&mut self.unwritten_services)
    }

    /// Returns whether a version that no order names may serve when no other has servers. It may only once all orders
    /// written before it was first registered are known.
    pub(crate) fn is_last_resort(&self, service: &ServiceName, version: &VersionName) -> bool {
        let versions = self.services.get(service);
        let seen_at = versions.and_then(|v| v.unannounced_since.get(version));
        seen_at.is_some_and(|at| *at <= self.orders_as_of)
    }

    /// Returns the arm to which a version belongs; `None` if it may not be used.
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
