//! Parts of the servers' capacity, which gateways lend each other.

use std::collections::{HashMap, VecDeque};
use std::hash::Hash;

use crate::ids::Millis;

/// Time for which a loan may be used, from the request for it.
const LOAN_DURATION: Millis = Millis(600);

/// Time for which the lender does without the loan, from the arrival of the request. The request was sent before, so that
/// the loan ends first, however long the messages take; the rest is a margin for clocks.
const LENT_DURATION: Millis = Millis(700);

/// Minimum time between two requests for capacity of a service. Loans are renewed before they end.
const REQUEST_INTERVAL: Millis = Millis(250);

/// Time after its last request from which a gateway needs nothing of a service.
const USE_RETENTION: Millis = Millis(2_000);

/// Weight of a new request in the mean use of a service.
const USE_WEIGHT: f64 = 1.0 / 16.0;

/// A gateway keeps as many times the slots that it uses on average, and some more.
const KEPT_PER_USE: f64 = 2.0;
const KEPT_BESIDE: f64 = 1.0;

/// Minimum share of its part that a gateway keeps.
const MIN_KEPT: f64 = 0.25;

/// Requests whose loans are still accepted.
const MAX_REQUESTS: usize = 8;

/// A gateway's part of the capacity that all gateways use together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Part {
    /// Number of gateways; 0 if it is unknown.
    fleet: usize,
    /// Share of the whole that is lent to others.
    lent: f64,
    /// Share of the whole that is borrowed from others.
    borrowed: f64,
}

impl From<usize> for Part {
    /// Returns the part of one of `fleet` gateways that neither lends nor borrows.
    fn from(fleet: usize) -> Self {
        Self { fleet, lent: 0.0, borrowed: 0.0 }
    }
}

impl Part {
    /// Returns the part of the `slots` of a server: at least one if there is one, and no more than one if the size of the
    /// fleet is unknown.
    ///
    /// ```
    /// use redwingfold_core::Part;
    /// let parts = |fleet| Part::from(fleet).of(48);
    /// assert_eq!((parts(0), parts(1), parts(5), parts(330)), (1, 48, 9, 1));
    /// ```
    pub fn of(self, slots: u32) -> u32 {
        let fleet = u32::try_from(self.fleet).unwrap_or(u32::MAX);
        let own = f64::from(slots.checked_div(fleet).unwrap_or(0));
        let part = match self.balance() {
            0.0 => own,
            // The margin keeps loans that make up a whole slot from being rounded down.
            _ => (f64::from(slots) * self.share() + 1e-6).floor(),
        };
        (part as u32).min(slots).max(slots.min(1))
    }

    /// Returns how many requests may run at all servers of a service together, which have `slots`, if the gateway lends a
    /// part; otherwise only the bound of each server counts.
    ///
    /// The slot that a gateway may use at each server in any case would exceed what a lender has left.
    pub fn of_lent_service(self, slots: u32) -> Option<u32> {
        (self.lent > 0.0).then(|| ((f64::from(slots) * self.share()) as u32).max(1))
    }

    /// Returns the share of the whole; 0 if the size of the fleet is unknown.
    pub fn share(self) -> f64 {
        match self.fleet {
            0 => 0.0,
            fleet => (1.0 / fleet as f64 + self.balance()).clamp(0.0, 1.0),
        }
    }

    /// Returns the share that is borrowed.
    pub fn borrowed(self) -> f64 {
        self.borrowed
    }

    /// Returns the share that is lent.
    pub fn lent(self) -> f64 {
        self.lent
    }

    fn balance(self) -> f64 {
        self.borrowed - self.lent
    }
}

/// A share of the capacity of a service for a time.
#[derive(Clone, Copy, Debug)]
struct Loan {
    share: f64,
    until: Millis,
}

/// A request for capacity that was sent to peers.
#[derive(Clone, Copy, Debug)]
struct SentRequest {
    number: u16,
    service: u32,
    sent_at: Millis,
}

/// Use of a service by a gateway.
#[derive(Clone, Copy, Debug, Default)]
struct Use {
    /// Slots of all servers.
    slots: u32,
    /// Mean number of slots that its requests found in use.
    mean: f64,
    at: Millis,
}

/// Loans of a gateway, by service and peer.
///
/// Load pattern: the load balancer sends most callers to one gateway. With an equal part of the servers each, it refuses
/// callers while the parts of the others are free. It therefore asks its peers for capacity, and they lend what they
/// do not need.
///
/// A loan is counted at the lender from its promise until after it has ended at the borrower, so that all gateways
/// together never have more than the whole, whatever messages are lost or late. It ends by itself, also if either
/// gateway is lost.
///
/// ```
/// use redwingfold_core::{CapacityLoans, Millis};
/// let (service, fleet) = (7, 4);
/// let (mut a, mut b) = (CapacityLoans::default(), CapacityLoans::default());
/// let number = a.request(service, Millis(0)).unwrap();
/// let share = b.lend(&"a", service, fleet, Millis(2));
/// a.accept(&"b", number, service, share, Millis(4));
/// let share = |loans: &CapacityLoans<_>, now| loans.part(service, fleet, now).share();
/// assert_eq!((share(&a, Millis(4)), share(&b, Millis(4))), (0.4375, 0.0625));
/// assert_eq!((share(&a, Millis(600)), share(&b, Millis(702))), (0.25, 0.25));
/// ```
#[derive(Clone, Debug)]
pub struct CapacityLoans<P> {
    requests: VecDeque<SentRequest>,
    next_number: u16,
    borrowed: HashMap<(u32, P), Loan>,
    /// All loans that have not ended; a renewal counts beside the loan that it renews.
    lent: HashMap<(u32, P), Vec<Loan>>,
    used: HashMap<u32, Use>,
}

impl<P> Default for CapacityLoans<P> {
    fn default() -> Self {
        Self {
            requests: VecDeque::new(),
            next_number: 0,
            borrowed: HashMap::new(),
            lent: HashMap::new(),
            used: HashMap::new(),
        }
    }
}

impl<P: Clone + Eq + Hash> CapacityLoans<P> {
    /// Records that a request found `running` of the `slots` of a service in use by this gateway.
    pub fn record_use(&mut self, service: u32, running: u32, slots: u32, now: Millis) {
        let used = self.used.entry(service).or_default();
        if now.since(used.at) >= USE_RETENTION {
            used.mean = 0.0;
        }
        used.mean += (f64::from(running) - used.mean) * USE_WEIGHT;
        (used.slots, used.at) = (slots, now);
    }

    /// Returns the number of a request for capacity to be sent to peers; `None` if one was sent shortly before.
    pub fn request(&mut self, service: u32, now: Millis) -> Option<u16> {
        let is_recent = |sent: &SentRequest| {
            sent.service == service && now.since(sent.sent_at) < REQUEST_INTERVAL
        };
        if self.requests.iter().any(is_recent) {
            return None;
        }
        let number = self.next_number;
        self.next_number = number.wrapping_add(1);
        self.requests.push_back(SentRequest { number, service, sent_at: now });
        if self.requests.len() > MAX_REQUESTS {
            self.requests.pop_front();
        }
        Some(number)
    }

    /// Lends a peer what this gateway does not need of its part, or the peer's portion if several have asked. Returns the
    /// share of the whole, which is 0 if nothing can be lent.
    pub fn lend(&mut self, peer: &P, service: u32, fleet: usize, now: Millis) -> f64 {
        self.lent.values_mut().for_each(|loans| loans.retain(|loan| now < loan.until));
        self.lent.retain(|_, loans| !loans.is_empty());
        let own = 1.0 / fleet.max(1) as f64;
        let kept = self.needed(service, now).max(MIN_KEPT * own);
        let free = (own - kept).max(0.0);
        let others: Vec<f64> = self
            .lent
            .iter()
            .filter(|((lent, to), _)| *lent == service && to != peer)
            .map(|(_, loans)| largest(loans.iter()))
            .collect();
        let portion = free / (others.len() + 1) as f64;
        let share = portion.min(free - others.iter().sum::<f64>()).max(0.0);
        // An empty loan is recorded as well, so that the others get less when they renew theirs.
        let loan = Loan { share, until: now.after(LENT_DURATION) };
        self.lent.entry((service, peer.clone())).or_default().push(loan);
        share
    }

    /// Records a loan of a peer, in reply to the request with a number. Replies to unknown and old requests are ignored.
    pub fn accept(&mut self, peer: &P, number: u16, service: u32, share: f64, now: Millis) {
        self.borrowed.retain(|_, loan| now < loan.until);
        let request =
            self.requests.iter().find(|sent| sent.number == number && sent.service == service);
        let until = request.map_or(Millis(0), |request| request.sent_at.after(LOAN_DURATION));
        if now < until && share > 0.0 && share <= 1.0 {
            self.borrowed.insert((service, peer.clone()), Loan { share, until });
        }
    }

    /// Returns this gateway's part of a service.
    pub fn part(&self, service: u32, fleet: usize, now: Millis) -> Part {
        let borrowed =
            self.borrowed.iter().filter(|((of, _), loan)| *of == service && now < loan.until);
        let lent = self.lent.iter().filter(|((of, _), _)| *of == service);
        let lent = lent.map(|(_, loans)| largest(loans.iter().filter(|loan| now < loan.until)));
        Part { fleet, lent: lent.sum(), borrowed: borrowed.map(|(_, loan)| loan.share).sum() }
    }

    /// Returns the share of the whole that this gateway uses on average.
    pub fn mean_use(&self, service: u32, now: Millis) -> f64 {
        let used = self.recent_use(service, now);
        used.map_or(0.0, |used| used.mean / f64::from(used.slots.max(1)))
    }

    fn recent_use(&self, service: u32, now: Millis) -> Option<&Use> {
        self.used.get(&service).filter(|used| now.since(used.at) < USE_RETENTION)
    }

    /// Returns the share of the whole that this gateway needs itself.
    fn needed(&self, service: u32, now: Millis) -> f64 {
        self.recent_use(service, now).map_or(0.0, |used| {
            (used.mean * KEPT_PER_USE + KEPT_BESIDE) / f64::from(used.slots.max(1))
        })
    }
}

/// Returns the largest share of a peer's loans: a renewal replaces the loan before it.
fn largest<'a>(loans: impl Iterator<Item = &'a Loan>) -> f64 {
    loans.map(|loan| loan.share).fold(0.0, f64::max)
}
