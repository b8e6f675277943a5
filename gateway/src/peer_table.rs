//! The table of the other gateways, shared by all tasks of this one.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use redwingfold_core::{Members, Millis};

/// The other gateways, by address.
#[derive(Clone, Debug)]
pub struct PeerTable(Rc<RefCell<Members<SocketAddr>>>);

impl PeerTable {
    /// Creates an empty table for the gateway at `own`.
    ///
    /// ```
    /// use redwingfold_core::Millis;
    /// let peers = redwingfold_gateway::PeerTable::new("127.0.0.1:7000".parse()?);
    /// peers.add(&["127.0.0.1:7001".parse()?], Millis(0));
    /// assert_eq!(peers.len(), 1);
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn new(own: SocketAddr) -> Self {
        Self(Rc::new(RefCell::new(Members::new(own))))
    }

    /// Adds peers by address; returns `true` if one of them is new.
    pub fn add(&self, named: &[SocketAddr], now: Millis) -> bool {
        self.0.borrow_mut().add(named, now)
    }

    /// Returns the number of peers.
    pub fn len(&self) -> usize {
        self.0.borrow().len()
    }

    /// Returns whether there are no peers.
    pub fn is_empty(&self) -> bool {
        self.0.borrow().is_empty()
    }

    /// Returns the address of this gateway.
    pub(crate) fn own(&self) -> SocketAddr {
        self.with(|members| members.own())
    }

    pub(crate) fn with<T>(&self, f: impl FnOnce(&mut Members<SocketAddr>) -> T) -> T {
        f(&mut self.0.borrow_mut())
    }

    /// Returns the peers that sent a message or were added recently.
    pub(crate) fn live(&self, now: Millis) -> Vec<SocketAddr> {
        self.with(|members| members.live(now))
    }
}
