//! Loads of weights, a bounded number at once, agreed through the log.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{ClaimId, HostId, Millis, Offset, VersionName};

/// A record of a version's stream of loads.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "type")]
pub enum LoadRecord {
    /// A host asks to load.
    Begin {
        /// Chosen by the host for this load.
        id: ClaimId,
        /// The host.
        host: HostId,
        /// The version.
        version: VersionName,
        /// Loads of this version that may go on at once, as the host computes it.
        limit: u32,
        /// When, by the host's clock, since 1970.
        at: Millis,
    },
    /// A load has ended, or will not be made.
    End {
        /// The load.
        id: ClaimId,
    },
}

/// The fold of a version's stream of loads.
///
/// A load is granted if, at its place in the log, fewer loads than its limit go on. One whose host
/// died without an end counts until its time has passed, or the host asks anew.
#[derive(Clone, Debug)]
pub struct LoadFold {
    offset: Offset,
    max_duration: Millis,
    active: BTreeMap<ClaimId, (HostId, Millis)>,
}

impl LoadFold {
    /// Makes an empty fold; a load is given up after `longest`.
    pub fn new(max_duration: Millis) -> Self {
        Self { offset: Offset(0), max_duration, active: BTreeMap::new() }
    }

    /// Folds one record as it stands in the log; unreadable ones are passed over.
    ///
    /// ```
    /// use redwingfold_core::{ClaimId, LoadFold, LoadRecord, Millis, Offset};
    /// let begin = |id: u128| serde_json::to_vec(&LoadRecord::Begin {
    ///     id: ClaimId(id), host: format!("gpu-{id}").parse().unwrap(), version: "v".parse().unwrap(),
    ///     limit: 1, at: Millis(10),
    /// }).unwrap();
    /// let mut fold = LoadFold::new(Millis(1000));
    /// fold.apply(Offset(1), &begin(1));
    /// fold.apply(Offset(2), &begin(2));
    /// assert!(fold.is_granted(ClaimId(1)) && !fold.is_granted(ClaimId(2)));
    /// ```
    pub fn apply(&mut self, offset: Offset, raw: &[u8]) {
        if offset <= self.offset {
            return;
        }
        self.offset = offset;
        match serde_json::from_slice::<LoadRecord>(raw) {
            Ok(LoadRecord::Begin { id, host, limit, at, .. }) => {
                let max_duration = self.max_duration;
                self.active.retain(|_, (h, since)| *h != host && at.since(*since) < max_duration);
                if self.active.len() < limit.max(1) as usize {
                    self.active.insert(id, (host, at));
                }
            }
            Ok(LoadRecord::End { id }) => {
                self.active.remove(&id);
            }
            Err(_) => {}
        }
    }

    /// Says whether a load may go on.
    pub fn is_granted(&self, id: ClaimId) -> bool {
        self.active.contains_key(&id)
    }

    /// Returns how many loads of other hosts go on.
    pub fn active_on_other_hosts(&self, own: &HostId, now: Millis) -> usize {
        let is_active_elsewhere = |(host, since): &&(HostId, Millis)| {
            host != own && now.since(*since) < self.max_duration
        };
        self.active.values().filter(is_active_elsewhere).count()
    }

    /// Returns a host's load that goes on as far as the log knows.
    pub fn active_load_of(&self, host: &HostId) -> Option<ClaimId> {
        self.active.iter().find(|(_, (h, _))| h == host).map(|(id, _)| *id)
    }

    /// Returns the offset of the last record that was folded.
    pub fn offset(&self) -> Offset {
        self.offset
    }
}

/// A side's claim to give orders to the engines of its host. Its offset is the fencing number.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FenceRecord {
    /// Chosen by the side for this claim.
    pub id: ClaimId,
    /// The host.
    pub host: HostId,
}
