//! Token buckets: retries as a share of requests, and bytes per second.

use crate::ids::Millis;

/// A token bucket for retries: each request adds a fraction of a token, each retry takes one.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    per_request: f64,
    max: f64,
    tokens: f64,
}

impl RetryBudget {
    /// Creates a full budget of `per_request` retries per request that holds at most `max` tokens.
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

    /// Adds the share of a token for a first attempt.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + self.per_request).min(self.max);
    }

    /// Takes a token for a retry; returns whether there was one.
    pub fn try_retry(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// A token bucket for bytes per second.
#[derive(Clone, Copy, Debug)]
pub struct ByteBudget {
    per_second: u64,
    /// Capacity of the bucket.
    burst_bytes: u64,
    millibytes: u64,
    last_refill: Millis,
}

impl ByteBudget {
    /// Creates a full budget of `per_second` bytes per second with a burst of one second's worth.
    pub fn new(per_second: u64, now: Millis) -> Self {
        Self::with_burst(per_second, per_second, now)
    }

    /// Creates a full budget of `per_second` bytes per second with a burst of `burst_bytes`.
    pub fn with_burst(per_second: u64, burst_bytes: u64, now: Millis) -> Self {
        Self { per_second, burst_bytes, millibytes: burst_bytes * 1000, last_refill: now }
    }

    /// Takes `bytes` from the budget if it holds as many; returns whether it did.
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

    /// Takes `bytes` from the budget if at least `reserve` bytes are left for more urgent traffic;
    /// returns whether it did.
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
