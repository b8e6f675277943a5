//! Replicated records of the sessions that have moved to the target of a rollout.
//!
//! Each record is kept by a few gateways, the keepers of the session. They are ranked by a hash of session and address,
//! so that all gateways find the same ones.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;

use async_channel::{Receiver, Sender, bounded};
use redwingfold_core::{Millis, SessionKey};
use smol::net::UdpSocket;
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::{sleep, within};
use crate::gateway::Gateway;
use crate::peer_message::{DirectMessage, PeerMessage};
use crate::peer_table::PeerTable;

/// Longest wait for the replies of a session's keepers.
const REPLY_TIMEOUT: Millis = Millis(100);

/// Time after the start during which a gateway waits for its first peers and repeats queries without a reply.
///
/// A gateway gets requests before its peers have sent it messages. Without the wait, it sent moved sessions back to the
/// current version.
const STARTUP_PERIOD: Millis = Millis(1_000);

/// Time between checks for the first peer of a starting gateway.
const PEER_CHECK_INTERVAL: Millis = Millis(20);

/// Most messages waiting to be sent. New ones beyond it are dropped.
const OUTBOX_CAPACITY: usize = 1_024;

/// A message between gateways about a session, which is identified by its key. The sender of a query chooses the
/// query id.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SessionMessage {
    /// The session has moved.
    Moved(u64),
    /// Query whether a session has moved: query id, session. Answered by its keepers and forwarded to them by others.
    Query(u32, u64),
    /// The same query on behalf of the gateway at this address. The receiver answers it even if it is no keeper.
    ForwardedQuery(u32, u64, SocketAddr),
    /// Reply to a query: query id, whether the session has moved, how many gateways may reply.
    Reply(u32, bool, u8),
}

/// Combined replies of a session's keepers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum KeepersReply {
    /// The session has moved.
    Moved,
    /// All keepers replied that it has not moved.
    NotMoved,
    /// Some did not reply in time, and none replied that it has moved.
    Incomplete,
    /// There was no other gateway to query.
    NoKeepers,
}

impl fmt::Display for KeepersReply {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Moved => "moved",
            Self::NotMoved => "not_moved",
            Self::Incomplete => "incomplete",
            Self::NoKeepers => "nobody_asked",
        })
    }
}

/// A message and its recipient.
type OutgoingMessage = (SocketAddr, SessionMessage);

/// The reply of one keeper.
#[derive(Clone, Copy, Debug)]
struct KeeperReply {
    from: SocketAddr,
    has_moved: bool,
    /// Number of gateways that may reply, according to the sender's table of peers.
    keepers: usize,
}

/// State of the session queries, and the queue of outgoing session messages.
#[derive(Debug)]
pub(crate) struct SessionKeepers {
    /// The other gateways and since when sessions are shared with them; `None` before that.
    peers: RefCell<Option<(PeerTable, Millis)>>,
    /// Whether the discovery of peers has finished, with or without peers.
    is_peer_discovery_done: Cell<bool>,
    /// Queries waiting for replies, by query id.
    pending: RefCell<HashMap<u32, Sender<KeeperReply>>>,
    next_query: Cell<u32>,
    outbox_tx: Sender<OutgoingMessage>,
    outbox_rx: Receiver<OutgoingMessage>,
}

impl Default for SessionKeepers {
    fn default() -> Self {
        let (outbox_tx, outbox_rx) = bounded(OUTBOX_CAPACITY);
        Self {
            peers: RefCell::default(),
            is_peer_discovery_done: Cell::new(false),
            pending: RefCell::default(),
            next_query: Cell::new(fastrand::u32(..)),
            outbox_tx,
            outbox_rx,
        }
    }
}

/// A query to a session's keepers. Dropping it discards late replies.
struct PendingQuery<'a> {
    keepers: &'a SessionKeepers,
    query_id: u32,
    replies: Receiver<KeeperReply>,
}

impl SessionKeepers {
    /// Returns the keepers of a session, including this gateway if it is one.
    fn keepers(&self, session: SessionKey, now: Millis) -> Vec<SocketAddr> {
        let peers = self.peers.borrow();
        let Some((peers, _)) = peers.as_ref() else { return Vec::new() };
        let mut gateways = peers.live(now);
        gateways.push(peers.own());
        session.keepers(&gateways, address_hash)
    }

    /// Returns the keepers of a session other than this gateway.
    fn other_keepers(&self, session: SessionKey, now: Millis) -> Vec<SocketAddr> {
        let own = self.own();
        let mut keepers = self.keepers(session, now);
        keepers.retain(|keeper| Some(*keeper) != own);
        keepers
    }

    /// Returns the messages that query a session: to its other keepers, and to those that were keepers before some
    /// gateways joined. Gateways that joined longer ago than `retention` have received every move that is still valid.
    fn query_messages(
        &self,
        session: SessionKey,
        query_id: u32,
        retention: Millis,
        now: Millis,
    ) -> Vec<OutgoingMessage> {
        let peers = self.peers.borrow();
        let Some((peers, _)) = peers.as_ref() else { return Vec::new() };
        let own = peers.own();
        let settled = peers.with(|members| members.live_for(retention, now));
        let keepers = self.keepers(session, now);
        let former = session.former_keepers(&keepers, &settled, address_hash);
        let others = keepers.into_iter().filter(|keeper| *keeper != own);
        let to_keepers = others.map(|keeper| (keeper, SessionMessage::Query(query_id, session.0)));
        let to_former = former
            .into_iter()
            .map(|g| (g, SessionMessage::ForwardedQuery(query_id, session.0, own)));
        to_keepers.chain(to_former).collect()
    }

    fn own(&self) -> Option<SocketAddr> {
        self.peers.borrow().as_ref().map(|(peers, _)| peers.own())
    }

    /// Returns whether this gateway has just started and may still discover peers.
    fn is_starting(&self, now: Millis) -> bool {
        let peers = self.peers.borrow();
        let Some((peers, since)) = peers.as_ref() else { return false };
        let is_alone = self.is_peer_discovery_done.get() && peers.is_empty();
        now.since(*since) < STARTUP_PERIOD && !is_alone
    }

    fn open_query(&self) -> PendingQuery<'_> {
        let query_id = self.next_query.get();
        self.next_query.set(query_id.wrapping_add(1));
        let (tx, replies) = bounded(usize::from(u8::MAX));
        self.pending.borrow_mut().insert(query_id, tx);
        PendingQuery { keepers: self, query_id, replies }
    }

    fn deliver_reply(&self, query_id: u32, reply: KeeperReply) {
        let pending = self.pending.borrow();
        // Late replies find no query, and replies beyond the channel's capacity are not needed.
        pending.get(&query_id).iter().for_each(|tx| {
            tx.try_send(reply).ok();
        });
    }
}

impl Drop for PendingQuery<'_> {
    fn drop(&mut self) {
        self.keepers.pending.borrow_mut().remove(&self.query_id);
    }
}

impl PendingQuery<'_> {
    /// Waits until one keeper replies that the session has moved, or all have replied; returns whether it has moved.
    /// The number of replies to wait for is the number of queries sent, or a larger one named in a reply.
    async fn wait_for_replies(&self, mut keepers: usize) -> bool {
        let mut replied = HashSet::new();
        while replied.len() < keepers {
            match self.replies.recv().await {
                Ok(KeeperReply { has_moved: true, .. }) => return true,
                Ok(reply) => {
                    replied.insert(reply.from);
                    keepers = keepers.max(reply.keepers);
                }
                Err(_) => return false,
            }
        }
        false
    }
}

impl Gateway {
    /// Starts sharing sessions with these gateways.
    pub fn share_sessions_with(&self, peers: PeerTable) {
        *self.session_keepers.peers.borrow_mut() = Some((peers, self.now()));
    }

    /// Records that a session has moved to the target of its service's rollout, here and at its keepers.
    pub(crate) fn record_session_move(&self, session: SessionKey) {
        self.with_rollouts(|r| r.moved_sessions.record(session, self.now()));
        for keeper in self.session_keepers.other_keepers(session, self.now()) {
            self.send_session_message(keeper, SessionMessage::Moved(session.0));
        }
    }

    /// Asks the keepers of a session whether it has moved. A gateway that has just started repeats the query until
    /// `until`.
    pub(crate) async fn ask_keepers(&self, session: SessionKey, until: Millis) -> KeepersReply {
        self.telemetry.count("sessions.asked", 1);
        let reply = loop {
            let reply = self.ask_keepers_once(session).await;
            let is_decided = matches!(reply, KeepersReply::Moved | KeepersReply::NotMoved);
            let now = self.now();
            if is_decided || now >= until || !self.session_keepers.is_starting(now) {
                break reply;
            }
        };
        match reply {
            KeepersReply::Moved => {
                self.with_rollouts(|r| r.moved_sessions.record(session, self.now()));
            }
            KeepersReply::NotMoved => {}
            KeepersReply::Incomplete | KeepersReply::NoKeepers => {
                self.telemetry.count("sessions.unanswered", 1);
            }
        }
        reply
    }

    async fn ask_keepers_once(&self, session: SessionKey) -> KeepersReply {
        let query = self.session_keepers.open_query();
        let (retention, now) = (self.settings.session_retention, self.now());
        let messages = self.session_keepers.query_messages(session, query.query_id, retention, now);
        if messages.is_empty() {
            if self.session_keepers.is_starting(now) {
                sleep(PEER_CHECK_INTERVAL).await;
            }
            return KeepersReply::NoKeepers;
        }
        for (to, message) in &messages {
            self.send_session_message(*to, *message);
        }
        match within(REPLY_TIMEOUT, query.wait_for_replies(messages.len())).await {
            Some(true) => KeepersReply::Moved,
            Some(false) => KeepersReply::NotMoved,
            None => KeepersReply::Incomplete,
        }
    }

    /// Returns whether the discovery of peers has finished, with or without peers.
    pub(crate) fn is_peer_discovery_done(&self) -> bool {
        self.session_keepers.is_peer_discovery_done.get()
    }

    /// Records that the discovery of peers has finished, with or without peers.
    pub(crate) fn set_peer_discovery_done(&self) {
        self.session_keepers.is_peer_discovery_done.set(true);
    }

    /// Handles another gateway's message on a session.
    pub(crate) fn handle_session_message(&self, from: SocketAddr, message: SessionMessage) {
        match message {
            SessionMessage::Moved(session) => {
                let now = self.now();
                self.with_rollouts(|r| r.moved_sessions.record(SessionKey(session), now));
            }
            SessionMessage::Query(query_id, session) => {
                self.answer_or_forward(from, query_id, SessionKey(session));
            }
            SessionMessage::ForwardedQuery(query_id, session, requester) => {
                self.answer(requester, query_id, SessionKey(session));
            }
            SessionMessage::Reply(query_id, has_moved, keepers) => {
                let reply = KeeperReply { from, has_moved, keepers: keepers.into() };
                self.session_keepers.deliver_reply(query_id, reply);
            }
        }
    }

    /// Answers a query on a session if this gateway is a keeper of it or has a record that it has moved, otherwise
    /// forwards it to the keepers.
    ///
    /// A gateway that has just started has only a few peers in its table, and picks the keepers of a session from
    /// these.
    fn answer_or_forward(&self, requester: SocketAddr, query_id: u32, session: SessionKey) {
        let now = self.now();
        let own = self.session_keepers.own();
        let keepers = self.session_keepers.keepers(session, now);
        let is_keeper = keepers.iter().any(|keeper| Some(*keeper) == own);
        if is_keeper || self.with_rollouts(|r| r.moved_sessions.contains(session, now)) {
            self.answer(requester, query_id, session);
            return;
        }
        for keeper in keepers.into_iter().filter(|keeper| *keeper != requester) {
            let message = SessionMessage::ForwardedQuery(query_id, session.0, requester);
            self.send_session_message(keeper, message);
        }
    }

    fn answer(&self, requester: SocketAddr, query_id: u32, session: SessionKey) {
        let now = self.now();
        let has_moved = self.with_rollouts(|r| r.moved_sessions.contains(session, now));
        let keepers = self.session_keepers.keepers(session, now);
        let keepers = keepers.into_iter().filter(|keeper| *keeper != requester).count();
        let message = SessionMessage::Reply(query_id, has_moved, keepers as u8);
        self.send_session_message(requester, message);
    }

    fn send_session_message(&self, to: SocketAddr, message: SessionMessage) {
        if self.session_keepers.outbox_tx.try_send((to, message)).is_err() {
            self.telemetry.count("sessions.unsent", 1);
        }
    }
}

/// Sends session messages forever.
///
/// They do not count towards the byte budget of gossip: each message follows from a request at this gateway or at the
/// one that sent the query, so the request rate bounds them.
pub async fn send_session_messages(gw: Rc<Gateway>, socket: UdpSocket) {
    while let Ok((to, message)) = gw.session_keepers.outbox_rx.recv().await {
        let direct = Some(DirectMessage::Session(message).into());
        let message = PeerMessage { direct, ..PeerMessage::default() };
        let sent = match postcard::to_stdvec(&message) {
            Ok(bytes) => socket.send_to(&bytes, to).await.is_ok(),
            Err(_) => false,
        };
        if !sent {
            gw.telemetry.count("sessions.unsent", 1);
        }
    }
}

/// Hashes a gateway's address for the ranking of keepers. The hash is the same on all gateways.
fn address_hash(addr: &SocketAddr) -> u64 {
    let ip = match addr.ip() {
        IpAddr::V4(ip) => xxh3_64(&ip.octets()),
        IpAddr::V6(ip) => xxh3_64(&ip.octets()),
    };
    ip ^ u64::from(addr.port())
}
