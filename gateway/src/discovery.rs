//! How gateways find each other.

use std::net::SocketAddr;
use std::rc::Rc;

use redwingfold_core::Millis;

use crate::clock::sleep;
use crate::gateway::Gateway;
use crate::peer_table::PeerTable;

/// Time over which gateways that start together are spread before one of them reads where the others are. The
/// first that has read tells the others within some ten milliseconds.
const START_SPREAD: Millis = Millis(300);

/// Time that all hosts of a new deployment take to start and to write where they are.
const FIRST_START_WAIT: Millis = Millis(300);

/// Time between two reads by a gateway that knows nobody, up to twice of it.
const ALONE_RETRY_INTERVAL: Millis = Millis(3_000);

/// Time between looks at whether it knows anybody.
const CHECK_INTERVAL: Millis = Millis(250);

/// Time after which what was written is in any copy from which the store may come back.
const IN_ALL_COPIES_AFTER: Millis = Millis(60_000);

/// The calls by which the addresses of all gateways are read and written. Each ends only when it was done.
#[derive(Debug)]
pub struct AddressStore<R, W> {
    /// Reads the addresses.
    pub read: R,
    /// Writes this gateway's own.
    pub write: W,
}

/// Finds the other gateways, and goes on to do so whenever it knows none.
///
/// Load pattern: all gateways of a fleet lose power and come back. If each writes its address and reads all of them,
/// as at the first start, 103 gateways make 206 calls of the store for what it has already, while their callers
/// return. So each waits a drawn time for word of another one, and only those that hear nothing read;
/// what they read goes on from gateway to gateway. A gateway that is heard of by others is written down already.
/// One that was cut off from all others for so long that they forgot each other reads again.
///
/// `is_first_start` says that the deployment starts for the first time: nobody is written down then.
pub async fn discover_peers<R, W>(
    gw: Rc<Gateway>,
    peers: PeerTable,
    is_first_start: bool,
    mut address_store: AddressStore<R, W>,
) where
    R: AsyncFnMut() -> Vec<SocketAddr>,
    W: AsyncFnMut(),
{
    if is_first_start {
        (address_store.write)().await;
        sleep(FIRST_START_WAIT).await;
    }
    sleep(Millis(fastrand::u64(0..START_SPREAD.0))).await;
    let (mut logged_count, started_at, mut rewritten_after) = (0, gw.now(), None);
    loop {
        let restored = gw.restored_at.get().filter(|at| rewritten_after != Some(*at));
        if let Some(at) = restored {
            rewritten_after = Some(at);
            // An address that is older stands in the copy, too.
            if at.since(started_at) < IN_ALL_COPIES_AFTER {
                (address_store.write)().await;
            }
        }
        if peers.live(gw.now()).is_empty() {
            let known = read_addresses(&peers, &mut address_store).await;
            if peers.add(&known, gw.now()) {
                gw.gossip_due.notify(usize::MAX);
            }
        }
        gw.record_peers_joined();
        if peers.len() != logged_count {
            logged_count = peers.len();
            gw.telemetry.info("peers_known", &[("peers", &logged_count)]);
        }
        let pause = if peers.is_empty() { ALONE_RETRY_INTERVAL } else { CHECK_INTERVAL };
        sleep(pause.after(Millis(fastrand::u64(0..pause.0)))).await;
    }
}

/// Reads where the others are, and sees to it that this gateway is written down, too.
async fn read_addresses<R, W>(
    peers: &PeerTable,
    address_store: &mut AddressStore<R, W>,
) -> Vec<SocketAddr>
where
    R: AsyncFnMut() -> Vec<SocketAddr>,
    W: AsyncFnMut(),
{
    let known = (address_store.read)().await;
    if known.contains(&peers.own()) {
        return known;
    }
    (address_store.write)().await;
    // Read once more: of two that start at once, one at least sees the other.
    (address_store.read)().await
}
