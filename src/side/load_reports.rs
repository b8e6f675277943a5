//! What entries are told of the backend servers' load, within a budget of bytes.

use std::collections::BTreeMap;
use std::sync::PoisonError;

use redwingfold_core::Millis;
use smol::Timer;

use super::context::Side;
use crate::clock::jittered;
use crate::platform::fetch_engine_load;
use crate::settings::BackendKind;
use crate::wire::Load;

/// Bytes of one load in a heartbeat, without names.
const LOAD_BYTES: u64 = 24;

/// A load is told again when its busy slots moved by more than a slot and this part of all.
const TELL_PART: u32 = 8;

/// Asks the engines for their load, for ever.
pub(crate) async fn follow_engines(side: &Side) {
    let mut was_up = BTreeMap::new();
    loop {
        for (name, backend) in &side.backends {
            if backend.settings.kind != BackendKind::Engine {
                continue;
            }
            let up = match fetch_engine_load(&side.daemon.http, backend.settings.address).await {
                Ok(load) => {
                    backend.report(load);
                    true
                }
                Err(why) => {
                    backend.down();
                    side.daemon.telemetry.count("engine.report_failed", 1);
                    if was_up.get(name) != Some(&false) {
                        let pairs: [(&str, &dyn std::fmt::Display); 2] =
                            [("backend", name), ("why", &why)];
                        side.daemon.telemetry.warn("engine_down", &pairs);
                    }
                    false
                }
            };
            if was_up.insert(name.clone(), up) != Some(up) {
                side.daemon.telemetry.info("engine_state", &[("backend", name), ("up", &up)]);
                tell(side);
            }
        }
        Timer::after(jittered(side.settings.queue.load_every_ms)).await;
    }
}

/// Tells all entries at once, without waiting for their next heartbeat.
pub(crate) fn tell(side: &Side) {
    for link in side.links() {
        link.send(crate::wire::Control::Beat(crate::wire::Beat {
            config: side.daemon.store.mark(),
            leaving: side.is_leaving(),
            loads: side.backends.values().map(|b| b.load()).collect(),
            ask: false,
        }));
    }
}

/// Loads as they were last told on one link.
#[derive(Debug, Default)]
pub(crate) struct Told(BTreeMap<String, Load>);

impl Told {
    /// Returns the loads that changed enough to be told, as far as the budget goes; what does not
    /// fit is told with a later heartbeat, since it still differs from what was told.
    pub(crate) fn changes(&mut self, side: &Side, now: Millis) -> Vec<Load> {
        let mut changed = Vec::new();
        for (name, backend) in &side.backends {
            let load = backend.load();
            let is_news = self.0.get(name).is_none_or(|told| differs(told, &load));
            let size =
                LOAD_BYTES + load.versions.iter().map(|v| v.as_str().len() as u64 + 1).sum::<u64>();
            let fits = || {
                let mut budget = side.report_budget.lock().unwrap_or_else(PoisonError::into_inner);
                budget.try_take(size, now)
            };
            match is_news {
                true if fits() => {
                    self.0.insert(name.clone(), load.clone());
                    changed.push(load);
                }
                true => side.daemon.telemetry.count("load.over_budget", 1),
                false => {}
            }
        }
        changed
    }
}

fn differs(told: &Load, load: &Load) -> bool {
    let moved = told.busy.abs_diff(load.busy);
    let is_idle_now = (told.busy == 0) != (load.busy == 0);
    told.up != load.up
        || told.versions != load.versions
        || told.slots != load.slots
        || is_idle_now
        || moved > (load.slots / TELL_PART).max(1)
}
