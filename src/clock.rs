//! Clocks and timers, in the units of `redwingfold-core`.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use redwingfold_core::Millis;

/// A monotonic clock, for durations and deadlines within this process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Self { origin: Instant::now() }
    }
}

impl Clock {
    /// Returns the time since the clock was created.
    pub fn now(&self) -> Millis {
        Millis(self.origin.elapsed().as_millis() as u64)
    }
}

/// Returns the time since the Unix epoch, for records that other hosts read.
pub fn unix_time() -> Millis {
    Millis(SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64))
}

/// Converts milliseconds to a [`Duration`].
pub fn to_duration(millis: Millis) -> Duration {
    Duration::from_millis(millis.0)
}

/// Runs a future with a timeout. Returns `None` if the timeout expires first.
pub async fn with_timeout<T>(limit: Millis, future: impl Future<Output = T>) -> Option<T> {
    let timed_out = async {
        smol::Timer::after(to_duration(limit)).await;
        None
    };
    smol::future::or(async { Some(future.await) }, timed_out).await
}

/// Returns a random duration between half of `millis` and all of it, so that daemons that start at
/// the same time do not repeat their work at the same time.
pub fn jittered(millis: Millis) -> Duration {
    let half = millis.0 / 2;
    Duration::from_millis(half + fastrand::u64(0..=half.max(1)))
}
