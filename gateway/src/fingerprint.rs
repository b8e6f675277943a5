//! Fingerprints that identify repeated requests.

use http::request::Parts;
use redwingfold_core::{Customer, Fingerprint};
use xxhash_rust::xxh3::Xxh3;

/// Hashes the request's method, target, body and customer. Its id, headers and API key are excluded, as they may differ
/// between repeats of the same request.
pub(crate) fn fingerprint(
    head: &Parts,
    host: &str,
    customer: Option<&Customer>,
    body: &[u8],
) -> Fingerprint {
    let target = head.uri.path_and_query().map_or("", |target| target.as_str());
    let customer = customer.map_or("", |customer| customer.name.as_str());
    let mut hash = Xxh3::new();
    for part in [head.method.as_str(), host, target, customer] {
        // The length prefix prevents different lists of parts from hashing the same bytes.
        hash.update(&(part.len() as u64).to_be_bytes());
        hash.update(part.as_bytes());
    }
    hash.update(body);
    Fingerprint(hash.digest())
}
