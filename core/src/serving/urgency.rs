//! Priority of requests in the queue of a server.

use super::catalog::Priority;

/// How requests are ranked at a server, which starts with the lowest rank.
#[derive(Clone, Copy, Debug)]
pub struct UrgencyPolicy {
    /// Minimum number of tokens to read, beyond the shared ones, for a prompt to belong to each of the later classes.
    pub class_min_tokens: [u64; 3],
}

impl Default for UrgencyPolicy {
    /// A common engine reads these in some 10, 40 and 100 ms with its smallest model, and in ten times that with its
    /// largest.
    fn default() -> Self {
        Self { class_min_tokens: [1_000, 3_000, 8_000] }
    }
}

/// Rank of a resumed stream that a caller is already reading.
const RESUMED_RANK: Priority = Priority(0);

/// Highest rank that servers accept.
const LAST_RANK: u8 = 9;

impl UrgencyPolicy {
    /// Returns the rank of a request: by the tokens to read, and within a class by the rank set by the operator.
    ///
    /// Load pattern: prompts of a few hundred tokens among some of fifty thousand, which a server reads for up to two
    /// seconds. If ranked by the operator alone and in the order of arrival, a short prompt waits for all long ones
    /// before it, and no gateway of a large fleet has enough data on the prompts of the others to place it elsewhere.
    /// With short prompts first, their wait hardly depends on the long ones. The long ones are delayed, but stay within
    /// targets of seconds. A stream that a caller is already reading goes first.
    ///
    /// ```
    /// use redwingfold_core::{Priority, UrgencyPolicy};
    /// let policy = UrgencyPolicy::default();
    /// let rank = |tokens, own| policy.rank(tokens, Priority(own), false);
    /// assert!(rank(300, 2) < rank(20_000, 0) && rank(300, 0) < rank(300, 2));
    /// assert_eq!(policy.rank(20_000, Priority(2), true), Priority(0));
    /// ```
    pub fn rank(&self, tokens: u64, own: Priority, is_resumed: bool) -> Priority {
        if is_resumed {
            return RESUMED_RANK;
        }
        let class = self.class_min_tokens.iter().filter(|from| tokens >= **from).count() as u8;
        Priority((1 + 2 * class + own.0.min(1)).min(LAST_RANK))
    }
}
