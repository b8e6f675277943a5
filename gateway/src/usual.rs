//! The usual time of a version in service, to which others are compared.

/// Weight of the newest time in the usual one.
const NEWEST: f64 = 0.03;

/// Times before the usual one says something.
const MIN_USUAL: u32 = 12;

/// The usual time of the version in service: the mean of its logarithm.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usual {
    log: f64,
    times: u32,
}

impl Usual {
    /// Returns how many times the usual one a time is, once that is known.
    pub(crate) fn ratio(self, time: f64) -> Option<f64> {
        (self.times >= MIN_USUAL).then(|| time / self.log.exp())
    }

    pub(crate) fn learn(&mut self, time: f64) {
        self.times = self.times.saturating_add(1);
        let weight = (1.0 / f64::from(self.times)).max(NEWEST);
        self.log += (time.max(MIN_TIME).ln() - self.log) * weight;
    }
}

/// Shortest time that is learned, in milliseconds or as a ratio.
const MIN_TIME: f64 = 0.05;
