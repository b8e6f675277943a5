//! Asking a gateway that knows more.

use std::fmt::Display;
use std::net::SocketAddr;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use redwingfold_core::Millis;

use super::image::{Offer, Record, Unfit};
use super::page::Ask;
use super::servers;
use crate::clock::{sleep, within};
use crate::feeds::Feed;
use crate::gateway::Gateway;
use crate::upstream::HttpConnection;

/// Longest silence of a gateway that is asked. It writes its answer in some 10 ms of a whole core; a host with
/// a tenth of one takes ten times as long.
const SILENCE: Millis = Millis(1_000);

/// Time between two gateways of a fleet that ask one, on average: it serves each in some 0.2 ms of a whole core, and
/// hosts have a tenth of one.
const ASKED_EVERY: Millis = Millis(2);

/// Longest time over which those that ask are spread: it is less than the head start that they have before the store
/// is asked.
const MAX_SPREAD: Millis = Millis(200);

/// Longest wait for word of another gateway that is ahead: what was heard may be of use again by then, as a
/// gateway that failed is asked once more.
const LOOK_EVERY: Millis = Millis(100);

/// What another gateway knows.
#[derive(Clone, Debug)]
pub struct Fetched {
    /// The newest record of each key.
    pub records: Vec<Record>,
    /// Offset from which to read on.
    pub next: u64,
    /// Begin of the read of the store that brought them.
    pub as_of: Millis,
}

/// Waits until another gateway is ahead and has said what it knows.
///
/// It never ends without; whoever waits reads the store meanwhile.
pub async fn fetch_orders(gw: &Gateway) -> Fetched {
    let mut have = gw.with_orders(|orders| orders.digest());
    loop {
        let ahead = gw.ahead.listen();
        let Some(gateway) = gw.lead(Feed::Orders) else {
            within(LOOK_EVERY, ahead).await;
            continue;
        };
        match ask(gw, gateway, have).await {
            Ok(Some(fetched)) => return fetched,
            // It knows no more than this gateway, which has learnt something meanwhile.
            Ok(None) => gw.lead_failed(Feed::Orders, gateway),
            Err(why) => {
                not_passed_on(gw, Feed::Orders, gateway, &why);
                // The next one is asked for all, in case this gateway's own image is at fault.
                have = None;
            }
        }
    }
}

/// Waits until another gateway knows more of the backend servers and has said what, and takes it.
///
/// It never ends without; whoever waits reads the store meanwhile.
pub async fn fetch_servers(gw: &Gateway) {
    loop {
        let ahead = gw.ahead.listen();
        if gw.lead(Feed::Servers).is_none() {
            within(LOOK_EVERY, ahead).await;
            continue;
        }
        // All learn at once that one gateway knows more; those that ask a little later find others that do.
        let spread = ASKED_EVERY.0 * gw.with_feeds(|feeds| feeds.fleet()) as u64;
        sleep(Millis(fastrand::u64(..=spread.min(MAX_SPREAD.0)))).await;
        let Some(gateway) = gw.lead(Feed::Servers) else { continue };
        match ask_servers(gw, gateway).await {
            Ok(true) => return,
            Ok(false) => gw.lead_failed(Feed::Servers, gateway),
            Err(why) => not_passed_on(gw, Feed::Servers, gateway, &why),
        }
    }
}

fn not_passed_on(gw: &Gateway, feed: Feed, gateway: SocketAddr, why: &str) {
    gw.lead_failed(feed, gateway);
    gw.telemetry.count("feed.not_passed_on", 1);
    let feed = format!("{feed:?}").to_lowercase();
    let pairs: [(&str, &dyn Display); 3] = [("feed", &feed), ("from", &gateway), ("why", &why)];
    gw.telemetry.debug("feed_not_passed_on", &pairs);
}

async fn ask_servers(gw: &Gateway, gateway: SocketAddr) -> Result<bool, String> {
    let began = gw.now();
    let next = gw.with_feeds(|feeds| feeds.reached(Feed::Servers));
    let max = gw.settings.max_orders_bytes;
    let Some(body) = get(gw, gateway, &servers::target(next), max).await? else {
        return Ok(false);
    };
    let (age, list): (u64, Bytes) = postcard::from_bytes(&body).map_err(|e| e.to_string())?;
    let list = servers::List::read(&list, max).map_err(|e| e.to_string())?;
    let as_of = Millis(began.0.saturating_sub(age));
    gw.telemetry.info(
        "servers_heard",
        &[("from", &gateway), ("next", &list.next), ("age_ms", &age), ("bytes", &body.len())],
    );
    let next = list.next;
    gw.replace_servers_from_peer(list.servers()?, as_of);
    gw.with_feeds(|feeds| feeds.know_servers(as_of, next));
    Ok(true)
}

async fn ask(
    gw: &Gateway,
    gateway: SocketAddr,
    have: Option<u64>,
) -> Result<Option<Fetched>, String> {
    let began = gw.now();
    let ask = Ask { have, next: gw.with_feeds(|feeds| feeds.reached(Feed::Orders)) };
    let max = gw.settings.max_orders_bytes;
    let Some(body) = get(gw, gateway, &ask.target(), max).await? else { return Ok(None) };
    let offer: Offer = postcard::from_bytes(&body).map_err(|e| e.to_string())?;
    // What the answer took is counted as its age, too: the store may have moved on meanwhile.
    let as_of = Millis(began.0.saturating_sub(offer.age));
    let records = gw.with_orders(|orders| orders.take(&offer, as_of, max));
    let records = records.map_err(|unfit| match unfit {
        Unfit::Base => "it differs from what is not known here".to_owned(),
        Unfit::Content => "it is not what it says".to_owned(),
        Unfit::Length => format!("it has {} bytes", offer.len),
    })?;
    gw.telemetry.info(
        "orders_heard",
        &[
            ("from", &gateway),
            ("next", &offer.next),
            ("age_ms", &offer.age),
            ("bytes", &body.len()),
            ("of", &offer.len),
            ("took_ms", &gw.now().since(began)),
        ],
    );
    Ok(Some(Fetched { records, next: offer.next, as_of }))
}

async fn get(
    gw: &Gateway,
    gateway: SocketAddr,
    target: &str,
    max: usize,
) -> Result<Option<Bytes>, String> {
    let connected =
        HttpConnection::connect(&gw.executor, gateway, gw.settings.connect_timeout).await;
    let mut caller = connected.map_err(|e| e.to_string())?;
    let req = Request::get(target).header("host", gateway.to_string());
    let req = req.body(Full::default()).map_err(|e| e.to_string())?;
    let mut reading = caller.send_and_read(req, max, SILENCE).await.map_err(|e| e.to_string())?;
    let body = reading.read_to_end().await.map_err(|e| e.to_string())?;
    match reading.status() {
        StatusCode::OK => Ok(Some(body)),
        StatusCode::NO_CONTENT => Ok(None),
        status => Err(format!("refused with {status}")),
    }
}
