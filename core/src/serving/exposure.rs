//! Exposure budget: how many of its requests a gateway may send to a version on trial.

use crate::ids::{Millis, PerMille};

/// Window over which the request rate is measured. A longer window reacts to a burst too late; in a
/// shorter one, a gateway of a large fleet has only one or two requests.
const RATE_WINDOW: Millis = Millis(500);

/// Requests sent since the order of a rollout, by one gateway or several.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SendCounts {
    /// Requests sent to the service.
    pub all: u64,
    /// Requests sent to the target.
    pub target: u64,
    /// Requests per second: the recent rate or the mean rate since the order, whichever is higher.
    pub per_s: f64,
}

impl SendCounts {
    /// Adds the counts of other gateways.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            all: self.all + other.all,
            target: self.target + other.target,
            per_s: self.per_s + other.per_s,
        }
    }

    /// Returns whether all requests may go to the target for `time` without exceeding `share`.
    ///
    /// ```
    /// use redwingfold_core::{Millis, PerMille, SendCounts};
    /// let sent = SendCounts { all: 1_000, target: 10, per_s: 50.0 };
    /// assert!(sent.allows_full_traffic(Millis(1_000), PerMille(100)));
    /// assert!(!sent.allows_full_traffic(Millis(3_000), PerMille(100)));
    /// ```
    pub fn allows_full_traffic(self, time: Millis, share: PerMille) -> bool {
        let share = f64::from(share.0) / 1000.0;
        self.target as f64 + reserve(self.per_s, time, share) <= share * self.all as f64
    }
}

/// Returns how much of the budget full traffic for `time` uses. Each request also adds its share to
/// the budget, hence `1 - share`.
fn reserve(per_s: f64, time: Millis, share: f64) -> f64 {
    per_s * time.0 as f64 / 1000.0 * (1.0 - share)
}

/// Limits the requests that one gateway sends to the target of a rollout.
///
/// It guards against a version that shows no fault in its window, with a burst that begins when the
/// version already has all of the traffic. With full traffic from a fixed time on, such a version
/// got more requests than the exposure allows.
///
/// Each gateway keeps the bound by itself: of the requests that it has sent since the order, at
/// most the allowed share went to the target. What the trial doesn't use accumulates and is spent
/// near the end of the window. So the fleet as a whole keeps the bound at any request rate, without
/// messages, and a gateway that restarts begins with an empty budget.
///
/// After the old version is retired, everything goes to the target until the deadline. So the
/// budget for that time is reserved at the present rate, and the old version is not retired before
/// it is available.
///
/// The bound doesn't cover a rate that rises after the old version is retired. That is limited only
/// by the operator's slack and the short rest of the window.
#[derive(Clone, Debug)]
pub struct ExposureBudget {
    share: f64,
    /// A fraction of a request, drawn once. Budgets of a few requests are rounded up at just as
    /// many gateways as makes the fleet's total right.
    rounding: f64,
    all: u64,
    target: u64,
    since: Option<Millis>,
    window_start: Millis,
    window_requests: u64,
    previous_window_requests: u64,
}

impl ExposureBudget {
    /// Creates the budget of a gateway that has sent nothing; `draw` is a random number.
    ///
    /// ```
    /// use redwingfold_core::{ExposureBudget, Millis, PerMille};
    /// let mut budget = ExposureBudget::new(PerMille(100), u64::MAX / 2);
    /// assert!(!budget.may_send(Millis(0), Millis(0)));
    /// (0..20).for_each(|n| budget.record_request(Millis(n * 100)));
    /// budget.record_target_request();
    /// let now = Millis(2_000);
    /// assert!(budget.may_send(Millis(0), now) && !budget.may_send(Millis(500), now));
    /// ```
    pub fn new(share: PerMille, draw: u64) -> Self {
        Self {
            share: f64::from(share.0) / 1000.0,
            rounding: draw as f64 / u64::MAX as f64,
            all: 0,
            target: 0,
            since: None,
            window_start: Millis(0),
            window_requests: 0,
            previous_window_requests: 0,
        }
    }

    /// Counts a request that is sent to the service for the first time.
    pub fn record_request(&mut self, now: Millis) {
        self.since.get_or_insert(now);
        self.rotate_window(now);
        self.all += 1;
        self.window_requests += 1;
    }

    /// Counts a request that is sent to the target for the first time.
    pub fn record_target_request(&mut self) {
        self.target += 1;
    }

    /// Returns whether one more request may go to the target, with the budget for full traffic of
    /// `reserved_time` left over.
    pub fn may_send(&self, reserved_time: Millis, now: Millis) -> bool {
        let reserved_requests = reserve(self.per_s(now), reserved_time, self.share);
        let allowed = self.share * (self.all + 1) as f64 + self.rounding;
        (self.target + 1) as f64 + reserved_requests <= allowed
    }

    /// Returns the send counts of this gateway.
    pub fn counts(&self, now: Millis) -> SendCounts {
        SendCounts { all: self.all, target: self.target, per_s: self.per_s(now) }
    }

    fn per_s(&self, now: Millis) -> f64 {
        let Some(since) = self.since else { return 0.0 };
        let per_s = |requests: u64, span: Millis| requests as f64 * 1000.0 / span.0 as f64;
        let last = match now.since(self.window_start) {
            span if span < RATE_WINDOW => {
                per_s(self.previous_window_requests + self.window_requests, span.after(RATE_WINDOW))
            }
            span => per_s(self.window_requests, span),
        };
        last.max(per_s(self.all, now.since(since).max(RATE_WINDOW)))
    }

    /// Starts a new rate window if the present one is over.
    fn rotate_window(&mut self, now: Millis) {
        let span = now.since(self.window_start);
        if span < RATE_WINDOW {
            return;
        }
        let is_next = span.0 < 2 * RATE_WINDOW.0;
        self.previous_window_requests = if is_next { self.window_requests } else { 0 };
        self.window_requests = 0;
        self.window_start = if is_next { self.window_start.after(RATE_WINDOW) } else { now };
    }
}
