//! The store's records of the versions in service, as gateways that start send them to each other.

use bytes::Bytes;
use redwingfold_core::Millis;

use super::snapshot::Record;
use crate::gateway::Gateway;

pub(super) const PATH: &str = "/versions";

/// Time for which the records are sent to other gateways. Those that start together need them within a second or two;
/// later, the records may have been replaced.
const RETENTION: Millis = Millis(3_000);

/// The records of the versions in service, and when they were read.
#[derive(Debug, Default)]
pub(crate) struct StoredVersions(Option<(Millis, Vec<Record>)>);

impl StoredVersions {
    /// Returns the records while they may be sent, with the time when they were read.
    fn current(&self, now: Millis) -> Option<&(Millis, Vec<Record>)> {
        self.0.as_ref().filter(|(read_at, _)| now.since(*read_at) < RETENTION)
    }
}

impl Gateway {
    /// Keeps the records of the versions in service for other gateways that start, as they were read at `read_at`.
    pub fn keep_stored_versions(&self, read_at: Millis, records: &[Record]) {
        *self.stored_versions.borrow_mut() = StoredVersions(Some((read_at, records.to_vec())));
    }
}

/// Encodes the records and their age; `None` if there are none, or if a rollout may replace them.
pub(super) fn encode_reply(gw: &Gateway) -> Option<Vec<u8>> {
    if !gw.with_rollouts(|r| r.is_idle()) {
        return None;
    }
    let (stored, now) = (gw.stored_versions.borrow(), gw.now());
    let (read_at, records) = stored.current(now)?;
    let values = records.iter().map(|r| (r.key.as_str(), r.value.as_deref().unwrap_or_default()));
    postcard::to_stdvec(&(now.since(*read_at).0, values.collect::<Vec<_>>())).ok()
}

/// Decodes a reply to a request that began at `began`; returns when the records were read, and the records.
pub(super) fn decode_reply(
    body: &[u8],
    began: Millis,
) -> Result<(Millis, Vec<Record>), postcard::Error> {
    let (age, values): (u64, Vec<(String, Bytes)>) = postcard::from_bytes(body)?;
    let record =
        |(key, value): (String, Bytes)| Record { key, value: (!value.is_empty()).then_some(value) };
    Ok((Millis(began.0.saturating_sub(age)), values.into_iter().map(record).collect()))
}
