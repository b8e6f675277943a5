//! Numbers of reports, by which receivers detect missed and repeated ones.

use std::collections::HashMap;
use std::hash::Hash;

use super::decay::remaining_after;
use crate::ids::Millis;

/// Time between two reports of a gateway.
const REPORT_INTERVAL: Millis = Millis(1_000);

/// Largest difference between the numbers of two reports at which both are from the same start of a gateway. The work
/// in a report that is 32 s old has decayed to 1 in 84.
const MAX_DIFFERENCE: u32 = 32;

/// Most senders that are kept, three times the largest fleet. Beyond them, all are forgotten, and the next report of
/// each counts once.
const MAX_SENDERS: usize = 1_024;

/// The last report number of each sender.
///
/// A report has the work since the one before. If reports are lost or left out for want of bytes, work that a gateway
/// sent itself counts in full and that of others only in part: customers whose callers are all at one gateway got 0.6 to
/// 0.8 of their share where 30 in 100 messages were lost. Missed reports are therefore assumed to have been as the next
/// one that arrives. Repeated reports, and those that a newer one has overtaken, have no effect.
///
/// ```
/// use redwingfold_core::ReportNumbers;
/// let mut numbers = ReportNumbers::default();
/// assert_eq!(numbers.scale("a", 5, &[(7, 1_000)]), [(7, 1_000)]);
/// // Number 6 was lost; its work would have decayed by a second.
/// assert_eq!(numbers.scale("a", 7, &[(7, 1_000)]), [(7, 1_871)]);
/// assert!(numbers.scale("a", 7, &[(7, 1_000)]).is_empty());
/// assert!(numbers.scale("a", 6, &[(7, 1_000)]).is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct ReportNumbers<K>(HashMap<K, u32>);

impl<K> Default for ReportNumbers<K> {
    fn default() -> Self {
        Self(HashMap::new())
    }
}

impl<K: Eq + Hash> ReportNumbers<K> {
    /// Returns a sender's report scaled up by the reports that were missed before it; empty if it has no effect.
    ///
    /// A gateway numbers its reports from a random number at its start, so a number far from the last one is from a new
    /// start.
    pub fn scale(&mut self, sender: K, number: u32, report: &[(u32, u32)]) -> Vec<(u32, u32)> {
        let last = self.0.get(&sender).copied();
        let advance = last.map_or(1, |last| number.wrapping_sub(last));
        let scale = match advance {
            1..=MAX_DIFFERENCE => decayed_reports(advance),
            _ if advance.wrapping_neg() <= MAX_DIFFERENCE => return Vec::new(),
            _ => 1.0,
        };
        if self.0.len() >= MAX_SENDERS && last.is_none() {
            self.0.clear();
        }
        self.0.insert(sender, number);
        // Conversion to u32 saturates.
        report
            .iter()
            .map(|(customer, work)| (*customer, (f64::from(*work) * scale).round() as u32))
            .collect()
    }
}

/// Returns the sum of `count` reports of which each is a report interval older than the next, relative to the newest.
fn decayed_reports(count: u32) -> f64 {
    let per_report = remaining_after(REPORT_INTERVAL);
    (0..count).map(|age| per_report.powi(age as i32)).sum()
}
