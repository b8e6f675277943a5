//! Budget for requests that are sent a second time, over a sliding window.

use std::collections::VecDeque;

use crate::ids::Millis;

/// Why a request is sent a second time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResendReason {
    /// The first attempt failed.
    Failure,
    /// A larger model is likely to answer better.
    Quality,
}

/// Limits second attempts to a ratio of the requests in a sliding window.
///
/// Each gateway applies the ratio to its own requests, so the whole fleet keeps it without
/// messages. Without a limit, a failing service would get twice its load when it can take the
/// least.
#[derive(Clone, Debug)]
pub struct ResendBudget {
    window: Millis,
    ratio: f64,
    quality_ratio: f64,
    slack: f64,
    /// Counts of requests and second attempts, in slices of the window.
    slices: VecDeque<Slice>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    start: Millis,
    requests: u32,
    repeats: u32,
}

/// Slices in a window. One more is kept, so that at least the whole window is counted.
const SLICES: u64 = 20;

impl ResendBudget {
    /// Creates a budget of `ratio` second attempts for each request of the last `window`, plus
    /// `slack` in total.
    ///
    /// Second attempts for [`ResendReason::Quality`] are limited to `quality_ratio`, which leaves
    /// the rest of the budget for failures.
    ///
    /// ```
    /// use redwingfold_core::{Millis, ResendBudget, ResendReason};
    /// let mut budget = ResendBudget::new(Millis(10_000), 0.5, 0.25, 0.0);
    /// (0..4).for_each(|_| budget.record_request(Millis(0)));
    /// assert!(budget.try_take(ResendReason::Quality, Millis(1)));
    /// assert!(!budget.try_take(ResendReason::Quality, Millis(1)));
    /// assert!(budget.try_take(ResendReason::Failure, Millis(1)));
    /// assert!(!budget.try_take(ResendReason::Failure, Millis(1)));
    /// ```
    pub fn new(window: Millis, ratio: f64, quality_ratio: f64, slack: f64) -> Self {
        Self { window, ratio, quality_ratio, slack, slices: VecDeque::new() }
    }

    /// Counts a first attempt.
    pub fn record_request(&mut self, now: Millis) {
        self.slice(now).requests += 1;
    }

    /// Counts a second attempt and returns `true` if the budget allows it.
    pub fn try_take(&mut self, what: ResendReason, now: Millis) -> bool {
        self.slice(now);
        let (requests, repeats) = self.counts();
        let ratio = match what {
            ResendReason::Failure => self.ratio,
            ResendReason::Quality => self.quality_ratio,
        };
        if f64::from(repeats) + 1.0 > ratio * f64::from(requests) + self.slack {
            return false;
        }
        self.slice(now).repeats += 1;
        true
    }

    /// Returns the requests and second attempts in the window.
    pub fn counts(&self) -> (u32, u32) {
        self.slices.iter().fold((0, 0), |(requests, repeats), slice| {
            (requests + slice.requests, repeats + slice.repeats)
        })
    }

    fn slice(&mut self, now: Millis) -> &mut Slice {
        let len = Millis((self.window.0 / SLICES).max(1));
        while self.slices.front().is_some_and(|s| now.since(s.start) > self.window) {
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|s| now.since(s.start) >= len) {
            self.slices.push_back(Slice { start: now, ..Slice::default() });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}
