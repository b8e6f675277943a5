//! The feeds of the store that gateways read together: orders, backend servers, and marks of requests.

use redwingfold_core::{
    BackendId, BackendServer, FeedHeard, FeedPast, FeedTold, FeedView, MarkChange, Millis,
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
pub(crate) enum Audience {
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
    Removed(BackendId),
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
    server_history: FeedPast<ServerChange>,
    marks: FeedView,
    mark_history: FeedPast<MarkChange>,
    unsent_orders: Option<(FeedTold, Millis, Audience)>,
    unsent_servers: Option<(u64, Millis, Audience)>,
    unsent_marks: Option<(u64, Millis)>,
}

impl Feeds {
    /// Makes the feeds of a gateway that knows nothing yet.
    pub(crate) fn new(periods: FeedPeriods) -> Self {
        Self {
            orders: FeedView::new(periods.orders),
            servers: FeedView::new(periods.servers),
            server_history: FeedPast::new(MAX_CHANGES),
            marks: FeedView::new(periods.marks),
            mark_history: FeedPast::new(MAX_MARKS),
            unsent_orders: None,
            unsent_servers: None,
            unsent_marks: None,
        }
    }

    /// Notes how many gateways read together, this one included.
    pub(crate) fn set_fleet_size(&mut self, fleet: usize) {
        self.orders.share_with(fleet);
        self.servers.share_with(fleet);
        self.marks.share_with(fleet);
    }

    /// Returns how many gateways read together, this one included.
    pub fn fleet_size(&self) -> usize {
        self.servers.fleet()
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
        self.view(feed).reached()
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
    pub fn reset(&mut self, feed: Feed) {
        self.view(feed).lose();
    }

    /// Takes what is known of orders as of `as_of`, and tells as many others as `reach` says.
    pub(crate) fn record_orders(&mut self, as_of: Millis, next: u64, audience: Audience) {
        self.orders.read(as_of, next, fastrand::u64(..));
        self.unsent_orders = Some((FeedTold { from: next, next, age: Millis(0) }, as_of, audience));
    }

    /// Takes an own read of servers that began at `began`, with what it changed.
    pub(crate) fn record_servers_read(
        &mut self,
        began: Millis,
        next: u64,
        changes: Vec<ServerChange>,
    ) {
        self.record_servers(began, next, changes, Audience::All);
    }

    fn record_servers(
        &mut self,
        began: Millis,
        next: u64,
        changes: Vec<ServerChange>,
        audience: Audience,
    ) {
        let from = self.servers.next().unwrap_or(next);
        self.servers.read(began, next, fastrand::u64(..));
        self.server_history.add(from, next, changes);
        self.unsent_servers = Some((next, began, audience));
    }

    /// Takes the whole list of servers as of `as_of` from another gateway; what changed until then cannot be told,
    /// but a few may ask here as well.
    pub(crate) fn record_fetched_servers(&mut self, as_of: Millis, next: u64) {
        self.servers.lose();
        self.record_servers(as_of, next, Vec::new(), Audience::Few);
    }

    /// Takes a message on orders; `true` if some were missed.
    pub(crate) fn apply_orders_update(&mut self, update: FeedTold, now: Millis) -> bool {
        self.orders.hear(update, now, fastrand::u64(..)) == FeedHeard::Missed
    }

    /// Takes a message on servers and returns the changes that it brings.
    pub(crate) fn apply_servers_update(
        &mut self,
        update: FeedTold,
        changes: Vec<ServerChange>,
        now: Millis,
    ) -> Vec<ServerChange> {
        let from = self.servers.next();
        match (self.servers.hear(update, now, fastrand::u64(..)), from) {
            (FeedHeard::Applies, Some(from)) => {
                self.server_history.add(from, update.next, changes.clone());
                changes
            }
            _ => Vec::new(),
        }
    }

    /// Returns what the others have not been told of orders.
    pub(crate) fn take_orders_update(&mut self, now: Millis) -> Option<(FeedTold, Audience)> {
        let (update, as_of, audience) = self.unsent_orders.take()?;
        Some((FeedTold { age: now.since(as_of), ..update }, audience))
    }

    /// Returns what the others have not been told of servers.
    pub(crate) fn take_servers_update(
        &mut self,
        now: Millis,
    ) -> Option<(FeedTold, Vec<ServerChange>, Audience)> {
        let (next, began, audience) = self.unsent_servers.take()?;
        let (from, changes) = self.server_history.told().unwrap_or((next, Vec::new()));
        Some((FeedTold { from, next, age: now.since(began) }, changes, audience))
    }

    /// Takes an own read of marks that began at `began`, with what it brought.
    pub(crate) fn record_marks_read(&mut self, began: Millis, next: u64, changes: Vec<MarkChange>) {
        let from = self.marks.next().unwrap_or(next);
        self.marks.read(began, next, fastrand::u64(..));
        self.mark_history.add(from, next, changes);
        self.unsent_marks = Some((next, began));
    }

    /// Takes a message on marks and returns those that it brings.
    pub(crate) fn apply_marks_update(
        &mut self,
        update: FeedTold,
        changes: Vec<MarkChange>,
        now: Millis,
    ) -> Vec<MarkChange> {
        let from = self.marks.next();
        match (self.marks.hear(update, now, fastrand::u64(..)), from) {
            (FeedHeard::Applies, Some(from)) => {
                self.mark_history.add(from, update.next, changes.clone());
                changes
            }
            _ => Vec::new(),
        }
    }

    /// Returns what the others have not been told of marks.
    pub(crate) fn take_marks_update(&mut self, now: Millis) -> Option<(FeedTold, Vec<MarkChange>)> {
        let (next, began) = self.unsent_marks.take()?;
        let (from, changes) = self.mark_history.told().unwrap_or((next, Vec::new()));
        Some((FeedTold { from, next, age: now.since(began) }, changes))
    }
}
