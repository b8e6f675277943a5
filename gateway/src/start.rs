//! The start of a gateway: until when it waits for its peers' copies of what it needs from the store.

use redwingfold_core::{Millis, StartTurn};

use crate::clock::sleep;
use crate::gateway::Gateway;

/// Interval between checks for the end of the wait, which may change meanwhile.
const POLL_INTERVAL: Millis = Millis(20);

impl Gateway {
    /// Records that this gateway has registered its address after `earlier` others, on the first start.
    pub(crate) fn record_registration(&self, earlier: u64) {
        self.update_start_turn(|turn| {
            turn.record_registration(earlier, self.now(), fastrand::u64(..))
        });
    }

    /// Records that this gateway knows a peer.
    pub(crate) fn record_known_peer(&self) {
        self.update_start_turn(|turn| turn.record_peer(self.now(), fastrand::u64(..)));
    }

    /// Returns whether this gateway reads the store for what it has lacked since its start.
    pub fn is_start_turn_due(&self) -> bool {
        self.start_turn.get().is_due(self.now())
    }

    /// Waits until [`Self::is_start_turn_due`].
    pub(crate) async fn wait_for_start_turn(&self) {
        while !self.is_start_turn_due() {
            sleep(POLL_INTERVAL).await;
        }
    }

    fn update_start_turn(&self, f: impl FnOnce(&mut StartTurn)) {
        let mut turn = self.start_turn.get();
        f(&mut turn);
        self.start_turn.set(turn);
    }
}
