//! A store that comes back from older copies.

use redwingfold_standins::platform::StoreSnapshot;

use crate::world::World;

/// One step in so many makes a copy or comes back from it.
const ONE_STEP_IN: u32 = 3;

/// Copies of the store, and who has to write again.
#[derive(Debug)]
pub(crate) struct Restores {
    rng: fastrand::Rng,
    copy: Option<StoreSnapshot>,
    /// Whether the operator and the engines have still to write again what the store lost.
    is_owed: bool,
}

impl Restores {
    pub(crate) fn new(seed: u64) -> Self {
        // Not the numbers by which the other faults are drawn.
        Self { rng: fastrand::Rng::with_seed(!seed), copy: None, is_owed: false }
    }

    /// Makes a copy, comes back from it, or writes again what was lost, some at once and some a step later.
    pub(crate) fn step(&mut self, world: &World) -> Option<String> {
        if std::mem::take(&mut self.is_owed) {
            world.write_again();
        }
        if self.rng.u32(..ONE_STEP_IN) > 0 {
            return None;
        }
        let Some(copy) = self.copy.take() else {
            self.copy = Some(world.fleet.store.snapshot());
            return None;
        };
        world.fleet.store.restore(&copy);
        match self.rng.bool() {
            true => world.write_again(),
            false => self.is_owed = true,
        }
        Some("Restore".to_owned())
    }
}
