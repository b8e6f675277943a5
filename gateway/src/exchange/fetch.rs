//! Fetching orders and backend servers from a gateway that is ahead.

use std::fmt::Display;
use std::net::SocketAddr;

use bytes::Bytes;
use http::{Request, StatusCode};
use redwingfold_core::Millis;

use super::marks::{self, FetchedMarks};
use super::page::{FeedQuery, GATEWAYS_PATH};
use super::progress::PEER_HEAD_START;
use super::snapshot::{OrdersReply, Record, ReplyError};
use super::{servers, versions};
use crate::clock::{sleep, within};
use crate::feeds::Feed;
use crate::gateway::Gateway;
use crate::segments::SegmentedBody;
use crate::upstream::HttpConnection;

/// Longest wait for data from the other gateway. Encoding a reply takes about 10 ms of a whole core, and ten times as
/// long on a host with a tenth of a core.
const IDLE_TIMEOUT: Millis = Millis(1_000);

/// Average time between two requests of the fleet to one gateway. Serving a request takes about 0.2 ms of a whole core,
/// and hosts have a tenth of a core.
const REQUEST_SPACING: Millis = Millis(2);

/// Longest random delay of a request. It is shorter than the time after which a waiting gateway reads the store.
const MAX_REQUEST_DELAY: Millis = Millis(200);

/// Largest list of addresses that is accepted from a peer, in bytes.
const MAX_ADDRESSES_BYTES: usize = 64 * 1024;

/// Gateways that are asked for the versions in service before the store is read.
const MAX_VERSION_SOURCES: u32 = 2;

/// Longest wait for another gateway that is ahead. After it, a gateway that failed may be due for a retry.
const RECHECK_INTERVAL: Millis = Millis(100);

/// The operator's records, as fetched from another gateway.
#[derive(Clone, Debug)]
pub struct FetchedOrders {
    /// The newest record of each key.
    pub records: Vec<Record>,
    /// Offset from which to continue reading.
    pub next: u64,
    /// Start time of the store read that returned them.
    pub as_of: Millis,
}

/// Waits until another gateway is ahead, and fetches its orders.
///
/// It waits forever if none is; callers read the store concurrently.
pub async fn fetch_newer_orders(gw: &Gateway) -> FetchedOrders {
    let mut base = gw.with_orders(|orders| orders.digest());
    loop {
        let peer_ahead = gw.peer_ahead.listen();
        let Some(peer) = gw.pick_peer_ahead(Feed::Orders) else {
            within(RECHECK_INTERVAL, peer_ahead).await;
            continue;
        };
        match request_orders(gw, peer, base).await {
            Ok(Some(fetched)) => return fetched,
            // The peer is no longer ahead, as this gateway has caught up meanwhile.
            Ok(None) => gw.record_peer_failure(Feed::Orders, peer),
            Err(why) => {
                record_fetch_failure(gw, Feed::Orders, peer, &why);
                // The next request asks for all records, in case this gateway's own snapshot is wrong.
                base = None;
            }
        }
    }
}

/// Waits until another gateway is ahead in backend servers, fetches its list and applies it.
///
/// It waits forever if none is; callers read the store concurrently.
pub async fn fetch_newer_servers(gw: &Gateway) {
    loop {
        let peer_ahead = gw.peer_ahead.listen();
        if gw.pick_peer_ahead(Feed::Servers).is_none() {
            within(RECHECK_INTERVAL, peer_ahead).await;
            continue;
        }
        // All gateways are notified at once that one is ahead. Those that wait a little longer find others that have
        // caught up.
        let max_delay = REQUEST_SPACING.0 * gw.with_feeds(|feeds| feeds.fleet_size()) as u64;
        sleep(Millis(fastrand::u64(..=max_delay.min(MAX_REQUEST_DELAY.0)))).await;
        let Some(peer) = gw.pick_peer_ahead(Feed::Servers) else { continue };
        match request_servers(gw, peer).await {
            Ok(true) => return,
            Ok(false) => gw.record_peer_failure(Feed::Servers, peer),
            Err(why) => record_fetch_failure(gw, Feed::Servers, peer, &why),
        }
    }
}

/// Fetches all marks from a gateway that is ahead; `None` if there is none, or it did not send them.
pub async fn fetch_newer_marks(gw: &Gateway) -> Option<FetchedMarks> {
    let peer = gw.pick_peer_ahead(Feed::Marks)?;
    let (began, next) = (gw.now(), gw.with_feeds(|feeds| feeds.reached(Feed::Marks)));
    let target = FeedQuery::target_from(marks::PATH, next);
    let reply = get(gw, peer, &target, gw.settings.max_orders_bytes);
    let reply = within(PEER_HEAD_START, reply).await;
    let fetched = match reply.unwrap_or_else(|| Err("no answer in time".to_owned())) {
        Ok(None) => {
            gw.record_peer_failure(Feed::Marks, peer);
            return None;
        }
        Ok(Some(body)) => marks::decode_reply(&body, began).map_err(|e| e.to_string()),
        Err(why) => Err(why),
    };
    fetched.map_err(|why| record_fetch_failure(gw, Feed::Marks, peer, &why)).ok()
}

/// Fetches the addresses of all gateways that a peer knows; `None` if it does not send them.
pub(crate) async fn fetch_addresses(gw: &Gateway, peer: SocketAddr) -> Option<Vec<SocketAddr>> {
    let body = get(gw, peer, GATEWAYS_PATH, MAX_ADDRESSES_BYTES);
    let body = within(PEER_HEAD_START, body).await?.ok()??;
    postcard::from_bytes(&body).ok()
}

/// Fetches the versions in service from a gateway that knows them, and sets them; returns `false` if none sends them.
pub async fn fetch_versions(gw: &Gateway) -> bool {
    for _ in 0..MAX_VERSION_SOURCES {
        let Some(peer) = gw.pick_peer_ahead(Feed::Orders) else { return false };
        let began = gw.now();
        let body = get(gw, peer, versions::PATH, gw.settings.max_orders_bytes);
        let Some(body) = within(PEER_HEAD_START, body).await else { return false };
        let Ok(Some(body)) = body else { continue };
        match versions::decode_reply(&body, began) {
            Ok((read_at, versions)) => {
                gw.set_versions_in_service(read_at, versions);
                return true;
            }
            Err(why) => record_fetch_failure(gw, Feed::Orders, peer, &why),
        }
    }
    false
}

fn record_fetch_failure(gw: &Gateway, feed: Feed, peer: SocketAddr, why: &str) {
    gw.record_peer_failure(feed, peer);
    gw.telemetry.count("feed.not_passed_on", 1);
    let feed = format!("{feed:?}").to_lowercase();
    let pairs: [(&str, &dyn Display); 3] = [("feed", &feed), ("from", &peer), ("why", &why)];
    gw.telemetry.debug("feed_not_passed_on", &pairs);
}

async fn request_servers(gw: &Gateway, peer: SocketAddr) -> Result<bool, String> {
    let began = gw.now();
    let next = gw.with_feeds(|feeds| feeds.reached(Feed::Servers));
    let max = gw.settings.max_orders_bytes;
    let Some(body) = get(gw, peer, &FeedQuery::target_from(servers::PATH, next), max).await? else {
        return Ok(false);
    };
    let (age, list): (u64, Bytes) = postcard::from_bytes(&body).map_err(|e| e.to_string())?;
    let list = servers::ServerList::decode(&list, max).map_err(|e| e.to_string())?;
    let as_of = Millis(began.0.saturating_sub(age));
    gw.telemetry.info(
        "servers_heard",
        &[("from", &peer), ("next", &list.next), ("age_ms", &age), ("bytes", &body.len())],
    );
    let next = list.next;
    gw.replace_servers_from_peer(list.into_passed()?, as_of);
    gw.with_feeds(|feeds| feeds.record_fetched_servers(as_of, next));
    Ok(true)
}

async fn request_orders(
    gw: &Gateway,
    peer: SocketAddr,
    base: Option<u64>,
) -> Result<Option<FetchedOrders>, String> {
    let began = gw.now();
    let query = FeedQuery { base, next: gw.with_feeds(|feeds| feeds.reached(Feed::Orders)) };
    let max = gw.settings.max_orders_bytes;
    let Some(body) = get(gw, peer, &query.request_target(), max).await? else { return Ok(None) };
    let reply: OrdersReply = postcard::from_bytes(&body).map_err(|e| e.to_string())?;
    // The duration of the request counts towards the age, as the store may have received records meanwhile.
    let as_of = Millis(began.0.saturating_sub(reply.age));
    let records = gw.with_orders(|orders| orders.apply_reply(&reply, as_of, max));
    let records = records.map_err(|error| match error {
        ReplyError::UnknownBase => "the delta is based on an unknown snapshot".to_owned(),
        ReplyError::ContentMismatch => "the decoded records do not match the digest".to_owned(),
        ReplyError::TooLong => format!("the snapshot has {} bytes, more than the limit", reply.len),
    })?;
    gw.telemetry.info(
        "orders_heard",
        &[
            ("from", &peer),
            ("next", &reply.next),
            ("age_ms", &reply.age),
            ("bytes", &body.len()),
            ("of", &reply.len),
            ("took_ms", &gw.now().since(began)),
        ],
    );
    Ok(Some(FetchedOrders { records, next: reply.next, as_of }))
}

async fn get(
    gw: &Gateway,
    peer: SocketAddr,
    target: &str,
    max: usize,
) -> Result<Option<Bytes>, String> {
    let connected = HttpConnection::connect(&gw.executor, peer, gw.settings.connect_timeout).await;
    let mut connection = connected.map_err(|e| e.to_string())?;
    let req = Request::get(target).header("host", peer.to_string());
    let req = req.body(SegmentedBody::default()).map_err(|e| e.to_string())?;
    let mut response =
        connection.send_and_read(req, max, IDLE_TIMEOUT).await.map_err(|e| e.to_string())?;
    let body = response.read_to_end().await.map_err(|e| e.to_string())?;
    match response.status() {
        StatusCode::OK => Ok(Some(body)),
        StatusCode::NO_CONTENT => Ok(None),
        status => Err(format!("the gateway responded with status {status}")),
    }
}
