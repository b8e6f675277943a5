//! Customers' shares of the servers' time, over all gateways.

mod decay;
mod report_numbers;

use std::cmp::Reverse;
use std::collections::HashMap;

use crate::ids::Millis;
use decay::DecayReference;
pub use report_numbers::ReportNumbers;

/// Most customers that are kept.
const MAX_CUSTOMERS: usize = 4_096;

/// Customers that are evicted at once, the least used first. The selection visits all customers, so its cost per
/// evicted customer is constant.
const EVICTED_AT_ONCE: usize = MAX_CUSTOMERS / 8;

/// Most entries of a report. They take about 200 bytes.
const MAX_REPORT_ENTRIES: usize = 32;

/// Most work of one customer that a gateway can have sent within a report interval of 1 s: 100 requests, at 10 ms of
/// the gateway's time each, of 10 s at a server.
const MAX_WORK_PER_INTERVAL: Millis = Millis(1_000_000);

/// Weighted work that counts as none, in ms: a thousandth of the least that can be recorded at the largest weight.
const NEGLIGIBLE_WORK_MS: f64 = 0.000_001;

/// Range of valid weights.
const WEIGHTS: std::ops::RangeInclusive<f64> = 0.001..=1_000.0;

/// Recent work of customers at backend servers, in milliseconds of server time.
///
/// Own work is recorded when it is sent, and that of other gateways when their reports arrive. Work decays with a
/// half-life of 5 s. Customers are identified by hashes. At most 4,096 are kept; the least used are evicted first, and
/// their work is not reported.
///
/// ```
/// use redwingfold_core::{CustomerShares, Millis};
/// let (mut here, mut there) = (CustomerShares::default(), CustomerShares::default());
/// here.record(7, Millis(300), Millis(0));
/// there.record(8, Millis(100), Millis(0));
/// there.apply_peer(&here.report(32, Millis(1_000)), Millis(1_000));
/// assert!(there.usage(8, Millis(1_000)) < there.usage(7, Millis(1_000)));
/// assert_eq!(here.share(7, Millis(1_000)), 1.0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct CustomerShares {
    customers: HashMap<u32, CustomerWork>,
    /// Weights other than 1, which outlast the eviction of their customers.
    weights: HashMap<u32, f64>,
    reference: DecayReference,
    /// Sum of the weighted amounts of all customers.
    total: f64,
}

#[derive(Clone, Copy, Debug)]
struct CustomerWork {
    /// Work over all gateways divided by the weight, relative to the reference time.
    weighted: f64,
    weight: f64,
    /// Own work that was not reported to the other gateways yet.
    unreported: Millis,
}

impl CustomerShares {
    /// Records work of a customer that this gateway sent. Amounts above 1,000 s count as 1,000 s.
    ///
    /// ```
    /// use redwingfold_core::{CustomerShares, Millis};
    /// let mut shares = CustomerShares::default();
    /// shares.record(7, Millis(300), Millis(0));
    /// assert_eq!(shares.usage(7, Millis(0)), 300.0);
    /// assert_eq!(shares.usage(7, Millis(5_000)), 150.0);
    /// ```
    pub fn record(&mut self, customer: u32, work: Millis, now: Millis) {
        let work = work.min(MAX_WORK_PER_INTERVAL);
        if let Some(record) = self.add(customer, work, now) {
            record.unreported = record.unreported.after(work);
        }
    }

    /// Sets the weight of a customer, which is 1 unless set. Weights outside of 0.001 to 1,000 are ignored, and so are
    /// those of more than 4,096 customers.
    ///
    /// ```
    /// use redwingfold_core::{CustomerShares, Millis};
    /// let mut shares = CustomerShares::default();
    /// shares.record(7, Millis(300), Millis(0));
    /// shares.set_weight(7, 3.0);
    /// assert_eq!(shares.usage(7, Millis(0)), 100.0);
    /// ```
    pub fn set_weight(&mut self, customer: u32, weight: f64) {
        let previous = self.weight(customer);
        let has_room = self.weights.len() < MAX_CUSTOMERS || self.weights.contains_key(&customer);
        match weight {
            _ if !WEIGHTS.contains(&weight) || weight == previous => return,
            1.0 => drop(self.weights.remove(&customer)),
            _ if !has_room => return,
            _ => drop(self.weights.insert(customer, weight)),
        }
        if let Some(record) = self.customers.get_mut(&customer) {
            record.weighted *= record.weight / weight;
            record.weight = weight;
            self.sum_up();
        }
    }

    /// Returns the recent work of a customer over all gateways divided by its weight, in milliseconds.
    pub fn usage(&self, customer: u32, now: Millis) -> f64 {
        self.weighted(customer) * self.reference.remaining(now)
    }

    /// Returns a customer's part of the recent weighted work of all customers, from 0 to 1; 0 if there is none.
    ///
    /// ```
    /// use redwingfold_core::{CustomerShares, Millis};
    /// let mut shares = CustomerShares::default();
    /// shares.record(7, Millis(300), Millis(0));
    /// shares.record(8, Millis(100), Millis(0));
    /// assert_eq!(shares.share(7, Millis(9_000)), 0.75);
    /// assert_eq!(shares.share(9, Millis(9_000)), 0.0);
    /// ```
    pub fn share(&self, customer: u32, now: Millis) -> f64 {
        let remaining = self.total * self.reference.remaining(now);
        // All work decays by the same factor, so the quotient needs none.
        let share = self.weighted(customer) / self.total;
        if remaining > NEGLIGIBLE_WORK_MS { share.min(1.0) } else { 0.0 }
    }

    /// Returns the number of customers with recent work.
    pub fn len(&self) -> usize {
        self.customers.len()
    }

    /// Returns whether no customer has recent work.
    pub fn is_empty(&self) -> bool {
        self.customers.is_empty()
    }

    /// Takes the largest amounts of own work since the last report: customer, and work in milliseconds.
    ///
    /// There are at most `max` entries, and never more than 32. Work that does not fit stays for the next report.
    ///
    /// ```
    /// use redwingfold_core::{CustomerShares, Millis};
    /// let mut shares = CustomerShares::default();
    /// shares.record(7, Millis(300), Millis(0));
    /// shares.record(8, Millis(500), Millis(0));
    /// assert_eq!(shares.report(1, Millis(1_000)), [(8, 500)]);
    /// assert_eq!(shares.report(1, Millis(2_000)), [(7, 300)]);
    /// assert!(shares.report(1, Millis(3_000)).is_empty());
    /// ```
    pub fn report(&mut self, max: usize, now: Millis) -> Vec<(u32, u32)> {
        self.advance(now);
        let unreported = self.customers.iter().filter(|(_, record)| record.unreported > Millis(0));
        let mut largest: Vec<_> = unreported.map(|(c, record)| (*c, record.unreported)).collect();
        largest.sort_unstable_by_key(|(customer, work)| (Reverse(*work), *customer));
        largest.truncate(max.min(MAX_REPORT_ENTRIES));
        largest
            .into_iter()
            .map(|(customer, _)| (customer, self.take_unreported(customer)))
            .collect()
    }

    /// Adds the report of another gateway.
    ///
    /// Work above the most that one gateway can have sent in a report interval, 1,000 s, is ignored. So are repeated
    /// customers and the entries after the 32nd, none of which a gateway sends.
    pub fn apply_peer(&mut self, report: &[(u32, u32)], now: Millis) {
        let report = &report[..report.len().min(MAX_REPORT_ENTRIES)];
        for (index, (customer, work)) in report.iter().enumerate() {
            if report[..index].iter().all(|(previous, _)| previous != customer) {
                self.add(*customer, Millis((*work).into()).min(MAX_WORK_PER_INTERVAL), now);
            }
        }
    }

    fn add(&mut self, customer: u32, work: Millis, now: Millis) -> Option<&mut CustomerWork> {
        if work == Millis(0) {
            return None;
        }
        self.advance(now);
        if self.customers.len() >= MAX_CUSTOMERS && !self.customers.contains_key(&customer) {
            self.evict_least_used();
        }
        let weight = self.weight(customer);
        let added = self.reference.amount(work, now) / weight;
        self.total += added;
        let unused = CustomerWork { weighted: 0.0, weight, unreported: Millis(0) };
        let record = self.customers.entry(customer).or_insert(unused);
        record.weighted += added;
        Some(record)
    }

    fn weight(&self, customer: u32) -> f64 {
        self.weights.get(&customer).copied().unwrap_or(1.0)
    }

    fn weighted(&self, customer: u32) -> f64 {
        self.customers.get(&customer).map_or(0.0, |record| record.weighted)
    }

    fn take_unreported(&mut self, customer: u32) -> u32 {
        self.customers.get_mut(&customer).map_or(0, |record| {
            let taken = record.unreported.min(MAX_WORK_PER_INTERVAL);
            record.unreported = record.unreported.since(taken);
            taken.0 as u32
        })
    }

    fn evict_least_used(&mut self) {
        let mut by_usage: Vec<_> = self.customers.iter().map(|(c, r)| (r.weighted, *c)).collect();
        by_usage.select_nth_unstable_by(EVICTED_AT_ONCE, |a, b| {
            a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))
        });
        by_usage[..EVICTED_AT_ONCE].iter().for_each(|(_, customer)| {
            self.customers.remove(customer);
        });
        self.sum_up();
    }

    /// Moves the reference time if it is old, and drops the customers whose work has decayed.
    fn advance(&mut self, now: Millis) {
        let Some(factor) = self.reference.advance(now) else { return };
        self.customers.retain(|_, record| {
            record.weighted *= factor;
            record.weighted > NEGLIGIBLE_WORK_MS || record.unreported > Millis(0)
        });
        self.sum_up();
    }

    fn sum_up(&mut self) {
        self.total = self.customers.values().map(|record| record.weighted).sum();
    }
}
