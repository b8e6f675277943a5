//! Limits processes to a share of a core from outside.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use super::Process;

/// Time for which a process runs before it is suspended.
const RUN_SLICE: Duration = Duration::from_millis(2);

/// Limits a process to a share of a core until `stop` is set: it is suspended and resumed every few milliseconds.
///
/// The time that a slice takes too long on a busy host is made up for in the next ones.
pub fn throttle(process: &Process, share: f64, stop: &AtomicBool) {
    let started_at = Instant::now();
    let mut running = Duration::ZERO;
    while !stop.load(Ordering::SeqCst) {
        let resumed_at = Instant::now();
        process.thaw();
        std::thread::sleep(RUN_SLICE);
        process.freeze();
        running += resumed_at.elapsed();
        let next = running.div_f64(share);
        std::thread::sleep(next.saturating_sub(started_at.elapsed()));
    }
    process.thaw();
}
