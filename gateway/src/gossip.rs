//! Gossip between gateways: loads of servers, updates of the store's feeds, evidence on rollouts, customers' shares,
//! and addresses of gateways.
//!
//! It is sent in datagrams without retries, because each message is superseded by the next. Gossip is a hint only:
//! state that gateways must agree on goes through the store.

use std::net::SocketAddr;
use std::rc::Rc;

use redwingfold_core::{ByteBudget, FeedUpdate, Members, Millis};
use smol::net::UdpSocket;

use crate::capacity_loans::CapacityRequest;
use crate::clock::{sleep, within};
use crate::feeds::{Audience, Feed, ServerChange};
use crate::gateway::Gateway;
use crate::peer_message::{DirectMessage, PeerMessage, RolloutWire};
use crate::peer_table::PeerTable;
use crate::rollout_report::RolloutReport;

/// Time between periodic messages while there is something to send. Processing a long prompt takes a second, and others
/// should be notified within a tenth of that.
const SEND_INTERVAL: Millis = Millis(100);

/// Turns between messages on rollouts, which are less urgent than loads.
const ROLLOUT_INTERVAL_TURNS: u32 = 5;

/// Divisor for the share of peers that get the messages on rollouts in one turn. Each gets them about once a second, a
/// fifth of the time in which a bad version must be rolled back.
const ROLLOUT_PEERS_DIVISOR: usize = 2;

/// Turns between reports on customers' shares, which are enforced over a window of seconds.
const SHARES_INTERVAL_TURNS: u32 = 10;

/// Time without messages after which an empty one is sent as a heartbeat.
const HEARTBEAT_INTERVAL: Millis = Millis(2_000);

/// Bytes per second for gossip. Operators allow 9 kB per second for all control traffic.
const BYTES_PER_SECOND: u64 = 7_000;

/// Largest unused budget, in bytes: a message of 60 bytes on a read of the store goes to 330 peers at once.
const BURST_BYTES: u64 = 24_000;

/// Bytes of that budget that are reserved for messages on reads of the store.
const BYTES_RESERVED_FOR_FEEDS: u64 = 20_000;

/// Most routes in a message on a rollout. Each takes up to 85 bytes, and names take the rest.
const MAX_ROUTES_PER_MESSAGE: usize = 14;

/// Number of gateways that are notified of a fetch from another one. With eight each, all of some hundred gateways have
/// one to fetch from after three rounds.
const FEW_PEERS: usize = 8;

/// Turns between messages that send the addresses of all peers to one random peer. A gateway that missed messages gets
/// them within about ten seconds. At 330 gateways they take 1 kB per second.
const ADDRESSES_INTERVAL_TURNS: u32 = 25;

/// Bytes of the budget that address messages to newcomers leave unused. Without this reserve, 298 gateways that
/// restarted at once spent their whole budget on addresses. Messages on reads of the store then reached no peer, each
/// gateway read the store itself, and callers waited 30 s instead of 8.5 s.
const BYTES_RESERVED_FROM_ADDRESSES: u64 = 10_000;

/// Number of peers that are asked for capacity at once. Each message takes some 25 bytes, and they are sent four times a
/// second while a gateway has most of the callers.
const MAX_LENDERS: usize = 48;

/// Most addresses in a message. Each takes eight bytes.
const MAX_ADDRESSES_PER_MESSAGE: usize = 150;

/// Most marks of requests that fit into a datagram together with the positions of the other feeds.
const MAX_MARKS_IN_LONG_MESSAGE: usize = 24;

/// Most notices of promised returns in a message. Each takes up to 21 bytes, so that all fit into a datagram together with
/// the usual load reports.
const MAX_RETURNS_PER_MESSAGE: usize = 24;

/// Largest datagram that passes common links without fragmentation, in bytes.
const MAX_DATAGRAM: usize = 1_400;

/// Sends gossip to the peers forever.
///
/// The result of a read of the store is sent at once to all, as any delay lets further gateways read the same. So is
/// the end of a rollout. Other messages that exceed the byte budget reach a random part of the peers in each turn.
pub async fn send_gossip(gw: Rc<Gateway>, socket: UdpSocket, peers: PeerTable) {
    let budget = ByteBudget::with_burst(BYTES_PER_SECOND, BURST_BYTES, gw.now());
    let mut sender =
        GossipSender { gw: gw.clone(), socket, peers, budget, last_sent_at: Millis(0), turn: 0 };
    let mut next_turn = gw.now();
    loop {
        // The listener is registered before the check, so that no notification in between is lost.
        let due = gw.gossip_due.listen();
        sender.send_urgent().await;
        if gw.now() >= next_turn {
            next_turn = gw.now().after(SEND_INTERVAL);
            sender.send_periodic().await;
        }
        within(next_turn.since(gw.now()), due).await;
    }
}

struct GossipSender {
    gw: Rc<Gateway>,
    socket: UdpSocket,
    peers: PeerTable,
    budget: ByteBudget,
    last_sent_at: Millis,
    turn: u32,
}

impl GossipSender {
    /// Sends urgent messages: reads of the store and ends of rollouts to all peers, fetches and new addresses to a few.
    async fn send_urgent(&mut self) {
        self.send_addresses_to_newcomers().await;
        self.send_capacity_messages().await;
        let is_urgent = self.gw.with_rollouts(|r| r.take_urgent_report());
        let rollouts = if is_urgent { rollout_messages(&self.gw) } else { Vec::new() };
        let (feeds, audience) = feeds_message(&self.gw);
        let feeds = (feeds, if audience == Audience::Few { FEW_PEERS } else { usize::MAX });
        let messages = std::iter::once(feeds).chain(rollouts.into_iter().map(|m| (m, usize::MAX)));
        for (message, max_peers) in messages.filter(|(message, _)| !message.is_empty()) {
            let mut live = self.shuffled_live_peers();
            live.truncate(max_peers);
            self.send(message, &live, 0).await;
        }
    }

    /// Sends requests for capacity to a random part of the peers, and loans to their borrowers.
    async fn send_capacity_messages(&mut self) {
        for request in self.gw.loan_table.take_requests() {
            let mut live = self.shuffled_live_peers();
            live.truncate(MAX_LENDERS);
            self.send_direct(DirectMessage::CapacityRequest(request), &live).await;
        }
        for (borrower, loan) in self.gw.loan_table.take_replies() {
            self.send_direct(DirectMessage::CapacityLoan(loan), &[borrower]).await;
        }
    }

    async fn send_direct(&mut self, message: DirectMessage, peers: &[SocketAddr]) {
        let message = PeerMessage { direct: Some(message.into()), ..PeerMessage::default() };
        self.send(message, peers, BYTES_RESERVED_FOR_FEEDS).await;
    }

    /// Sends the addresses of all peers to newcomers and, if new ones were added, to a few others.
    async fn send_addresses_to_newcomers(&mut self) {
        let (has_new_peers, mut recipients) =
            self.peers.with(|m| (m.take_changed(), m.take_newcomers()));
        if self.peers.with(|m| m.take_greeting()) {
            let live = self.shuffled_live_peers();
            self.send(greeting(&self.gw), &live, 0).await;
        }
        if !has_new_peers && recipients.is_empty() {
            return;
        }
        let live = self.shuffled_live_peers();
        if has_new_peers {
            recipients.extend(Members::gossip_targets(&live));
        }
        self.send_addresses(&live, &recipients, BYTES_RESERVED_FROM_ADDRESSES).await;
    }

    async fn send_addresses(
        &mut self,
        others: &[SocketAddr],
        recipients: &[SocketAddr],
        reserved: u64,
    ) {
        for part in others.chunks(MAX_ADDRESSES_PER_MESSAGE) {
            let message = PeerMessage { gateways: part.to_vec(), ..PeerMessage::default() };
            self.send(message, recipients, reserved).await;
        }
    }

    /// Sends the messages of a turn: rollouts, addresses, loads or a heartbeat, and customers' shares.
    async fn send_periodic(&mut self) {
        let live = self.shuffled_live_peers();
        let fleet = live.len() + 1;
        let is_settling = self.gw.known_fleet(self.gw.now()).is_none();
        self.gw.with_feeds(|feeds| feeds.set_fleet_size(fleet, is_settling));
        self.gw.with_rollouts(|rollouts| rollouts.set_fleet_size(fleet));
        self.gw.record_fleet_size(fleet);
        self.turn = self.turn.wrapping_add(1);
        if self.turn.is_multiple_of(ROLLOUT_INTERVAL_TURNS) {
            let part = &live[..live.len().div_ceil(ROLLOUT_PEERS_DIVISOR)];
            for rollouts in rollout_messages(&self.gw) {
                self.send(rollouts, part, BYTES_RESERVED_FOR_FEEDS).await;
            }
        }
        if self.turn.is_multiple_of(ADDRESSES_INTERVAL_TURNS) {
            let one = &live[..live.len().min(1)];
            self.send_addresses(&live, one, BYTES_RESERVED_FOR_FEEDS).await;
        }
        let mut loads = PeerMessage::default();
        loads.set_loads(self.gw.loads.take_pending_updates(self.gw.now()), self.gw.now());
        let returns = self.gw.take_return_notices(MAX_RETURNS_PER_MESSAGE);
        loads.returns = returns.into_iter().map(Into::into).collect();
        self.gw.count_returns();
        if let Some(returns) = split_returns(&mut loads) {
            self.send(returns, &live, BYTES_RESERVED_FOR_FEEDS).await;
        }
        if !loads.is_empty() || self.gw.now().since(self.last_sent_at) >= HEARTBEAT_INTERVAL {
            self.send(loads, &live, BYTES_RESERVED_FOR_FEEDS).await;
        }
        if self.turn.is_multiple_of(SHARES_INTERVAL_TURNS) {
            let (shares_number, shares) = self.gw.take_shares_report();
            if !shares.is_empty() {
                let message = PeerMessage { shares_number, shares, ..PeerMessage::default() };
                self.send(message, &live, BYTES_RESERVED_FOR_FEEDS).await;
            }
        }
    }

    /// Returns the live peers in random order.
    fn shuffled_live_peers(&self) -> Vec<SocketAddr> {
        let mut live = self.peers.live(self.gw.now());
        fastrand::shuffle(&mut live);
        live
    }

    /// Sends a message to peers while the byte budget exceeds `reserved`.
    async fn send(&mut self, message: PeerMessage, peers: &[SocketAddr], reserved: u64) {
        self.last_sent_at = self.gw.now();
        let Some(bytes) = encode_datagram(message) else {
            self.gw.telemetry.count("peers.too_long", 1);
            return;
        };
        for peer in peers {
            if !self.budget.try_take_with_reserve(bytes.len() as u64, reserved, self.gw.now()) {
                self.gw.telemetry.count("peers.left_out", 1);
            } else if self.socket.send_to(&bytes, *peer).await.is_err() {
                // No retry: the next message supersedes this one.
                self.gw.telemetry.count("peers.unsent", 1);
            }
        }
    }
}

/// Builds the message by which others learn this gateway's address, and what they can fetch from it.
fn greeting(gw: &Gateway) -> PeerMessage {
    let now = gw.now();
    let position = |feed| gw.with_feeds(|feeds| feeds.position(feed, now)).map(Into::into);
    PeerMessage {
        orders: position(Feed::Orders),
        servers: position(Feed::Servers).map(|position| (position, Vec::new())),
        marks: position(Feed::Marks).map(|position| (position, Vec::new())),
        ..PeerMessage::default()
    }
}

/// Builds the message on the feeds of the store, and returns its audience.
fn feeds_message(gw: &Gateway) -> (PeerMessage, Audience) {
    let now = gw.now();
    gw.with_feeds(|feeds| {
        let orders = feeds.take_orders_update(now);
        let servers = feeds.take_servers_update(now);
        let marks = feeds.take_marks_update(now);
        let audiences = [
            orders.as_ref().map(|o| o.1),
            servers.as_ref().map(|s| s.2),
            marks.as_ref().map(|m| m.2),
        ];
        let is_few = audiences.iter().flatten().all(|audience| *audience == Audience::Few);
        let audience = if is_few { Audience::Few } else { Audience::All };
        let servers = servers.map(|(position, changes, _)| {
            (position.into(), changes.iter().map(Into::into).collect())
        });
        let orders = orders.map(|(position, _)| position.into());
        let marks = marks.map(|(position, changes, _)| {
            (position.into(), changes.iter().map(Into::into).collect())
        });
        (PeerMessage { orders, servers, marks, ..PeerMessage::default() }, audience)
    })
}

/// Builds the messages on rollouts, each with as many routes as a datagram takes.
///
/// A configuration may have hundreds of routes, whose evidence does not fit into one message. If it were not sent, each
/// gateway would evaluate a version by its own answers only.
fn rollout_messages(gw: &Gateway) -> Vec<PeerMessage> {
    let reports = gw.with_rollouts(|r| r.reports(gw.now()));
    let mut parts: Vec<_> =
        reports.into_iter().flat_map(|report| report.split(MAX_ROUTES_PER_MESSAGE)).collect();
    // If the byte budget is too small for all parts, different routes are left out each time.
    fastrand::shuffle(&mut parts);
    let message =
        |part| PeerMessage { rollouts: vec![RolloutWire::from(part)], ..PeerMessage::default() };
    parts.iter().map(message).collect()
}

/// Moves the notices of promised returns into a message of their own if they would make this one too long. Otherwise the
/// load reports would be left out while many callers are refused.
pub(crate) fn split_returns(message: &mut PeerMessage) -> Option<PeerMessage> {
    let has_returns = !message.returns.is_empty();
    let is_too_long =
        |m: &PeerMessage| postcard::to_stdvec(m).is_ok_and(|b| b.len() > MAX_DATAGRAM);
    (has_returns && is_too_long(message)).then(|| PeerMessage {
        returns: std::mem::take(&mut message.returns),
        ..PeerMessage::default()
    })
}

/// Encodes a message. If it is too long for a datagram, its least important parts are left out; `None` if it is still
/// too long.
pub(crate) fn encode_datagram(mut message: PeerMessage) -> Option<Vec<u8>> {
    let bytes = postcard::to_stdvec(&message).ok()?;
    if bytes.len() <= MAX_DATAGRAM {
        return Some(bytes);
    }
    (message.shares_number, message.shares) = (0, Vec::new());
    let bytes = postcard::to_stdvec(&message).ok()?;
    if bytes.len() <= MAX_DATAGRAM {
        return Some(bytes);
    }
    message.sent.clear();
    message.reports.clear();
    // The position must not be sent without its changes, or receivers would advance past them.
    message.servers = None;
    message.marks = message.marks.filter(|(_, marks)| marks.len() <= MAX_MARKS_IN_LONG_MESSAGE);
    let bytes = postcard::to_stdvec(&message).ok()?;
    (bytes.len() <= MAX_DATAGRAM).then_some(bytes)
}

/// Receives gossip from the peers forever.
pub async fn receive_gossip(gw: Rc<Gateway>, socket: UdpSocket, peers: PeerTable) {
    let mut buf = vec![0; MAX_DATAGRAM + 1];
    loop {
        let Ok((len, from)) = socket.recv_from(&mut buf).await else {
            gw.telemetry.count("peers.unheard", 1);
            sleep(SEND_INTERVAL).await;
            continue;
        };
        let Ok(message) = PeerMessage::decode(&buf[..len]) else {
            gw.telemetry.count("peers.unreadable", 1);
            continue;
        };
        let now = gw.now();
        peers.with(|members| members.record_message(from, now, fastrand::u64(..)));
        if peers.add(&message.gateways, now) {
            gw.gossip_due.notify(usize::MAX);
        }
        apply_message(&gw, from, message);
    }
}

fn apply_message(gw: &Gateway, from: SocketAddr, mut message: PeerMessage) {
    let now = gw.now();
    let fleet = gw.with_feeds(|feeds| feeds.fleet_size());
    gw.record_known_peer();
    if message.is_from_serving_gateway() {
        gw.record_serving_peer(from);
    }
    let loads = message.take_loads(now);
    for (server, limit) in &loads.limits {
        gw.apply_peer_limit(from, *server, *limit);
    }
    loads.leaving.iter().for_each(|server| gw.apply_peer_leaving(from, *server));
    for server in gw.loads.apply_peer_update(from, loads, fleet, now) {
        gw.log_unreachable_server(server, Some(from));
        gw.close_unusable_connections();
    }
    gw.apply_peer_returns(message.returns.into_iter().map(Into::into));
    if let Some(orders) = message.orders {
        gw.apply_orders_update(from, orders.into());
    }
    if let Some((position, changes)) = message.servers {
        let changes: Result<Vec<ServerChange>, _> =
            changes.into_iter().map(TryInto::try_into).collect();
        match changes {
            Ok(changes) => {
                let next = FeedUpdate::from(position).next;
                let new_changes = gw
                    .with_feeds(|feeds| feeds.apply_servers_update(position.into(), changes, now));
                gw.apply_server_changes(new_changes);
                gw.record_peer_position(Feed::Servers, from, next);
            }
            Err(_) => gw.telemetry.count("peers.unreadable", 1),
        }
    }
    if let Some((position, marks)) = message.marks {
        let marks = marks.into_iter().map(Into::into).collect();
        let new_marks =
            gw.with_feeds(|feeds| feeds.apply_marks_update(position.into(), marks, now));
        gw.apply_peer_marks(from, &new_marks);
        gw.record_peer_position(Feed::Marks, from, FeedUpdate::from(position).next);
    }
    match message.direct.map(DirectMessage::from) {
        None => {}
        Some(DirectMessage::Session(session)) => gw.handle_session_message(from, session),
        Some(DirectMessage::CapacityRequest(request)) => lend_capacity(gw, from, request, now),
        Some(DirectMessage::CapacityLoan(loan)) => {
            gw.loan_table.accept(from, loan, now);
            gw.telemetry.count("capacity.borrowed", 1);
        }
    }
    if !message.shares.is_empty() {
        gw.apply_peer_shares(from, message.shares_number, &message.shares);
    }
    for rollout in message.rollouts {
        match RolloutReport::try_from(rollout) {
            Ok(report) => apply_rollout_report(gw, from, report, now),
            Err(_) => gw.telemetry.count("peers.unreadable", 1),
        }
    }
}

/// Lends a peer capacity. A gateway that does not limit its own requests has nothing to lend, nor has one whose requests
/// wait.
fn lend_capacity(gw: &Gateway, peer: SocketAddr, request: CapacityRequest, now: Millis) {
    let can_lend = gw.has_admission_control() && gw.waiting_requests() == 0;
    let Some(fleet) = gw.known_fleet(now).filter(|_| can_lend) else { return };
    if gw.loan_table.lend(peer, request, fleet, now) {
        gw.telemetry.count("capacity.lent", 1);
        gw.gossip_due.notify(usize::MAX);
    }
}

fn apply_rollout_report(gw: &Gateway, from: SocketAddr, report: RolloutReport, now: Millis) {
    let (service, target) = (report.service.clone(), report.target.clone());
    if gw.with_rollouts(|r| r.merge_report(&from.to_string(), report, now)) {
        gw.telemetry.info(
            "rollout_moved",
            &[
                ("service", &service),
                ("target", &target),
                ("phase", &"rolledback"),
                ("told_by", &from),
            ],
        );
    }
}
