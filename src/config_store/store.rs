//! The fold behind a lock, the objects in force for readers, and the records that peers may want.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwap;
use event_listener::{Event, EventListener};
use redwingfold_core::{
    AuditEntry, Config, ConfigFold, FOLD_RULES_VERSION, Millis, Offset, RequestId, Snapshot,
    Verdict,
};

use crate::clock::with_timeout;
use crate::wire::ConfigMark;
use redwingfold_telemetry::Telemetry;

/// Records that are kept for peers that are a little behind; others get a snapshot.
const KEPT_RECORDS: usize = 512;

/// What a peer that is behind is sent.
#[derive(Clone, Debug)]
pub(crate) enum Catchup {
    Nothing,
    Records(Vec<(Offset, Vec<u8>)>),
    Snapshot(Vec<u8>),
}

/// The configuration in force in this process.
#[derive(Debug)]
pub(crate) struct ConfigStore {
    inner: Mutex<Inner>,
    current: ArcSwap<Config>,
    mark: ArcSwap<ConfigMark>,
    moved: Event,
    telemetry: Telemetry,
}

#[derive(Debug, Default)]
struct Inner {
    fold: ConfigFold,
    recent: VecDeque<(Offset, Vec<u8>)>,
}

impl ConfigStore {
    pub(crate) fn new(telemetry: Telemetry) -> Self {
        Self {
            inner: Mutex::default(),
            current: ArcSwap::default(),
            mark: ArcSwap::default(),
            moved: Event::new(),
            telemetry,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the objects in force.
    pub(crate) fn current(&self) -> Arc<Config> {
        self.current.load_full()
    }

    /// Returns how far they go.
    pub(crate) fn mark(&self) -> ConfigMark {
        **self.mark.load()
    }

    /// Folds records; those that were folded before have no effect.
    pub(crate) fn apply(&self, records: &[(Offset, Vec<u8>)]) {
        let mut inner = self.lock();
        let before = inner.fold.config().offset;
        for (offset, raw) in records {
            // A gap would fold a state that no other daemon has. The sender had nothing older, so
            // what is missing is fetched as a snapshot.
            if offset.0 > inner.fold.config().offset.0 + 1 {
                break;
            }
            if let Some(verdict) = inner.fold.apply(*offset, raw) {
                self.note(*offset, &verdict);
                inner.recent.push_back((*offset, raw.clone()));
                if inner.recent.len() > KEPT_RECORDS {
                    inner.recent.pop_front();
                }
            }
        }
        if inner.fold.config().offset > before {
            self.publish(&mut inner);
        }
    }

    /// Installs a snapshot, if it is newer than what is in force.
    pub(crate) fn install(&self, snapshot: Snapshot) -> bool {
        let mut inner = self.lock();
        if snapshot.config.offset <= inner.fold.config().offset {
            return false;
        }
        match ConfigFold::from_snapshot(snapshot) {
            Ok(fold) => {
                inner.fold = fold;
                inner.recent.clear();
                self.publish(&mut inner);
                true
            }
            Err(rules) => {
                self.telemetry.warn(
                    "config_rules_too_new",
                    &[("theirs", &rules), ("ours", &FOLD_RULES_VERSION)],
                );
                false
            }
        }
    }

    fn publish(&self, inner: &mut Inner) {
        let config = inner.fold.config().clone();
        let mark = ConfigMark {
            offset: config.offset,
            hash: inner.fold.state_hash(),
            rules: FOLD_RULES_VERSION,
        };
        self.current.store(Arc::new(config));
        self.mark.store(Arc::new(mark));
        self.moved.notify(usize::MAX);
        self.telemetry.gauge("config.offset", mark.offset.0);
        self.telemetry.info(
            "config_in_force",
            &[("offset", &mark.offset), ("hash", &format!("{:016x}", mark.hash))],
        );
    }

    fn note(&self, offset: Offset, verdict: &Verdict) {
        match verdict {
            Verdict::Accepted | Verdict::Duplicate { .. } => {}
            Verdict::Rejected { why } => {
                self.telemetry.info("change_rejected", &[("offset", &offset), ("why", why)]);
            }
            Verdict::Skipped { why } => {
                self.telemetry.count("config.skipped", 1);
                self.telemetry.warn("record_skipped", &[("offset", &offset), ("why", why)]);
            }
        }
    }

    /// Returns what a peer at `offset` lacks.
    pub(crate) fn after(&self, offset: Offset) -> Catchup {
        let inner = self.lock();
        if inner.fold.config().offset <= offset {
            return Catchup::Nothing;
        }
        match inner.recent.front() {
            Some((first, _)) if first.0 <= offset.0 + 1 => Catchup::Records(
                inner.recent.iter().filter(|(o, _)| *o > offset).cloned().collect(),
            ),
            _ => {
                let json = serde_json::to_vec(&inner.fold.snapshot()).unwrap_or_default();
                Catchup::Snapshot(json)
            }
        }
    }

    /// Returns a snapshot of the fold.
    pub(crate) fn snapshot(&self) -> Snapshot {
        self.lock().fold.snapshot()
    }

    /// Returns the remembered part of the audit trail.
    pub(crate) fn audit(&self) -> Vec<AuditEntry> {
        self.lock().fold.audit().iter().cloned().collect()
    }

    /// Returns what the fold said about a record, if it is still remembered.
    pub(crate) fn verdict_of(&self, id: RequestId) -> Option<AuditEntry> {
        self.lock().fold.verdict_of(id).cloned()
    }

    /// Returns a future that ends at the next change; take it before looking at the present.
    pub(crate) fn changed(&self) -> EventListener {
        self.moved.listen()
    }

    /// Returns how many wait for a change.
    #[cfg(test)]
    pub(crate) fn listeners(&self) -> usize {
        self.moved.total_listeners()
    }

    /// Waits until the configuration goes at least to `offset`; says whether it does.
    pub(crate) async fn reaches(&self, offset: Offset, limit: Millis) -> bool {
        let reached = async {
            loop {
                let changed = self.changed();
                if self.mark().offset >= offset {
                    break;
                }
                changed.await;
            }
        };
        with_timeout(limit, reached).await.is_some()
    }

    /// Compares a peer's mark with ours: equal offsets and rules must have equal hashes.
    pub(crate) fn check_peer(&self, peer: &str, theirs: ConfigMark) {
        let ours = self.mark();
        if ours.offset == theirs.offset && ours.rules == theirs.rules && ours.hash != theirs.hash {
            self.telemetry.count("config.diverged", 1);
            self.telemetry.warn("config_diverged", &[("peer", &peer), ("offset", &ours.offset)]);
        }
    }
}
