//! What gateways tell each other: servers' loads, what they read in the store, and what they saw of
//! roll-outs.
//!
//! Datagrams, because each is overtaken by the next: one that is lost is not missed. They are
//! hints; what must be agreed goes through the store.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use redwingfold_core::{ByteBudget, FeedTold, Millis};
use smol::net::UdpSocket;

use crate::clock::{sleep, within};
use crate::feeds::{Feed, Reach, ServerChange};
use crate::gateway::Gateway;
use crate::peer_message::{PeerMessage, RolloutWire};
use crate::rollout_news::RolloutNews;

/// Time between messages while there is something to tell: a long prompt takes a second to read, and
/// others should hear of it in a tenth of that.
const EVERY: Millis = Millis(100);

/// Turns between messages on roll-outs, which need not be known as soon.
const ROLLOUT_TURNS: u32 = 5;

/// Part of the peers, as a divisor, that hear of roll-outs at a time: each does about once a second, a
/// fifth of the time in which a bad version must be left.
const ROLLOUT_PART: usize = 2;

/// Time without news after which the peers are told that this one lives.
const QUIET: Millis = Millis(2_000);

/// Bytes a second that this process spends on its peers. An operator grants 9 kB for all control.
const BYTES_PER_SECOND: u64 = 7_000;

/// Bytes that are saved up: a message of 60 bytes on a read of the store goes to 330 peers at once.
const BYTES_SAVED: u64 = 24_000;

/// Bytes of these that only messages on reads of the store may take.
const KEPT_FOR_FEEDS: u64 = 20_000;

/// Silence after which a peer gets no more messages.
const GONE: Millis = Millis(20_000);

/// Routes in a message on a roll-out: each takes up to 55 bytes, and names the rest.
const MAX_ROUTES: usize = 20;

/// Gateways that are told of what was fetched from another one. With eight each, all of some hundreds have
/// somebody to ask after three rounds.
const FEW: usize = 8;

/// Largest datagram that passes common links in one piece.
const MAX_DATAGRAM: usize = 1_400;

/// The other gateways, and when each was last heard.
#[derive(Clone, Debug, Default)]
pub struct Peers(Rc<RefCell<HashMap<SocketAddr, Millis>>>);

impl Peers {
    /// Adds a peer that somebody named.
    ///
    /// ```
    /// use redwingfold_core::Millis;
    /// let peers = redwingfold_gateway::Peers::default();
    /// peers.add("127.0.0.1:7000".parse()?, Millis(0));
    /// assert_eq!(peers.len(), 1);
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn add(&self, addr: SocketAddr, now: Millis) {
        self.0.borrow_mut().entry(addr).or_insert(now);
    }

    /// Returns the number of peers.
    pub fn len(&self) -> usize {
        self.0.borrow().len()
    }

    /// Says whether there is none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn heard(&self, addr: SocketAddr, now: Millis) {
        self.0.borrow_mut().insert(addr, now);
    }

    fn present(&self, now: Millis) -> Vec<SocketAddr> {
        let mut peers = self.0.borrow_mut();
        peers.retain(|_, heard| now.since(*heard) < GONE);
        peers.keys().copied().collect()
    }
}

/// Tells the peers for ever.
///
/// What a read of the store brought goes out at once, to all: each moment later, one more gateway
/// reads the same. So does the end of a roll-out. What of the rest does not fit the bytes of a second
/// goes to some of the peers, drawn anew each turn.
pub async fn tell_peers(gw: Rc<Gateway>, socket: UdpSocket, peers: Peers) {
    let budget = ByteBudget::with_depth(BYTES_PER_SECOND, BYTES_SAVED, gw.now());
    let mut teller = Teller { gw: gw.clone(), socket, peers, budget, told_at: Millis(0), turn: 0 };
    let mut next_turn = gw.now();
    loop {
        // Listened to before the look, so that news in between are not overheard.
        let news = gw.news.listen();
        teller.tell_news().await;
        if gw.now() >= next_turn {
            next_turn = gw.now().after(EVERY);
            teller.tell_rest().await;
        }
        within(next_turn.since(gw.now()), news).await;
    }
}

struct Teller {
    gw: Rc<Gateway>,
    socket: UdpSocket,
    peers: Peers,
    budget: ByteBudget,
    told_at: Millis,
    turn: u32,
}

impl Teller {
    /// Tells all peers what was read, and how a roll-out ended.
    async fn tell_news(&mut self) {
        let is_urgent = self.gw.with_rollouts(|r| r.take_urgent());
        let rollouts = if is_urgent { rollout_messages(&self.gw) } else { Vec::new() };
        let (feeds, reach) = feed_message(&self.gw);
        let feeds = (feeds, if reach == Reach::Few { FEW } else { usize::MAX });
        let messages = std::iter::once(feeds).chain(rollouts.into_iter().map(|m| (m, usize::MAX)));
        for (message, most) in messages.filter(|(message, _)| !message.is_empty()) {
            let mut present = self.present();
            present.truncate(most);
            self.tell(message, &present, 0).await;
        }
    }

    /// Tells of roll-outs, loads, or only that it lives.
    async fn tell_rest(&mut self) {
        let present = self.present();
        let fleet = present.len() + 1;
        self.gw.with_feeds(|feeds| feeds.share_with(fleet));
        self.gw.with_rollouts(|rollouts| rollouts.share_with(fleet));
        self.turn = self.turn.wrapping_add(1);
        if self.turn.is_multiple_of(ROLLOUT_TURNS) {
            let part = &present[..present.len().div_ceil(ROLLOUT_PART)];
            for rollouts in rollout_messages(&self.gw) {
                self.tell(rollouts, part, KEPT_FOR_FEEDS).await;
            }
        }
        let mut loads = PeerMessage::default();
        loads.add_loads(self.gw.loads.take_news());
        if !loads.is_empty() || self.gw.now().since(self.told_at) >= QUIET {
            self.tell(loads, &present, KEPT_FOR_FEEDS).await;
        }
    }

    /// Returns the peers in an order drawn anew.
    fn present(&self) -> Vec<SocketAddr> {
        let mut present = self.peers.present(self.gw.now());
        fastrand::shuffle(&mut present);
        present
    }

    /// Sends a message to peers while there are bytes for it beyond `kept`.
    async fn tell(&mut self, message: PeerMessage, peers: &[SocketAddr], kept: u64) {
        self.told_at = self.gw.now();
        let Some(bytes) = datagram(message) else {
            self.gw.telemetry.count("peers.too_long", 1);
            return;
        };
        for peer in peers {
            if !self.budget.try_take_leaving(bytes.len() as u64, kept, self.gw.now()) {
                self.gw.telemetry.count("peers.left_out", 1);
            } else if self.socket.send_to(&bytes, *peer).await.is_err() {
                // A message that cannot be sent is overtaken by the next.
                self.gw.telemetry.count("peers.unsent", 1);
            }
        }
    }
}

/// Makes the message on the feeds of the store, and says who is told.
fn feed_message(gw: &Gateway) -> (PeerMessage, Reach) {
    let now = gw.now();
    gw.with_feeds(|feeds| {
        let orders = feeds.take_orders(now);
        let servers = feeds.take_servers(now);
        let reach = match (&orders, &servers) {
            (Some((_, reach)), None) => *reach,
            _ => Reach::All,
        };
        let servers =
            servers.map(|(told, changes)| (told.into(), changes.iter().map(Into::into).collect()));
        let orders = orders.map(|(told, _)| told.into());
        (PeerMessage { orders, servers, ..PeerMessage::default() }, reach)
    })
}

/// Makes the messages on roll-outs, each with as many routes as a datagram takes.
///
/// A configuration may have hundreds of routes. In one message their evidence would not fit, nobody would
/// hear of it, and each gateway would judge a version by its own part of the answers.
fn rollout_messages(gw: &Gateway) -> Vec<PeerMessage> {
    let news = gw.with_rollouts(|r| r.news(gw.now()));
    let mut parts: Vec<_> = news.into_iter().flat_map(|news| news.parts(MAX_ROUTES)).collect();
    // Where the bytes do not suffice, it is not always the same routes that are left out.
    fastrand::shuffle(&mut parts);
    let message =
        |part| PeerMessage { rollouts: vec![RolloutWire::from(part)], ..PeerMessage::default() };
    parts.iter().map(message).collect()
}

/// Writes a message; what makes it too long for a datagram is left out, the least needed first.
fn datagram(mut message: PeerMessage) -> Option<Vec<u8>> {
    let bytes = postcard::to_stdvec(&message).ok()?;
    if bytes.len() <= MAX_DATAGRAM {
        return Some(bytes);
    }
    message.sent.clear();
    message.reports.clear();
    // Without its changes it would confirm what it does not tell.
    message.servers = None;
    let bytes = postcard::to_stdvec(&message).ok()?;
    (bytes.len() <= MAX_DATAGRAM).then_some(bytes)
}

/// Hears the peers for ever.
pub async fn hear_peers(gw: Rc<Gateway>, socket: UdpSocket, peers: Peers) {
    let mut buf = vec![0; MAX_DATAGRAM + 1];
    loop {
        let Ok((len, from)) = socket.recv_from(&mut buf).await else {
            gw.telemetry.count("peers.unheard", 1);
            sleep(EVERY).await;
            continue;
        };
        let Ok(message) = postcard::from_bytes::<PeerMessage>(&buf[..len]) else {
            gw.telemetry.count("peers.unreadable", 1);
            continue;
        };
        peers.heard(from, gw.now());
        take(&gw, from, message);
    }
}

fn take(gw: &Gateway, from: SocketAddr, mut message: PeerMessage) {
    let now = gw.now();
    gw.loads.hear(message.take_loads(), now);
    if let Some(orders) = message.orders {
        gw.hear_orders(from, orders.into());
    }
    if let Some((told, changes)) = message.servers {
        let changes: Result<Vec<ServerChange>, _> =
            changes.into_iter().map(TryInto::try_into).collect();
        match changes {
            Ok(changes) => {
                let next = FeedTold::from(told).next;
                let heard = gw.with_feeds(|feeds| feeds.hear_servers(told.into(), changes, now));
                gw.take_changes(heard);
                gw.note_lead(Feed::Servers, from, next);
            }
            Err(_) => gw.telemetry.count("peers.unreadable", 1),
        }
    }
    for rollout in message.rollouts {
        match RolloutNews::try_from(rollout) {
            Ok(news) => hear_rollout(gw, from, news, now),
            Err(_) => gw.telemetry.count("peers.unreadable", 1),
        }
    }
}

fn hear_rollout(gw: &Gateway, from: SocketAddr, news: RolloutNews, now: Millis) {
    let (service, target) = (news.service.clone(), news.target.clone());
    if gw.with_rollouts(|r| r.hear(&from.to_string(), news, now)) {
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
