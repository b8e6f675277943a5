//! Failure domains that get no new work, by the operator's order.

use std::collections::HashMap;

use crate::ids::{FailureDomain, Millis};

/// Time for which the end of an order is remembered: servers are cold for seconds after it.
const RETURNED_RETENTION: Millis = Millis(60_000);

/// Time that the operator has to write an order again which a store from an older copy lacks.
const REWRITE_GRACE: Millis = Millis(10_000);

/// Something that changed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EvacuationChange {
    /// A domain is emptied from now on.
    Emptied(FailureDomain),
    /// A domain gets work again.
    Returned(FailureDomain),
}

/// The orders in force.
///
/// A store that comes back from an older copy ends none: what it lacks stays in force for as long as the operator takes
/// to write again, whoever reads or passes on the copy meanwhile. One that it has stands, though it may have ended since:
/// it may as well have been written again, and a domain that idles for a moment harms less than one that gets work.
///
/// ```
/// use redwingfold_core::{EvacuationChange, Evacuations, Millis};
/// let mut evacuations = Evacuations::default();
/// let domain: redwingfold_core::FailureDomain = "hall-1".parse()?;
/// let changes = evacuations.replace(&[domain.clone()], Millis(5));
/// assert_eq!(changes, [EvacuationChange::Emptied(domain.clone())]);
/// assert!(evacuations.is_emptied(&domain));
/// # Ok::<(), redwingfold_core::ParseIdError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    emptied: HashMap<FailureDomain, Order>,
    /// Domains that were returned, and when.
    returned: HashMap<FailureDomain, Millis>,
}

#[derive(Clone, Copy, Debug)]
struct Order {
    since: Millis,
    /// When it ends if it is not written again.
    expires_at: Option<Millis>,
}

impl Evacuations {
    /// Takes an order.
    pub fn add_order(&mut self, domain: &FailureDomain, now: Millis) -> Option<EvacuationChange> {
        let is_new = !self.emptied.contains_key(domain);
        let order = self.emptied.entry(domain.clone());
        order.or_insert(Order { since: now, expires_at: None }).expires_at = None;
        is_new.then(|| EvacuationChange::Emptied(domain.clone()))
    }

    /// Takes the end of an order.
    pub fn end_order(&mut self, domain: &FailureDomain, now: Millis) -> Option<EvacuationChange> {
        self.emptied.remove(domain)?;
        self.returned.retain(|_, at| now.since(*at) < RETURNED_RETENTION);
        self.returned.insert(domain.clone(), now);
        Some(EvacuationChange::Returned(domain.clone()))
    }

    /// Takes all orders that stand.
    pub fn replace(&mut self, orders: &[FailureDomain], now: Millis) -> Vec<EvacuationChange> {
        let is_in_grace = |order: &Order| order.expires_at.is_some_and(|at| now < at);
        let mut missing = self.unlisted(orders);
        missing.retain(|domain| !self.emptied.get(domain).is_some_and(is_in_grace));
        let mut changes: Vec<_> = orders.iter().filter_map(|d| self.add_order(d, now)).collect();
        changes.extend(missing.iter().filter_map(|d| self.end_order(d, now)));
        changes
    }

    /// Takes all orders of a store that has come back from an older copy.
    pub fn replace_by_copy(
        &mut self,
        orders: &[FailureDomain],
        now: Millis,
    ) -> Vec<EvacuationChange> {
        for domain in self.unlisted(orders) {
            let order = self.emptied.get_mut(&domain);
            order.into_iter().for_each(|order| {
                order.expires_at.get_or_insert(now.after(REWRITE_GRACE));
            });
        }
        orders.iter().filter_map(|domain| self.add_order(domain, now)).collect()
    }

    fn unlisted(&self, orders: &[FailureDomain]) -> Vec<FailureDomain> {
        self.emptied.keys().filter(|domain| !orders.contains(domain)).cloned().collect()
    }

    /// Ends the orders that were not written again in time.
    pub fn expire(&mut self, now: Millis) -> Vec<EvacuationChange> {
        let is_over = |order: &Order| order.expires_at.is_some_and(|at| now >= at);
        let over = self.emptied.iter().filter(|(_, order)| is_over(order));
        let over: Vec<_> = over.map(|(domain, _)| domain.clone()).collect();
        self.returned.retain(|_, at| now.since(*at) < RETURNED_RETENTION);
        over.iter().filter_map(|domain| self.end_order(domain, now)).collect()
    }

    /// Says whether a domain gets no new work.
    pub fn is_emptied(&self, domain: &FailureDomain) -> bool {
        self.emptied.contains_key(domain)
    }

    /// Returns the emptied domains, each with the time since which it is known to be.
    pub fn emptied(&self) -> impl Iterator<Item = (&FailureDomain, Millis)> {
        self.emptied.iter().map(|(domain, order)| (domain, order.since))
    }

    /// Says whether any domain was returned within the last minute.
    pub fn has_returned(&self) -> bool {
        !self.returned.is_empty()
    }

    /// Returns when a domain was last returned, if that was within the last minute.
    pub fn returned_at(&self, domain: &FailureDomain) -> Option<Millis> {
        self.returned.get(domain).copied()
    }
}
