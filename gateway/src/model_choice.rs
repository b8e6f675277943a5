//! Whether a model's answer is kept, or a larger one is asked.

use redwingfold_core::{Larger, Millis, ResendReason};

use crate::request::Flight;

impl Flight {
    /// Says whether an answer is kept with a model's confidence in it; if not, a larger model is next.
    pub(crate) fn is_sure_enough(&mut self, size: usize, confidence: u8) -> bool {
        match self.opinion.replace((size, confidence)) {
            Some(smaller) if smaller.0 < size => {
                self.gw.rises.borrow_mut().learn(&self.service, smaller, (size, confidence));
            }
            _ => {}
        }
        let may = self.sends < self.route.max_attempts && !self.is_quarantined();
        match self.larger(size, confidence).filter(|_| may) {
            Some(larger) if self.gw.try_repeat(&self.service, ResendReason::Quality) => {
                self.log_larger(size, confidence, larger);
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
    fn ends_in_time(&self, size: usize) -> bool {
        let usage = self.facts.usage;
        let whole = self.gw.stream_times.borrow().estimate(&self.service, usage.max_output);
        // Who comes back has some of the answer: a half, where nothing tells.
        let rest = if self.facts.resume_after.is_some() { Millis(whole.0 / 2) } else { whole };
        self.reading_time(size).after(rest) <= self.left()
    }

    /// Chooses the model that should answer instead, if any.
    fn larger(&self, size: usize, confidence: u8) -> Option<usize> {
        let spent = self.gw.now().since(self.begun);
        let larger: Vec<_> = (size + 1..self.route.sizes.len())
            .filter(|larger| self.ends_in_time(*larger))
            .map(|larger| Larger {
                size: larger,
                rise: self.gw.rises.borrow().expected(&self.service, size, larger),
                in_time: spent.after(self.reading_time(larger)) < self.route.latency_target,
            })
            .collect();
        self.gw.settings.sizes.larger(confidence, self.gw.pressure(), &larger)
    }
}
