//! Holds billing records until the log has them, and appends them in batches.
//!
//! A batch whose answer was lost is appended again without a look at the log: each bill counts
//! once by its id, so a second copy does no harm, while every daemon reading the whole stream back
//! would cost more than its share of the bytes for control.

use std::sync::{Mutex, MutexGuard, PoisonError};

use redwingfold_core::{Bill, HostId, KeyHash, Millis, Outbox, OutboxFull};
use smol::Timer;
use smol::channel::{Receiver, Sender, bounded};

use crate::clock::{jittered, to_duration, unix_time};
use crate::daemon::Daemon;
use crate::platform::{LogError, stream};
use crate::settings::BatchSettings;
use crate::wire::new_claim_id;

/// Memory that a bill takes, with what holds it.
const BILL_BYTES: usize = 400;

/// A bill, and the side that holds the other copy.
#[derive(Clone, Debug)]
pub(crate) struct Held {
    pub(crate) bill: Bill,
    pub(crate) side: Option<HostId>,
}

/// The unconfirmed bills of a daemon.
#[derive(Debug)]
pub(crate) struct BillBox {
    outbox: Mutex<Outbox<KeyHash, Held>>,
    settings: BatchSettings,
    hurry: (Sender<()>, Receiver<()>),
}

impl BillBox {
    pub(crate) fn new(settings: BatchSettings) -> Self {
        let outbox = Mutex::new(Outbox::new(settings.max_bytes));
        Self { outbox, settings, hurry: bounded(1) }
    }

    fn lock(&self) -> MutexGuard<'_, Outbox<KeyHash, Held>> {
        self.outbox.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Says whether another request's bill would fit.
    pub(crate) fn has_room(&self) -> bool {
        self.lock().has_room(BILL_BYTES)
    }

    /// Holds a bill that is appended from `not_before` on.
    pub(crate) fn hold(&self, held: Held, not_before: Millis) -> Result<(), OutboxFull> {
        self.lock().push(held.bill.id, held, BILL_BYTES, not_before)
    }

    /// Forgets bills that are in the log.
    pub(crate) fn forget(&self, ids: &[KeyHash]) {
        let mut outbox = self.lock();
        ids.iter().for_each(|id| outbox.remove(id));
    }

    /// Returns all unconfirmed bills.
    pub(crate) fn all(&self) -> Vec<Bill> {
        self.lock().records().map(|(_, held)| held.bill.clone()).collect()
    }

    pub(crate) fn len(&self) -> usize {
        self.lock().len()
    }

    /// Appends batches for ever; `confirmed` is told what the log has.
    pub(crate) async fn ship(&self, daemon: &Daemon, confirmed: impl Fn(Vec<Held>)) {
        loop {
            self.pause_for(jittered(self.settings.every_ms)).await;
            while self.ship_batch(daemon, &confirmed).await {}
            daemon.telemetry.gauge("bills.unconfirmed", self.len() as u64);
        }
    }

    /// Appends one batch until the log has it; says whether there was one.
    async fn ship_batch(&self, daemon: &Daemon, confirmed: &impl Fn(Vec<Held>)) -> bool {
        let id = new_claim_id();
        let batch = self.lock().take_batch(id, self.settings.max_records, unix_time());
        if batch.is_empty() {
            return false;
        }
        let mut tries = 0;
        loop {
            // Bills that another holder appended in the meantime are left out of the next try.
            let bills: Vec<_> = self.lock().batch(id).into_iter().map(|h| h.bill).collect();
            let json = serde_json::to_vec(&bills).unwrap_or_default();
            match daemon.log.append(stream::BILLS, json).await {
                Ok(_) => break,
                Err(e) => {
                    tries += 1;
                    daemon.telemetry.count("bills.append_failed", 1);
                    daemon.telemetry.warn("bills_not_appended", &[("tries", &tries), ("why", &e)]);
                    self.pause_for(self.retry_pause(&e)).await;
                }
            }
        }
        self.lock().confirm(id);
        daemon.telemetry.count("bills.appended", batch.len() as i64);
        confirmed(batch);
        true
    }

    /// Waits for a span, or until a stop makes everything due.
    async fn pause_for(&self, span: std::time::Duration) {
        let timer = async {
            Timer::after(span).await;
        };
        let hurried = async {
            self.hurry.1.recv().await.ok();
        };
        smol::future::or(timer, hurried).await;
    }

    fn retry_pause(&self, e: &LogError) -> std::time::Duration {
        let at_least = match e {
            LogError::Refused { retry_after, .. } => *retry_after,
            LogError::Unknown(_) => Millis(500),
        };
        jittered(Millis(at_least.0.max(self.settings.every_ms.0 / 2)))
    }

    /// Makes every bill due and waits until the log has them all; says whether it has.
    pub(crate) async fn flush(&self, limit: Millis) -> bool {
        self.lock().make_all_due();
        self.hurry.0.try_send(()).ok();
        let done = async {
            while self.len() > 0 {
                Timer::after(to_duration(Millis(20))).await;
            }
        };
        crate::clock::with_timeout(limit, done).await.is_some()
    }
}
