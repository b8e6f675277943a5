//! Snapshots of the operator's topic: the newest record of each key, as of an offset.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use redwingfold_core::Millis;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::delta;

/// The newest value of a key; `None` if the key was deleted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// Key of the record.
    pub key: String,
    /// Value of the record.
    pub value: Option<Bytes>,
}

/// Hash that identifies a snapshot by its bytes.
pub(super) type Digest = u64;

/// The newest record of each key, encoded.
#[derive(Clone, Debug)]
struct Snapshot {
    digest: Digest,
    bytes: Bytes,
}

/// Reply to a gateway that is behind.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct OrdersReply {
    /// Offset in the topic up to which the records are complete.
    pub(super) next: u64,
    /// Time since the records were read, in milliseconds.
    pub(super) age: u64,
    pub(super) digest: Digest,
    /// Length of the snapshot, in bytes.
    pub(super) len: usize,
    /// The snapshot that `delta` is based on; `None` for an empty one.
    pub(super) base: Option<Digest>,
    pub(super) delta: Bytes,
}

/// Why a reply can't be applied.
#[derive(Debug)]
pub(super) enum ReplyError {
    /// The delta is based on an unknown snapshot.
    UnknownBase,
    /// The decoded content does not match the digest.
    ContentMismatch,
    /// The snapshot exceeds the size limit.
    TooLong,
}

/// Earlier snapshots that are kept as bases for gateways that are slightly behind.
const MAX_EARLIER_SNAPSHOTS: usize = 4;

/// Limit on the bytes of earlier snapshots. A typical snapshot is 20 kB; one of 4 MB is still kept once.
const MAX_EARLIER_BYTES: usize = 4 * 1024 * 1024;

/// The newest snapshot of the operator's topic, and some earlier ones.
#[derive(Debug, Default)]
pub(crate) struct OrderSnapshots {
    next: u64,
    as_of: Millis,
    newest: Option<Snapshot>,
    earlier: VecDeque<Snapshot>,
    /// Cached deltas to the newest snapshot, by base: many gateways ask at once, and mostly with the same base.
    deltas: Vec<(Option<Digest>, Bytes)>,
}

impl Snapshot {
    fn new(records: &BTreeMap<String, Bytes>) -> Option<Self> {
        let bytes = Bytes::from(postcard::to_stdvec(records).ok()?);
        Some(Self { digest: xxh3_64(&bytes), bytes })
    }

    fn records(&self) -> BTreeMap<String, Bytes> {
        // Invalid bytes can't get here, as the digest was compared.
        postcard::from_bytes(&self.bytes).unwrap_or_default()
    }
}

impl OrderSnapshots {
    /// Applies the records of a read that started at `as_of`: the newest record of each key if `is_all`, otherwise new
    /// ones.
    pub(crate) fn record_read(
        &mut self,
        records: &[Record],
        is_all: bool,
        next: u64,
        as_of: Millis,
    ) {
        (self.next, self.as_of) = (next, as_of);
        if records.is_empty() && !is_all && self.newest.is_some() {
            return;
        }
        let current = self.newest.as_ref().filter(|_| !is_all).map(Snapshot::records);
        let mut all = current.unwrap_or_default();
        for record in records {
            match &record.value {
                Some(value) => all.insert(record.key.clone(), value.clone()),
                None => all.remove(&record.key),
            };
        }
        if let Some(snapshot) = Snapshot::new(&all) {
            self.replace(snapshot);
        }
    }

    fn replace(&mut self, snapshot: Snapshot) {
        if self.newest.as_ref().is_some_and(|newest| newest.digest == snapshot.digest) {
            return;
        }
        self.deltas.clear();
        self.earlier.extend(self.newest.replace(snapshot));
        let bytes =
            |snapshots: &VecDeque<Snapshot>| snapshots.iter().map(|i| i.bytes.len()).sum::<usize>();
        while self.earlier.len() > MAX_EARLIER_SNAPSHOTS || bytes(&self.earlier) > MAX_EARLIER_BYTES
        {
            self.earlier.pop_front();
        }
    }

    fn snapshot(&self, digest: Digest) -> Option<&Snapshot> {
        self.earlier.iter().chain(&self.newest).find(|snapshot| snapshot.digest == digest)
    }

    /// Returns the digest of the newest snapshot.
    pub(super) fn digest(&self) -> Option<Digest> {
        self.newest.as_ref().map(|snapshot| snapshot.digest)
    }

    /// Builds the reply to a gateway that has the snapshot `caller_base` and the feed up to `next`; `None` if
    /// this gateway is not ahead of it.
    pub(super) fn reply_to(
        &mut self,
        caller_base: Option<Digest>,
        next: Option<u64>,
        now: Millis,
    ) -> Option<OrdersReply> {
        let newest = self.newest.clone().filter(|_| next.is_none_or(|next| next < self.next))?;
        let base = caller_base.and_then(|digest| self.snapshot(digest)).cloned();
        let base_digest = base.as_ref().map(|base| base.digest);
        let cached = self.deltas.iter().find(|(of, _)| *of == base_digest);
        let delta = match cached {
            Some((_, delta)) => delta.clone(),
            None => {
                let base = base.map(|base| base.bytes).unwrap_or_default();
                let delta = Bytes::from(delta::encode(&newest.bytes, &base).ok()?);
                self.deltas.push((base_digest, delta.clone()));
                delta
            }
        };
        let age = now.since(self.as_of).0;
        let (digest, len) = (newest.digest, newest.bytes.len());
        Some(OrdersReply { next: self.next, age, digest, len, base: base_digest, delta })
    }

    /// Applies another gateway's reply with a snapshot of at most `max` bytes, and returns its records.
    pub(super) fn apply_reply(
        &mut self,
        reply: &OrdersReply,
        as_of: Millis,
        max: usize,
    ) -> Result<Vec<Record>, ReplyError> {
        if reply.len > max {
            return Err(ReplyError::TooLong);
        }
        let base = match reply.base {
            None => Bytes::new(),
            Some(digest) => self.snapshot(digest).ok_or(ReplyError::UnknownBase)?.bytes.clone(),
        };
        let bytes = delta::decode(&reply.delta, &base, reply.len)
            .map_err(|_| ReplyError::ContentMismatch)?;
        let snapshot = Snapshot { digest: xxh3_64(&bytes), bytes: bytes.into() };
        if snapshot.digest != reply.digest {
            return Err(ReplyError::ContentMismatch);
        }
        let of = |(key, value)| Record { key, value: Some(value) };
        let records = snapshot.records().into_iter().map(of).collect();
        (self.next, self.as_of) = (reply.next, as_of);
        self.replace(snapshot);
        Ok(records)
    }
}
