//! Rate at which requests start.

use crate::ids::Millis;

/// Duration over which starts are counted. Runs last up to a few seconds, and a rate over less varies with each of them.
const INTERVAL: Millis = Millis(1_000);

/// Counts the requests of a service that this gateway starts per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StartRate {
    began_at: Millis,
    count: u32,
    per_second: f64,
}

impl StartRate {
    /// Records a start.
    ///
    /// ```
    /// use redwingfold_core::{Millis, StartRate};
    /// let mut rate = StartRate::default();
    /// (0..=30).for_each(|i| rate.record(Millis(i * 100)));
    /// assert_eq!(rate.per_second(), 10.0);
    /// ```
    pub fn record(&mut self, now: Millis) {
        let took = now.since(self.began_at);
        if took >= INTERVAL {
            self.per_second = f64::from(self.count) * 1_000.0 / took.0 as f64;
            (self.began_at, self.count) = (now, 0);
        }
        self.count += 1;
    }

    /// Returns the starts per second in the last whole interval; 0 if unknown.
    pub fn per_second(&self) -> f64 {
        self.per_second
    }
}
