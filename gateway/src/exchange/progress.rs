//! Positions in the feeds: this gateway's own, and those of other gateways that are ahead.

use std::net::SocketAddr;

use redwingfold_core::{FeedPositions, FeedUpdate, Millis};

use super::snapshot::{OrderSnapshots, Record};
use crate::clock::sleep;
use crate::feeds::{Audience, Feed};
use crate::gateway::Gateway;

/// Time that a gateway that is ahead has to answer before the store is read as well. It answers within 0.1 s even on a
/// host with a tenth of a core.
pub(super) const PEER_HEAD_START: Millis = Millis(300);

/// Interval at which a gateway checks whether those that are ahead have all failed to answer.
const PEER_POLL_INTERVAL: Millis = Millis(20);

impl Gateway {
    pub(crate) fn with_orders<T>(&self, f: impl FnOnce(&mut OrderSnapshots) -> T) -> T {
        f(&mut self.orders.borrow_mut())
    }

    /// Records this gateway's own read of the operator's topic, which started at `began` and ended at offset `next`.
    /// `is_all` means that `records` holds the newest record of each key, rather than only new records.
    pub fn record_orders_read(&self, records: &[Record], is_all: bool, next: u64, began: Millis) {
        self.with_orders(|orders| orders.record_read(records, is_all, next, began));
        self.orders_read_error.replace(None);
        self.with_feeds(|feeds| feeds.record_orders(began, next, Audience::All));
        self.gossip_due.notify(usize::MAX);
    }

    /// Records that the operator's topic was fetched from another gateway up to offset `next`.
    pub fn record_orders_fetched(&self, next: u64, as_of: Millis) {
        self.with_feeds(|feeds| feeds.record_orders(as_of, next, Audience::Few));
        self.gossip_due.notify(usize::MAX);
    }

    /// Applies another gateway's report on its position in the operator's topic.
    pub(crate) fn apply_orders_update(&self, from: SocketAddr, update: FeedUpdate) {
        self.with_feeds(|feeds| feeds.apply_orders_update(update, self.now()));
        self.record_peer_position(Feed::Orders, from, update.next);
    }

    /// Records another gateway's position in a feed.
    pub(crate) fn record_peer_position(&self, feed: Feed, peer: SocketAddr, next: u64) {
        self.with_positions(feed, |positions| positions.record(peer, next, self.now()));
        if self.pick_peer_ahead(feed).is_some() {
            self.peer_ahead.notify(usize::MAX);
        }
    }

    /// Records that a peer may serve callers, so that a gateway that starts asks it for each feed.
    pub(crate) fn record_serving_peer(&self, peer: SocketAddr) {
        for feed in [Feed::Orders, Feed::Servers, Feed::Marks] {
            if self.with_feeds(|feeds| feeds.reached(feed)).is_none() {
                self.with_positions(feed, |positions| positions.record_any(peer, self.now()));
                self.peer_ahead.notify(usize::MAX);
            }
        }
    }

    /// Returns whether another gateway is ahead of this one in a feed.
    pub fn is_behind(&self, feed: Feed) -> bool {
        self.pick_peer_ahead(feed).is_some()
    }

    /// Picks a gateway that is ahead of this one in a feed.
    pub(super) fn pick_peer_ahead(&self, feed: Feed) -> Option<SocketAddr> {
        let own = self.with_feeds(|feeds| feeds.reached(feed));
        let (draw, now) = (fastrand::u64(..), self.now());
        self.with_positions(feed, |positions| match feed {
            // Each order must be in force as soon as possible. They are rare, so that many have the newest.
            Feed::Orders => positions.pick_ahead(own, draw, now),
            Feed::Servers | Feed::Marks => positions.pick_well_ahead(own, draw, now),
        })
    }

    /// Waits while a gateway that is ahead in a feed can be expected to send what this one lacks. If all that lack it read
    /// the store instead, the calls would grow with the fleet.
    pub async fn wait_for_store_turn(&self, feed: Feed) {
        let is_start = self.with_feeds(|feeds| feeds.reached(feed)).is_none();
        if is_start {
            self.wait_for_start_read().await;
        }
        if let Some(read_at) = self.with_feeds(|feeds| feeds.store_read_at(feed)) {
            return sleep(read_at.since(self.now())).await;
        }
        let until = self.now().after(PEER_HEAD_START);
        while self.is_behind(feed) && self.now() < until {
            sleep(PEER_POLL_INTERVAL).await;
        }
        if is_start && self.now() >= until {
            // Peers that may be frozen must not delay the other feeds as well.
            for feed in [Feed::Orders, Feed::Servers, Feed::Marks] {
                self.with_positions(feed, FeedPositions::forget_unproven);
            }
        }
    }

    /// Returns whether this gateway reads the store for what it lacks of a feed, as no other can be expected to send it.
    pub fn is_store_turn(&self, feed: Feed) -> bool {
        match self.with_feeds(|feeds| (feeds.reached(feed), feeds.store_read_at(feed))) {
            (None, _) => self.is_start_read_due(),
            (Some(_), read_at) => read_at.is_none_or(|at| self.now() >= at),
        }
    }

    pub(super) fn record_peer_failure(&self, feed: Feed, peer: SocketAddr) {
        self.with_positions(feed, |positions| positions.record_failure(peer, self.now()));
    }

    fn with_positions<T>(
        &self,
        feed: Feed,
        f: impl FnOnce(&mut FeedPositions<SocketAddr>) -> T,
    ) -> T {
        match feed {
            Feed::Orders => f(&mut self.orders_positions.borrow_mut()),
            Feed::Servers => f(&mut self.servers_positions.borrow_mut()),
            Feed::Marks => f(&mut self.marks_positions.borrow_mut()),
        }
    }
}
