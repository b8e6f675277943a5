//! The fold of the configuration stream, which gives the same state on every daemon.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::change::{Change, ConfigRecord, Withdrawal};
use super::object::{Object, ObjectKey, Spec};
use super::validate;
use crate::ids::{Millis, Offset, RequestId};

/// Version of the folding rules; daemons with different versions may have different states.
pub const FOLD_RULES_VERSION: u32 = 1;

/// Maximum of audit entries, and so of record IDs that are recognised as duplicates. At 21,000
/// changes a day they cover over four hours, far longer than an author takes to read its own record
/// back.
const MAX_AUDIT_ENTRIES: usize = 4096;

/// An object with the offset of the record that last changed it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredObject {
    /// Offset of the record that set the object.
    pub revision: Offset,
    /// The object.
    pub object: Object,
}

/// The objects in effect at an offset.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Config {
    /// Offset of the last record applied.
    pub offset: Offset,
    /// The objects, by key.
    pub objects: BTreeMap<ObjectKey, StoredObject>,
}

/// Result of applying a record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "verdict")]
pub enum Verdict {
    /// The record has taken effect.
    Accepted,
    /// The record is a copy of one that was applied before.
    Duplicate {
        /// Offset of the first copy.
        of: Offset,
    },
    /// The record is not valid for the current state, and had no effect.
    Rejected {
        /// What is wrong, and the author of the conflicting change if there is one.
        why: String,
    },
    /// The record cannot be parsed, or is of a kind that these rules don't support.
    Skipped {
        /// The parse error.
        why: String,
    },
}

/// One entry of the audit trail.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AuditEntry {
    /// Offset of the record.
    pub offset: Offset,
    /// ID of the record.
    pub id: RequestId,
    /// Author of the record.
    pub author: String,
    /// Reason given by the author.
    pub reason: String,
    /// Time by the author's clock.
    pub at: Millis,
    /// Objects that the record changes.
    pub touches: Vec<ObjectKey>,
    /// Result of applying the record.
    #[serde(flatten)]
    pub verdict: Verdict,
}

/// Audit entries of the last records applied, oldest first; duplicates are recognised by them.
pub type SeenIds = VecDeque<AuditEntry>;

/// State from which a fold continues after an offset.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Snapshot {
    /// Version of the folding rules that made the snapshot.
    pub rules: u32,
    /// The objects.
    pub config: Config,
    /// The retained audit entries.
    pub audit: SeenIds,
}

/// State folded from the configuration stream.
#[derive(Clone, Debug, Default)]
pub struct ConfigFold {
    config: Config,
    audit: SeenIds,
    by_id: BTreeMap<RequestId, Offset>,
}

impl ConfigFold {
    /// Restores the state from a snapshot.
    ///
    /// # Errors
    ///
    /// Returns the snapshot's version of the rules if it is newer than [`FOLD_RULES_VERSION`].
    pub fn from_snapshot(snapshot: Snapshot) -> Result<Self, u32> {
        if snapshot.rules > FOLD_RULES_VERSION {
            return Err(snapshot.rules);
        }
        let by_id = snapshot.audit.iter().map(|e| (e.id, e.offset)).collect();
        Ok(Self { config: snapshot.config, audit: snapshot.audit, by_id })
    }

    /// Returns a snapshot of the state.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            rules: FOLD_RULES_VERSION,
            config: self.config.clone(),
            audit: self.audit.clone(),
        }
    }

    /// Returns the objects in effect.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Returns the retained audit entries, oldest first.
    pub fn audit(&self) -> &SeenIds {
        &self.audit
    }

    /// Returns the audit entry of a record, if it is still retained.
    pub fn verdict_of(&self, id: RequestId) -> Option<&AuditEntry> {
        let offset = *self.by_id.get(&id)?;
        self.audit.iter().rev().find(|entry| entry.offset == offset)
    }

    /// Returns a hash of the objects in effect; equal offsets and rules must give equal hashes.
    pub fn state_hash(&self) -> u64 {
        let text = serde_json::to_vec(&self.config).unwrap_or_default();
        xxhash_rust::xxh3::xxh3_64(&text)
    }

    /// Applies one raw record of the log.
    ///
    /// An offset at or below that of the state is ignored and gives `None`: records arrive by
    /// several paths, and an old one that arrives late must not undo a newer one.
    ///
    /// ```
    /// use redwingfold_core::{ConfigFold, Offset, Verdict};
    /// let mut fold = ConfigFold::default();
    /// assert!(matches!(fold.apply(Offset(1), b"not json"), Some(Verdict::Skipped { .. })));
    /// assert_eq!(fold.apply(Offset(1), b"not json"), None);
    /// assert_eq!(fold.config().offset, Offset(1));
    /// ```
    pub fn apply(&mut self, offset: Offset, raw: &[u8]) -> Option<Verdict> {
        if offset <= self.config.offset {
            return None;
        }
        self.config.offset = offset;
        let record = match serde_json::from_slice::<ConfigRecord>(raw) {
            Ok(record) => record,
            Err(e) => return Some(Verdict::Skipped { why: e.to_string() }),
        };
        if let Some(&of) = self.by_id.get(&record.id()) {
            return Some(Verdict::Duplicate { of });
        }
        let touches = touched_objects(&record);
        let outcome = match &record {
            ConfigRecord::Change(change) => self.apply_change(offset, change),
            ConfigRecord::Withdraw(withdrawal) => self.apply_withdrawal(offset, withdrawal),
        };
        let verdict = match outcome {
            Ok(()) => Verdict::Accepted,
            Err(why) => Verdict::Rejected { why },
        };
        self.record_audit(offset, &record, touches, verdict.clone());
        Some(verdict)
    }

    fn apply_change(&mut self, offset: Offset, change: &Change) -> Result<(), String> {
        if change.put.is_empty() && change.delete.is_empty() {
            return Err("the change touches nothing".to_owned());
        }
        for key in change.put.iter().map(Object::key).chain(change.delete.iter().cloned()) {
            self.check_revision(&key, change.expects.get(&key).copied())?;
        }
        let mut objects = self.config.objects.clone();
        for key in &change.delete {
            objects.remove(key);
        }
        for object in &change.put {
            objects.insert(object.key(), StoredObject { revision: offset, object: object.clone() });
        }
        match validate::problems(&objects) {
            found if found.is_empty() => {
                self.config.objects = objects;
                Ok(())
            }
            found => Err(found.join("; ")),
        }
    }

    fn check_revision(&self, key: &ObjectKey, expected: Option<Offset>) -> Result<(), String> {
        let found = self.config.objects.get(key).map_or(Offset(0), |stored| stored.revision);
        match expected {
            Some(expected) if expected == found => Ok(()),
            Some(expected) => Err(format!(
                "{key} is at revision {found}, not {expected}{}",
                self.author_of(found)
            )),
            None => Err(format!("{key} is touched without an expected revision")),
        }
    }

    fn author_of(&self, offset: Offset) -> String {
        match self.audit.iter().rev().find(|entry| entry.offset == offset) {
            Some(entry) => format!(": changed by {} ({})", entry.author, entry.reason),
            None => String::new(),
        }
    }

    fn apply_withdrawal(&mut self, offset: Offset, withdrawal: &Withdrawal) -> Result<(), String> {
        let key = ObjectKey::new("version", &withdrawal.version);
        match self.config.objects.get_mut(&key) {
            Some(StoredObject {
                revision,
                object: Object { spec: Spec::Version(version), .. },
            }) => {
                *revision = offset;
                version.withdrawn_at = Some(offset);
                version.withdrawn_streams = withdrawal.streams;
                Ok(())
            }
            _ => Err(format!("{key} does not exist")),
        }
    }

    fn record_audit(
        &mut self,
        offset: Offset,
        record: &ConfigRecord,
        touches: Vec<ObjectKey>,
        verdict: Verdict,
    ) {
        let (author, reason, at) = record.origin();
        self.by_id.insert(record.id(), offset);
        self.audit.push_back(AuditEntry {
            offset,
            id: record.id(),
            author: author.to_owned(),
            reason: reason.to_owned(),
            at,
            touches,
            verdict,
        });
        if self.audit.len() > MAX_AUDIT_ENTRIES
            && let Some(oldest) = self.audit.pop_front()
        {
            self.by_id.remove(&oldest.id);
        }
    }
}

fn touched_objects(record: &ConfigRecord) -> Vec<ObjectKey> {
    match record {
        ConfigRecord::Change(c) => {
            c.put.iter().map(Object::key).chain(c.delete.iter().cloned()).collect()
        }
        ConfigRecord::Withdraw(w) => vec![ObjectKey::new("version", &w.version)],
    }
}
