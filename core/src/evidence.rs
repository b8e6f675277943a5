//! Ratings of versions, added up over entries, and what a roll-out may do by them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{HostId, Incarnation, Offset, PerMille, VersionName};
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
    /// What it has counted.
    #[serde(flatten)]
    pub tally: Tally,
}

/// Totals of the entries' starts.
type Totals = BTreeMap<(HostId, Incarnation), Tally>;

/// The fold of the ratings stream.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    offset: Offset,
    versions: BTreeMap<VersionName, (Offset, Totals)>,
}

impl Evidence {
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
    /// use redwingfold_core::{Evidence, Incarnation, Offset, Tally, TallyRecord};
    /// let record = |good| TallyRecord {
    ///     host: "entry-1".parse().unwrap(),
    ///     incarnation: Incarnation(1),
    ///     version: "v".parse().unwrap(),
    ///     since: Offset(3),
    ///     tally: Tally { good, bad: 0 },
    /// };
    /// let mut evidence = Evidence::default();
    /// for good in [5, 9, 5] {
    ///     evidence.add(record(good));
    /// }
    /// assert_eq!(evidence.of(&"v".parse().unwrap(), Offset(3)).good, 9);
    /// ```
    pub fn add(&mut self, record: TallyRecord) {
        let held = self.versions.entry(record.version).or_default();
        if held.0 < record.since {
            *held = (record.since, BTreeMap::new());
        }
        if held.0 == record.since {
            let tally = held.1.entry((record.host, record.incarnation)).or_default();
            if tally.rated() < record.tally.rated() {
                *tally = record.tally;
            }
        }
    }

    /// Returns what all entries have counted of a version since it was put in service.
    pub fn of(&self, version: &VersionName, since: Offset) -> Tally {
        match self.versions.get(version) {
            Some((held, tallies)) if *held == since => {
                tallies.values().fold(Tally::default(), |sum, tally| sum.plus(*tally))
            }
            _ => Tally::default(),
        }
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
/// use redwingfold_core::{PerMille, Tally, next_step};
/// let steps = [PerMille(50), PerMille(250), PerMille(1000)];
/// let tally = Tally { good: 60, bad: 0 };
/// let step = |rated_before| next_step(&steps, PerMille(50), rated_before, tally, 50, PerMille(100));
/// assert_eq!(step(0), Some(PerMille(250)));
/// assert_eq!(step(30), None);
/// ```
pub fn next_step(
    steps: &[PerMille],
    share: PerMille,
    rated_before: u64,
    tally: Tally,
    per_step: u32,
    allowed_bad: PerMille,
) -> Option<PerMille> {
    let next = steps.iter().copied().find(|step| *step > share)?;
    let rated = tally.rated().saturating_sub(rated_before);
    let good_enough = PerMille(1000_u16.saturating_sub(allowed_bad.0));
    let is_earned =
        rated >= u64::from(per_step.max(1)) && tally.lower_bound(PerMille(0), 0) >= good_enough;
    is_earned.then_some(next)
}
