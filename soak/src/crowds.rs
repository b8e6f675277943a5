//! Crowds of callers that misbehave, one after the other, beside the faults.

use std::net::SocketAddr;
use std::time::Duration;

use redwingfold_standins::fleet::Resources;
use redwingfold_standins::platform::{Crowd, Script, message, unfinished_body, unfinished_chunks};
use serde_json::{Value, json};

use crate::testbed::Testbed;

/// Memory limit in the settings of the gateways, in MB.
const MEMORY_MB: usize = 64;

/// Largest body in the configuration, in bytes.
const MAX_BODY_BYTES: usize = 100_000;

/// Size of a piece of a body, and length of a chunk.
const PIECE_BYTES: usize = 1_000;

/// Callers of a crowd.
const CALLERS: std::ops::Range<usize> = 40..300;

/// Pause between two pieces.
const PIECE_PAUSE: Duration = Duration::from_millis(2);

/// Time that a crowd stays after it has sent all, in milliseconds.
const STAY_MS: std::ops::Range<u64> = 50..800;

/// Returns the limits in the settings of the gateways.
pub(crate) fn limits() -> Value {
    json!({"memory_mb": MEMORY_MB, "max_fds": 1_400})
}

/// Plays one crowd of a random kind against one of the addresses.
pub(crate) fn play(rng: &mut fastrand::Rng, addresses: &[SocketAddr]) {
    let addr = addresses[rng.usize(..addresses.len())];
    let (kind, number) = (rng.usize(..KINDS.len()), rng.u32(..));
    let crowd =
        Crowd::start(addr, rng.usize(CALLERS), |n| KINDS[kind](&format!("crowd-{number}-{n}")));
    std::thread::sleep(Duration::from_millis(rng.u64(STAY_MS)));
    crowd.leave();
}

/// What the callers of a crowd send, by the id of the request.
const KINDS: [fn(&str) -> Script; 8] = [
    |id| pieces(unfinished_body(&head(id, ""), MAX_BODY_BYTES, MAX_BODY_BYTES)),
    |id| pieces(unfinished_body(&head(id, ""), MAX_BODY_BYTES, PIECE_BYTES)),
    |id| pieces(unfinished_chunks(&head(id, ""), 20, PIECE_BYTES)),
    |id| pieces(unfinished_chunks(&head(id, ""), 100, 1)),
    |id| excessive(&head(id, "")),
    |id| pieces(unfinished_body(&head(id, "Credential: none\r\n"), MAX_BODY_BYTES, PIECE_BYTES)),
    |id| Script::whole(head(id, "X-Fill: ").into_bytes()),
    |_| Script::default(),
];

fn pieces(pieces: Vec<Vec<u8>>) -> Script {
    Script { pieces, pause: PIECE_PAUSE, ..Script::default() }
}

/// Returns a script that announces a body far over the limit, and sends ten times the limit.
fn excessive(head: &str) -> Script {
    let head = format!("{head}Content-Length: {}\r\n\r\n", 1_000 * MAX_BODY_BYTES);
    let pieces = vec![head.into_bytes(), vec![b'x'; MAX_BODY_BYTES]];
    Script { pieces, repeats: 10, pause: PIECE_PAUSE, ..Script::default() }
}

/// Returns a head without its framing.
fn head(id: &str, headers: &str) -> String {
    let text = message("POST", "/look/crowd", id, headers, "");
    text.replace("Content-Length: 0\r\n\r\n", "")
}

/// Returns the gateways whose memory exceeds the limit of their settings.
pub(crate) fn check_memory(testbed: &Testbed) -> Vec<String> {
    let gateways = testbed.fleet.gateways.iter().enumerate();
    let resources = gateways.map(|(n, gateway)| (n, Resources::of(gateway.process.id())));
    let exceeding = resources.filter(|(_, taken)| taken.memory() > MEMORY_MB * 1024 * 1024);
    exceeding.map(|(n, taken)| format!("gateway {n}: {taken:?}, {MEMORY_MB} MB allowed")).collect()
}
