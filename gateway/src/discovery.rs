//! Discovery of the other gateways.

use std::net::SocketAddr;
use std::rc::Rc;

use redwingfold_core::Millis;

use crate::clock::sleep;
use crate::exchange::fetch_addresses;
use crate::gateway::Gateway;
use crate::peer_table::PeerTable;

/// Interval at which a gateway that starts checks for peers, and for its turn to read the addresses.
const START_POLL_INTERVAL: Millis = Millis(20);

/// Peers that a gateway that starts asks for the addresses of all.
const MAX_ADDRESS_SOURCES: u32 = 4;

/// Peers that a gateway asks for what it needs before it knows whether they have it.
const MAX_PEERS_ASKED: usize = 2;

/// Longest random delay of such a request, as one gateway greets all others at once.
const MAX_REQUEST_DELAY: Millis = Millis(150);

/// Time between two reads by a gateway without peers; a random part of up to the same length is added.
const ALONE_RETRY_INTERVAL: Millis = Millis(3_000);

/// Time between checks for live peers; a random part of up to the same length is added.
const CHECK_INTERVAL: Millis = Millis(250);

/// Time after which a write is contained in every copy from which the store may be restored.
const IN_ALL_COPIES_AFTER: Millis = Millis(60_000);

/// The calls that read and write the addresses of gateways in the store. Each returns only after it has succeeded.
#[derive(Debug)]
pub struct AddressStore<R, W> {
    /// Reads the addresses of all gateways.
    pub read: R,
    /// Writes this gateway's own address; returns the number of addresses written before it, if known.
    pub write: W,
}

/// Discovers the other gateways, and repeats it whenever it has no live peers.
///
/// Load pattern: all gateways of a fleet lose power and restart. If each wrote its address and read all of them, 103
/// gateways would make 206 calls to the store for addresses that it has already, while callers return. So each gateway
/// waits for a message of another one until its [`redwingfold_core::StartTurn`], and only those that receive none read
/// the addresses; these spread by gossip. A gateway that others have in their tables has its address in the store
/// already. One that was cut off for so long that it has no live peers left reads again.
///
/// On the first start, each gateway writes its address. It need not read the others: the next that reads finds it.
///
/// `is_first_start` is set on the first start of the deployment, when the store has no addresses yet.
pub async fn discover_peers<R, W>(
    gw: Rc<Gateway>,
    peers: PeerTable,
    is_first_start: bool,
    mut address_store: AddressStore<R, W>,
) where
    R: AsyncFnMut() -> Vec<SocketAddr>,
    W: AsyncFnMut() -> Option<u64>,
{
    if is_first_start && let Some(earlier) = (address_store.write)().await {
        gw.record_registration(earlier);
    }
    while peers.is_empty() && !gw.is_start_turn_due() {
        sleep(START_POLL_INTERVAL).await;
    }
    let is_reader = peers.is_empty();
    gw.telemetry.info("start_turn", &[("reads", &is_reader), ("after_ms", &gw.uptime())]);
    if !is_reader {
        ask_some_peers(&gw, &peers);
        gw.record_peers_joined();
        learn_addresses(&gw, &peers).await;
    }
    let (mut logged_count, started_at, mut rewritten_after) = (0, gw.now(), None);
    loop {
        let restored = gw.restored_at.get().filter(|at| rewritten_after != Some(*at));
        if let Some(at) = restored {
            rewritten_after = Some(at);
            // An address that was written longer ago is contained in the copy.
            if at.since(started_at) < IN_ALL_COPIES_AFTER {
                (address_store.write)().await;
            }
        }
        if peers.live(gw.now()).is_empty() {
            let addresses = read_addresses(&peers, &mut address_store).await;
            if peers.add(&addresses, gw.now()) {
                peers.with(|members| members.greet_all());
                ask_some_peers(&gw, &peers);
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

/// Makes this gateway ask some peers for what it lacks at its start, of which it knows only the addresses.
fn ask_some_peers(gw: &Gateway, peers: &PeerTable) {
    let live = peers.live(gw.now());
    let asked = fastrand::choose_multiple(&live, MAX_PEERS_ASKED);
    asked.into_iter().for_each(|peer| gw.record_serving_peer(*peer));
}

/// Adds the addresses that a peer knows. Messages bring them in parts, and within seconds where hundreds of gateways
/// start.
async fn learn_addresses(gw: &Gateway, peers: &PeerTable) {
    for _ in 0..MAX_ADDRESS_SOURCES {
        sleep(Millis(fastrand::u64(..MAX_REQUEST_DELAY.0))).await;
        let live = peers.live(gw.now());
        let Some(peer) = fastrand::choice(&live) else { return };
        if let Some(addresses) = fetch_addresses(gw, *peer).await
            && addresses.len() >= live.len()
        {
            return peers.with(|members| members.learn(&addresses, gw.now()));
        }
    }
}

/// Reads the addresses of all gateways, and writes this gateway's own if it is missing.
async fn read_addresses<R, W>(
    peers: &PeerTable,
    address_store: &mut AddressStore<R, W>,
) -> Vec<SocketAddr>
where
    R: AsyncFnMut() -> Vec<SocketAddr>,
    W: AsyncFnMut() -> Option<u64>,
{
    let addresses = (address_store.read)().await;
    if addresses.contains(&peers.own()) {
        return addresses;
    }
    (address_store.write)().await;
    // Read again, so that of two gateways that start at once, at least one finds the other.
    (address_store.read)().await
}
