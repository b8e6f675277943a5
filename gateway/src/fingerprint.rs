//! Which requests are the same.

use http::request::Parts;
use redwingfold_core::{Customer, Fingerprint};
use xxhash_rust::xxh3::Xxh3;

/// Hashes what a request asks for and who asks it. Its id, its headers and its customer's key are left out: they
/// differ between repeats of the same request.
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
        // With its length, so that no two lists of parts are the same bytes.
        hash.update(&(part.len() as u64).to_be_bytes());
        hash.update(part.as_bytes());
    }
    hash.update(body);
    Fingerprint(hash.digest())
}
