//! In which order a server begins with the requests that wait there.

use super::catalog::Priority;

/// How requests are ranked at a server, which begins with the smallest rank.
#[derive(Clone, Copy, Debug)]
pub struct UrgencyPolicy {
    /// Tokens to be read, beyond the shared ones, from which a prompt belongs to the next class.
    pub class_min_tokens: [u64; 3],
}

impl Default for UrgencyPolicy {
    /// A common engine reads these in some 10, 40 and 100 ms with its smallest model, and in ten times
    /// that with its largest.
    fn default() -> Self {
        Self { class_min_tokens: [1_000, 3_000, 8_000] }
    }
}

/// Rank of what a caller is already reading.
const RESUMED_RANK: Priority = Priority(0);

/// Last rank that servers know.
const LAST_RANK: u8 = 9;

impl UrgencyPolicy {
    /// Ranks a request by what it has to have read, and within that by the operator's rank.
    ///
    /// Load pattern: prompts of a few hundred tokens among some of fifty thousand, which a server reads
    /// for up to two seconds. Ranked by the operator alone, in the order in which they came, a short one
    /// waits for all long ones before it, and no gateway of a large fleet knows enough of the others'
    /// prompts to place it elsewhere. With short ones first their wait hardly depends on the long ones,
    /// and those pay for it within aims of seconds: callers of
    /// hauszeit-tausch-grown got 0.885 of what was owed on days with faults, 0.871 before (five days,
    /// without processor time). A stream that a caller is already reading goes first of all.
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
