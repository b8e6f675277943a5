//! Budgets: retries as a share of requests, and bytes a second.

use crate::ids::Millis;

/// A bucket that each request fills by a share of a token, and each retry empties by one.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    per_request: f64,
    max: f64,
    tokens: f64,
}

impl RetryBudget {
    /// Makes a budget of `per_request` retries for each request, with at most `max` saved up.
    ///
    /// ```
    /// let mut budget = redwingfold_core::RetryBudget::new(0.5, 1.0);
    /// assert!(budget.try_retry());
    /// assert!(!budget.try_retry());
    /// budget.record_request();
    /// budget.record_request();
    /// assert!(budget.try_retry());
    /// ```
    pub fn new(per_request: f64, max: f64) -> Self {
        Self { per_request, max, tokens: max }
    }

    /// Counts a first attempt.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + self.per_request).min(self.max);
    }

    /// Takes a retry out of the budget, if there is one.
    pub fn try_retry(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// A bucket that fills with time, for bytes a second.
#[derive(Clone, Copy, Debug)]
pub struct ByteBudget {
    per_second: u64,
    /// What it holds when it is full.
    burst_bytes: u64,
    millibytes: u64,
    last_refill: Millis,
}

impl ByteBudget {
    /// Makes a full budget of `per_second` bytes a second, with one second's worth saved up.
    pub fn new(per_second: u64, now: Millis) -> Self {
        Self::with_burst(per_second, per_second, now)
    }

    /// Makes a full budget of `per_second` bytes a second that saves up `depth` bytes.
    pub fn with_burst(per_second: u64, burst_bytes: u64, now: Millis) -> Self {
        Self { per_second, burst_bytes, millibytes: burst_bytes * 1000, last_refill: now }
    }

    /// Takes `bytes` out of the budget, if they are there.
    ///
    /// ```
    /// use redwingfold_core::{ByteBudget, Millis};
    /// let mut budget = ByteBudget::new(1_000, Millis(0));
    /// assert!(budget.try_take(1_000, Millis(0)));
    /// assert!(!budget.try_take(100, Millis(50)));
    /// assert!(budget.try_take(100, Millis(100)));
    /// ```
    pub fn try_take(&mut self, bytes: u64, now: Millis) -> bool {
        self.try_take_with_reserve(bytes, 0, now)
    }

    /// Takes `bytes` out of the budget, if `rest` bytes are left then for what is more urgent.
    ///
    /// ```
    /// use redwingfold_core::{ByteBudget, Millis};
    /// let mut budget = ByteBudget::with_burst(1_000, 2_000, Millis(0));
    /// assert!(budget.try_take_with_reserve(1_500, 500, Millis(0)));
    /// assert!(!budget.try_take_with_reserve(1, 500, Millis(0)));
    /// assert!(budget.try_take(500, Millis(0)));
    /// ```
    pub fn try_take_with_reserve(&mut self, bytes: u64, reserve: u64, now: Millis) -> bool {
        let refilled = now.since(self.last_refill).0 * self.per_second;
        self.millibytes = (self.millibytes + refilled).min(self.burst_bytes * 1000);
        self.last_refill = now;
        if self.millibytes < (bytes + reserve) * 1000 {
            return false;
        }
        self.millibytes -= bytes * 1000;
        true
    }
}
