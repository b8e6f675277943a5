//! What gateways tell each other: servers' loads, what they read in the store, and what they saw of
//! roll-outs.
//!
//! Datagrams, because each is overtaken by the next: one that is lost is not missed. They are
//! hints; what must be agreed goes through the store.

use std::net::SocketAddr;
use std::rc::Rc;

use redwingfold_core::{ByteBudget, FeedUpdate, Members, Millis};
use smol::net::UdpSocket;

use crate::clock::{sleep, within};
use crate::feeds::{Feed, Reach, ServerChange};
use crate::gateway::Gateway;
use crate::peer_message::{PeerMessage, RolloutWire};
use crate::peer_table::Peers;
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

/// Routes in a message on a roll-out: each takes up to 85 bytes, and names the rest.
const MAX_ROUTES: usize = 14;

/// Gateways that are told of what was fetched from another one. With eight each, all of some hundreds have
/// somebody to ask after three rounds.
const FEW: usize = 8;

/// Turns between two messages to one peer, drawn anew, of all others: whoever missed words hears of all within some
/// ten seconds. At 330 gateways they take 1 kB a second.
const OTHERS_TURNS: u32 = 25;

/// Bytes that messages on other gateways leave. Without them, 298 gateways that came back at once spent all that they
/// had saved on these, what was read in the store reached nobody, each read it by itself, and callers were served 30 s
/// later; with them 8.5 s.
const KEPT_FOR_OTHERS: u64 = 10_000;

/// Addresses in a message: each takes eight bytes.
const MAX_ADDRESSES: usize = 150;

/// Marks of requests that fit a datagram beside the news of the other feeds.
const MAX_LONG_MARKS: usize = 24;

/// Largest datagram that passes common links in one piece.
const MAX_DATAGRAM: usize = 1_400;

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
    /// Tells all peers what was read, and how a roll-out ended, and a few which gateways there are.
    async fn tell_news(&mut self) {
        self.tell_of_others().await;
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

    /// Tells newcomers which gateways there are, and a few others what was learned.
    async fn tell_of_others(&mut self) {
        let (is_news, mut told) = self.peers.with(|m| (m.take_news(), m.take_newcomers()));
        if !is_news && told.is_empty() {
            return;
        }
        let present = self.present();
        if is_news {
            told.extend(Members::told(&present));
        }
        self.tell_all_others(&present, &told, KEPT_FOR_OTHERS).await;
    }

    async fn tell_all_others(&mut self, others: &[SocketAddr], told: &[SocketAddr], kept: u64) {
        for part in others.chunks(MAX_ADDRESSES) {
            let message = PeerMessage { gateways: part.to_vec(), ..PeerMessage::default() };
            self.tell(message, told, kept).await;
        }
    }

    /// Tells of roll-outs, loads, or only that it lives.
    async fn tell_rest(&mut self) {
        let present = self.present();
        let fleet = present.len() + 1;
        self.gw.with_feeds(|feeds| feeds.share_with(fleet));
        self.gw.with_rollouts(|rollouts| rollouts.share_with(fleet));
        self.gw.record_fleet_size(fleet);
        self.turn = self.turn.wrapping_add(1);
        if self.turn.is_multiple_of(ROLLOUT_TURNS) {
            let part = &present[..present.len().div_ceil(ROLLOUT_PART)];
            for rollouts in rollout_messages(&self.gw) {
                self.tell(rollouts, part, KEPT_FOR_FEEDS).await;
            }
        }
        if self.turn.is_multiple_of(OTHERS_TURNS) {
            let one = &present[..present.len().min(1)];
            self.tell_all_others(&present, one, KEPT_FOR_FEEDS).await;
        }
        let mut loads = PeerMessage::default();
        loads.add_loads(self.gw.loads.take_pending_updates(self.gw.now()), self.gw.now());
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
        let marks = feeds.take_marks(now);
        let of_marks = marks.as_ref().map(|_| Reach::All);
        let reaches = [orders.as_ref().map(|o| o.1), servers.as_ref().map(|s| s.2), of_marks];
        let is_few = reaches.iter().flatten().all(|reach| *reach == Reach::Few);
        let reach = if is_few { Reach::Few } else { Reach::All };
        let servers = servers
            .map(|(told, changes, _)| (told.into(), changes.iter().map(Into::into).collect()));
        let orders = orders.map(|(told, _)| told.into());
        let marks =
            marks.map(|(told, changes)| (told.into(), changes.iter().map(Into::into).collect()));
        (PeerMessage { orders, servers, marks, ..PeerMessage::default() }, reach)
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
    // Without their changes they would confirm what they do not tell.
    message.servers = None;
    message.marks = message.marks.filter(|(_, marks)| marks.len() <= MAX_LONG_MARKS);
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
        let now = gw.now();
        peers.with(|members| members.heard(from, now, fastrand::u64(..)));
        if peers.learn(&message.gateways, now) {
            gw.news.notify(usize::MAX);
        }
        take(&gw, from, message);
    }
}

fn take(gw: &Gateway, from: SocketAddr, mut message: PeerMessage) {
    let now = gw.now();
    let fleet = gw.with_feeds(|feeds| feeds.fleet());
    let news = message.take_loads(now);
    for (server, limit) in &news.limits {
        gw.apply_peer_limit(from, *server, *limit);
    }
    news.leaving.iter().for_each(|server| gw.apply_peer_leaving(from, *server));
    for server in gw.loads.apply_peer_update(from, news, fleet, now) {
        gw.log_unreachable_server(server, Some(from));
    }
    if let Some(orders) = message.orders {
        gw.hear_orders(from, orders.into());
    }
    if let Some((told, changes)) = message.servers {
        let changes: Result<Vec<ServerChange>, _> =
            changes.into_iter().map(TryInto::try_into).collect();
        match changes {
            Ok(changes) => {
                let next = FeedUpdate::from(told).next;
                let heard = gw.with_feeds(|feeds| feeds.hear_servers(told.into(), changes, now));
                gw.apply_server_changes(heard);
                gw.note_lead(Feed::Servers, from, next);
            }
            Err(_) => gw.telemetry.count("peers.unreadable", 1),
        }
    }
    if let Some((told, marks)) = message.marks {
        let marks = marks.into_iter().map(Into::into).collect();
        let heard = gw.with_feeds(|feeds| feeds.hear_marks(told.into(), marks, now));
        gw.apply_peer_marks(from, &heard);
    }
    message.session.iter().for_each(|session| gw.hear_session(from, *session));
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
