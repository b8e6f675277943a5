//! The newest records of the operator's topic, as of an offset.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use redwingfold_core::Millis;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::delta;

/// The newest value of a key; `None` if the key was dropped.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// Its key.
    pub key: String,
    /// Its value.
    pub value: Option<Bytes>,
}

/// Names an image by its bytes.
pub(super) type Digest = u64;

/// The newest records, as bytes.
#[derive(Clone, Debug)]
struct Snapshot {
    digest: Digest,
    bytes: Bytes,
}

/// What a gateway answers to one that knows less.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct OrdersReply {
    /// Offset up to which the records are known.
    pub(super) next: u64,
    /// How long ago that was read, in milliseconds.
    pub(super) age: u64,
    pub(super) digest: Digest,
    /// Length of the image.
    pub(super) len: usize,
    /// The image from which it differs by `delta`; `None` for an empty one.
    pub(super) base: Option<Digest>,
    pub(super) delta: Bytes,
}

/// Why an offer is of no use.
#[derive(Debug)]
pub(super) enum ReplyError {
    /// It differs from an image that is not known here.
    UnknownBase,
    /// It does not give the image that it names.
    ContentMismatch,
    /// It is longer than what is taken.
    TooLong,
}

/// Earlier images that are kept, as those of gateways that are somewhat behind.
const MAX_EARLIER_SNAPSHOTS: usize = 4;

/// Bytes of earlier images that are kept: an image of usual length is 20 kB, and one of 4 MB may stand once more.
const MAX_EARLIER_BYTES: usize = 4 * 1024 * 1024;

/// The records that a gateway knows, and what it has of earlier ones.
#[derive(Debug, Default)]
pub(crate) struct OrderSnapshots {
    next: u64,
    as_of: Millis,
    newest: Option<Snapshot>,
    earlier: VecDeque<Snapshot>,
    /// What was written of the newest image, by its base: many ask at once, and from the same one.
    deltas: Vec<(Option<Digest>, Bytes)>,
}

impl Snapshot {
    fn new(records: &BTreeMap<String, Bytes>) -> Option<Self> {
        let bytes = Bytes::from(postcard::to_stdvec(records).ok()?);
        Some(Self { digest: xxh3_64(&bytes), bytes })
    }

    fn records(&self) -> BTreeMap<String, Bytes> {
        // What is not an image of ours does not get here: its digest was compared.
        postcard::from_bytes(&self.bytes).unwrap_or_default()
    }
}

impl OrderSnapshots {
    /// Takes what a read brought that began at `as_of`: the newest of each key, or what is new.
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

    /// Returns the name of the newest image.
    pub(super) fn digest(&self) -> Option<Digest> {
        self.newest.as_ref().map(|snapshot| snapshot.digest)
    }

    /// Makes the answer to a gateway that has the image `have` and knows the feed up to `next`; `None` if that
    /// is not less than what is known here.
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

    /// Takes another gateway's answer of at most `max` bytes, and returns its records.
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
