//! A request under which each engine ends that runs it, beside all other callers and faults.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use redwingfold_standins::platform::{Arrival, message, request};

use crate::world::World;

/// Its body.
const BODY: &str = "deadly";

/// Ids of its attempts begin so.
const ID: &str = "deadly";

/// Time from the begin of a run to the engine's end.
pub(crate) const ENDS_AFTER: Duration = Duration::from_millis(20);

/// Time after which all gateways must know of it, once nothing disturbs them any more.
const CONTACT: Duration = Duration::from_secs(3);

/// Ends of engines after which it must be known.
const MAX_ENDS: usize = 3;

/// Sends that may still reach engines then.
const MAX_LATER: usize = 3;

/// Says whether a request is the deadly one.
pub(crate) fn is_deadly(arrival: &Arrival) -> bool {
    arrival.body == BODY.as_bytes()
}

/// Sends it to one of some gateways, on one of two routes.
pub(crate) fn send(rng: &mut fastrand::Rng, gateways: &[SocketAddr]) -> String {
    let to = gateways[rng.usize(..gateways.len())];
    let id = format!("{ID}{:x}", rng.u64(..));
    let model = "Model: s\r\nToken-Usage: 900,50\r\nPrompt-Prefix: 1:600,2:300\r\n";
    let (method, path, more) =
        if rng.bool() { ("GET", "/look/x", "") } else { ("POST", "/draft/x", model) };
    request(to, message(method, path, &id, more, BODY).as_bytes()).text()
}

/// After the last fault, and the time in which all must learn, hardly any of its sends may reach an engine.
pub(crate) fn is_known(world: &mut World, seed: u64) -> Option<String> {
    let ended = world.fleet.arrivals().iter().filter(|a| a.was_run && is_deadly(a)).count();
    let mut rng = fastrand::Rng::with_seed(seed);
    let (begun, mut before) = (Instant::now(), None);
    while begun.elapsed() < 2 * CONTACT {
        let gateways: Vec<_> = world.fleet.gateways.iter().map(|g| g.callers).collect();
        send(&mut rng, &gateways);
        world.fleet.replace_crashed();
        if begun.elapsed() >= CONTACT && before.is_none() {
            before = Some(arrived(world));
        }
    }
    // Each of the two routes makes it another request.
    let later = arrived(world) - before.unwrap_or_default();
    let is_broken = ended >= 2 * MAX_ENDS && later > 2 * MAX_LATER;
    is_broken
        .then(|| format!("a request under which {ended} engines ended was sent {later} times more"))
}

fn arrived(world: &World) -> usize {
    world.fleet.arrivals().iter().filter(|a| is_deadly(a)).count()
}
