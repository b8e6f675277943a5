//! HTTP pages on which a gateway serves its feeds to gateways that are behind.

use std::rc::Rc;

use http::{Response, StatusCode, Uri};

use super::servers::{self, ServerList};
use super::snapshot::{Digest, OrdersReply};
use super::{marks, versions};
use crate::feeds::Feed;
use crate::gateway::Gateway;
use crate::peer_table::PeerTable;
use crate::response::{GatewayResponse, full_body, text_response};

pub(super) const PATH: &str = "/orders";

/// Path of the addresses of all gateways.
pub(super) const GATEWAYS_PATH: &str = "/gateways";

/// Position of the gateway that sends the request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct FeedQuery {
    /// Digest of its newest snapshot.
    pub(super) base: Option<Digest>,
    /// Offset up to which it has read or fetched the feed.
    pub(super) next: Option<u64>,
}

impl FeedQuery {
    pub(super) fn request_target(self) -> String {
        let text = |n: Option<u64>| n.map_or_else(String::new, |n| n.to_string());
        format!("{PATH}?have={}&next={}", text(self.base), text(self.next))
    }

    /// Returns the target of a request for a feed without snapshots, for a gateway that has it up to an offset.
    pub(super) fn target_from(path: &str, next: Option<u64>) -> String {
        format!("{path}?next={}", next.map_or_else(String::new, |next| next.to_string()))
    }

    fn parse(query: &str) -> Self {
        let number = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name)?.1.parse().ok()
        };
        Self { base: number("have"), next: number("next") }
    }
}

/// Creates the handler of the pages with this gateway's copy of the store's feeds, and with the addresses of its peers.
pub fn feed_pages(
    gw: Rc<Gateway>,
    peers: PeerTable,
) -> impl Fn(&Uri) -> Option<GatewayResponse> + Clone {
    move |uri| {
        let query = FeedQuery::parse(uri.query().unwrap_or_default());
        let bytes = match uri.path() {
            PATH => {
                let reply =
                    gw.with_orders(|orders| orders.reply_to(query.base, query.next, gw.now()));
                let position = gw.with_feeds(|feeds| feeds.position(Feed::Orders, gw.now()));
                let reply = reply.map(|reply| match position {
                    // The feed has been confirmed to end there since the records were read.
                    Some(position) if position.next == reply.next => {
                        OrdersReply { age: reply.age.min(position.age.0), ..reply }
                    }
                    _ => reply,
                });
                reply.and_then(|reply| postcard::to_stdvec(&reply).ok())
            }
            servers::PATH => encode_servers_reply(&gw, query.next),
            marks::PATH => marks::encode_reply(&gw, query.next),
            versions::PATH => versions::encode_reply(&gw),
            GATEWAYS_PATH => postcard::to_stdvec(&peers.live(gw.now())).ok(),
            _ => return None,
        };
        let Some(bytes) = bytes else {
            return Some(text_response(StatusCode::NO_CONTENT, ""));
        };
        gw.telemetry.count("feed.passed_on", 1);
        gw.telemetry.count("feed.passed_on_bytes", bytes.len() as i64);
        Some(Response::new(full_body(bytes)))
    }
}

/// Encodes the server list and its age for a gateway that has the feed up to `next`; `None` if this gateway is not
/// ahead of it.
fn encode_servers_reply(gw: &Gateway, next: Option<u64>) -> Option<Vec<u8>> {
    let (own_next, as_of) =
        gw.with_feeds(|feeds| (feeds.next(Feed::Servers), feeds.as_of(Feed::Servers)));
    let (own_next, now) =
        (own_next.filter(|own_next| next.is_none_or(|next| next < *own_next))?, gw.now());
    let age = now.since(as_of?).0;
    let mut cache = gw.encoded_servers.borrow_mut();
    let bytes = match cache.as_ref().and_then(|encoded| encoded.bytes_at(own_next)) {
        Some(bytes) => bytes,
        None => {
            let list = gw.with_registry(|registry| {
                ServerList::new(own_next, registry, |server| gw.is_leaving(server), now)
            });
            cache.insert(list.encode()?).bytes_at(own_next)?
        }
    };
    postcard::to_stdvec(&(age, bytes)).ok()
}
