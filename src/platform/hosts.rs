//! Client for the host list service.

use std::net::SocketAddr;

use redwingfold_core::{FailureDomain, HostId, Labels, Member, Millis, PooledSide};
use redwingfold_http::{CallTimeout, Client, Method};
use serde::Deserialize;

use crate::clock::to_duration;

const HOST_LIST_TIMEOUT: Millis = Millis(2_000);
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// State of a host in the host list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub(crate) enum HostState {
    Leaving,
    Live,
}

/// One entry of the host list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub(crate) struct HostRecord {
    pub(crate) host: HostId,
    pub(crate) address: SocketAddr,
    pub(crate) failure_domain: FailureDomain,
    pub(crate) role: String,
    pub(crate) state: HostState,
    /// Pool of backend servers. Empty if the platform names none, so that such hosts share one
    /// pool.
    #[serde(default)]
    pub(crate) pool: String,
}

impl HostRecord {
    pub(crate) fn is_side(&self) -> bool {
        self.role == "side"
    }

    /// Returns the labels that the selectors of placements are matched against.
    pub(crate) fn labels(&self) -> Labels {
        let pairs = [
            ("host", self.host.to_string()),
            ("pool", self.pool.clone()),
            ("failure_domain", self.failure_domain.to_string()),
        ];
        pairs.into_iter().map(|(key, value)| (key.to_owned(), value)).collect()
    }

    pub(crate) fn pooled(&self) -> PooledSide {
        PooledSide { member: self.member(), pool: self.pool.clone() }
    }

    pub(crate) fn member(&self) -> Member {
        Member { host: self.host.clone(), domain: self.failure_domain.clone() }
    }
}

#[derive(Deserialize)]
struct HostsResponse {
    hosts: Vec<HostRecord>,
}

/// Fetches the host list.
pub(crate) async fn fetch_hosts(
    http: &Client,
    addr: SocketAddr,
) -> Result<Vec<HostRecord>, String> {
    let call = http.call(
        Method::Get,
        addr,
        "/hosts",
        None,
        CallTimeout::Total(to_duration(HOST_LIST_TIMEOUT)),
        MAX_RESPONSE_BYTES,
    );
    match call.await {
        Ok(response) if response.is_success() => {
            response.json::<HostsResponse>().map(|a| a.hosts).map_err(|e| e.to_string())
        }
        Ok(response) => Err(format!("status {}", response.status)),
        Err(e) => Err(e.to_string()),
    }
}
