//! How long a connection to a server is waited for.

use crate::ids::Millis;

/// Wait as a multiple of the longest time that connections took of late.
const MARGIN: f64 = 4.0;

/// Shortest wait: a busy host may not get a turn for some tens of milliseconds.
const LEAST: Millis = Millis(60);

/// What one more connection takes from the longest time that is remembered: after some fifty it is a tenth.
const FADES: f64 = 0.95;

/// What one that did not come adds. While three in ten fail, the wait falls all the same; if all do, it
/// reaches its bound from the shortest within fifteen.
const GROWS: f64 = 1.1;

/// Wait for a connection, fitted to those before it.
///
/// Load pattern: servers go dark, and each request that meets one waits until its connection is given up. On links
/// of a millisecond or two connections take a few; a bound that fits every network is forty times as long, and
/// an answer that is due within 0.12 s is late after one such wait.
#[derive(Clone, Copy, Debug)]
pub struct ConnectTimes {
    longest: f64,
    most: Millis,
}

impl ConnectTimes {
    /// Waits for `most` at first, and at last.
    ///
    /// ```
    /// use redwingfold_core::{ConnectTimes, Millis};
    /// let mut times = ConnectTimes::new(Millis(250));
    /// assert_eq!(times.limit(), Millis(250));
    /// (0..100).for_each(|_| times.took(Millis(3)));
    /// assert_eq!(times.limit(), Millis(60));
    /// (0..20).for_each(|_| times.did_not_come());
    /// assert_eq!(times.limit(), Millis(250));
    /// ```
    pub fn new(most: Millis) -> Self {
        Self { longest: most.0 as f64 / MARGIN, most }
    }

    /// Returns how long the next connection is waited for.
    pub fn limit(&self) -> Millis {
        Millis((self.longest * MARGIN) as u64).clamp(LEAST.min(self.most), self.most)
    }

    /// Notes that a connection took so long.
    pub fn took(&mut self, time: Millis) {
        self.longest = (time.0 as f64).max(self.longest * FADES);
    }

    /// Notes that one did not come in time.
    pub fn did_not_come(&mut self) {
        let bounds = (LEAST.0 as f64 / MARGIN, self.most.0 as f64 / MARGIN);
        self.longest = (self.longest * GROWS).max(bounds.0).min(bounds.1);
    }
}
