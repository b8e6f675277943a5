//! A deadly request, which crashes each engine that runs it, sent in addition to all other requests and faults.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use redwingfold_standins::platform::{Arrival, message, request};

use crate::testbed::Testbed;

/// Body of the deadly request.
const BODY: &str = "deadly";

/// Prefix of its attempt ids.
const ID_PREFIX: &str = "deadly";

/// Time from the start of a run to the crash of the engine.
pub(crate) const CRASH_DELAY: Duration = Duration::from_millis(20);

/// Time within which all gateways must have received the quarantine once the faults have ended.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(3);

/// Number of crashes after which the request must be quarantined.
const MAX_CRASHES: usize = 3;

/// Maximum number of its attempts that may still reach engines after that.
const MAX_LATER_ARRIVALS: usize = 3;

/// Returns whether a request is the deadly one.
pub(crate) fn is_deadly(arrival: &Arrival) -> bool {
    arrival.body == BODY.as_bytes()
}

/// Sends the deadly request to a random gateway on one of two routes, and returns the body of the response.
pub(crate) fn send(rng: &mut fastrand::Rng, gateways: &[SocketAddr]) -> String {
    let gateway = gateways[rng.usize(..gateways.len())];
    let id = format!("{ID_PREFIX}{:x}", rng.u64(..));
    let model = "Model: s\r\nToken-Usage: 900,50\r\nPrompt-Prefix: 1:600,2:300\r\n";
    let (method, path, extra_headers) =
        if rng.bool() { ("GET", "/look/x", "") } else { ("POST", "/draft/x", model) };
    request(gateway, message(method, path, &id, extra_headers, BODY).as_bytes()).text()
}

/// Checks that hardly any attempts of the deadly request reach an engine once the faults have ended and the quarantine
/// has had time to reach all gateways.
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
    // The limits are doubled because each of the two routes makes it a different request.
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
