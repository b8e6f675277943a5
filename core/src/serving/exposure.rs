//! How many of its requests a gateway may send to a version on trial.

use crate::ids::{Millis, PerMille};

/// Time over which a gateway counts its requests for their rate: longer ones see a burst too late, and
/// in shorter ones a gateway of a large fleet has a request or two.
const RATE_WINDOW: Millis = Millis(500);

/// What was sent in a roll-out since its order, by one gateway or by several.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SendCounts {
    /// Requests that reached the service.
    pub all: u64,
    /// Those that reached the target.
    pub target: u64,
    /// Requests a second, of the last moments or since the order, whichever are more.
    pub per_s: f64,
}

impl SendCounts {
    /// Adds what others have sent.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            all: self.all + other.all,
            target: self.target + other.target,
            per_s: self.per_s + other.per_s,
        }
    }

    /// Says whether all requests may go to the target for a time, within an allowed share.
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

/// Returns what must be held back so that all requests may go to the target for a time: of each, its own
/// part of the allowed share comes with it.
fn reserve(per_s: f64, time: Millis, share: f64) -> f64 {
    per_s * time.0 as f64 / 1000.0 * (1.0 - share)
}

/// What one gateway has sent in a roll-out, and what it may still send to the target.
///
/// Load pattern: a bad version that shows no fault in its window, and a burst that begins when it has
/// all of the traffic already. With full traffic by the clock alone, 433 of 2,414 requests went to it
/// where 392 are allowed, and on a played fleet 772 of 4,560 (core/tests/exposure.rs).
///
/// Each gateway keeps the bound for itself: of the requests that it has sent since the order, at most the
/// allowed share went to the target. What the trial leaves is saved up, and spent near the end of the
/// window. The sum over a fleet keeps the bound then at any rate, without a message, and a gateway that
/// starts anew begins with nothing saved. The last moments are another matter: once the old version is
/// given up, everything goes to the target until the deadline. So that much is held back at the present
/// rate, and the old version is not given up before it is there.
///
/// What is left open is a rate that rises after the old version is given up: only the operator's slack and
/// the little that is left of the window bound that.
#[derive(Clone, Debug)]
pub struct ExposureBudget {
    share: f64,
    /// A part of a request, drawn once: shares of a few requests are rounded up by as many gateways as it
    /// takes for their sum to be right.
    rounding: f64,
    all: u64,
    target: u64,
    since: Option<Millis>,
    window_start: Millis,
    window_requests: u64,
    previous_window_requests: u64,
}

impl ExposureBudget {
    /// Makes the budget of a gateway that has sent nothing; `draw` is a random number.
    ///
    /// ```
    /// use redwingfold_core::{ExposureBudget, Millis, PerMille};
    /// let mut budget = ExposureBudget::new(PerMille(100), u64::MAX / 2);
    /// assert!(!budget.may_send(Millis(0), Millis(0)));
    /// (0..20).for_each(|n| budget.record_request(Millis(n * 100)));
    /// budget.reached_target();
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

    /// Says whether one more request may go to the target, while so much is held back that afterwards all
    /// may go there for a time.
    pub fn may_send(&self, reserved_time: Millis, now: Millis) -> bool {
        let reserved_time = reserve(self.per_s(now), reserved_time, self.share);
        let allowed = self.share * (self.all + 1) as f64 + self.rounding;
        (self.target + 1) as f64 + reserved_time <= allowed
    }

    /// Returns what this gateway has sent.
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

    /// Begins a new span if the present one is over.
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
