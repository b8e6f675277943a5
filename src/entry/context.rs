//! State that is shared by all tasks of an entry.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use quinn::ClientConfig;
use redwingfold_core::{ErrorKind, RetryBudget};
use redwingfold_http::Drain;

use super::body_memory::BodyMemory;
use super::claims::ClaimFolds;
use super::decisions::Decisions;
use super::hints::PrefixHints;
use super::quality::QualityTracker;
use super::sessions::SessionCache;
use super::sides::Sides;
use crate::billing::BillOutbox;
use crate::daemon::Daemon;
use crate::settings::EntrySettings;

/// State that is shared by all tasks of an entry.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) daemon: Daemon,
    pub(crate) settings: EntrySettings,
    pub(crate) client_config: ClientConfig,
    pub(crate) sides: Sides,
    pub(crate) bills: BillOutbox,
    pub(crate) claims: ClaimFolds,
    pub(crate) sessions: SessionCache,
    pub(crate) decisions: Decisions,
    pub(crate) hints: PrefixHints,
    pub(crate) quality: QualityTracker,
    pub(crate) drain: Drain,
    retry_budget: Mutex<RetryBudget>,
    round_robin_counter: AtomicUsize,
    in_flight: AtomicUsize,
    pub(crate) body_memory: Arc<BodyMemory>,
}

/// Counts a request as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard(Arc<Entry>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Entry {
    pub(crate) fn new(
        daemon: Daemon,
        settings: EntrySettings,
        client_config: ClientConfig,
    ) -> Self {
        let retry = &settings.retry;
        let per_request = f64::from(retry.budget_per_mille) / 1000.0;
        Self {
            sides: Sides::default(),
            bills: BillOutbox::new(settings.batch.clone()),
            claims: ClaimFolds::default(),
            sessions: SessionCache::new(settings.sessions.cache),
            decisions: Decisions::new(settings.limits.decisions),
            hints: PrefixHints::default(),
            quality: QualityTracker::default(),
            drain: Drain::default(),
            retry_budget: Mutex::new(RetryBudget::new(per_request, f64::from(retry.budget_max))),
            round_robin_counter: AtomicUsize::new(0),
            in_flight: AtomicUsize::new(0),
            body_memory: Arc::new(BodyMemory::new(&settings.limits)),
            daemon,
            settings,
            client_config,
        }
    }

    /// Admits a request and counts it as in flight, and adds its share to the retry budget.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::TooManyOpen`] if the limit of requests in flight is reached.
    pub(crate) fn admit_request(self: &Arc<Self>) -> Result<InFlightGuard, ErrorKind> {
        let before = self.in_flight.fetch_add(1, Ordering::SeqCst);
        let in_flight = InFlightGuard(self.clone());
        self.retry_budget.lock().unwrap_or_else(PoisonError::into_inner).record_request();
        match before < self.settings.limits.requests {
            true => Ok(in_flight),
            false => Err(ErrorKind::TooManyOpen),
        }
    }

    /// Returns the next value of the round-robin counter.
    pub(crate) fn next_round_robin(&self) -> usize {
        self.round_robin_counter.fetch_add(1, Ordering::Relaxed)
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Takes a retry from the budget; returns `false` if the budget is used up.
    pub(crate) fn try_spend_retry(&self) -> bool {
        let taken = self.retry_budget.lock().unwrap_or_else(PoisonError::into_inner).try_retry();
        self.daemon.telemetry.count(if taken { "retry.taken" } else { "retry.refused" }, 1);
        taken
    }
}
