//! What the parts of an entry share.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use quinn::ClientConfig;
use redwingfold_core::{ErrorKind, RetryBudget};
use redwingfold_http::Drain;

use super::claims::Claims;
use super::decisions::Decisions;
use super::hints::PrefixHints;
use super::quality::Quality;
use super::sessions::SessionCache;
use super::sides::Sides;
use crate::billing::BillBox;
use crate::daemon::Daemon;
use crate::settings::EntrySettings;

/// What the parts of an entry share.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) daemon: Daemon,
    pub(crate) settings: EntrySettings,
    pub(crate) client: ClientConfig,
    pub(crate) sides: Sides,
    pub(crate) bills: BillBox,
    pub(crate) claims: Claims,
    pub(crate) sessions: SessionCache,
    pub(crate) decisions: Decisions,
    pub(crate) hints: PrefixHints,
    pub(crate) quality: Quality,
    pub(crate) drain: Drain,
    retries: Mutex<RetryBudget>,
    turn: AtomicUsize,
    under_way: AtomicUsize,
}

/// Counts a request until it is dropped.
#[derive(Debug)]
pub(crate) struct UnderWay(Arc<Entry>);

impl Drop for UnderWay {
    fn drop(&mut self) {
        self.0.under_way.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Entry {
    pub(crate) fn new(daemon: Daemon, settings: EntrySettings, client: ClientConfig) -> Self {
        let retry = &settings.retry;
        let per_request = f64::from(retry.budget_per_mille) / 1000.0;
        Self {
            sides: Sides::default(),
            bills: BillBox::new(settings.batch.clone()),
            claims: Claims::default(),
            sessions: SessionCache::new(settings.sessions.cache),
            decisions: Decisions::new(settings.limits.decisions),
            hints: PrefixHints::default(),
            quality: Quality::default(),
            drain: Drain::default(),
            retries: Mutex::new(RetryBudget::new(per_request, f64::from(retry.budget_max))),
            turn: AtomicUsize::new(0),
            under_way: AtomicUsize::new(0),
            daemon,
            settings,
            client,
        }
    }

    /// Counts a request, within the limit.
    pub(crate) fn begin(self: &Arc<Self>) -> Result<UnderWay, ErrorKind> {
        let before = self.under_way.fetch_add(1, Ordering::SeqCst);
        let under_way = UnderWay(self.clone());
        self.retries.lock().unwrap_or_else(PoisonError::into_inner).request();
        match before < self.settings.limits.requests {
            true => Ok(under_way),
            false => Err(ErrorKind::TooManyOpen),
        }
    }

    /// Returns a number that goes up by one each time.
    pub(crate) fn next_turn(&self) -> usize {
        self.turn.fetch_add(1, Ordering::Relaxed)
    }

    pub(crate) fn under_way(&self) -> usize {
        self.under_way.load(Ordering::SeqCst)
    }

    /// Takes a retry out of the budget.
    pub(crate) fn try_retry(&self) -> bool {
        let taken = self.retries.lock().unwrap_or_else(PoisonError::into_inner).try_retry();
        self.daemon.telemetry.count(if taken { "retry.taken" } else { "retry.refused" }, 1);
        taken
    }
}
