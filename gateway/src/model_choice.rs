//! Whether a model's answer is kept, or a larger one is asked.

use redwingfold_core::{Larger, Millis, RepeatUse};

use crate::request::InFlightRequest;

impl InFlightRequest {
    /// Says whether an answer is kept with a model's confidence in it; if not, a larger model is next.
    pub(crate) fn accept_confidence(&mut self, size: usize, confidence: u8) -> bool {
        match self.last_confidence.replace((size, confidence)) {
            Some(smaller) if smaller.0 < size => {
                self.gw.rises.borrow_mut().learn(&self.service, smaller, (size, confidence));
            }
            _ => {}
        }
        let may = self.sends < self.route.max_attempts && !self.is_quarantined();
        match self.choose_larger(size, confidence).filter(|_| may) {
            Some(larger) if self.gw.try_repeat(&self.service, RepeatUse::Quality) => {
                self.log_larger_model(size, confidence, larger);
                self.size = Some(larger);
                false
            }
            _ => true,
        }
    }

    /// Says whether a model's answer is expected to end while its caller still waits.
    ///
    /// Load pattern: all gateways were lost, and callers come back in one wave when their patience with the
    /// silent stream has ended, some with a second left. What a larger model begins for these is cut, and it
    /// keeps the servers from those who can still be served in time.
    fn is_expected_in_time(&self, size: usize) -> bool {
        let usage = self.metadata.usage;
        let whole = self.gw.stream_times.borrow().estimate(&self.service, usage.max_output);
        // Who comes back has some of the answer: a half, where nothing tells.
        let rest = if self.metadata.resume_after.is_some() { Millis(whole.0 / 2) } else { whole };
        self.prefill_time(size).after(rest) <= self.time_left()
    }

    /// Chooses the model that should answer instead, if any.
    fn choose_larger(&self, size: usize, confidence: u8) -> Option<usize> {
        let spent = self.gw.now().since(self.received_at);
        let larger: Vec<_> = (size + 1..self.route.sizes.len())
            .filter(|larger| self.is_expected_in_time(*larger))
            .map(|larger| Larger {
                size: larger,
                rise: self.gw.rises.borrow().expected(&self.service, size, larger),
                in_time: spent.after(self.prefill_time(larger)) < self.route.aim,
            })
            .collect();
        self.gw.settings.sizes.larger(confidence, self.gw.pressure(), &larger)
    }
}
