//! The feeds of the store that gateways read together: orders, backend servers, and marks of requests.

use redwingfold_core::{
    BackendId, BackendServer, FeedHistory, FeedUpdate, FeedUpdateOutcome, FeedView, MarkChange,
    Millis,
};

/// A feed of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Feed {
    /// The configuration and orders of roll-outs. Its records are large and rare: others are told
    /// that there are some, and read them.
    Orders,
    /// Backend servers. Its records come many times a second and mostly repeat what is known:
    /// others are told what changed.
    Servers,
    /// Marks of requests under which servers ended. They are rare and short, and others are told of them.
    Marks,
}

/// Who is told of what a feed brought.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Reach {
    /// All gateways: somebody has read the store, so that they need not.
    All,
    /// A few, who have one more to ask: all know already that somebody has read it, and that one cannot
    /// serve all of them at once.
    Few,
}

/// Something that changed in the list of backend servers.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerChange {
    /// A server's record was removed.
    Gone(BackendId),
    /// A server has a new record.
    Put(BackendServer),
}

/// How often the feeds are read by whichever gateway comes first.
///
/// Each gateway reads after twice this time at the latest. What it takes on top is a message's way, and
/// for orders a read of its own.
#[derive(Clone, Copy, Debug)]
pub struct FeedPeriods {
    /// Orders, which must be in force within a time that the operator is promised.
    pub orders: Millis,
    /// Servers, of which one that drains may still get work for a while.
    pub servers: Millis,
    /// Marks of requests, of which all must know a while after a third server has ended under one.
    pub marks: Millis,
}

impl Default for FeedPeriods {
    /// Fits promises of two and three seconds.
    fn default() -> Self {
        Self { orders: Millis(450), servers: Millis(500), marks: Millis(600) }
    }
}

/// Changes that a message tells at most; with more, others read themselves.
const MAX_CHANGES: usize = 12;

/// The same for marks, each of which takes some 30 bytes.
const MAX_MARKS: usize = 24;

/// What is known of the feeds, and what the others have not been told.
#[derive(Debug)]
pub struct Feeds {
    orders: FeedView,
    servers: FeedView,
    /// Changes of servers, from own reads and from others' messages.
    past: FeedHistory<ServerChange>,
    marks: FeedView,
    past_marks: FeedHistory<MarkChange>,
    untold_orders: Option<(FeedUpdate, Millis, Reach)>,
    untold_servers: Option<(u64, Millis, Reach)>,
    untold_marks: Option<(u64, Millis)>,
}

impl Feeds {
    /// Makes the feeds of a gateway that knows nothing yet.
    pub(crate) fn new(periods: FeedPeriods) -> Self {
        Self {
            orders: FeedView::new(periods.orders),
            servers: FeedView::new(periods.servers),
            past: FeedHistory::new(MAX_CHANGES),
            marks: FeedView::new(periods.marks),
            past_marks: FeedHistory::new(MAX_MARKS),
            untold_orders: None,
            untold_servers: None,
            untold_marks: None,
        }
    }

    /// Notes how many gateways read together, this one included.
    pub(crate) fn share_with(&mut self, fleet: usize) {
        self.orders.set_fleet_size(fleet);
        self.servers.set_fleet_size(fleet);
        self.marks.set_fleet_size(fleet);
    }

    /// Returns how many gateways read together, this one included.
    pub fn fleet(&self) -> usize {
        self.servers.fleet_size()
    }

    fn view(&mut self, feed: Feed) -> &mut FeedView {
        match feed {
            Feed::Orders => &mut self.orders,
            Feed::Servers => &mut self.servers,
            Feed::Marks => &mut self.marks,
        }
    }

    /// Returns the offset from which a feed is to be read; `None` if nothing of it is known.
    pub fn next(&mut self, feed: Feed) -> Option<u64> {
        self.view(feed).next()
    }

    /// Returns the position up to which a feed was ever known.
    pub fn reached(&mut self, feed: Feed) -> Option<u64> {
        self.view(feed).highest_next()
    }

    /// Returns as of when a feed is known, if it is known at all.
    pub fn as_of(&mut self, feed: Feed) -> Option<Millis> {
        self.view(feed).as_of()
    }

    /// Says whether this gateway should read a feed.
    pub fn is_due(&mut self, feed: Feed, now: Millis) -> bool {
        self.view(feed).is_due(now)
    }

    /// Forgets how far a feed is known.
    pub fn lose(&mut self, feed: Feed) {
        self.view(feed).clear_offset();
    }

    /// Takes what is known of orders as of `as_of`, and tells as many others as `reach` says.
    pub(crate) fn know_orders(&mut self, as_of: Millis, next: u64, reach: Reach) {
        self.orders.record_read(as_of, next, fastrand::u64(..));
        self.untold_orders = Some((FeedUpdate { from: next, next, age: Millis(0) }, as_of, reach));
    }

    /// Takes an own read of servers that began at `began`, with what it changed.
    pub(crate) fn read_servers(&mut self, began: Millis, next: u64, changes: Vec<ServerChange>) {
        self.learn_servers(began, next, changes, Reach::All);
    }

    fn learn_servers(
        &mut self,
        began: Millis,
        next: u64,
        changes: Vec<ServerChange>,
        reach: Reach,
    ) {
        let from = self.servers.next().unwrap_or(next);
        self.servers.record_read(began, next, fastrand::u64(..));
        self.past.add(from, next, changes);
        self.untold_servers = Some((next, began, reach));
    }

    /// Takes the whole list of servers as of `as_of` from another gateway; what changed until then cannot be told,
    /// but a few may ask here as well.
    pub(crate) fn know_servers(&mut self, as_of: Millis, next: u64) {
        self.servers.clear_offset();
        self.learn_servers(as_of, next, Vec::new(), Reach::Few);
    }

    /// Takes a message on orders; `true` if some were missed.
    pub(crate) fn hear_orders(&mut self, told: FeedUpdate, now: Millis) -> bool {
        self.orders.apply_update(told, now, fastrand::u64(..)) == FeedUpdateOutcome::Gap
    }

    /// Takes a message on servers and returns the changes that it brings.
    pub(crate) fn hear_servers(
        &mut self,
        told: FeedUpdate,
        changes: Vec<ServerChange>,
        now: Millis,
    ) -> Vec<ServerChange> {
        let from = self.servers.next();
        match (self.servers.apply_update(told, now, fastrand::u64(..)), from) {
            (FeedUpdateOutcome::Applies, Some(from)) => {
                self.past.add(from, told.next, changes.clone());
                changes
            }
            _ => Vec::new(),
        }
    }

    /// Returns what the others have not been told of orders.
    pub(crate) fn take_orders(&mut self, now: Millis) -> Option<(FeedUpdate, Reach)> {
        let (told, as_of, reach) = self.untold_orders.take()?;
        Some((FeedUpdate { age: now.since(as_of), ..told }, reach))
    }

    /// Returns what the others have not been told of servers.
    pub(crate) fn take_servers(
        &mut self,
        now: Millis,
    ) -> Option<(FeedUpdate, Vec<ServerChange>, Reach)> {
        let (next, began, reach) = self.untold_servers.take()?;
        let (from, changes) = self.past.recent_changes().unwrap_or((next, Vec::new()));
        Some((FeedUpdate { from, next, age: now.since(began) }, changes, reach))
    }

    /// Takes an own read of marks that began at `began`, with what it brought.
    pub(crate) fn read_marks(&mut self, began: Millis, next: u64, changes: Vec<MarkChange>) {
        let from = self.marks.next().unwrap_or(next);
        self.marks.record_read(began, next, fastrand::u64(..));
        self.past_marks.add(from, next, changes);
        self.untold_marks = Some((next, began));
    }

    /// Takes a message on marks and returns those that it brings.
    pub(crate) fn hear_marks(
        &mut self,
        told: FeedUpdate,
        changes: Vec<MarkChange>,
        now: Millis,
    ) -> Vec<MarkChange> {
        let from = self.marks.next();
        match (self.marks.apply_update(told, now, fastrand::u64(..)), from) {
            (FeedUpdateOutcome::Applies, Some(from)) => {
                self.past_marks.add(from, told.next, changes.clone());
                changes
            }
            _ => Vec::new(),
        }
    }

    /// Returns what the others have not been told of marks.
    pub(crate) fn take_marks(&mut self, now: Millis) -> Option<(FeedUpdate, Vec<MarkChange>)> {
        let (next, began) = self.untold_marks.take()?;
        let (from, changes) = self.past_marks.recent_changes().unwrap_or((next, Vec::new()));
        Some((FeedUpdate { from, next, age: now.since(began) }, changes))
    }
}
