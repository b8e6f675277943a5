//! Evacuation orders: failure domains that get no new requests, as ordered by the operator.

use std::collections::HashMap;

use crate::ids::{FailureDomain, Millis};

/// Time for which the end of an order is kept, as servers are cold for some seconds after it.
const RETURNED_RETENTION: Millis = Millis(60_000);

/// Time that the operator has to write an order again which is missing from a restored store.
const REWRITE_GRACE: Millis = Millis(10_000);

/// A change of the orders in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EvacuationChange {
    /// The domain gets no new requests from now on.
    Evacuated(FailureDomain),
    /// The domain gets requests again.
    Returned(FailureDomain),
}

/// The evacuation orders in force.
///
/// A store that is restored from an older copy ends no order. Orders that the copy lacks stay in
/// force for the time that the operator has to write them again, even if other gateways send the
/// copy's list meanwhile. An order that the copy has is in force, though it may have ended since:
/// the operator may as well have ordered it again, and an idle domain does less harm than requests
/// to a domain under maintenance.
///
/// ```
/// use redwingfold_core::{EvacuationChange, Evacuations, Millis};
/// let mut evacuations = Evacuations::default();
/// let domain: redwingfold_core::FailureDomain = "hall-1".parse()?;
/// let changes = evacuations.replace(&[domain.clone()], Millis(5));
/// assert_eq!(changes, [EvacuationChange::Evacuated(domain.clone())]);
/// assert!(evacuations.is_evacuated(&domain));
/// # Ok::<(), redwingfold_core::ParseIdError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    evacuated: HashMap<FailureDomain, Order>,
    /// Domains whose order has ended, with the time of its end.
    returned: HashMap<FailureDomain, Millis>,
}

#[derive(Clone, Copy, Debug)]
struct Order {
    since: Millis,
    /// When the order ends if the operator doesn't write it again.
    expires_at: Option<Millis>,
}

impl Evacuations {
    /// Adds an order; `None` if it was already in force.
    pub fn add_order(&mut self, domain: &FailureDomain, now: Millis) -> Option<EvacuationChange> {
        let is_new = !self.evacuated.contains_key(domain);
        let order = self.evacuated.entry(domain.clone());
        order.or_insert(Order { since: now, expires_at: None }).expires_at = None;
        is_new.then(|| EvacuationChange::Evacuated(domain.clone()))
    }

    /// Ends an order; `None` if it wasn't in force.
    pub fn end_order(&mut self, domain: &FailureDomain, now: Millis) -> Option<EvacuationChange> {
        self.evacuated.remove(domain)?;
        self.returned.retain(|_, at| now.since(*at) < RETURNED_RETENTION);
        self.returned.insert(domain.clone(), now);
        Some(EvacuationChange::Returned(domain.clone()))
    }

    /// Replaces the orders by the complete list of the store.
    pub fn replace(&mut self, orders: &[FailureDomain], now: Millis) -> Vec<EvacuationChange> {
        let is_in_grace = |order: &Order| order.expires_at.is_some_and(|at| now < at);
        let mut missing = self.unlisted(orders);
        missing.retain(|domain| !self.evacuated.get(domain).is_some_and(is_in_grace));
        let mut changes: Vec<_> = orders.iter().filter_map(|d| self.add_order(d, now)).collect();
        changes.extend(missing.iter().filter_map(|d| self.end_order(d, now)));
        changes
    }

    /// Merges the complete list of a store that was restored from an older copy: orders that it
    /// lacks end only after a grace period.
    pub fn replace_by_restored(
        &mut self,
        orders: &[FailureDomain],
        now: Millis,
    ) -> Vec<EvacuationChange> {
        for domain in self.unlisted(orders) {
            let order = self.evacuated.get_mut(&domain);
            order.into_iter().for_each(|order| {
                order.expires_at.get_or_insert(now.after(REWRITE_GRACE));
            });
        }
        orders.iter().filter_map(|domain| self.add_order(domain, now)).collect()
    }

    fn unlisted(&self, orders: &[FailureDomain]) -> Vec<FailureDomain> {
        self.evacuated.keys().filter(|domain| !orders.contains(domain)).cloned().collect()
    }

    /// Ends the orders whose grace period is over.
    pub fn expire(&mut self, now: Millis) -> Vec<EvacuationChange> {
        let is_over = |order: &Order| order.expires_at.is_some_and(|at| now >= at);
        let over = self.evacuated.iter().filter(|(_, order)| is_over(order));
        let over: Vec<_> = over.map(|(domain, _)| domain.clone()).collect();
        self.returned.retain(|_, at| now.since(*at) < RETURNED_RETENTION);
        over.iter().filter_map(|domain| self.end_order(domain, now)).collect()
    }

    /// Returns whether a domain gets no new requests.
    pub fn is_evacuated(&self, domain: &FailureDomain) -> bool {
        self.evacuated.contains_key(domain)
    }

    /// Returns the domains with an order in force, each with the time at which this gateway
    /// received the order.
    pub fn evacuated(&self) -> impl Iterator<Item = (&FailureDomain, Millis)> {
        self.evacuated.iter().map(|(domain, order)| (domain, order.since))
    }

    /// Returns whether the order of any domain ended within the last minute.
    pub fn has_returned(&self) -> bool {
        !self.returned.is_empty()
    }

    /// Returns when the order of a domain ended, if that was within the last minute.
    pub fn returned_at(&self, domain: &FailureDomain) -> Option<Millis> {
        self.returned.get(domain).copied()
    }
}
