//! The feeds of the store whose reads the gateways share: orders, backend servers, and marks of requests.

use redwingfold_core::{
    BackendId, BackendServer, FeedHistory, FeedUpdate, FeedUpdateOutcome, FeedView, MarkChange,
    Millis,
};

/// A feed of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Feed {
    /// The configuration and rollout orders. Records are large and rare: messages announce only their offset, and the
    /// receivers fetch them.
    Orders,
    /// Backend servers. Records arrive many times a second and mostly repeat known state: messages carry the changes.
    Servers,
    /// Marks of requests during which servers terminated. They are rare and short: messages carry them.
    Marks,
}

/// Which gateways get a message on a feed update.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Audience {
    /// All gateways, so that none of them needs to read the store.
    All,
    /// A few, so that they have one more gateway to fetch from. All have already been notified by the gateway that read
    /// the store, which can't serve all of them at once.
    Few,
}

/// A change in the list of backend servers.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerChange {
    /// A server's record was removed.
    Removed(BackendId),
    /// A server's record was added or replaced.
    Put(BackendServer),
}

/// Read periods of the feeds; the gateway whose random wait ends first reads for all.
///
/// Each gateway reads after twice its period at the latest. The delay of a message comes on top, and for orders the
/// gateway's own fetch.
#[derive(Clone, Copy, Debug)]
pub struct FeedPeriods {
    /// Orders, which must be in force within the time promised to operators.
    pub orders: Millis,
    /// Servers. A draining server may still get requests for a while.
    pub servers: Millis,
    /// Marks of requests. All gateways must have them shortly after a third server has terminated during the same
    /// request.
    pub marks: Millis,
}

impl Default for FeedPeriods {
    /// Periods that keep the promised two and three seconds.
    fn default() -> Self {
        Self { orders: Millis(450), servers: Millis(500), marks: Millis(600) }
    }
}

/// Largest number of server changes in a message. With more, receivers read the feed themselves.
const MAX_CHANGES: usize = 12;

/// Fleet size to assume while others may be unknown.
const ASSUMED_FLEET: usize = 64;

/// Largest number of marks in a message. Each takes about 30 bytes.
const MAX_MARKS: usize = 24;

/// This gateway's position in each feed, and the updates that were not sent to the others yet.
#[derive(Debug)]
pub struct Feeds {
    orders: FeedView,
    servers: FeedView,
    /// Recent changes of servers, from own reads and from messages.
    server_history: FeedHistory<ServerChange>,
    marks: FeedView,
    mark_history: FeedHistory<MarkChange>,
    unsent_orders: Option<(FeedUpdate, Millis, Audience)>,
    unsent_servers: Option<(u64, Millis, Audience)>,
    unsent_marks: Option<(u64, Millis, Audience)>,
    /// Gateways that this one knows, including itself.
    known_fleet: usize,
}

impl Feeds {
    /// Creates the state of a gateway that has not read any feed yet.
    pub(crate) fn new(periods: FeedPeriods) -> Self {
        Self {
            orders: FeedView::new(periods.orders),
            servers: FeedView::new(periods.servers),
            server_history: FeedHistory::new(MAX_CHANGES),
            marks: FeedView::new(periods.marks),
            mark_history: FeedHistory::new(MAX_MARKS),
            unsent_orders: None,
            unsent_servers: None,
            unsent_marks: None,
            known_fleet: 1,
        }
    }

    /// Sets the number of gateways that share reads, including this one. While it `is_settling`, the fleet is taken for a
    /// large one: a gateway that starts knows few others, and would read for itself what these read for all.
    pub(crate) fn set_fleet_size(&mut self, fleet: usize, is_settling: bool) {
        self.known_fleet = fleet;
        let assumed = if is_settling { fleet.max(ASSUMED_FLEET) } else { fleet };
        self.orders.set_fleet_size(assumed);
        self.servers.set_fleet_size(assumed);
        self.marks.set_fleet_size(assumed);
    }

    /// Returns the number of gateways that share reads, including this one.
    pub fn fleet_size(&self) -> usize {
        self.known_fleet
    }

    fn view(&mut self, feed: Feed) -> &mut FeedView {
        match feed {
            Feed::Orders => &mut self.orders,
            Feed::Servers => &mut self.servers,
            Feed::Marks => &mut self.marks,
        }
    }

    /// Returns the offset from which to continue reading a feed; `None` if the whole feed must be read.
    pub fn next(&mut self, feed: Feed) -> Option<u64> {
        self.view(feed).next()
    }

    /// Returns the highest offset that this gateway has reached in a feed. [`Feeds::reset`] keeps it.
    pub fn reached(&mut self, feed: Feed) -> Option<u64> {
        self.view(feed).highest_next()
    }

    /// Returns the time as of which a feed is known; `None` if it never was.
    pub fn as_of(&mut self, feed: Feed) -> Option<Millis> {
        self.view(feed).as_of()
    }

    /// Returns whether this gateway should read a feed now.
    pub fn is_due(&mut self, feed: Feed, now: Millis) -> bool {
        self.view(feed).is_due(now)
    }

    /// Returns the earliest time at which this gateway, which has missed changes of a feed, reads the store rather than
    /// wait for a gateway that is ahead; `None` if it has missed none.
    pub(crate) fn store_read_at(&mut self, feed: Feed) -> Option<Millis> {
        self.view(feed).store_read_at()
    }

    /// Clears the position in a feed, so that it is read whole.
    pub fn reset(&mut self, feed: Feed) {
        self.view(feed).clear_offset();
    }

    /// Records that orders are known up to `next` as of `as_of`, to be announced to `audience`.
    pub(crate) fn record_orders(&mut self, as_of: Millis, next: u64, audience: Audience) {
        self.orders.record_read(as_of, next, fastrand::u64(..));
        self.unsent_orders =
            Some((FeedUpdate { from: next, next, age: Millis(0) }, as_of, audience));
    }

    /// Records this gateway's own read of servers, which started at `began`, and its changes.
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
        self.servers.record_read(began, next, fastrand::u64(..));
        self.server_history.add(from, next, changes);
        self.unsent_servers = Some((next, began, audience));
    }

    /// Records that the whole list of servers as of `as_of` was fetched from another gateway. The changes up to then
    /// are unknown, but a few gateways are notified that they can fetch the list here as well.
    pub(crate) fn record_fetched_servers(&mut self, as_of: Millis, next: u64) {
        self.servers.clear_offset();
        self.record_servers(as_of, next, Vec::new(), Audience::Few);
    }

    /// Applies a message on orders; returns `true` if this gateway has missed some.
    pub(crate) fn apply_orders_update(&mut self, update: FeedUpdate, now: Millis) -> bool {
        self.orders.apply_update(update, now, fastrand::u64(..)) == FeedUpdateOutcome::Gap
    }

    /// Applies a message on servers; returns the changes in it that are new here.
    pub(crate) fn apply_servers_update(
        &mut self,
        update: FeedUpdate,
        changes: Vec<ServerChange>,
        now: Millis,
    ) -> Vec<ServerChange> {
        let from = self.servers.next();
        match (self.servers.apply_update(update, now, fastrand::u64(..)), from) {
            (FeedUpdateOutcome::Applies, Some(from)) => {
                self.server_history.add(from, update.next, changes.clone());
                changes
            }
            (FeedUpdateOutcome::Confirms, Some(from)) => {
                self.server_history.add(from, from, Vec::new());
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    /// Returns this gateway's position in a feed for a message without changes; `None` if it has none.
    pub(crate) fn position(&mut self, feed: Feed, now: Millis) -> Option<FeedUpdate> {
        let view = self.view(feed);
        let (next, as_of) = (view.next()?, view.as_of()?);
        Some(FeedUpdate { from: next, next, age: now.since(as_of) })
    }

    /// Takes the unsent update on orders.
    pub(crate) fn take_orders_update(&mut self, now: Millis) -> Option<(FeedUpdate, Audience)> {
        let (update, as_of, audience) = self.unsent_orders.take()?;
        Some((FeedUpdate { age: now.since(as_of), ..update }, audience))
    }

    /// Takes the unsent update on servers.
    pub(crate) fn take_servers_update(
        &mut self,
        now: Millis,
    ) -> Option<(FeedUpdate, Vec<ServerChange>, Audience)> {
        let (next, began, audience) = self.unsent_servers.take()?;
        let (from, changes) = self.server_history.recent_changes().unwrap_or((next, Vec::new()));
        Some((FeedUpdate { from, next, age: now.since(began) }, changes, audience))
    }

    /// Records this gateway's own read of marks, which started at `began`, and the marks read.
    pub(crate) fn record_marks_read(&mut self, began: Millis, next: u64, changes: Vec<MarkChange>) {
        let from = self.marks.next().unwrap_or(next);
        self.marks.record_read(began, next, fastrand::u64(..));
        self.mark_history.add(from, next, changes);
        self.unsent_marks = Some((next, began, Audience::All));
    }

    /// Records that all marks as of `as_of` were fetched from another gateway; a few are notified that they can fetch them
    /// here as well.
    pub(crate) fn record_fetched_marks(&mut self, as_of: Millis, next: u64) {
        self.marks.clear_offset();
        self.marks.record_read(as_of, next, fastrand::u64(..));
        self.mark_history.add(next, next, Vec::new());
        self.unsent_marks = Some((next, as_of, Audience::Few));
    }

    /// Applies a message on marks; returns those that are new here.
    pub(crate) fn apply_marks_update(
        &mut self,
        update: FeedUpdate,
        changes: Vec<MarkChange>,
        now: Millis,
    ) -> Vec<MarkChange> {
        let from = self.marks.next();
        match (self.marks.apply_update(update, now, fastrand::u64(..)), from) {
            (FeedUpdateOutcome::Applies, Some(from)) => {
                self.mark_history.add(from, update.next, changes.clone());
                changes
            }
            (FeedUpdateOutcome::Confirms, Some(from)) => {
                self.mark_history.add(from, from, Vec::new());
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    /// Takes the unsent update on marks.
    pub(crate) fn take_marks_update(
        &mut self,
        now: Millis,
    ) -> Option<(FeedUpdate, Vec<MarkChange>, Audience)> {
        let (next, began, audience) = self.unsent_marks.take()?;
        let (from, changes) = self.mark_history.recent_changes().unwrap_or((next, Vec::new()));
        Some((FeedUpdate { from, next, age: now.since(began) }, changes, audience))
    }
}
