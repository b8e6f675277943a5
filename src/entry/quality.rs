//! Ratings of responses: the quality of each version, overall and per request class.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use redwingfold_core::{
    Config, ObjectKey, Offset, PerMille, RatingCounter, RatingFold, SequentialTest, Spec, Tally,
    TallyRecord, TestVerdict, VersionName, VersionSpec,
};

use super::context::Entry;
use super::rollouts::append_withdrawal;
use crate::clock::unix_time;
use crate::platform::rate_answer;

const MILLION: f64 = 1_000_000.0;

/// The ratings counted by this entry, those of all entries, and the versions this entry has
/// stopped.
#[derive(Debug, Default)]
pub(crate) struct QualityTracker(Mutex<QualityState>);

#[derive(Debug, Default)]
struct QualityState {
    local: BTreeMap<VersionName, LocalRatings>,
    all_entries: RatingFold,
    stopped: BTreeSet<VersionName>,
}

/// This entry's ratings of one version.
#[derive(Debug, Default)]
struct LocalRatings {
    since: Offset,
    counter: RatingCounter,
    /// Ratings by request class.
    by_class: BTreeMap<String, Tally>,
}

impl QualityState {
    fn tally_record(&self, entry: &Entry, version: &VersionName) -> Option<TallyRecord> {
        let local = self.local.get(version)?;
        Some(TallyRecord {
            host: entry.daemon.host.clone(),
            incarnation: entry.daemon.incarnation,
            version: version.clone(),
            since: local.since,
            at: unix_time(),
            total: local.counter.total(),
            recent: local.counter.recent(),
        })
    }
}

/// Returns the offset since which a version's ratings count, which is that of its last change: a
/// version that returns to service starts with no ratings.
pub(crate) fn in_service_since(config: &Config, version: &VersionName) -> Offset {
    let stored = config.objects.get(&ObjectKey::new("version", version));
    stored.map_or(Offset(0), |stored| stored.revision)
}

impl QualityTracker {
    fn lock(&self) -> MutexGuard<'_, QualityState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the lower bound of a version's quality for a request class, from this entry's
    /// ratings.
    pub(crate) fn lower_bound(
        &self,
        version: &VersionName,
        spec: &VersionSpec,
        class: &str,
    ) -> PerMille {
        let state = self.lock();
        let tally = state.local.get(version).and_then(|local| local.by_class.get(class)).copied();
        tally.unwrap_or_default().lower_bound(spec.quality, spec.quality_weight)
    }

    /// Returns the configuration with the versions that this entry has stopped marked as withdrawn.
    ///
    /// They stop here at once, before their withdrawal is in the log for all entries.
    pub(crate) fn effective_config(&self, config: Arc<Config>) -> Arc<Config> {
        let mut state = self.lock();
        state.stopped.retain(|v| config.version(v).is_some_and(|spec| spec.withdrawn_at.is_none()));
        if state.stopped.is_empty() {
            return config;
        }
        let mut config = (*config).clone();
        for stored in config.objects.values_mut() {
            match &mut stored.object.spec {
                Spec::Version(spec)
                    if state.stopped.iter().any(|v| v.as_str() == stored.object.name) =>
                {
                    spec.withdrawn_at = Some(Offset(u64::MAX));
                }
                _ => {}
            }
        }
        Arc::new(config)
    }

    /// Adds a rating.
    fn add_rating(&self, version: &VersionName, since: Offset, class: &str, is_good: bool) {
        let mut state = self.lock();
        let local = state.local.entry(version.clone()).or_default();
        if local.since != since {
            *local = LocalRatings { since, ..LocalRatings::default() };
        }
        local.counter.add(is_good);
        let increment = Tally { good: u64::from(is_good), bad: u64::from(!is_good) };
        let tally = local.by_class.entry(class.to_owned()).or_default();
        *tally = tally.plus(increment);
    }

    /// Returns this entry's totals as records for the ratings stream.
    pub(crate) fn tally_records(&self, entry: &Entry) -> Vec<TallyRecord> {
        let state = self.lock();
        state.local.keys().filter_map(|version| state.tally_record(entry, version)).collect()
    }

    /// Applies records of the ratings stream.
    pub(crate) fn apply_records(&self, records: &[(Offset, Vec<u8>)]) {
        let mut state = self.lock();
        for (offset, raw) in records {
            state.all_entries.apply(*offset, raw);
        }
    }

    pub(crate) fn folded_offset(&self) -> Offset {
        self.lock().all_entries.offset()
    }

    /// Returns the tallies of a version over all entries, total and recent, including this entry's
    /// unpublished ratings.
    pub(crate) fn tallies(
        &self,
        entry: &Entry,
        version: &VersionName,
        since: Offset,
    ) -> (Tally, Tally) {
        let mut state = self.lock();
        if let Some(record) = state.tally_record(entry, version) {
            state.all_entries.add(record);
        }
        (
            state.all_entries.total(version, since),
            state.all_entries.recent(version, since, unix_time()),
        )
    }

    /// Marks a version as stopped; returns whether it was not stopped before.
    fn mark_stopped(&self, version: &VersionName) -> bool {
        self.lock().stopped.insert(version.clone())
    }
}

/// Decides at random whether a response of this version is rated; versions in a rollout have a
/// sampling rate of their own.
pub(crate) fn is_sampled(entry: &Entry, version: &VersionName) -> bool {
    let rating = &entry.settings.rating;
    let config = entry.daemon.store.current();
    let is_rolled_out = config
        .of_kind("rollout")
        .any(|(_, spec)| matches!(spec, Spec::Rollout(r) if r.to == *version));
    let share = match is_rolled_out {
        true => rating.rollout_sample_per_mille,
        false => rating.sample_per_mille,
    };
    rating.address.is_some() && fastrand::u16(0..1000) < share
}

/// Has a response rated, counts the rating, and tests the version with it. Returns `None` if the
/// response could not be rated.
pub(crate) async fn rate_response(
    entry: &Arc<Entry>,
    version: &VersionName,
    class: &str,
    text: &str,
) -> Option<PerMille> {
    let rating = &entry.settings.rating;
    let since = in_service_since(&entry.daemon.store.current(), version);
    let timeout = rating.timeout_ms;
    let score = rate_answer(&entry.daemon.http, rating.address?, version, text, timeout).await?;
    let is_good = score.0 >= rating.good_from;
    entry.daemon.telemetry.count(if is_good { "rating.good" } else { "rating.bad" }, 1);
    entry.quality.add_rating(version, since, class, is_good);
    test_version(entry, version);
    Some(score)
}

/// Runs the sequential test on a version's ratings of all entries. A version that fails is stopped
/// at once on this entry, and withdrawn for all entries through the log.
pub(crate) fn test_version(entry: &Arc<Entry>, version: &VersionName) {
    let rating = &entry.settings.rating;
    let config = entry.daemon.store.current();
    let since = in_service_since(&config, version);
    let (_, tally) = entry.quality.tallies(entry, version, since);
    let alpha = f64::from(rating.false_stop_per_million) / MILLION;
    let test = SequentialTest::new(PerMille(rating.allowed_bad_per_mille), alpha);
    let is_in_service = config.version(version).is_some_and(|spec| spec.withdrawn_at.is_none());
    if is_in_service
        && test.verdict(tally) == TestVerdict::Stop
        && entry.quality.mark_stopped(version)
    {
        let reason = format!("{} of {} rated answers were bad", tally.bad, tally.rated());
        entry.daemon.telemetry.warn("version_stopped", &[("version", version), ("why", &reason)]);
        smol::spawn(append_withdrawal(entry.clone(), version.clone(), reason)).detach();
    }
}
