//! The marks of the quarantine, as gateways send them to each other.

use redwingfold_core::{MarkChange, Millis};
use serde::{Deserialize, Serialize};

use crate::feeds::Feed;
use crate::gateway::Gateway;
use crate::peer_message::MarkWire;

pub(super) const PATH: &str = "/marks";

/// All marks of a gateway that are in the store.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct MarksReply {
    /// Offset in the feed up to which the marks are complete.
    next: u64,
    /// Milliseconds since they were known to be complete.
    age: u64,
    marks: Vec<MarkWire>,
}

/// All marks, as fetched from another gateway.
#[derive(Clone, Debug)]
pub struct FetchedMarks {
    /// The marks.
    pub marks: Vec<MarkChange>,
    /// Offset from which to continue reading.
    pub next: u64,
    /// Time as of which they are complete.
    pub as_of: Millis,
}

/// Encodes all marks for a gateway that has the feed up to `next`; `None` if this gateway is not ahead of it.
pub(super) fn encode_reply(gw: &Gateway, next: Option<u64>) -> Option<Vec<u8>> {
    let (own_next, as_of) =
        gw.with_feeds(|feeds| (feeds.next(Feed::Marks), feeds.as_of(Feed::Marks)));
    let own_next = own_next.filter(|own_next| next.is_none_or(|next| next < *own_next))?;
    let now = gw.now();
    let marks = gw.with_quarantine(|q| q.stored_marks(now));
    let marks = marks.iter().map(Into::into).collect();
    postcard::to_stdvec(&MarksReply { next: own_next, age: now.since(as_of?).0, marks }).ok()
}

/// Decodes a reply to a request that began at `began`. Its duration counts towards the age, as the store may have received
/// marks meanwhile.
pub(super) fn decode_reply(body: &[u8], began: Millis) -> Result<FetchedMarks, postcard::Error> {
    let reply: MarksReply = postcard::from_bytes(body)?;
    let marks = reply.marks.into_iter().map(Into::into).collect();
    let as_of = Millis(began.0.saturating_sub(reply.age));
    Ok(FetchedMarks { marks, next: reply.next, as_of })
}
