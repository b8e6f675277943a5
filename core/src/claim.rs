//! Claims on requests that run at most once.
//!
//! An entry appends a claim to the key's partition of the log before it sends the request on, and
//! the first claim in log order wins. The claim names the one side process, by host and
//! incarnation, at which it may run. That side is therefore able to close a claim for good: it
//! promises never to run it, and a new claim that cites the closed one may take its place.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::ids::{ClaimId, HostId, Incarnation, KeyHash, Offset, RequestId};

/// A record of a claims stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// Chosen by the entry for this append.
    pub id: ClaimId,
    /// What is claimed.
    pub key: KeyHash,
    /// The request that claims it.
    pub request: RequestId,
    /// Host of the one side process at which it may run.
    pub host: HostId,
    /// Start of that side process.
    pub incarnation: Incarnation,
    /// The claim that the side has closed and that this one replaces.
    #[serde(default)]
    pub replaces: Option<ClaimId>,
}

/// Where a claim stands.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimStatus {
    /// It has not been read from the log.
    Absent,
    /// Another claim is ahead of it.
    HeldByOther(Claim),
    /// It holds the key.
    HoldsKey,
}

/// The fold of one partition of claims.
#[derive(Clone, Debug, Default)]
pub struct ClaimFold {
    offset: Offset,
    holders: HashMap<KeyHash, Claim>,
    skipped: u64,
}

impl ClaimFold {
    /// Folds one record as it stands in the log; unreadable ones are counted and skipped.
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
            // Only the claim that holds the key can be replaced, so of several that cite the same
            // closed claim the first in log order wins.
            Some(holder) if claim.replaces == Some(holder.id) => {
                self.holders.insert(claim.key, claim);
            }
            Some(_) => {}
        }
    }

    /// Returns where `claim` stands.
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

    /// Returns the offset of the last record that was folded.
    pub fn offset(&self) -> Offset {
        self.offset
    }

    /// Returns how many records could not be read.
    pub fn skipped(&self) -> u64 {
        self.skipped
    }
}
