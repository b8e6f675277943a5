//! The list of backend servers, as gateways send it to each other.

use bytes::Bytes;
use redwingfold_core::{BackendServer, Millis, PeerServerList, Registry, ServerState};
use serde::{Deserialize, Serialize};

use super::delta;
use crate::peer_message::ServerWire;

pub(super) const PATH: &str = "/servers";

/// All servers in a gateway's registry.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct ServerList {
    /// Offset in the feed up to which the list is complete.
    pub(super) next: u64,
    servers: Vec<ServerWire>,
    /// Servers in the list whose records were removed, and the milliseconds until they count as gone.
    ///
    /// A removal soon after an outage of the store may only mean that the record could not be renewed, so the server is
    /// kept for a while. Without this field, a receiver that had already read the removal kept the server forever: a
    /// server that had left got requests 4.2 s later, where 4 s are allowed.
    lapsing: Vec<(String, u32)>,
    /// Milliseconds for which lists that the sender reads may still come from an older copy of the store.
    copies_left: u32,
}

/// An encoded server list, cached for requests of other gateways.
///
/// A hundred gateways request the list at once after many servers have registered. Encoding it for each of them took
/// about 0.1 s of a core, which is a second on a host with a tenth of a core.
#[derive(Clone, Debug)]
pub(crate) struct EncodedServerList {
    next: u64,
    bytes: Bytes,
}

impl EncodedServerList {
    /// Returns the bytes if the list is complete up to offset `next`.
    pub(super) fn bytes_at(&self, next: u64) -> Option<Bytes> {
        (self.next == next).then(|| self.bytes.clone())
    }
}

impl ServerList {
    /// Lists the servers in a registry.
    ///
    /// Servers that are leaving are listed as draining, as the reader may have missed the announcement.
    pub(super) fn new(
        next: u64,
        registry: &Registry,
        is_leaving: impl Fn(&BackendServer) -> bool,
        now: Millis,
    ) -> Self {
        let servers = registry.servers(now).map(|server| {
            let cold_left = registry.cold_left(&server.id, now);
            match (cold_left, is_leaving(server)) {
                (Millis(0), false) => ServerWire::from(server),
                (cold_left, is_leaving) => {
                    let state = if is_leaving { ServerState::Draining } else { server.state };
                    ServerWire::from(&BackendServer { cold_left, state, ..server.clone() })
                }
            }
        });
        let servers = servers.collect();
        let lapsing = registry.expiring(now).map(|(id, left)| (id.to_string(), left.0 as u32));
        let copies_left = registry.stale_for(now).0 as u32;
        Self { next, servers, lapsing: lapsing.collect(), copies_left }
    }

    /// Encodes the list: its uncompressed length, then its compressed bytes.
    pub(super) fn encode(&self) -> Option<EncodedServerList> {
        let bytes = postcard::to_stdvec(self).ok()?;
        let compressed = Bytes::from(delta::encode(&bytes, &[]).ok()?);
        let encoded = postcard::to_stdvec(&(bytes.len(), compressed)).ok()?;
        Some(EncodedServerList { next: self.next, bytes: encoded.into() })
    }

    /// Decodes a list of at most `max` uncompressed bytes.
    pub(super) fn decode(bytes: &[u8], max: usize) -> eyre::Result<Self> {
        let (len, compressed): (usize, Bytes) = postcard::from_bytes(bytes)?;
        eyre::ensure!(len <= max, "the server list has {len} bytes, more than the limit");
        Ok(postcard::from_bytes(&delta::decode(&compressed, &[], len)?)?)
    }

    pub(super) fn into_passed(self) -> Result<PeerServerList, String> {
        let servers = self.servers.into_iter().map(|s| s.try_into().map_err(|e| format!("{e}")));
        let lapsing = self.lapsing.into_iter();
        let lapsing = lapsing.map(|(id, left)| (id.as_str().into(), Millis(u64::from(left))));
        Ok(PeerServerList {
            servers: servers.collect::<Result<_, _>>()?,
            expiring: lapsing.collect(),
            stale_for: Millis(u64::from(self.copies_left)),
        })
    }
}
