//! Idle connections to backend servers: which are kept, for how long, and which one is evicted.

mod policy;

use std::net::SocketAddr;

use super::catalog::BackendId;
use super::registry::BackendServer;
use crate::ids::{Incarnation, Millis};

pub use policy::{ConnectionReusePolicy, KeepAlive};

/// The process that a connection leads to.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ConnectionKey {
    /// Id of the server.
    pub id: BackendId,
    /// Incarnation of its process, if known.
    pub incarnation: Option<Incarnation>,
    /// Its address.
    pub addr: SocketAddr,
}

impl From<&BackendServer> for ConnectionKey {
    fn from(server: &BackendServer) -> Self {
        Self { id: server.id.clone(), incarnation: server.incarnation, addr: server.addr }
    }
}

/// Idle connections of type `C`. A connection that is evicted, expired or removed is dropped.
///
/// ```
/// use redwingfold_core::{ConnectionKey, ConnectionReusePolicy, IdleConnections, KeepAlive, Millis};
/// let addr = "127.0.0.1:80".parse().unwrap();
/// let key = ConnectionKey { id: "p1".into(), incarnation: None, addr };
/// let mut idle = IdleConnections::new(ConnectionReusePolicy::default());
/// assert!(idle.keep(key.clone(), "connection", KeepAlive::default(), Millis(0)));
/// assert_eq!(idle.take(&key, Millis(100)), Some("connection"));
/// assert_eq!(idle.take(&key, Millis(100)), None);
/// ```
#[derive(Clone, Debug)]
pub struct IdleConnections<C> {
    policy: ConnectionReusePolicy,
    /// Ordered by expiry, the earliest first.
    entries: Vec<Entry<C>>,
}

#[derive(Clone, Debug)]
struct Entry<C> {
    key: ConnectionKey,
    connection: C,
    expires_at: Millis,
}

impl<C> IdleConnections<C> {
    /// Creates an empty set.
    pub fn new(policy: ConnectionReusePolicy) -> Self {
        Self { policy, entries: Vec::new() }
    }

    /// Keeps a connection, unless its time is over, it leads to an earlier incarnation than another one, or there are
    /// enough connections that may be kept for longer. Returns whether it is kept.
    pub fn keep(
        &mut self,
        key: ConnectionKey,
        connection: C,
        keep_alive: KeepAlive,
        now: Millis,
    ) -> bool {
        self.expire(now);
        let idle_time = self.policy.idle_time(keep_alive);
        let is_earlier = |other: &ConnectionKey| other.incarnation > key.incarnation;
        if idle_time == Millis(0) || self.keys().any(|k| k.id == key.id && is_earlier(k)) {
            return false;
        }
        // Connections with another key of this server lead to a process that no longer exists.
        self.retain(|other| other.id != key.id || *other == key);
        let expires_at = now.after(idle_time);
        let (max, max_per_server) = (self.policy.max_idle, self.policy.max_idle_per_server);
        let has_room = self.make_room(max_per_server, expires_at, |other| *other == key)
            && self.make_room(max, expires_at, |_| true);
        if has_room {
            let index = self.entries.partition_point(|entry| entry.expires_at <= expires_at);
            self.entries.insert(index, Entry { key, connection, expires_at });
        }
        has_room
    }

    /// Removes and returns the connection to a process that expires last; `None` if none is kept.
    pub fn take(&mut self, key: &ConnectionKey, now: Millis) -> Option<C> {
        self.expire(now);
        let index = self.entries.iter().rposition(|entry| entry.key == *key)?;
        Some(self.entries.remove(index).connection)
    }

    /// Drops the connections whose keys `may_stay` rejects. Returns their number.
    pub fn retain(&mut self, may_stay: impl Fn(&ConnectionKey) -> bool) -> usize {
        let before = self.entries.len();
        self.entries.retain(|entry| may_stay(&entry.key));
        before - self.entries.len()
    }

    /// Drops the connections that have been idle for too long. Returns their number.
    pub fn expire(&mut self, now: Millis) -> usize {
        let expired = self.entries.partition_point(|entry| entry.expires_at <= now);
        self.entries.drain(..expired).count()
    }

    /// Returns when the next connection expires.
    pub fn next_expiry(&self) -> Option<Millis> {
        self.entries.first().map(|entry| entry.expires_at)
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn keys(&self) -> impl Iterator<Item = &ConnectionKey> {
        self.entries.iter().map(|entry| &entry.key)
    }

    /// Evicts the connection that expires first among those in `group`, if the group has `max` of them. Returns `false` if
    /// there is no room for a connection that expires at `expires_at`, as all others expire later.
    fn make_room(
        &mut self,
        max: usize,
        expires_at: Millis,
        group: impl Fn(&ConnectionKey) -> bool,
    ) -> bool {
        if self.keys().filter(|key| group(key)).count() < max {
            return true;
        }
        match self.entries.iter().position(|entry| group(&entry.key)) {
            Some(first) if self.entries[first].expires_at <= expires_at => {
                self.entries.remove(first);
                true
            }
            _ => false,
        }
    }
}
