//! Customers' shares of the servers' time, over all gateways.

use std::net::SocketAddr;

use crate::gateway::Gateway;

/// Most entries of a report.
const MAX_REPORT_ENTRIES: usize = 32;

impl Gateway {
    /// Takes the report for the peers: its number, and the work of customers since the last report.
    pub(crate) fn take_shares_report(&self) -> (u32, Vec<(u32, u32)>) {
        let number = self.next_shares_number.get();
        let report = self.customer_shares.borrow_mut().report(MAX_REPORT_ENTRIES, self.now());
        if !report.is_empty() {
            self.next_shares_number.set(number.wrapping_add(1));
        }
        (number, report)
    }

    /// Adds the work in a peer's report, unless the report has arrived before.
    pub(crate) fn apply_peer_shares(&self, peer: SocketAddr, number: u32, report: &[(u32, u32)]) {
        let scaled = self.shares_numbers.borrow_mut().scale(peer, number, report);
        self.customer_shares.borrow_mut().apply_peer(&scaled, self.now());
    }
}
