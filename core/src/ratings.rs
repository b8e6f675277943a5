//! Ratings of versions, added up over entries, and what a roll-out may do by them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{HostId, Incarnation, Millis, Offset, PerMille, VersionName};
use crate::rollout::Tally;

/// A record of the ratings stream: what one start of an entry has counted of a version so far.
///
/// It is a total and not an increment, so that a record that was appended twice, or whose answer
/// was lost, does no harm.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TallyRecord {
    /// The entry.
    pub host: HostId,
    /// Its start.
    pub incarnation: Incarnation,
    /// The version.
    pub version: VersionName,
    /// When the version was last put back in service; ratings of before do not count.
    pub since: Offset,
    /// When, by the entry's clock, since 1970.
    pub at: Millis,
    /// What it has counted in all.
    pub total: Tally,
    /// What it has counted lately.
    pub recent: Tally,
}

/// Ratings that one half of a window holds.
const HALF_WINDOW_RATINGS: u64 = 200;

/// Age at which what an entry counted lately is worth nothing: it is gone, or rates nothing.
const MAX_RECENT_AGE: Millis = Millis(600_000);

/// Age at which what an entry counted is forgotten.
const MAX_TOTAL_AGE: Millis = Millis(24 * 3_600_000);

/// Counts the ratings of one version at one entry.
///
/// The test that stops a version looks at the last few hundred only: on all of them, a version that
/// gave a million good answers could turn bad and give tens of thousands of bad ones before the sum
/// showed it.
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

    /// Returns all that was counted.
    pub fn total(&self) -> Tally {
        self.total
    }

    /// Returns what was counted lately: between 200 and 400 ratings, or all if there were fewer.
    pub fn recent(&self) -> Tally {
        self.current.plus(self.previous)
    }
}

/// Totals of the entries' starts.
type TotalsByIncarnation = BTreeMap<(HostId, Incarnation), TallyRecord>;

/// The fold of the ratings stream.
#[derive(Clone, Debug, Default)]
pub struct RatingFold {
    offset: Offset,
    versions: BTreeMap<VersionName, (Offset, TotalsByIncarnation)>,
}

impl RatingFold {
    /// Folds one batch as it stands in the log; an unreadable one is passed over.
    pub fn apply(&mut self, offset: Offset, raw: &[u8]) {
        if offset <= self.offset {
            return;
        }
        self.offset = offset;
        for record in serde_json::from_slice::<Vec<TallyRecord>>(raw).unwrap_or_default() {
            self.add(record);
        }
    }

    /// Takes one entry's totals; a lower total than the one that is held is an older record.
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
        let held = self.versions.entry(record.version.clone()).or_default();
        if held.0 < record.since {
            *held = (record.since, TotalsByIncarnation::new());
        }
        if held.0 != record.since {
            return;
        }
        held.1.retain(|_, r| record.at.since(r.at) < MAX_TOTAL_AGE);
        let key = (record.host.clone(), record.incarnation);
        match held.1.get(&key) {
            Some(older) if older.total.rated() >= record.total.rated() => {}
            _ => {
                held.1.insert(key, record);
            }
        }
    }

    fn records(&self, version: &VersionName, since: Offset) -> impl Iterator<Item = &TallyRecord> {
        let held = self.versions.get(version).filter(|(held, _)| *held == since);
        held.into_iter().flat_map(|(_, totals)| totals.values())
    }

    /// Returns what all entries have counted of a version since it was put in service.
    pub fn total(&self, version: &VersionName, since: Offset) -> Tally {
        self.records(version, since).fold(Tally::default(), |sum, r| sum.plus(r.total))
    }

    /// Returns what all entries have counted of it lately.
    pub fn recent(&self, version: &VersionName, since: Offset, now: Millis) -> Tally {
        let fresh = self.records(version, since).filter(|r| now.since(r.at) < MAX_RECENT_AGE);
        fresh.fold(Tally::default(), |sum, r| sum.plus(r.recent))
    }

    /// Returns the offset of the last batch that was folded.
    pub fn offset(&self) -> Offset {
        self.offset
    }
}

/// Returns the next share of a roll-out, if its evidence has earned it.
///
/// A step is earned by `per_step` more ratings since the last, and a lower confidence bound of the
/// share of good answers over all ratings that keeps what is allowed. A version can thus never give
/// more bad answers at a share than that share of the traffic until `per_step` were rated, unless
/// ratings stop coming: then it stays where it is.
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
