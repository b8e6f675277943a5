//! Billing records, and how consumers deduplicate them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{CustomerName, KeyHash, Millis, RequestId, VersionName};

/// The cost of one request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Bill {
    /// ID of the customer's request, the same for each retry and escalation.
    pub id: KeyHash,
    /// Number of the attempt that made the record; the record of the highest attempt counts.
    pub attempt: u32,
    /// The customer that is billed.
    pub customer: CustomerName,
    /// ID that the entry assigned to the request.
    pub request: RequestId,
    /// Version that gave the answer, or the service's name.
    pub version: VersionName,
    /// Tokens of all attempts.
    pub tokens: u64,
    /// Cost of all attempts, in millionths of the currency.
    pub cost: u64,
    /// Time when the answer ended, in milliseconds since the Unix epoch.
    pub at: Millis,
}

impl Bill {
    /// Returns the ID of the bill for a request. It is derived from the idempotency key if there is
    /// one, so that a retry through another entry has the same ID, else from the request ID.
    pub fn id_for(customer: &CustomerName, key: Option<&str>, request: RequestId) -> KeyHash {
        match key {
            Some(key) => KeyHash::of(customer, &format!("key:{key}")),
            None => KeyHash::of(customer, &format!("request:{request}")),
        }
    }
}

/// State folded from the billing stream; every consumer applies the same rules.
///
/// The entry and the side may both append a record, each more than once and in any order. Each ID
/// counts once, with its highest attempt; among equal attempts the first in log order counts.
#[derive(Clone, Debug, Default)]
pub struct BillFold {
    bills: BTreeMap<KeyHash, Bill>,
    skipped: u64,
}

impl BillFold {
    /// Applies one raw batch of the log; counts and skips a batch that cannot be parsed.
    ///
    /// ```
    /// use redwingfold_core::BillFold;
    /// let mut fold = BillFold::default();
    /// fold.apply(b"[]");
    /// fold.apply(b"torn");
    /// assert_eq!((fold.bills().count(), fold.skipped()), (0, 1));
    /// ```
    pub fn apply(&mut self, raw: &[u8]) {
        match serde_json::from_slice::<Vec<Bill>>(raw) {
            Ok(batch) => batch.into_iter().for_each(|bill| self.add(bill)),
            Err(_) => self.skipped += 1,
        }
    }

    fn add(&mut self, bill: Bill) {
        match self.bills.get(&bill.id) {
            Some(stored) if stored.attempt >= bill.attempt => {}
            _ => {
                self.bills.insert(bill.id, bill);
            }
        }
    }

    /// Returns the bills that count.
    pub fn bills(&self) -> impl Iterator<Item = &Bill> {
        self.bills.values()
    }

    /// Returns how many batches could not be parsed.
    pub fn skipped(&self) -> u64 {
        self.skipped
    }
}
