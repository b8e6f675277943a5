//! What a gateway keeps of the operator's topic, and of the gateways that know more of it.

use std::net::SocketAddr;

use redwingfold_core::{FeedTold, Leads, Millis};

use super::snapshot::{OrderSnapshots, Record};
use crate::feeds::{Audience, Feed};
use crate::gateway::Gateway;

impl Gateway {
    pub(crate) fn with_orders<T>(&self, f: impl FnOnce(&mut OrderSnapshots) -> T) -> T {
        f(&mut self.orders.borrow_mut())
    }

    /// Takes an own read of the operator's topic that began at `began` and ended at offset `next`; `is_all` says
    /// that it brought the newest record of each key.
    pub fn record_orders_read(&self, records: &[Record], is_all: bool, next: u64, began: Millis) {
        self.with_orders(|orders| orders.record_read(records, is_all, next, began));
        self.orders_read_error.replace(None);
        self.with_feeds(|feeds| feeds.record_orders(began, next, Audience::All));
        self.gossip_due.notify(usize::MAX);
    }

    /// Notes that the operator's topic is known up to an offset from another gateway.
    pub fn record_orders_fetched(&self, next: u64, as_of: Millis) {
        self.with_feeds(|feeds| feeds.record_orders(as_of, next, Audience::Few));
        self.gossip_due.notify(usize::MAX);
    }

    /// Takes another gateway's word on how far it knows the operator's topic.
    pub(crate) fn apply_orders_update(&self, from: SocketAddr, update: FeedTold) {
        self.with_feeds(|feeds| feeds.apply_orders_update(update, self.now()));
        self.record_peer_position(Feed::Orders, from, update.next);
    }

    /// Notes that another gateway knows a feed up to an offset.
    pub(crate) fn record_peer_position(&self, feed: Feed, peer: SocketAddr, next: u64) {
        self.with_leads(feed, |leads| leads.heard(peer, next, self.now()));
        if self.pick_peer_ahead(feed).is_some() {
            self.peer_ahead.notify(usize::MAX);
        }
    }

    /// Says whether another gateway is known to know more of a feed.
    pub fn is_behind(&self, feed: Feed) -> bool {
        self.pick_peer_ahead(feed).is_some()
    }

    /// Picks a gateway that knows more of a feed.
    pub(super) fn pick_peer_ahead(&self, feed: Feed) -> Option<SocketAddr> {
        let own = self.with_feeds(|feeds| feeds.reached(feed));
        self.with_leads(feed, |leads| leads.pick(own, fastrand::u64(..), self.now()))
    }

    pub(super) fn record_peer_failure(&self, feed: Feed, peer: SocketAddr) {
        self.with_leads(feed, |leads| leads.failed(peer, self.now()));
    }

    fn with_leads<T>(&self, feed: Feed, f: impl FnOnce(&mut Leads<SocketAddr>) -> T) -> T {
        match feed {
            Feed::Orders => f(&mut self.orders_leads.borrow_mut()),
            Feed::Servers => f(&mut self.servers_leads.borrow_mut()),
            // Few and short, they are read in the store by whoever missed some.
            Feed::Marks => f(&mut Leads::new()),
        }
    }
}
