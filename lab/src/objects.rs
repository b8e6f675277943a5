//! Configuration objects that the experiments publish.

use redwingfold_standins::fleet::key_of;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};

/// Returns the SHA-256 of a customer's API key, in hexadecimal.
pub(crate) fn sha256_of(customer: &str) -> String {
    Sha256::digest(key_of(customer).as_bytes()).iter().map(|b| format!("{b:02x}")).collect()
}

/// Returns the customer `ani`, the model `slip` with one version, and a grant of the models `slip`
/// and `slow` to `ani`.
pub(crate) fn one_model() -> Value {
    json!([
        {"kind": "customer", "name": "ani", "spec": {"key_sha256": [sha256_of("ani")]}},
        {"kind": "model", "name": "slip", "spec": {"current": "slip-1"}},
        {"kind": "version", "name": "slip-1", "spec": {"model": "slip", "cost_per_ktok": 1, "quality": 900}},
        {"kind": "grant", "name": "all", "spec": {"callers": "customer=ani", "versions": "model in (slip|slow)"}},
    ])
}

/// Returns the objects of [`one_model`] followed by `extra`.
pub(crate) fn one_model_with(extra: &[Value]) -> Value {
    let mut objects = one_model().as_array().cloned().unwrap_or_default();
    objects.extend_from_slice(extra);
    Value::from(objects)
}
