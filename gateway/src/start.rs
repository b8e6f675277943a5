//! The start of a gateway: until when it waits for its peers' copies of what it needs from the store.

use redwingfold_core::{Millis, StartTurn};

use crate::clock::sleep;
use crate::gateway::Gateway;

/// Interval between checks for the end of the wait, which may change meanwhile.
const POLL_INTERVAL: Millis = Millis(20);

/// Longest wait for the addresses of peers at this gateway's turn.
const DISCOVERY_WAIT: Millis = Millis(300);

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

    /// Returns whether this gateway's turn to read the store has come.
    pub(crate) fn is_start_turn_due(&self) -> bool {
        self.start_turn.get().is_due(self.now())
    }

    /// Returns whether this gateway, at its turn, has had time to find peers: one that returns alone asks those that run
    /// before it reads the store.
    pub(crate) fn is_start_read_due(&self) -> bool {
        let (turn, now) = (self.start_turn.get(), self.now());
        let has_waited = turn.is_due(Millis(now.0.saturating_sub(DISCOVERY_WAIT.0)));
        turn.is_due(now) && (self.is_peer_discovery_done() || has_waited)
    }

    /// Waits until [`Self::is_start_read_due`].
    pub(crate) async fn wait_for_start_read(&self) {
        while !self.is_start_read_due() {
            sleep(POLL_INTERVAL).await;
        }
    }

    fn update_start_turn(&self, f: impl FnOnce(&mut StartTurn)) {
        let mut turn = self.start_turn.get();
        f(&mut turn);
        self.start_turn.set(turn);
    }
}
