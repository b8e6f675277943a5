//! What a gateway keeps of the operator's topic, and of the gateways that know more of it.

use std::net::SocketAddr;

use redwingfold_core::{FeedUpdate, Leads, Millis};

use super::image::{Orders, Record};
use crate::feeds::{Feed, Reach};
use crate::gateway::Gateway;

impl Gateway {
    pub(crate) fn with_orders<T>(&self, f: impl FnOnce(&mut Orders) -> T) -> T {
        f(&mut self.orders.borrow_mut())
    }

    /// Takes an own read of the operator's topic that began at `began` and ended at offset `next`; `is_all` says
    /// that it brought the newest record of each key.
    pub fn read_orders(&self, records: &[Record], is_all: bool, next: u64, began: Millis) {
        self.with_orders(|orders| orders.read(records, is_all, next, began));
        self.orders_trouble.replace(None);
        self.with_feeds(|feeds| feeds.know_orders(began, next, Reach::All));
        self.news.notify(usize::MAX);
    }

    /// Notes that the operator's topic is known up to an offset from another gateway.
    pub fn heard_orders(&self, next: u64, as_of: Millis) {
        self.with_feeds(|feeds| feeds.know_orders(as_of, next, Reach::Few));
        self.news.notify(usize::MAX);
    }

    /// Takes another gateway's word on how far it knows the operator's topic.
    pub(crate) fn hear_orders(&self, from: SocketAddr, told: FeedUpdate) {
        self.with_feeds(|feeds| feeds.hear_orders(told, self.now()));
        self.note_lead(Feed::Orders, from, told.next);
    }

    /// Notes that another gateway knows a feed up to an offset.
    pub(crate) fn note_lead(&self, feed: Feed, gateway: SocketAddr, next: u64) {
        self.with_leads(feed, |leads| leads.heard(gateway, next, self.now()));
        if self.lead(feed).is_some() {
            self.ahead.notify(usize::MAX);
        }
    }

    /// Says whether another gateway is known to know more of a feed.
    pub fn is_behind(&self, feed: Feed) -> bool {
        self.lead(feed).is_some()
    }

    /// Picks a gateway that knows more of a feed.
    pub(super) fn lead(&self, feed: Feed) -> Option<SocketAddr> {
        let own = self.with_feeds(|feeds| feeds.reached(feed));
        self.with_leads(feed, |leads| leads.pick(own, fastrand::u64(..), self.now()))
    }

    pub(super) fn lead_failed(&self, feed: Feed, gateway: SocketAddr) {
        self.with_leads(feed, |leads| leads.failed(gateway, self.now()));
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
