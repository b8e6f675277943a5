//! Utilization of the servers of a service.

use crate::ids::Millis;

/// Utilization of servers as the measure for whether a larger model can answer in time.
///
/// Failure: the latency of first sends as a share of the target was 0.30 in the worst tenth although a server ran 14 of
/// its 48 requests, and up to a quarter of the accepted answers had a confidence below 52. On the same day, 139 of the
/// 162 late first events of one kind had been sent to a larger model, whether or not it could start in time.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HeadroomPressure;

impl HeadroomPressure {
    /// Returns how full the servers are, from 0 (idle) to 1 (no free slot, or a prefill wait as long as the target).
    ///
    /// `free_slots` and `slots` are both those of the whole servers or both those of this gateway's part. Servers
    /// without slots and values that are not finite count as full.
    ///
    /// ```
    /// use redwingfold_core::{HeadroomPressure, Millis};
    /// let utilization = |free, wait| {
    ///     HeadroomPressure.utilization(free, 48.0, Millis(wait), Millis(1_000))
    /// };
    /// assert_eq!((utilization(48.0, 0), utilization(36.0, 0)), (0.0, 0.25));
    /// assert_eq!((utilization(36.0, 400), utilization(0.0, 0)), (0.4, 1.0));
    /// ```
    pub fn utilization(
        &self,
        free_slots: f64,
        slots: f64,
        prefill_wait: Millis,
        latency_target: Millis,
    ) -> f64 {
        let is_usable = slots.is_finite() && slots > 0.0 && free_slots.is_finite();
        let used = if is_usable { 1.0 - free_slots / slots } else { 1.0 };
        let waited = prefill_wait.0 as f64 / latency_target.0.max(1) as f64;
        used.max(waited).clamp(0.0, 1.0)
    }
}
