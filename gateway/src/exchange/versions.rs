//! The versions in service, as gateways that start get them from others.

use std::collections::BTreeSet;

use redwingfold_core::{Millis, ServiceName, VersionName};

use crate::gateway::Gateway;

pub(super) const PATH: &str = "/versions";

/// Time for which what was read from the store is sent to other gateways. After it, this gateway has followed the orders
/// for as long, and sends what it knows itself.
const READ_RETENTION: Millis = Millis(3_000);

/// The versions in service of each service.
pub type VersionsInService = Vec<(ServiceName, BTreeSet<VersionName>)>;

/// The versions in service that a gateway got at its start, and when they were read from the store.
#[derive(Debug, Default)]
pub(crate) struct StoredVersions(Option<(Millis, VersionsInService)>);

impl Gateway {
    /// Sets the versions in service that were read from the store at `read_at`, and keeps them for other gateways that
    /// start.
    pub fn set_versions_in_service(&self, read_at: Millis, versions: VersionsInService) {
        for (service, versions) in &versions {
            self.set_stored_versions(service, versions.clone());
        }
        *self.stored_versions.borrow_mut() = StoredVersions(Some((read_at, versions)));
    }

    /// Returns the versions in service for a gateway that starts, and their age; `None` while a rollout may change them, or
    /// while this gateway does not know them itself.
    fn versions_for_peers(&self) -> Option<(Millis, VersionsInService)> {
        let now = self.now();
        if !self.with_rollouts(|r| r.is_idle()) {
            return None;
        }
        if let StoredVersions(Some((read_at, versions))) = &*self.stored_versions.borrow()
            && now.since(*read_at) < READ_RETENTION
        {
            return Some((now.since(*read_at), versions.clone()));
        }
        let is_known = self.is_registry_known.get() && self.uptime() >= READ_RETENTION;
        let services = self.services_in_service().into_iter();
        let own = services.map(|service| (service.clone(), self.versions_in_service(&service)));
        is_known.then(|| (Millis(0), own.collect()))
    }
}

/// Encodes the versions in service and their age for a gateway that starts; `None` if this gateway does not have them.
pub(super) fn encode_reply(gw: &Gateway) -> Option<Vec<u8>> {
    let (age, versions) = gw.versions_for_peers()?;
    postcard::to_stdvec(&(age.0, encode(&versions))).ok()
}

fn encode(versions: &VersionsInService) -> Vec<(&str, Vec<String>)> {
    let names = |names: &BTreeSet<VersionName>| names.iter().map(ToString::to_string).collect();
    versions.iter().map(|(service, versions)| (service.as_str(), names(versions))).collect()
}

/// Decodes a reply to a request that began at `began`; returns when the versions were read, and the versions.
pub(super) fn decode_reply(
    body: &[u8],
    began: Millis,
) -> Result<(Millis, VersionsInService), String> {
    let (age, versions): (u64, Vec<(String, Vec<String>)>) =
        postcard::from_bytes(body).map_err(|e| e.to_string())?;
    let parsed = versions.into_iter().map(|(service, names)| {
        let names: Result<BTreeSet<VersionName>, _> = names.iter().map(|n| n.parse()).collect();
        Ok((ServiceName::from(service.as_str()), names.map_err(|e| format!("{e}"))?))
    });
    Ok((Millis(began.0.saturating_sub(age)), parsed.collect::<Result<_, String>>()?))
}
