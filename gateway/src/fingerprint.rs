//! Fingerprints that identify repeated requests, and requests with a prompt part in common.

use std::rc::Rc;

use http::request::Parts;
use redwingfold_core::{Customer, Fingerprint};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::metadata::PromptPart;
use crate::segments::WholeBody;

/// Maximum number of shared prompt parts of a request for which ends of servers are recorded. Without a limit, a few
/// requests with very many parts could fill the table of suspects.
const MAX_PARTS: usize = 32;

/// Hashes the request's method, target, body and customer. Its id, headers and API key are excluded, as they may differ
/// between repeats of the same request.
pub(crate) fn fingerprint(
    head: &Parts,
    host: &str,
    customer: Option<&Customer>,
    body: &WholeBody,
) -> Fingerprint {
    let target = head.uri.path_and_query().map_or("", |target| target.as_str());
    let customer = customer.map_or("", |customer| customer.name.as_str());
    let mut hash = Xxh3::new();
    for part in [head.method.as_str(), host, target, customer] {
        // The length prefix prevents different lists of parts from hashing the same bytes.
        hash.update(&(part.len() as u64).to_be_bytes());
        hash.update(part.as_bytes());
    }
    body.segments().for_each(|segment| hash.update(segment));
    Fingerprint::of_content(hash.digest())
}

/// Returns the hash that identifies a customer in messages between gateways; 0 for callers without one.
pub(crate) fn customer_hash(customer: Option<&Customer>) -> u32 {
    customer.map_or(0, |customer| xxh3_64(customer.name.as_str().as_bytes()) as u32)
}

/// Returns the fingerprints under which ends of servers are recorded for a request: that of its content, and those of the
/// shared parts of its prompt.
pub(crate) fn suspect_keys(content: Fingerprint, shared: &[PromptPart]) -> Rc<[Fingerprint]> {
    let mut keys = vec![content];
    for part in shared.iter().take(MAX_PARTS) {
        let key = Fingerprint::of_prompt_part(part.id);
        if !keys.contains(&key) {
            keys.push(key);
        }
    }
    keys.into()
}
