//! Evacuation of failure domains by order of the operator.

use redwingfold_core::{EvacuationChange, Evacuations, FailureDomain, Millis};

use crate::gateway::{Gateway, StoreCopy};

impl Gateway {
    /// Applies the operator's order to evacuate a failure domain, or its withdrawal.
    pub fn set_evacuation(&self, domain: &FailureDomain, is_ordered: bool) {
        let change = self.with_evacuations(|e, now| match is_ordered {
            true => e.add_order(domain, now),
            false => e.end_order(domain, now),
        });
        self.log_evacuations(&change.into_iter().collect::<Vec<_>>());
    }

    /// Replaces all evacuation orders with those in a copy of the store.
    pub fn replace_evacuations(&self, orders: &[FailureDomain], copy: StoreCopy) {
        let changes = self.with_evacuations(|e, now| match copy {
            StoreCopy::Current => e.replace(orders, now),
            StoreCopy::Older => e.replace_by_restored(orders, now),
        });
        self.log_evacuations(&changes);
    }

    /// Removes orders that were missing after the store was restored from an older copy, and were not written again in time.
    pub fn expire_evacuations(&self) {
        let changes = self.with_evacuations(Evacuations::expire);
        self.log_evacuations(&changes);
    }

    fn with_evacuations<T>(&self, f: impl FnOnce(&mut Evacuations, Millis) -> T) -> T {
        f(&mut self.evacuations.borrow_mut(), self.now())
    }

    fn log_evacuations(&self, changes: &[EvacuationChange]) {
        for change in changes {
            let (event, domain) = match change {
                EvacuationChange::Evacuated(domain) => ("domain_emptied", domain),
                EvacuationChange::Returned(domain) => ("domain_returned", domain),
            };
            let servers = self.with_registry(|r| {
                r.servers(self.now()).filter(|server| server.domain == *domain).count()
            });
            let config = self.catalog().map_or(0, |catalog| catalog.version);
            self.telemetry
                .info(event, &[("domain", domain), ("servers", &servers), ("config", &config)]);
        }
        if !changes.is_empty() {
            self.update_evacuation_gauges();
            self.state_changed.notify(usize::MAX);
        }
    }

    /// Updates the gauges of the number of evacuated domains and of the longest evacuation in milliseconds.
    pub fn update_evacuation_gauges(&self) {
        let evacuations = self.evacuations.borrow();
        let first = evacuations.evacuated().map(|(_, since)| since).min();
        let longest = first.map_or(Millis(0), |since| self.now().since(since));
        self.telemetry.gauge("domains.emptied", evacuations.evacuated().count() as u64);
        self.telemetry.gauge("domains.emptied_ms", longest.0);
    }
}
