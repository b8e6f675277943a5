//! Claims on requests that run at most once.
//!
//! An entry appends a claim to the key's partition of the log before it forwards the request, and
//! the first claim in log order wins. The claim names the only side process, by host and
//! incarnation, that may run the request. That side can therefore close the claim permanently: it
//! will never run it, and a new claim that refers to the closed one may replace it.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::ids::{ClaimId, HostId, Incarnation, KeyHash, Offset, RequestId};

/// A record of a claims stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// ID that the entry generates for this append.
    pub id: ClaimId,
    /// Hash of the idempotency key that is claimed.
    pub key: KeyHash,
    /// The request that makes the claim.
    pub request: RequestId,
    /// Host of the only side process that may run the request.
    pub host: HostId,
    /// Incarnation of that side process.
    pub incarnation: Incarnation,
    /// The closed claim that this one replaces, if any.
    #[serde(default)]
    pub replaces: Option<ClaimId>,
}

/// Status of a claim in the folded log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimStatus {
    /// No claim on the key has been read from the log.
    Absent,
    /// This other claim holds the key.
    HeldByOther(Claim),
    /// The claim holds the key.
    HoldsKey,
}

/// State folded from one partition of the claims log: the claim that holds each key.
#[derive(Clone, Debug, Default)]
pub struct ClaimFold {
    offset: Offset,
    holders: HashMap<KeyHash, Claim>,
    skipped: u64,
}

impl ClaimFold {
    /// Applies one raw record of the log; counts and skips a record that cannot be parsed.
    pub fn apply(&mut self, offset: Offset, raw: &[u8]) {
        if offset <= self.offset {
            return;
        }
        self.offset = offset;
        match serde_json::from_slice::<Claim>(raw) {
            Ok(claim) => self.insert(claim),
            Err(_) => self.skipped += 1,
        }
    }

    fn insert(&mut self, claim: Claim) {
        match self.holders.get(&claim.key) {
            None => {
                self.holders.insert(claim.key, claim);
            }
            // Only the claim that holds the key can be replaced, so of several that refer to the
            // same closed claim the first in log order wins.
            Some(holder) if claim.replaces == Some(holder.id) => {
                self.holders.insert(claim.key, claim);
            }
            Some(_) => {}
        }
    }

    /// Returns the status of `claim`.
    pub fn status(&self, claim: &Claim) -> ClaimStatus {
        match self.holders.get(&claim.key) {
            None => ClaimStatus::Absent,
            Some(holder) if holder.id == claim.id => ClaimStatus::HoldsKey,
            Some(holder) => ClaimStatus::HeldByOther(holder.clone()),
        }
    }

    /// Returns the claim that holds a key.
    pub fn holder(&self, key: KeyHash) -> Option<&Claim> {
        self.holders.get(&key)
    }

    /// Returns the offset of the last record applied.
    pub fn offset(&self) -> Offset {
        self.offset
    }

    /// Returns how many records could not be parsed.
    pub fn skipped(&self) -> u64 {
        self.skipped
    }
}
