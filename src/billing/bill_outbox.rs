//! Stores billing records until the log confirms them, and appends them in batches.
//!
//! A batch is appended again, without reading the log, if the outcome of its append is unknown.
//! This is safe because bills are deduplicated by id. Reading the whole stream back in every daemon
//! would exceed the byte budget for control traffic.

use std::sync::{Mutex, MutexGuard, PoisonError};

use redwingfold_core::{Bill, HostId, KeyHash, Millis, Outbox, OutboxFull};
use smol::Timer;
use smol::channel::{Receiver, Sender, bounded};

use crate::clock::{jittered, to_duration, unix_time};
use crate::daemon::Daemon;
use crate::platform::{LogError, stream};
use crate::settings::BatchSettings;
use crate::wire::new_claim_id;

/// Estimated memory of one stored bill, including the overhead of the outbox.
const BILL_BYTES: usize = 400;

/// A bill, and the side that stores the other copy, if any.
#[derive(Clone, Debug)]
pub(crate) struct HeldBill {
    pub(crate) bill: Bill,
    pub(crate) side: Option<HostId>,
}

/// The unconfirmed bills of a daemon.
#[derive(Debug)]
pub(crate) struct BillOutbox {
    outbox: Mutex<Outbox<KeyHash, HeldBill>>,
    settings: BatchSettings,
    flush_signal: (Sender<()>, Receiver<()>),
}

impl BillOutbox {
    pub(crate) fn new(settings: BatchSettings) -> Self {
        let outbox = Mutex::new(Outbox::new(settings.max_bytes));
        Self { outbox, settings, flush_signal: bounded(1) }
    }

    fn lock(&self) -> MutexGuard<'_, Outbox<KeyHash, HeldBill>> {
        self.outbox.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the bill of another request would fit.
    pub(crate) fn has_room(&self) -> bool {
        self.lock().has_room(BILL_BYTES)
    }

    /// Stores a bill, to be appended at `not_before` or later.
    ///
    /// # Errors
    ///
    /// If the outbox is full.
    pub(crate) fn hold(&self, held: HeldBill, not_before: Millis) -> Result<(), OutboxFull> {
        self.lock().push(held.bill.id, held, BILL_BYTES, not_before)
    }

    /// Removes bills that are in the log or stored by another process.
    pub(crate) fn remove(&self, ids: &[KeyHash]) {
        let mut outbox = self.lock();
        ids.iter().for_each(|id| outbox.remove(id));
    }

    /// Returns all unconfirmed bills.
    pub(crate) fn unconfirmed(&self) -> Vec<Bill> {
        self.lock().records().map(|(_, held)| held.bill.clone()).collect()
    }

    pub(crate) fn len(&self) -> usize {
        self.lock().len()
    }

    /// Appends batches forever, and calls `on_confirmed` with each batch that is in the log.
    pub(crate) async fn run_appender(&self, daemon: &Daemon, on_confirmed: impl Fn(Vec<HeldBill>)) {
        loop {
            self.sleep_unless_flushed(jittered(self.settings.every_ms)).await;
            while self.append_batch(daemon, &on_confirmed).await {}
            daemon.telemetry.gauge("bills.unconfirmed", self.len() as u64);
        }
    }

    /// Appends one batch, with retries until the log confirms it. Returns whether any bill was due.
    async fn append_batch(&self, daemon: &Daemon, on_confirmed: &impl Fn(Vec<HeldBill>)) -> bool {
        let id = new_claim_id();
        let batch = self.lock().take_batch(id, self.settings.max_records, unix_time());
        if batch.is_empty() {
            return false;
        }
        let mut attempts = 0;
        loop {
            // Bills that were removed in the meantime, because the process with the other copy
            // appended them, are left out of the next attempt.
            let bills: Vec<_> = self.lock().batch(id).into_iter().map(|h| h.bill).collect();
            let json = serde_json::to_vec(&bills).unwrap_or_default();
            match daemon.log.append(stream::BILLS, json).await {
                Ok(_) => break,
                Err(e) => {
                    attempts += 1;
                    daemon.telemetry.count("bills.append_failed", 1);
                    daemon
                        .telemetry
                        .warn("bills_not_appended", &[("tries", &attempts), ("why", &e)]);
                    self.sleep_unless_flushed(self.retry_delay(&e)).await;
                }
            }
        }
        self.lock().confirm(id);
        daemon.telemetry.count("bills.appended", batch.len() as i64);
        on_confirmed(batch);
        true
    }

    /// Waits for a duration, or until a flush makes every bill due.
    async fn sleep_unless_flushed(&self, duration: std::time::Duration) {
        let timer = async {
            Timer::after(duration).await;
        };
        let flushed = async {
            self.flush_signal.1.recv().await.ok();
        };
        smol::future::or(timer, flushed).await;
    }

    fn retry_delay(&self, e: &LogError) -> std::time::Duration {
        let min_delay = match e {
            LogError::Refused { retry_after, .. } => *retry_after,
            LogError::Unknown(_) => Millis(500),
        };
        jittered(Millis(min_delay.0.max(self.settings.every_ms.0 / 2)))
    }

    /// Makes every bill due and waits until all are confirmed. Returns whether they were within the
    /// timeout.
    pub(crate) async fn flush(&self, timeout: Millis) -> bool {
        self.lock().make_all_due();
        self.flush_signal.0.try_send(()).ok();
        let done = async {
            while self.len() > 0 {
                Timer::after(to_duration(Millis(20))).await;
            }
        };
        crate::clock::with_timeout(timeout, done).await.is_some()
    }
}
