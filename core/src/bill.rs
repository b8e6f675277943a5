//! Billing records and how their consumers count them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{CustomerName, KeyHash, Millis, RequestId, VersionName};

/// What one request costs its customer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Bill {
    /// One id for a customer's request, however often it is repeated or escalated.
    pub id: KeyHash,
    /// Which attempt of the request made the record; the highest counts.
    pub attempt: u32,
    /// Who pays.
    pub customer: CustomerName,
    /// The request as the entry numbered it.
    pub request: RequestId,
    /// Version of the answer that was given, or the service's name.
    pub version: VersionName,
    /// Tokens of all attempts.
    pub tokens: u64,
    /// Cost of all attempts, in millionths of the currency.
    pub cost: u64,
    /// When the answer ended, since 1970.
    pub at: Millis,
}

impl Bill {
    /// Returns the id of the bill for a request: from the idempotency key if there is one, so that
    /// a repeat through another entry has the same, else from the request.
    pub fn id_for(customer: &CustomerName, key: Option<&str>, request: RequestId) -> KeyHash {
        match key {
            Some(key) => KeyHash::of(customer, &format!("key:{key}")),
            None => KeyHash::of(customer, &format!("request:{request}")),
        }
    }
}

/// The fold of the billing stream that every consumer applies.
///
/// Entry and side may both append a record, append it twice, and in any order: each id counts
/// once, with its highest attempt; of equal attempts the first in log order counts.
#[derive(Clone, Debug, Default)]
pub struct BillFold {
    bills: BTreeMap<KeyHash, Bill>,
    skipped: u64,
}

impl BillFold {
    /// Folds one batch as it stands in the log.
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
            Some(held) if held.attempt >= bill.attempt => {}
            _ => {
                self.bills.insert(bill.id, bill);
            }
        }
    }

    /// Returns the bills that count.
    pub fn bills(&self) -> impl Iterator<Item = &Bill> {
        self.bills.values()
    }

    /// Returns how many batches could not be read.
    pub fn skipped(&self) -> u64 {
        self.skipped
    }
}
