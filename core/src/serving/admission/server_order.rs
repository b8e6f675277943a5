//! Rank of requests in the queue of a server.

use crate::ids::Millis;
use crate::serving::catalog::Priority;

/// Rank of a stream that a caller is already reading.
const RESUMED_RANK: u8 = 0;

/// Number of size classes. With three ranks of the operator, the ranks at a server are 1 to 9.
const SIZE_CLASSES: u8 = 3;

/// Lowest of the operator's ranks that servers tell apart; lower ones count as this one.
const LAST_OWN_RANK: u8 = 2;

/// How requests are ranked at a server, which starts with the lowest rank.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerOrder {
    /// Minimum number of unread tokens for a prompt to belong to each of the later size classes.
    pub class_min_tokens: [u64; 2],
    /// Tokens that a server reads per millisecond.
    pub tokens_per_ms: f64,
}

impl Default for ServerOrder {
    /// A common engine with its largest model reads 28 tokens per millisecond (the rate of the replays in
    /// `core/tests/urgency.rs`), and thus the prompts of the first two classes in up to 107 and 286 ms.
    fn default() -> Self {
        Self { class_min_tokens: [3_000, 8_000], tokens_per_ms: 28.0 }
    }
}

impl ServerOrder {
    /// Returns the rank at the server, 0 to 9: by the rank set by the operator, and within it by size. Only a stream
    /// that a caller is already reading has rank 0.
    ///
    /// Load pattern: prompts of several ranks at twice the capacity. If ranked by size first, a long prompt of
    /// the first rank waits for all short ones of the last rank and misses its target although it is the most urgent.
    ///
    /// A prompt whose latency target is closer than the time in which its size class is read moves up one class, but
    /// never before requests of a higher rank of the operator.
    ///
    /// ```
    /// use redwingfold_core::{Millis, Priority, ServerOrder};
    /// let order = ServerOrder::default();
    /// let rank = |own, tokens, left| order.rank(Priority(own), tokens, Millis(left), false).0;
    /// assert_eq!([rank(0, 300, 900), rank(0, 20_000, 900), rank(1, 300, 900)], [1, 3, 4]);
    /// assert_eq!([rank(0, 20_000, 600), rank(1, 300, 0), rank(200, 9_000, 900)], [2, 4, 9]);
    /// assert_eq!(order.rank(Priority(2), 20_000, Millis(0), true), Priority(0));
    /// ```
    pub fn rank(
        &self,
        own: Priority,
        unread_tokens: u64,
        time_to_target: Millis,
        is_resumed: bool,
    ) -> Priority {
        if is_resumed {
            return Priority(RESUMED_RANK);
        }
        let class = self.class_min_tokens.iter().filter(|min| unread_tokens >= **min).count();
        let is_urgent = (time_to_target.0 as f64) < self.read_time(class, unread_tokens);
        let class = class.saturating_sub(usize::from(is_urgent)) as u8;
        Priority(1 + SIZE_CLASSES * own.0.min(LAST_OWN_RANK) + class)
    }

    /// Returns the time in ms in which the largest prompt of a size class is read. The last class has no largest
    /// prompt, so that the prompt's own tokens count.
    fn read_time(&self, class: usize, unread_tokens: u64) -> f64 {
        let tokens = self.class_min_tokens.get(class).copied().unwrap_or(unread_tokens);
        tokens as f64 / self.tokens_per_ms
    }
}
