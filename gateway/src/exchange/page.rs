//! The page on which a gateway answers those that know less.

use std::rc::Rc;

use http::{Response, StatusCode, Uri};

use super::image::Digest;
use super::servers::{self, List};
use crate::answer::{GatewayResponse, full_body, text_response};
use crate::feeds::Feed;
use crate::gateway::Gateway;

pub(super) const PATH: &str = "/orders";

/// What a gateway has that asks for more.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Ask {
    pub(super) have: Option<Digest>,
    pub(super) next: Option<u64>,
}

impl Ask {
    pub(super) fn target(self) -> String {
        let text = |n: Option<u64>| n.map_or_else(String::new, |n| n.to_string());
        format!("{PATH}?have={}&next={}", text(self.have), text(self.next))
    }

    fn read(query: &str) -> Self {
        let number = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name)?.1.parse().ok()
        };
        Self { have: number("have"), next: number("next") }
    }
}

/// Makes the pages of what a gateway knows of the store's feeds.
pub fn feed_pages(gw: Rc<Gateway>) -> impl Fn(&Uri) -> Option<GatewayResponse> + Clone {
    move |uri| {
        let ask = Ask::read(uri.query().unwrap_or_default());
        let bytes = match uri.path() {
            PATH => {
                let offer = gw.with_orders(|orders| orders.offer(ask.have, ask.next, gw.now()));
                offer.and_then(|offer| postcard::to_stdvec(&offer).ok())
            }
            servers::PATH => servers_known(&gw, ask.next),
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
fn servers_known(gw: &Gateway, next: Option<u64>) -> Option<Vec<u8>> {
    let (known, as_of) =
        gw.with_feeds(|feeds| (feeds.next(Feed::Servers), feeds.as_of(Feed::Servers)));
    let (known, now) = (known.filter(|known| next.is_none_or(|next| next < *known))?, gw.now());
    let age = now.since(as_of?).0;
    let mut kept = gw.servers_written.borrow_mut();
    let bytes = match kept.as_ref().and_then(|written| written.of(known)) {
        Some(bytes) => bytes,
        None => {
            let list = gw.with_registry(|registry| {
                List::new(known, registry, |server| gw.is_leaving(server), now)
            });
            kept.insert(list.write()?).of(known)?
        }
    };
    postcard::to_stdvec(&(age, bytes)).ok()
}
