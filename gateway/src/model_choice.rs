//! Whether a model's answer is kept, or a larger one is asked.

use redwingfold_core::{Larger, RepeatUse};

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
        let may = self.sends < self.route.max_attempts;
        match self.larger(size, confidence).filter(|_| may) {
            Some(larger) if self.gw.try_repeat(&self.service, RepeatUse::Quality) => {
                self.log_larger(size, confidence, larger);
                self.size = Some(larger);
                false
            }
            _ => true,
        }
    }

    /// Chooses the model that should answer instead, if any.
    fn larger(&self, size: usize, confidence: u8) -> Option<usize> {
        let spent = self.gw.now().since(self.begun);
        let larger: Vec<_> = (size + 1..self.route.sizes.len())
            .map(|larger| Larger {
                size: larger,
                rise: self.gw.rises.borrow().expected(&self.service, size, larger),
                in_time: spent.after(self.reading_time(larger)) < self.route.aim,
            })
            .collect();
        self.gw.settings.sizes.larger(confidence, self.gw.pressure(), &larger)
    }
}
