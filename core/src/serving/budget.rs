//! How many requests may be sent a second time, in a window that slides.

use std::collections::VecDeque;

use crate::ids::Millis;

/// What a second send is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResendReason {
    /// The first one failed.
    Failure,
    /// A larger model should do better.
    Quality,
}

/// Bounds second sends by the requests of a sliding window.
///
/// Each gateway keeps to its own share of its own requests, so the fleet's sum is bounded by the
/// fleet's requests without any talk. Without a bound, a service that fails gets twice its load at
/// the moment at which it can bear least.
#[derive(Clone, Debug)]
pub struct ResendBudget {
    window: Millis,
    ratio: f64,
    quality_ratio: f64,
    slack: f64,
    /// Requests and repeats, counted by slices of the window.
    slices: VecDeque<Slice>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    begun: Millis,
    requests: u32,
    repeats: u32,
}

/// Slices in a window; one more is kept, so that what is counted is never less than the window.
const SLICES: u64 = 20;

impl ResendBudget {
    /// Makes a budget of `ratio` repeats for each request of the last `window`, and `slack` more.
    ///
    /// Repeats for [`ResendReason::Quality`] stop at `quality_ratio`, which leaves the rest for
    /// failures.
    ///
    /// ```
    /// use redwingfold_core::{Millis, ResendBudget, ResendReason};
    /// let mut budget = ResendBudget::new(Millis(10_000), 0.5, 0.25, 0.0);
    /// (0..4).for_each(|_| budget.request(Millis(0)));
    /// assert!(budget.try_take(ResendReason::Quality, Millis(1)));
    /// assert!(!budget.try_take(ResendReason::Quality, Millis(1)));
    /// assert!(budget.try_take(ResendReason::Failure, Millis(1)));
    /// assert!(!budget.try_take(ResendReason::Failure, Millis(1)));
    /// ```
    pub fn new(window: Millis, ratio: f64, quality_ratio: f64, slack: f64) -> Self {
        Self { window, ratio, quality_ratio, slack, slices: VecDeque::new() }
    }

    /// Counts a request.
    pub fn request(&mut self, now: Millis) {
        self.slice(now).requests += 1;
    }

    /// Counts a second send if there is room for it.
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

    /// Returns requests and repeats of the window.
    pub fn counts(&self) -> (u32, u32) {
        self.slices.iter().fold((0, 0), |(requests, repeats), slice| {
            (requests + slice.requests, repeats + slice.repeats)
        })
    }

    fn slice(&mut self, now: Millis) -> &mut Slice {
        let len = Millis((self.window.0 / SLICES).max(1));
        while self.slices.front().is_some_and(|s| now.since(s.begun) > self.window) {
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|s| now.since(s.begun) >= len) {
            self.slices.push_back(Slice { begun: now, ..Slice::default() });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}
