//! Decision whether to forward a model's answer or to retry with a larger model.

use redwingfold_core::{HeadroomPressure, LargerModel, Millis, Place, ResendReason, SizePolicy};

use crate::request::InFlightRequest;

impl InFlightRequest {
    /// Returns whether an answer is accepted with the model's confidence in it. If not, takes a retry from the budget and
    /// selects a larger model for it. The answer of a request that may not run again is always accepted.
    pub(crate) fn accept_confidence(&mut self, size: usize, confidence: u8) -> bool {
        match self.last_confidence.replace((size, confidence)) {
            Some(smaller) if smaller.0 < size => {
                self.gw.confidence_gains.borrow_mut().record(
                    &self.service,
                    smaller,
                    (size, confidence),
                );
            }
            _ => {}
        }
        match self.choose_larger(size, confidence) {
            Some(larger) if self.try_resend(ResendReason::Quality) => {
                self.log_larger_model(size, confidence, larger);
                self.size = Some(larger);
                false
            }
            _ => true,
        }
    }

    /// Returns whether a model's answer is expected to complete before the deadline.
    ///
    /// After the loss of all gateways, callers resume their broken streams in one wave, some with only a second left. A
    /// larger model could not complete these in time, and would occupy servers that can still serve others in time.
    fn is_expected_in_time(&self, size: usize) -> bool {
        let usage = self.metadata.usage;
        let whole = self.gw.stream_times.borrow().estimate(&self.service, usage.max_output);
        // A caller that resumes already has an unknown part of the answer; assumes half.
        let rest = if self.metadata.resume_after.is_some() { Millis(whole.0 / 2) } else { whole };
        self.prefill_time(size).after(rest) <= self.time_left()
    }

    /// Selects a larger model for a retry, if one is worth it.
    fn choose_larger(&self, size: usize, confidence: u8) -> Option<usize> {
        let spent = self.gw.now().since(self.received_at);
        let load = self.gw.has_admission_control().then(|| self.server_load());
        let wait = load.as_ref().map_or(Millis(0), |load| load.prefill_wait);
        let larger: Vec<_> = (size + 1..self.route.sizes.len())
            .filter(|larger| self.is_expected_in_time(*larger))
            .map(|larger| LargerModel {
                size: larger,
                gain: self.gw.confidence_gains.borrow().expected(&self.service, size, larger),
                in_time: spent.after(wait).after(self.prefill_time(larger))
                    < self.route.latency_target,
            })
            .collect();
        match load {
            Some(load) => {
                SizePolicy::by_utilization().larger(confidence, load.utilization, &larger)
            }
            None => self.gw.settings.sizes.larger(confidence, self.gw.pressure(), &larger),
        }
    }

    /// Returns the load of the servers that may run this request.
    fn server_load(&self) -> ServerLoad {
        let now = self.gw.now();
        let places: Vec<Place> = self.gw.with_registry(|registry| {
            let servers = self.eligible_servers(registry);
            servers.into_iter().map(|server| self.gw.loads.place(server, now)).collect()
        });
        let slots: f64 = places.iter().map(|place| f64::from(place.slots)).sum();
        let used = |place: &Place| (place.running + place.waiting).min(f64::from(place.slots));
        let free = slots - places.iter().map(used).sum::<f64>();
        let prefill_wait = places.iter().map(|place| place.prefill_wait).min().unwrap_or_default();
        let target = self.route.latency_target;
        let utilization = HeadroomPressure.utilization(free, slots, prefill_wait, target);
        ServerLoad { utilization, prefill_wait }
    }
}

/// Load of the servers that may run a request.
struct ServerLoad {
    /// From 0 (idle) to 1 (full).
    utilization: f64,
    /// Shortest time until one of them begins to prefill a new prompt.
    prefill_wait: Millis,
}
