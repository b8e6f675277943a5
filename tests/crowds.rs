//! Crowds of callers that misbehave at an entry: it lives, stays within a bound on its memory, and answers ordinary
//! callers beside the crowd and after it.

mod common;

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use common::{builder, engine, objects};
use redwingfold_http::Method;
use redwingfold_standins::fleet::{Ask, Fleet, ResourceWatch, key_of};
use redwingfold_standins::platform::{
    Crowd, Script, eventually, unfinished_body, unfinished_chunks,
};
use serde_json::json;

/// Largest body in the settings, in bytes.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Bound on the memory of the process, in bytes.
const MAX_MEMORY_BYTES: usize = 64 * MAX_BODY_BYTES;

/// Callers that send large bodies: together one and a half times the bound.
const LARGE_BODIES: usize = 96;

/// Callers that send chunks of one byte, and the chunks of each.
const SMALL_CHUNK_BODIES: usize = 96;
const SMALL_CHUNKS: usize = 256;

/// Connections in the settings, and connections that send nothing.
const MAX_CONNECTIONS: usize = 120;
const SILENT_CONNECTIONS: usize = 200;

/// Pause between two chunks, so that most arrive by themselves.
const CHUNK_PAUSE: Duration = Duration::from_millis(8);

/// Crowds are played one at a time, as each takes much of the machine.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// A fleet with lowered limits, the resources of whose entry are watched.
struct Deployment {
    fleet: Fleet,
    watch: ResourceWatch,
    _turn: MutexGuard<'static, ()>,
}

impl Deployment {
    fn start() -> Self {
        let turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
        let limits = json!({"body_bytes": MAX_BODY_BYTES, "connections": MAX_CONNECTIONS, "head_timeout_ms": 60_000, "body_timeout_ms": 60_000});
        let fleet = builder()
            .engine("gpu-1", engine(&["slip-1"]))
            .service("svc-1", "coop")
            .settings("entry", "limits", limits)
            .start(&objects());
        let watch = ResourceWatch::start(fleet.process("entry-0").id());
        Self { fleet, watch, _turn: turn }
    }

    fn check_beside_and_after(&self, count: usize, script: impl Fn(usize) -> Script) {
        let crowd = Crowd::start(self.fleet.caller(0).addr, count, script);
        crowd.wait_settled();
        self.check_served("beside the crowd", "x");
        crowd.leave();
        self.check_served("after the crowd", "x");
        self.check_served("after the crowd", &"x".repeat(MAX_BODY_BYTES));
        let (peak, largest) = (self.watch.peak_memory(), self.watch.largest());
        assert!(peak < MAX_MEMORY_BYTES, "peak memory {} kB, {largest:?}", peak / 1024);
    }

    /// Sends ordinary requests, which may be refused for a while, until one is answered.
    fn check_served(&self, when: &str, body: &str) {
        let ask = Ask::new(Method::Post, "/coop/x", "ani").body(body);
        let is_served = eventually(|| {
            let answered = self.fleet.caller(0).send_blocking(&ask);
            assert!([0, 200, 429, 503].contains(&answered.status), "{when}: {answered:?}");
            answered.status == 200
        });
        assert!(is_served, "an ordinary request is not answered {when}");
    }
}

fn head(key: &str) -> String {
    format!("POST /coop/x HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {key}\r\n")
}

/// Guards against many bodies of legal size at once that take more memory than the process may have.
#[test]
fn large_bodies_at_an_entry() {
    Deployment::start().check_beside_and_after(LARGE_BODIES, |_| {
        let pieces = unfinished_body(&head(&key_of("ani")), MAX_BODY_BYTES, MAX_BODY_BYTES);
        Script { pieces, ..Script::default() }
    });
}

/// Guards against bodies without an announced length for which no memory is reserved.
#[test]
fn large_chunks_at_an_entry() {
    Deployment::start().check_beside_and_after(LARGE_BODIES, |_| {
        let pieces = unfinished_chunks(&head(&key_of("ani")), 15, 64 * 1024);
        Script { pieces, ..Script::default() }
    });
}

/// Guards against small chunks that take far more memory than their bytes.
#[test]
fn small_chunks_at_an_entry() {
    Deployment::start().check_beside_and_after(SMALL_CHUNK_BODIES, |_| {
        let pieces = unfinished_chunks(&head(&key_of("ani")), SMALL_CHUNKS, 1);
        Script { pieces, pause: CHUNK_PAUSE, ..Script::default() }
    });
}

/// Guards against connections that send nothing, or stop within a head, and take all places.
#[test]
fn silent_connections_at_an_entry() {
    let deployment = Deployment::start();
    deployment.check_beside_and_after(SILENT_CONNECTIONS, |_| Script::default());
    deployment.check_beside_and_after(SILENT_CONNECTIONS, |_| Script::whole(b"GET /".to_vec()));
}

/// Guards against limits of an entry that act without a sign of it.
#[test]
fn limits_of_an_entry_are_logged() {
    let deployment = Deployment::start();
    let crowd = Crowd::start(deployment.fleet.caller(0).addr, LARGE_BODIES, |_| {
        let pieces = unfinished_body(&head(&key_of("ani")), MAX_BODY_BYTES, MAX_BODY_BYTES);
        Script { pieces, ..Script::default() }
    });
    crowd.wait_settled();
    // The bodies that have stalled give way to it.
    deployment.check_served("beside the crowd", &"x".repeat(MAX_BODY_BYTES));
    crowd.leave();
    deployment.check_beside_and_after(SILENT_CONNECTIONS, |_| Script::default());
    let process = deployment.fleet.process("entry-0");
    let lines = || process.lines().into_iter().filter(|line| line.contains("event=limits_acted"));
    for limit in ["connections_closed=", "memory_full=", "memory_evicted="] {
        let none = format!("{limit}0");
        let is_logged = eventually(|| lines().any(|line| !line.contains(&none)));
        assert!(is_logged, "{limit}: {:?}", lines().collect::<Vec<_>>());
    }
}
