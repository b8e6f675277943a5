//! Loads of model weights: the log bounds how many hosts load a version concurrently.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{ClaimId, HostId, Millis, Offset, VersionName};

/// A record of a version's loads stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "type")]
pub enum LoadRecord {
    /// A host requests a load.
    Begin {
        /// ID that the host generates for this load.
        id: ClaimId,
        /// The host.
        host: HostId,
        /// The version.
        version: VersionName,
        /// Maximum of concurrent loads of this version, as computed by the host.
        limit: u32,
        /// Time of the request by the host's clock, in milliseconds since the Unix epoch.
        at: Millis,
    },
    /// A load has ended, or was given up.
    End {
        /// The load.
        id: ClaimId,
    },
}

/// State folded from a version's loads stream.
///
/// A load is granted if fewer loads than its limit are active at its offset. A load whose host
/// crashed before it appended an end stays active until `max_duration` has passed or the host
/// requests a load again.
#[derive(Clone, Debug)]
pub struct LoadFold {
    offset: Offset,
    max_duration: Millis,
    active: BTreeMap<ClaimId, (HostId, Millis)>,
}

impl LoadFold {
    /// Creates an empty fold; a load expires after `max_duration`.
    pub fn new(max_duration: Millis) -> Self {
        Self { offset: Offset(0), max_duration, active: BTreeMap::new() }
    }

    /// Applies one raw record of the log; skips a record that cannot be parsed.
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

    /// Returns whether a load is granted.
    pub fn is_granted(&self, id: ClaimId) -> bool {
        self.active.contains_key(&id)
    }

    /// Returns the number of active loads of other hosts.
    pub fn active_on_other_hosts(&self, own: &HostId, now: Millis) -> usize {
        let is_active_elsewhere = |(host, since): &&(HostId, Millis)| {
            host != own && now.since(*since) < self.max_duration
        };
        self.active.values().filter(is_active_elsewhere).count()
    }

    /// Returns the active load of a host according to the log.
    pub fn active_load_of(&self, host: &HostId) -> Option<ClaimId> {
        self.active.iter().find(|(_, (h, _))| h == host).map(|(id, _)| *id)
    }

    /// Returns the offset of the last record applied.
    pub fn offset(&self) -> Offset {
        self.offset
    }
}

/// A side's claim to control the engines of its host. Its offset is the fencing token.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FenceRecord {
    /// ID that the side generates for this claim.
    pub id: ClaimId,
    /// The host.
    pub host: HostId,
}
