//! Folds configuration records into the objects in force, and keeps recent records for peers that
//! are behind.

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

/// Records kept for peers that are a few records behind; peers further behind get a snapshot.
const MAX_RECENT_RECORDS: usize = 512;

/// What to send to a peer that may be behind.
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
    change_event: Event,
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
            change_event: Event::new(),
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

    /// Returns the offset, state hash and rules version of the objects in force.
    pub(crate) fn mark(&self) -> ConfigMark {
        **self.mark.load()
    }

    /// Folds records into the configuration. Records that were already folded have no effect.
    pub(crate) fn apply(&self, records: &[(Offset, Vec<u8>)]) {
        let mut inner = self.lock();
        let previous_offset = inner.fold.config().offset;
        for (offset, raw) in records {
            // Folding past a gap would give a state that no other daemon has. The sender has no
            // older records, so the missing ones are fetched as a snapshot.
            if offset.0 > inner.fold.config().offset.0 + 1 {
                break;
            }
            if let Some(verdict) = inner.fold.apply(*offset, raw) {
                self.log_verdict(*offset, &verdict);
                inner.recent.push_back((*offset, raw.clone()));
                if inner.recent.len() > MAX_RECENT_RECORDS {
                    inner.recent.pop_front();
                }
            }
        }
        if inner.fold.config().offset > previous_offset {
            self.publish(&mut inner);
        }
    }

    /// Installs a snapshot if it is newer than the objects in force. Returns whether it was
    /// installed.
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
        self.change_event.notify(usize::MAX);
        self.telemetry.gauge("config.offset", mark.offset.0);
        self.telemetry.info(
            "config_in_force",
            &[("offset", &mark.offset), ("hash", &format!("{:016x}", mark.hash))],
        );
    }

    fn log_verdict(&self, offset: Offset, verdict: &Verdict) {
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

    /// Returns what a peer at `offset` needs to catch up.
    pub(crate) fn catchup_after(&self, offset: Offset) -> Catchup {
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

    /// Returns a snapshot of the folded state.
    pub(crate) fn snapshot(&self) -> Snapshot {
        self.lock().fold.snapshot()
    }

    /// Returns the retained part of the audit trail.
    pub(crate) fn audit(&self) -> Vec<AuditEntry> {
        self.lock().fold.audit().iter().cloned().collect()
    }

    /// Returns the verdict on a record, if its audit entry is still retained.
    pub(crate) fn verdict_of(&self, id: RequestId) -> Option<AuditEntry> {
        self.lock().fold.verdict_of(id).cloned()
    }

    /// Returns a future that completes at the next change.
    ///
    /// Call this before reading the current state, so that no change in between is missed.
    pub(crate) fn changed(&self) -> EventListener {
        self.change_event.listen()
    }

    /// Returns the number of tasks waiting for a change.
    #[cfg(test)]
    pub(crate) fn listener_count(&self) -> usize {
        self.change_event.total_listeners()
    }

    /// Waits until the configuration is at `offset` or later. Returns whether it was within the
    /// timeout.
    pub(crate) async fn wait_for_offset(&self, offset: Offset, timeout: Millis) -> bool {
        let reached = async {
            loop {
                let changed = self.changed();
                if self.mark().offset >= offset {
                    break;
                }
                changed.await;
            }
        };
        with_timeout(timeout, reached).await.is_some()
    }

    /// Reports a divergence if a peer's mark has the same offset and rules but another hash.
    pub(crate) fn check_divergence(&self, peer: &str, theirs: ConfigMark) {
        let ours = self.mark();
        if ours.offset == theirs.offset && ours.rules == theirs.rules && ours.hash != theirs.hash {
            self.telemetry.count("config.diverged", 1);
            self.telemetry.warn("config_diverged", &[("peer", &peer), ("offset", &ours.offset)]);
        }
    }
}
