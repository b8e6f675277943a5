//! The list of backend servers, as one gateway gives it to another.

use bytes::Bytes;
use redwingfold_core::{BackendServer, Millis, PassedServers, Registry, ServerState};
use serde::{Deserialize, Serialize};

use super::delta;
use crate::peer_message::ServerWire;

pub(super) const PATH: &str = "/servers";

/// Returns the target by which a gateway asks that knows the list up to an offset.
pub(super) fn request_target(next: Option<u64>) -> String {
    format!("{PATH}?next={}", next.map_or_else(String::new, |next| next.to_string()))
}

/// All servers that a gateway believes in.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct ServerList {
    /// Offset up to which the list is known.
    pub(super) next: u64,
    servers: Vec<ServerWire>,
    /// Servers among them whose records are gone, and the milliseconds until they are taken as gone.
    ///
    /// A removal soon after an outage of the store may only mean that the record could not be renewed, so that a
    /// server stays for a while. Passed on as one that is there, it stayed for good where its removal had been
    /// read already: a server that had left got requests 4.2 s later, where 4 s are allowed.
    lapsing: Vec<(String, u32)>,
    /// Milliseconds for which the writer's lists may yet be of an older copy of the store.
    copies_left: u32,
}

/// A list as it was written for others.
///
/// A hundred gateways ask at once when many servers have come: writing it for each of them took some 0.1 s of a core,
/// a second of a host that has a tenth of one.
#[derive(Clone, Debug)]
pub(crate) struct EncodedServerList {
    next: u64,
    bytes: Bytes,
}

impl EncodedServerList {
    /// Returns it for a gateway that knows the list up to the same offset.
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
        let lapsing = registry.lapsing(now).map(|(id, left)| (id.to_string(), left.0 as u32));
        let copies_left = registry.copies_left(now).0 as u32;
        Self { next, servers, lapsing: lapsing.collect(), copies_left }
    }

    /// Writes it, with its length before it.
    pub(super) fn encode(&self) -> Option<EncodedServerList> {
        let bytes = postcard::to_stdvec(self).ok()?;
        let compressed = Bytes::from(delta::encode(&bytes, &[]).ok()?);
        let encoded = postcard::to_stdvec(&(bytes.len(), compressed)).ok()?;
        Some(EncodedServerList { next: self.next, bytes: encoded.into() })
    }

    /// Reads one of at most `max` bytes.
    pub(super) fn decode(bytes: &[u8], max: usize) -> eyre::Result<Self> {
        let (len, compressed): (usize, Bytes) = postcard::from_bytes(bytes)?;
        eyre::ensure!(len <= max, "it has {len} bytes");
        Ok(postcard::from_bytes(&delta::decode(&compressed, &[], len)?)?)
    }

    pub(super) fn into_passed(self) -> Result<PassedServers, String> {
        let servers = self.servers.into_iter().map(|s| s.try_into().map_err(|e| format!("{e}")));
        let lapsing = self.lapsing.into_iter();
        let lapsing = lapsing.map(|(id, left)| (id.as_str().into(), Millis(u64::from(left))));
        Ok(PassedServers {
            servers: servers.collect::<Result<_, _>>()?,
            lapsing: lapsing.collect(),
            copies_left: Millis(u64::from(self.copies_left)),
        })
    }
}
