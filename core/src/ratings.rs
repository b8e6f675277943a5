//! Ratings of versions, aggregated over all entries, and the rule that advances a rollout on them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{HostId, Incarnation, Millis, Offset, PerMille, VersionName};
use crate::rollout::Tally;

/// A record of the ratings stream: the ratings of one version that one incarnation of an entry has
/// counted so far.
///
/// It holds a running total and not an increment, so appending it twice, for example after a lost
/// response of the log service, has no effect.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TallyRecord {
    /// Host of the entry.
    pub host: HostId,
    /// Incarnation of the entry.
    pub incarnation: Incarnation,
    /// The version.
    pub version: VersionName,
    /// Offset at which the version was last put in service; earlier ratings do not count.
    pub since: Offset,
    /// Time of the record by the entry's clock, in milliseconds since the Unix epoch.
    pub at: Millis,
    /// All ratings that the entry has counted.
    pub total: Tally,
    /// The entry's ratings in its current window.
    pub recent: Tally,
}

/// Number of ratings in one half of a window.
const HALF_WINDOW_RATINGS: u64 = 200;

/// Age from which an entry's recent ratings are ignored: the entry has stopped, or gets no ratings.
const MAX_RECENT_AGE: Millis = Millis(600_000);

/// Age from which an entry's total is removed.
const MAX_TOTAL_AGE: Millis = Millis(24 * 3_600_000);

/// Counts the ratings of one version at one entry.
///
/// The test that stops a version uses only a window of the last few hundred ratings. On the total,
/// a version with a million good answers that turns bad could give tens of thousands of bad ones
/// before the test stopped it.
///
/// ```
/// let mut counter = redwingfold_core::RatingCounter::default();
/// (0..1_000_000).for_each(|_| counter.add(true));
/// assert!(counter.recent().rated() <= 400);
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RatingCounter {
    total: Tally,
    current: Tally,
    previous: Tally,
}

impl RatingCounter {
    /// Adds a rating.
    pub fn add(&mut self, good: bool) {
        let one = Tally { good: u64::from(good), bad: u64::from(!good) };
        self.total = self.total.plus(one);
        self.current = self.current.plus(one);
        if self.current.rated() == HALF_WINDOW_RATINGS {
            self.previous = std::mem::take(&mut self.current);
        }
    }

    /// Returns the tally of all ratings.
    pub fn total(&self) -> Tally {
        self.total
    }

    /// Returns the tally of the current window: the last 200 to 400 ratings, or all if there are
    /// fewer.
    pub fn recent(&self) -> Tally {
        self.current.plus(self.previous)
    }
}

/// The latest record of each incarnation of an entry.
type TotalsByIncarnation = BTreeMap<(HostId, Incarnation), TallyRecord>;

/// State folded from the ratings stream: the totals of all entries by version.
#[derive(Clone, Debug, Default)]
pub struct RatingFold {
    offset: Offset,
    versions: BTreeMap<VersionName, (Offset, TotalsByIncarnation)>,
}

impl RatingFold {
    /// Applies one raw batch of the log; skips a batch that cannot be parsed, and any offset that
    /// was applied before.
    pub fn apply(&mut self, offset: Offset, raw: &[u8]) {
        if offset <= self.offset {
            return;
        }
        self.offset = offset;
        for record in serde_json::from_slice::<Vec<TallyRecord>>(raw).unwrap_or_default() {
            self.add(record);
        }
    }

    /// Stores an entry's totals. A record with no more ratings than the stored one is older or a
    /// copy, and is ignored.
    ///
    /// ```
    /// use redwingfold_core::{Incarnation, Millis, Offset, RatingFold, Tally, TallyRecord};
    /// let record = |good| TallyRecord {
    ///     host: "entry-1".parse().unwrap(),
    ///     incarnation: Incarnation(1),
    ///     version: "v".parse().unwrap(),
    ///     since: Offset(3),
    ///     at: Millis(0),
    ///     total: Tally { good, bad: 0 },
    ///     recent: Tally { good, bad: 0 },
    /// };
    /// let mut ratings = RatingFold::default();
    /// for good in [5, 9, 5] {
    ///     ratings.add(record(good));
    /// }
    /// assert_eq!(ratings.total(&"v".parse().unwrap(), Offset(3)).good, 9);
    /// ```
    pub fn add(&mut self, record: TallyRecord) {
        let stored = self.versions.entry(record.version.clone()).or_default();
        if stored.0 < record.since {
            *stored = (record.since, TotalsByIncarnation::new());
        }
        if stored.0 != record.since {
            return;
        }
        stored.1.retain(|_, r| record.at.since(r.at) < MAX_TOTAL_AGE);
        let key = (record.host.clone(), record.incarnation);
        match stored.1.get(&key) {
            Some(older) if older.total.rated() >= record.total.rated() => {}
            _ => {
                stored.1.insert(key, record);
            }
        }
    }

    fn records(&self, version: &VersionName, since: Offset) -> impl Iterator<Item = &TallyRecord> {
        let stored = self.versions.get(version).filter(|(stored, _)| *stored == since);
        stored.into_iter().flat_map(|(_, totals)| totals.values())
    }

    /// Returns the tally of all entries for a version since it was put in service.
    pub fn total(&self, version: &VersionName, since: Offset) -> Tally {
        self.records(version, since).fold(Tally::default(), |sum, r| sum.plus(r.total))
    }

    /// Returns the tally of all entries' current windows for a version.
    pub fn recent(&self, version: &VersionName, since: Offset, now: Millis) -> Tally {
        let fresh = self.records(version, since).filter(|r| now.since(r.at) < MAX_RECENT_AGE);
        fresh.fold(Tally::default(), |sum, r| sum.plus(r.recent))
    }

    /// Returns the offset of the last batch applied.
    pub fn offset(&self) -> Offset {
        self.offset
    }
}

/// Returns the next share of a rollout, if the ratings justify it.
///
/// A step needs `per_step` more ratings since the last step. The lower confidence bound of the
/// share of good answers, over all ratings, must also be at least `1000 - allowed_bad`. Until
/// `per_step` answers are rated, a bad version thus affects no more than the current share of the
/// traffic. If no more ratings arrive, the share stays as it is.
///
/// ```
/// use redwingfold_core::{PerMille, Tally, next_rollout_share};
/// let steps = [PerMille(50), PerMille(250), PerMille(1000)];
/// let tally = Tally { good: 60, bad: 0 };
/// let next_share = |rated_before| {
///     next_rollout_share(&steps, PerMille(50), rated_before, tally, 50, PerMille(100))
/// };
/// assert_eq!(next_share(0), Some(PerMille(250)));
/// assert_eq!(next_share(30), None);
/// ```
pub fn next_rollout_share(
    steps: &[PerMille],
    share: PerMille,
    rated_before: u64,
    tally: Tally,
    per_step: u32,
    allowed_bad: PerMille,
) -> Option<PerMille> {
    let next = steps.iter().copied().find(|step| *step > share)?;
    let rated = tally.rated().saturating_sub(rated_before);
    let required_good = PerMille(1000_u16.saturating_sub(allowed_bad.0));
    let has_passed =
        rated >= u64::from(per_step.max(1)) && tally.lower_bound(PerMille(0), 0) >= required_good;
    has_passed.then_some(next)
}
