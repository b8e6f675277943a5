//! Promised returns of refused callers, shared between gateways.

use redwingfold_core::{ReturnCounts, ReturnNotice};

use crate::gateway::Gateway;

impl Gateway {
    /// Applies notices of promised returns from a peer.
    pub(crate) fn apply_peer_returns(&self, notices: impl IntoIterator<Item = ReturnNotice>) {
        let (mut returns, now) = (self.returns.borrow_mut(), self.now());
        notices.into_iter().for_each(|notice| returns.apply_peer(notice, now));
    }

    /// Takes the next notices of promised returns to the peers, at most `max`.
    pub(crate) fn take_return_notices(&self, max: usize) -> Vec<ReturnNotice> {
        self.returns.borrow_mut().report(max, self.now())
    }

    /// Ends promises that have expired, and counts those kept, broken and unused since the last call.
    pub(crate) fn count_returns(&self) {
        let mut returns = self.returns.borrow_mut();
        returns.expire(self.now());
        let ReturnCounts { kept, broken, unused, ignored } = returns.take_counts();
        let counts = [
            ("admission.kept", kept),
            ("admission.broken", broken),
            ("admission.unused", unused),
            ("peers.ignored_returns", ignored),
        ];
        for (name, count) in counts.into_iter().filter(|(_, count)| *count > 0) {
            self.telemetry.count(name, count as i64);
        }
    }
}
