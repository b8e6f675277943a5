//! Polls the engines' load and reports it to the entries, within a byte budget.

use std::collections::BTreeMap;
use std::sync::PoisonError;

use redwingfold_core::Millis;
use smol::Timer;

use super::context::Side;
use crate::clock::jittered;
use crate::platform::fetch_engine_load;
use crate::settings::BackendKind;
use crate::wire::Load;

/// Estimated encoded size of one load in a heartbeat, without the version names.
const LOAD_FIXED_BYTES: u64 = 24;

/// A load is reported again when its busy slots changed by more than one slot and by more than the
/// total slots divided by this.
const REPORT_CHANGE_DIVISOR: u32 = 8;

/// Polls the engines for their load, forever.
pub(crate) async fn poll_engine_loads(side: &Side) {
    let mut last_states = BTreeMap::new();
    loop {
        for (name, backend) in &side.backends {
            if backend.settings.kind != BackendKind::Engine {
                continue;
            }
            let is_up = match fetch_engine_load(&side.daemon.http, backend.settings.address).await {
                Ok(load) => {
                    backend.record_engine_load(load);
                    true
                }
                Err(error) => {
                    backend.mark_down();
                    side.daemon.telemetry.count("engine.report_failed", 1);
                    if last_states.get(name) != Some(&false) {
                        let pairs: [(&str, &dyn std::fmt::Display); 2] =
                            [("backend", name), ("why", &error)];
                        side.daemon.telemetry.warn("engine_down", &pairs);
                    }
                    false
                }
            };
            if last_states.insert(name.clone(), is_up) != Some(is_up) {
                side.daemon.telemetry.info("engine_state", &[("backend", name), ("up", &is_up)]);
                broadcast_heartbeat(side);
            }
        }
        Timer::after(jittered(side.settings.queue.load_every_ms)).await;
    }
}

/// Sends a heartbeat with all loads to every connected entry, outside the heartbeat interval.
pub(crate) fn broadcast_heartbeat(side: &Side) {
    for link in side.links() {
        link.send(crate::wire::Control::Beat(crate::wire::Beat {
            config: side.daemon.store.mark(),
            leaving: side.is_leaving(),
            loads: side.backends.values().map(|backend| backend.load()).collect(),
            ask: false,
        }));
    }
}

/// The loads that were last sent on one link, by backend server.
#[derive(Debug, Default)]
pub(crate) struct SentLoads(BTreeMap<String, Load>);

impl SentLoads {
    /// Returns the loads that changed enough to be sent, within the byte budget, and records them
    /// as sent. A load over the budget still differs from the one last sent, so that a later
    /// heartbeat carries it.
    pub(crate) fn take_due(&mut self, side: &Side, now: Millis) -> Vec<Load> {
        let mut due = Vec::new();
        for (name, backend) in &side.backends {
            let load = backend.load();
            let is_due = self.0.get(name).is_none_or(|sent| differs_enough(sent, &load));
            let size = LOAD_FIXED_BYTES
                + load
                    .versions
                    .iter()
                    .map(|version| version.as_str().len() as u64 + 1)
                    .sum::<u64>();
            let fits = || {
                let mut budget = side.report_budget.lock().unwrap_or_else(PoisonError::into_inner);
                budget.try_take(size, now)
            };
            match is_due {
                true if fits() => {
                    self.0.insert(name.clone(), load.clone());
                    due.push(load);
                }
                true => side.daemon.telemetry.count("load.over_budget", 1),
                false => {}
            }
        }
        due
    }
}

fn differs_enough(sent: &Load, load: &Load) -> bool {
    let busy_change = sent.busy.abs_diff(load.busy);
    let idle_changed = (sent.busy == 0) != (load.busy == 0);
    sent.up != load.up
        || sent.versions != load.versions
        || sent.slots != load.slots
        || idle_changed
        || busy_change > (load.slots / REPORT_CHANGE_DIVISOR).max(1)
}
