//! Restores the store from older copies.

use redwingfold_standins::platform::StoreSnapshot;

use crate::testbed::Testbed;

/// On average, one step in this many copies the store or restores it from the copy.
const ONE_STEP_IN: u32 = 3;

/// The current copy of the store, and whether lost data must be written again.
#[derive(Debug)]
pub(crate) struct Restores {
    rng: fastrand::Rng,
    copy: Option<StoreSnapshot>,
    /// Whether the operator and the engines have yet to rewrite the data that the store lost.
    has_pending_rewrite: bool,
}

impl Restores {
    pub(crate) fn new(seed: u64) -> Self {
        // A sequence distinct from those of the other faults of the same seed.
        Self { rng: fastrand::Rng::with_seed(!seed), copy: None, has_pending_rewrite: false }
    }

    /// Randomly copies the store or restores it from the copy. The lost data is rewritten at once or in the next step.
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
