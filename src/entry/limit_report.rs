//! Reports the limits on callers that have acted, once a second, so that a crowd does not fill the log.

use std::sync::Arc;

use redwingfold_core::Millis;
use smol::Timer;

use super::context::Entry;
use crate::clock::to_duration;

/// Interval of the reports.
const REPORT_INTERVAL: Millis = Millis(1_000);

/// What the limits have done since the process started.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct LimitCounts {
    connections_closed: u64,
    connections_refused: u64,
    memory_evicted: u64,
    memory_refused: u64,
}

impl LimitCounts {
    fn of(entry: &Entry) -> Self {
        let (memory_refused, memory_evicted) = entry.body_memory.counts();
        Self {
            connections_closed: entry.drain.closed_for_new(),
            connections_refused: entry.drain.refused(),
            memory_evicted,
            memory_refused,
        }
    }
}

/// Counts and logs what the limits have done, as long as the entry runs.
pub(crate) async fn report_limits(entry: Arc<Entry>) {
    let mut reported = LimitCounts::default();
    loop {
        Timer::after(to_duration(REPORT_INTERVAL)).await;
        let counts = LimitCounts::of(&entry);
        if counts != reported {
            report(&entry, reported, counts);
            reported = counts;
        }
    }
}

fn report(entry: &Entry, before: LimitCounts, now: LimitCounts) {
    let closed = now.connections_closed - before.connections_closed;
    let refused = now.connections_refused - before.connections_refused;
    let evicted = now.memory_evicted - before.memory_evicted;
    let full = now.memory_refused - before.memory_refused;
    let telemetry = &entry.daemon.telemetry;
    telemetry.count("connection.closed_for_new", closed as i64);
    telemetry.count("connection.refused", refused as i64);
    telemetry.count("request.memory_evicted", evicted as i64);
    telemetry.count("request.memory_full", full as i64);
    telemetry.warn(
        "limits_acted",
        &[
            ("connections_closed", &closed),
            ("connections_refused", &refused),
            ("memory_evicted", &evicted),
            ("memory_full", &full),
        ],
    );
}
