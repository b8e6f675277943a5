//! Clock, timeouts and sleep.

use std::time::Duration;

use redwingfold_core::Millis;
use rustix::time::{ClockId, clock_gettime};

/// A monotonic clock that includes the time for which the host was suspended.
///
/// `CLOCK_MONOTONIC` stops during a suspension. A request whose caller disconnected meanwhile would appear recent, and be
/// sent to a server in vain after the host resumes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock;

impl Clock {
    /// Returns the time since the host was booted.
    ///
    /// ```
    /// let clock = redwingfold_gateway::Clock;
    /// assert!(clock.now() <= clock.now());
    /// ```
    pub fn now(self) -> Millis {
        let at = clock_gettime(ClockId::Boottime);
        Millis(at.tv_sec as u64 * 1000 + at.tv_nsec as u64 / 1_000_000)
    }
}

/// Returns the processor time that this process has used.
pub(crate) fn processor_time() -> Millis {
    let used = clock_gettime(ClockId::ProcessCPUTime);
    Millis(used.tv_sec as u64 * 1000 + used.tv_nsec as u64 / 1_000_000)
}

/// Waits for a future, at most for `limit`; returns `None` on timeout.
pub(crate) async fn within<T>(limit: Millis, future: impl Future<Output = T>) -> Option<T> {
    let timeout = async {
        sleep(limit).await;
        None
    };
    smol::future::or(async { Some(future.await) }, timeout).await
}

pub(crate) async fn sleep(span: Millis) {
    smol::Timer::after(Duration::from_millis(span.0)).await;
}
