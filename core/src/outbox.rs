//! Buffer of records until the log service confirms their append.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::hash::Hash;

use crate::ids::{ClaimId, Millis};

/// The record does not fit into the outbox.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OutboxFull;

/// Records by key, bounded in bytes and sent in batches.
///
/// A batch is kept until it is confirmed. The response to its append can be lost, so each batch has
/// an ID by which the log is searched before the batch is appended again.
#[derive(Debug)]
pub struct Outbox<K, R> {
    max_bytes: usize,
    bytes: usize,
    waiting: VecDeque<K>,
    records: HashMap<K, Entry<R>>,
    in_flight: BTreeMap<ClaimId, Vec<K>>,
    dropped: u64,
}

#[derive(Debug)]
struct Entry<R> {
    record: R,
    size: usize,
    not_before: Millis,
    sent: bool,
}

impl<K: Clone + Eq + Hash, R: Clone> Outbox<K, R> {
    /// Creates an outbox for at most `max_bytes` of records.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            bytes: 0,
            waiting: VecDeque::new(),
            records: HashMap::new(),
            in_flight: BTreeMap::new(),
            dropped: 0,
        }
    }

    /// Adds a record to be sent no earlier than `not_before`; replaces one with the same key.
    ///
    /// # Errors
    ///
    /// [`OutboxFull`] if the record does not fit; no other record is evicted for it.
    pub fn push(
        &mut self,
        key: K,
        record: R,
        size: usize,
        not_before: Millis,
    ) -> Result<(), OutboxFull> {
        let freed = self.records.get(&key).map_or(0, |e| e.size);
        if self.bytes - freed + size > self.max_bytes {
            self.dropped += 1;
            return Err(OutboxFull);
        }
        self.bytes = self.bytes - freed + size;
        self.records.insert(key.clone(), Entry { record, size, not_before, sent: false });
        self.waiting.push_back(key);
        Ok(())
    }

    /// Returns whether `size` more bytes fit.
    pub fn has_room(&self, size: usize) -> bool {
        self.bytes + size <= self.max_bytes
    }

    /// Returns the next batch of at most `max` due records, and marks it as in flight under `id`.
    pub fn take_batch(&mut self, id: ClaimId, max: usize, now: Millis) -> Vec<R> {
        let mut keys = Vec::new();
        let mut batch = Vec::new();
        for _ in 0..self.waiting.len() {
            if batch.len() == max {
                break;
            }
            let Some(key) = self.waiting.pop_front() else { break };
            match self.records.get_mut(&key) {
                Some(entry) if entry.sent => {}
                Some(entry) if entry.not_before > now => self.waiting.push_back(key),
                Some(entry) => {
                    entry.sent = true;
                    batch.push(entry.record.clone());
                    keys.push(key);
                }
                None => {}
            }
        }
        if !keys.is_empty() {
            self.in_flight.insert(id, keys);
        }
        batch
    }

    /// Returns the records of a batch that is still unconfirmed, for appending it again.
    pub fn batch(&self, id: ClaimId) -> Vec<R> {
        let keys = self.in_flight.get(&id).map(Vec::as_slice).unwrap_or_default();
        keys.iter().filter_map(|key| self.records.get(key)).map(|e| e.record.clone()).collect()
    }

    /// Confirms a batch and returns its keys.
    pub fn confirm(&mut self, id: ClaimId) -> Vec<K> {
        let keys = self.in_flight.remove(&id).unwrap_or_default();
        for key in &keys {
            // A record that was replaced while its batch was in flight is not in the log yet.
            if self.records.get(key).is_some_and(|entry| entry.sent) {
                self.remove(key);
            }
        }
        keys
    }

    /// Removes a record, for example after another holder confirmed it.
    pub fn remove(&mut self, key: &K) {
        if let Some(entry) = self.records.remove(key) {
            self.bytes -= entry.size;
        }
    }

    /// Makes every record due now, for a shutdown.
    pub fn make_all_due(&mut self) {
        for entry in self.records.values_mut() {
            entry.not_before = Millis(0);
        }
    }

    /// Returns all unconfirmed records, for a transfer to another holder.
    pub fn records(&self) -> impl Iterator<Item = (&K, &R)> {
        self.records.iter().map(|(key, entry)| (key, &entry.record))
    }

    /// Returns the number of unconfirmed records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether every record is confirmed.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the size of the unconfirmed records in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns how many records were rejected because they did not fit.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}
