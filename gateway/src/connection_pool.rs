//! Pool of idle connections to backend servers.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use http::header::{CONNECTION, TRANSFER_ENCODING};
use http::{HeaderMap, StatusCode, Version, response};
use redwingfold_core::{
    BackendId, BackendServer, ConnectionKey, ConnectionReusePolicy, IdleConnections, KeepAlive,
    Millis, ServerState,
};

use crate::clock::{sleep, within};
use crate::gateway::Gateway;
use crate::upstream::HttpConnection;

/// Longest time that a connection may take after its response to become ready for the next request. Once the response has
/// been read, this only takes as long as the rest of the request, if the server answered before it had read all of it.
const READY_TIMEOUT: Millis = Millis(100);

/// Longest interval between two searches for expired connections, for those kept later but expiring earlier than the
/// others. Expired connections are never used, whether they are still open or not.
const EXPIRY_INTERVAL: Millis = Millis(500);

/// Idle connections, and whether a task closes those that expire.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    idle: RefCell<IdleConnections<HttpConnection>>,
    has_expiry_task: Cell<bool>,
}

impl ConnectionPool {
    pub(crate) fn new(policy: ConnectionReusePolicy) -> Self {
        let idle = RefCell::new(IdleConnections::new(policy));
        Self { idle, has_expiry_task: Cell::new(false) }
    }
}

impl Gateway {
    /// Returns whether connections to servers are kept and reused.
    pub(crate) fn reuses_connections(&self) -> bool {
        self.settings.connection_reuse.is_enabled || self.has_admission_control()
    }

    /// Removes an open connection to a server from the pool; `None` if there is none.
    pub(crate) fn take_idle_connection(&self, server: &BackendServer) -> Option<HttpConnection> {
        if !self.reuses_connections() {
            return None;
        }
        let connection = self.pool.idle.borrow_mut().take(&server.into(), self.now())?;
        match connection.is_ready() {
            true => {
                self.telemetry.count("connection.reused", 1);
                Some(connection)
            }
            false => None,
        }
    }

    /// Keeps a connection whose response was read completely, once it is ready for the next request.
    pub(crate) fn keep_connection(
        self: &Rc<Self>,
        server: &BackendServer,
        mut connection: HttpConnection,
        keep_alive: KeepAlive,
    ) {
        let (gw, key) = (self.clone(), ConnectionKey::from(server));
        self.spawn(async move {
            let is_ready = within(READY_TIMEOUT, connection.ready()).await == Some(true);
            if !is_ready || !gw.reuses_connections() || !gw.may_keep_connection(&key) {
                return;
            }
            if gw.pool.idle.borrow_mut().keep(key, connection, keep_alive, gw.now()) {
                gw.telemetry.count("connection.kept", 1);
                gw.expire_connections().await;
            }
        });
    }

    /// Closes connections when they expire, until none is left; returns at once if another task does so.
    async fn expire_connections(&self) {
        if self.pool.has_expiry_task.replace(true) {
            return;
        }
        loop {
            let Some(next) = self.pool.idle.borrow().next_expiry() else { break };
            sleep(next.since(self.now()).min(EXPIRY_INTERVAL)).await;
            self.pool.idle.borrow_mut().expire(self.now());
        }
        self.pool.has_expiry_task.set(false);
    }

    /// Closes the idle connections to a server.
    pub(crate) fn close_idle_connections(&self, id: &BackendId) {
        self.pool.idle.borrow_mut().retain(|key| key.id != *id);
    }

    /// Closes the idle connections to servers that get no new requests: those that are gone, leaving, draining, ejected or
    /// have restarted.
    pub(crate) fn close_unusable_connections(&self) {
        self.pool.idle.borrow_mut().retain(|key| self.may_keep_connection(key));
    }

    fn may_keep_connection(&self, key: &ConnectionKey) -> bool {
        let registry = self.registry.borrow();
        let current = registry.get(&key.id).filter(|server| ConnectionKey::from(*server) == *key);
        current.is_some_and(|server| {
            server.state == ServerState::Ready
                && !self.is_leaving(server)
                && !self.loads.place(server, self.now()).is_ejected
        })
    }
}

/// Returns how long the connection of a response may be kept; `None` if the response ends it. `length` is the length of its
/// body, if known.
///
/// The end of a response must be marked by its length or by chunks, because a response that ends with its connection leaves
/// none.
pub(crate) fn reusable_for(head: &response::Parts, length: Option<u64>) -> Option<KeepAlive> {
    let has_end = length.is_some() || is_chunked(&head.headers);
    let is_reusable = head.version == Version::HTTP_11
        && head.status != StatusCode::SWITCHING_PROTOCOLS
        && has_end
        && !closes_connection(&head.headers);
    is_reusable.then(|| {
        let values = head.headers.get_all("keep-alive").iter().filter_map(|v| v.to_str().ok());
        KeepAlive::parse(&values.collect::<Vec<_>>().join(","))
    })
}

fn is_chunked(headers: &HeaderMap) -> bool {
    headers.get(TRANSFER_ENCODING).is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"chunked"))
}

/// Returns whether a `Connection` header announces the end of the connection. One that is not text may do so.
fn closes_connection(headers: &HeaderMap) -> bool {
    headers.get_all(CONNECTION).iter().any(|value| match value.to_str() {
        Ok(text) => text.split(',').any(|option| option.trim().eq_ignore_ascii_case("close")),
        Err(_) => true,
    })
}
