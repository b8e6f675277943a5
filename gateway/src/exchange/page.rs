//! The page on which a gateway answers those that know less.

use std::rc::Rc;

use http::{Response, StatusCode, Uri};

use super::image::Digest;
use crate::answer::{Answer, text_answer, whole_body};
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

/// Makes the page of what a gateway knows of the operator's topic.
pub fn orders_page(gw: Rc<Gateway>) -> impl Fn(&Uri) -> Option<Answer> + Clone {
    move |uri| {
        (uri.path() == PATH).then(|| {
            let ask = Ask::read(uri.query().unwrap_or_default());
            let offer = gw.with_orders(|orders| orders.offer(ask.have, ask.next, gw.now()));
            let Some(bytes) = offer.and_then(|offer| postcard::to_stdvec(&offer).ok()) else {
                return text_answer(StatusCode::NO_CONTENT, "");
            };
            gw.telemetry.count("orders.passed_on", 1);
            gw.telemetry.count("orders.passed_on_bytes", bytes.len() as i64);
            Response::new(whole_body(bytes))
        })
    }
}
