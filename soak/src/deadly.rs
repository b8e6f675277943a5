//! A request under which each engine ends that runs it, beside all other callers and faults.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use redwingfold_standins::platform::{Arrival, message, request};

use crate::testbed::Testbed;

/// Its body.
const BODY: &str = "deadly";

/// Ids of its attempts begin so.
const ID_PREFIX: &str = "deadly";

/// Time from the begin of a run to the engine's end.
pub(crate) const CRASH_DELAY: Duration = Duration::from_millis(20);

/// Time after which all gateways must know of it, once nothing disturbs them any more.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(3);

/// Ends of engines after which it must be known.
const MAX_CRASHES: usize = 3;

/// Sends that may still reach engines then.
const MAX_LATER_ARRIVALS: usize = 3;

/// Says whether a request is the deadly one.
pub(crate) fn is_deadly(arrival: &Arrival) -> bool {
    arrival.body == BODY.as_bytes()
}

/// Sends it to one of some gateways, on one of two routes.
pub(crate) fn send(rng: &mut fastrand::Rng, gateways: &[SocketAddr]) -> String {
    let gateway = gateways[rng.usize(..gateways.len())];
    let id = format!("{ID_PREFIX}{:x}", rng.u64(..));
    let model = "Model: s\r\nToken-Usage: 900,50\r\nPrompt-Prefix: 1:600,2:300\r\n";
    let (method, path, extra_headers) =
        if rng.bool() { ("GET", "/look/x", "") } else { ("POST", "/draft/x", model) };
    request(gateway, message(method, path, &id, extra_headers, BODY).as_bytes()).text()
}

/// After the last fault, and the time in which all must learn, hardly any of its sends may reach an engine.
pub(crate) fn check_refused(testbed: &mut Testbed, seed: u64) -> Option<String> {
    let crashes = testbed.fleet.arrivals().iter().filter(|a| a.was_run && is_deadly(a)).count();
    let mut rng = fastrand::Rng::with_seed(seed);
    let (started_at, mut arrivals_before) = (Instant::now(), None);
    while started_at.elapsed() < 2 * PROPAGATION_TIMEOUT {
        let gateways: Vec<_> = testbed.fleet.gateways.iter().map(|g| g.callers).collect();
        send(&mut rng, &gateways);
        testbed.fleet.replace_crashed();
        if started_at.elapsed() >= PROPAGATION_TIMEOUT && arrivals_before.is_none() {
            arrivals_before = Some(count_arrivals(testbed));
        }
    }
    // Each of the two routes makes it another request.
    let later_arrivals = count_arrivals(testbed) - arrivals_before.unwrap_or_default();
    let is_violated = crashes >= 2 * MAX_CRASHES && later_arrivals > 2 * MAX_LATER_ARRIVALS;
    is_violated.then(|| {
        format!(
            "a request under which {crashes} engines ended was sent {later_arrivals} times more"
        )
    })
}

fn count_arrivals(testbed: &Testbed) -> usize {
    testbed.fleet.arrivals().iter().filter(|a| is_deadly(a)).count()
}
