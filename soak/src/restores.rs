//! A store that comes back from older copies.

use redwingfold_standins::platform::StoreSnapshot;

use crate::testbed::Testbed;

/// One step in so many makes a copy or comes back from it.
const ONE_STEP_IN: u32 = 3;

/// Copies of the store, and who has to write again.
#[derive(Debug)]
pub(crate) struct Restores {
    rng: fastrand::Rng,
    copy: Option<StoreSnapshot>,
    /// Whether the operator and the engines have still to write again what the store lost.
    has_pending_rewrite: bool,
}

impl Restores {
    pub(crate) fn new(seed: u64) -> Self {
        // Not the numbers by which the other faults are drawn.
        Self { rng: fastrand::Rng::with_seed(!seed), copy: None, has_pending_rewrite: false }
    }

    /// Makes a copy, comes back from it, or writes again what was lost, some at once and some a step later.
    pub(crate) fn step(&mut self, testbed: &Testbed) -> Option<String> {
        if std::mem::take(&mut self.has_pending_rewrite) {
            testbed.rewrite_lost_data();
        }
        if self.rng.u32(..ONE_STEP_IN) > 0 {
            return None;
        }
        let Some(copy) = self.copy.take() else {
            self.copy = Some(testbed.fleet.store.snapshot());
            return None;
        };
        testbed.fleet.store.restore(&copy);
        match self.rng.bool() {
            true => testbed.rewrite_lost_data(),
            false => self.has_pending_rewrite = true,
        }
        Some("Restore".to_owned())
    }
}
