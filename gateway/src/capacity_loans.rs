//! Requests for capacity, and loans of it, between gateways.

use std::cell::RefCell;
use std::net::SocketAddr;

use redwingfold_core::{CapacityLoans, Millis, Part, ServiceName, service_hash};

use crate::gateway::Gateway;

/// Mean use of its own part above which a gateway asks its peers for capacity.
const MIN_USE: f64 = 0.6;

/// A request for capacity of a service, which is identified by the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct CapacityRequest {
    pub(crate) number: u16,
    pub(crate) service: u32,
}

/// A loan in reply to the request with this number.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct CapacityLoan {
    pub(crate) number: u16,
    pub(crate) service: u32,
    /// Share of the whole.
    pub(crate) share: f64,
}

/// Loans of this gateway, and the messages on them to be sent.
#[derive(Debug, Default)]
pub(crate) struct LoanTable {
    loans: RefCell<CapacityLoans<SocketAddr>>,
    requests: RefCell<Vec<CapacityRequest>>,
    replies: RefCell<Vec<(SocketAddr, CapacityLoan)>>,
}

impl LoanTable {
    /// Takes the requests to be sent to peers.
    pub(crate) fn take_requests(&self) -> Vec<CapacityRequest> {
        self.requests.take()
    }

    /// Takes the loans to be sent, each to its borrower.
    pub(crate) fn take_replies(&self) -> Vec<(SocketAddr, CapacityLoan)> {
        self.replies.take()
    }
}

impl Gateway {
    /// Returns this gateway's part of the capacity of a service.
    pub(crate) fn capacity_part(&self, service: &ServiceName, now: Millis) -> Part {
        let fleet = self.send_turns.borrow().fleet(now);
        self.loan_table.loans.borrow().part(service_hash(service), fleet, now)
    }

    /// Records that this gateway runs `running` requests at the servers of a service, which have `slots`. If it uses most
    /// of its own part, peers are asked for capacity.
    pub(crate) fn record_capacity_use(
        &self,
        service: &ServiceName,
        running: u32,
        slots: u32,
        now: Millis,
    ) {
        let hash = service_hash(service);
        let mut loans = self.loan_table.loans.borrow_mut();
        loans.record_use(hash, running, slots, now);
        let Some(fleet) = self.known_fleet(now) else { return };
        if fleet < 2 || loans.mean_use(hash, now) < MIN_USE / fleet as f64 {
            return;
        }
        if let Some(number) = loans.request(hash, now) {
            let request = CapacityRequest { number, service: hash };
            self.loan_table.requests.borrow_mut().push(request);
            self.gossip_due.notify(usize::MAX);
        }
    }

    /// Returns the number of gateways, if it is known.
    fn known_fleet(&self, now: Millis) -> Option<usize> {
        let turns = self.send_turns.borrow();
        turns.is_fleet_known(now).then(|| turns.fleet(now))
    }

    /// Lends a peer the capacity that it asks for and this gateway does not need.
    pub(crate) fn lend_capacity(&self, peer: SocketAddr, request: CapacityRequest) {
        let now = self.now();
        // A gateway that does not limit its own requests has nothing to lend, nor has one whose requests wait.
        let can_lend = self.has_admission_control() && self.waiting_requests() == 0;
        let Some(fleet) = self.known_fleet(now).filter(|_| can_lend) else { return };
        let CapacityRequest { number, service } = request;
        let share = self.loan_table.loans.borrow_mut().lend(&peer, service, fleet, now);
        if share > 0.0 {
            let loan = CapacityLoan { number, service, share };
            self.loan_table.replies.borrow_mut().push((peer, loan));
            self.telemetry.count("capacity.lent", 1);
            self.gossip_due.notify(usize::MAX);
        }
    }

    /// Records a loan of a peer.
    pub(crate) fn accept_capacity(&self, peer: SocketAddr, loan: CapacityLoan) {
        let CapacityLoan { number, service, share } = loan;
        self.loan_table.loans.borrow_mut().accept(&peer, number, service, share, self.now());
        self.telemetry.count("capacity.borrowed", 1);
    }
}
