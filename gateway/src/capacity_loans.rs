//! Loans of capacity between gateways, and the messages on them that are to be sent.

use std::cell::RefCell;
use std::net::SocketAddr;

use redwingfold_core::{CapacityLoans, Millis, Part, ServiceName, service_hash};

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

/// Loans of a gateway, and the messages on them.
#[derive(Debug, Default)]
pub(crate) struct LoanTable {
    loans: RefCell<CapacityLoans<SocketAddr>>,
    requests: RefCell<Vec<CapacityRequest>>,
    replies: RefCell<Vec<(SocketAddr, CapacityLoan)>>,
}

impl LoanTable {
    /// Returns the part of a service of one of `fleet` gateways.
    pub(crate) fn part(&self, service: &ServiceName, fleet: usize, now: Millis) -> Part {
        self.loans.borrow().part(service_hash(service), fleet, now)
    }

    /// Records that the gateway runs `running` requests at the servers of a service, which have `slots`.
    pub(crate) fn record_use(&self, service: &ServiceName, running: u32, slots: u32, now: Millis) {
        self.loans.borrow_mut().record_use(service_hash(service), running, slots, now);
    }

    /// Queues a request for capacity if the gateway uses most of its own part. Returns whether there is one to send.
    pub(crate) fn request(&self, service: &ServiceName, fleet: usize, now: Millis) -> bool {
        let service = service_hash(service);
        let mut loans = self.loans.borrow_mut();
        if fleet < 2 || loans.mean_use(service, now) < MIN_USE / fleet as f64 {
            return false;
        }
        let number = loans.request(service, now);
        let request = number.map(|number| CapacityRequest { number, service });
        self.requests.borrow_mut().extend(request);
        request.is_some()
    }

    /// Queues a loan of what the gateway does not need. Returns whether there is one to send.
    pub(crate) fn lend(
        &self,
        peer: SocketAddr,
        request: CapacityRequest,
        fleet: usize,
        now: Millis,
    ) -> bool {
        let CapacityRequest { number, service } = request;
        let share = self.loans.borrow_mut().lend(&peer, service, fleet, now);
        if share > 0.0 {
            self.replies.borrow_mut().push((peer, CapacityLoan { number, service, share }));
        }
        share > 0.0
    }

    /// Records a loan of a peer.
    pub(crate) fn accept(&self, peer: SocketAddr, loan: CapacityLoan, now: Millis) {
        let CapacityLoan { number, service, share } = loan;
        self.loans.borrow_mut().accept(&peer, number, service, share, now);
    }

    /// Takes the requests to be sent to peers.
    pub(crate) fn take_requests(&self) -> Vec<CapacityRequest> {
        self.requests.take()
    }

    /// Takes the loans to be sent, each to its borrower.
    pub(crate) fn take_replies(&self) -> Vec<(SocketAddr, CapacityLoan)> {
        self.replies.take()
    }
}
