//! Validation of a set of objects: references and values.

use std::collections::BTreeMap;

use super::fold::StoredObject;
use super::object::{ObjectKey, Spec};
use crate::ids::PerMille;

const MAX_NAME_LEN: usize = 128;
const SHA256_HEX_LEN: usize = 64;

/// Returns the problems of the objects; empty if they are valid.
pub(crate) fn problems(objects: &BTreeMap<ObjectKey, StoredObject>) -> Vec<String> {
    let mut found = Vec::new();
    for (key, stored) in objects {
        if key.name.len() > MAX_NAME_LEN {
            found.push(format!("{key}: name is longer than {MAX_NAME_LEN}"));
        }
        check_object(objects, key, &stored.object.spec, &mut found);
    }
    found
}

fn check_object(
    objects: &BTreeMap<ObjectKey, StoredObject>,
    key: &ObjectKey,
    spec: &Spec,
    found: &mut Vec<String>,
) {
    let mut needs = |kind: &str, name: &str| {
        if !objects.contains_key(&ObjectKey::new(kind, name)) {
            found.push(format!("{key}: refers to {kind}/{name}, which does not exist"));
        }
    };
    match spec {
        Spec::Cascade(c) => c.models.iter().for_each(|m| needs("model", m.as_str())),
        Spec::Customer(_) | Spec::Grant(_) | Spec::Service(_) => {}
        Spec::Model(m) => needs("version", m.current.as_str()),
        Spec::Placement(p) => p.versions.iter().for_each(|v| needs("version", v.as_str())),
        Spec::Rollout(r) => {
            needs("model", r.model.as_str());
            needs("version", r.to.as_str());
        }
        Spec::Session(s) => {
            needs("customer", s.customer.as_str());
            s.version.iter().for_each(|v| needs("version", v.as_str()));
        }
        Spec::Version(v) => needs("model", v.model.as_str()),
    }
    found.extend(check_values(spec).into_iter().map(|text| format!("{key}: {text}")));
}

fn check_values(spec: &Spec) -> Option<&'static str> {
    match spec {
        Spec::Cascade(c) if c.models.is_empty() => Some("a cascade needs at least one model"),
        Spec::Cascade(c) if c.target > PerMille(1000) => Some("target is above 1000"),
        Spec::Customer(c) if c.weight == 0 => Some("weight must be at least 1"),
        Spec::Customer(c) if !c.key_sha256.iter().all(|k| is_sha256(k)) => {
            Some("key_sha256 takes 64 lower-case hex digits, not the key itself")
        }
        Spec::Placement(p) if p.load_share > PerMille(1000) => Some("load_share is above 1000"),
        Spec::Rollout(r) if r.share > PerMille(1000) => Some("share is above 1000"),
        Spec::Rollout(r) if !r.steps.is_sorted() => Some("steps must rise"),
        Spec::Rollout(r) if r.steps.last() > Some(&PerMille(1000)) => Some("a step is above 1000"),
        Spec::Service(s) if !s.path.starts_with('/') => Some("path must start with a slash"),
        Spec::Service(s) if s.methods.is_empty() => Some("methods is empty"),
        Spec::Service(s) if s.repeatable.iter().any(|m| !s.methods.contains(m)) => {
            Some("repeatable names a method that is not among methods")
        }
        Spec::Version(v) if v.quality > PerMille(1000) => Some("quality is above 1000"),
        _ => None,
    }
}

fn is_sha256(text: &str) -> bool {
    text.len() == SHA256_HEX_LEN
        && text.bytes().all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b))
}
