//! The page on which a gateway answers those that know less.

use std::rc::Rc;

use http::{Response, StatusCode, Uri};

use super::servers::{self, ServerList};
use super::snapshot::Digest;
use crate::answer::{GatewayResponse, full_body, text_response};
use crate::feeds::Feed;
use crate::gateway::Gateway;

pub(super) const PATH: &str = "/orders";

/// What a gateway has that asks for more.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct FeedQuery {
    pub(super) base: Option<Digest>,
    pub(super) next: Option<u64>,
}

impl FeedQuery {
    pub(super) fn request_target(self) -> String {
        let text = |n: Option<u64>| n.map_or_else(String::new, |n| n.to_string());
        format!("{PATH}?have={}&next={}", text(self.base), text(self.next))
    }

    fn parse(query: &str) -> Self {
        let number = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name)?.1.parse().ok()
        };
        Self { base: number("have"), next: number("next") }
    }
}

/// Makes the pages of what a gateway knows of the store's feeds.
pub fn feed_pages(gw: Rc<Gateway>) -> impl Fn(&Uri) -> Option<GatewayResponse> + Clone {
    move |uri| {
        let query = FeedQuery::parse(uri.query().unwrap_or_default());
        let bytes = match uri.path() {
            PATH => {
                let reply =
                    gw.with_orders(|orders| orders.reply_to(query.base, query.next, gw.now()));
                reply.and_then(|reply| postcard::to_stdvec(&reply).ok())
            }
            servers::PATH => encode_servers_reply(&gw, query.next),
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

/// Returns the servers, with the age of what is known of them, for a gateway that knows them up to an offset, unless
/// that is all that is known here.
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
