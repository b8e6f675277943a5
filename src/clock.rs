//! The present, as the core wants it.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use redwingfold_core::Millis;

/// A clock that never goes back, for spans and deadlines within this process.
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
    /// Returns the time since the clock was made.
    pub fn now(&self) -> Millis {
        Millis(self.origin.elapsed().as_millis() as u64)
    }
}

/// Returns the time since 1970, for records that other hosts read.
pub fn unix_time() -> Millis {
    Millis(SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64))
}

/// Converts a span for timers.
pub fn to_duration(millis: Millis) -> Duration {
    Duration::from_millis(millis.0)
}

/// Waits for a future, at most for a span; `None` if the span ended first.
pub async fn with_timeout<T>(limit: Millis, future: impl Future<Output = T>) -> Option<T> {
    let timed_out = async {
        smol::Timer::after(to_duration(limit)).await;
        None
    };
    smol::future::or(async { Some(future.await) }, timed_out).await
}

/// Returns a span between half of `millis` and all of it, so that daemons which began together do
/// not stay in step.
pub fn jittered(millis: Millis) -> Duration {
    let half = millis.0 / 2;
    Duration::from_millis(half + fastrand::u64(0..=half.max(1)))
}
