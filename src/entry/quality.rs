//! Ratings of answers, and the withdrawal of versions that they show to be bad.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use redwingfold_core::{
    Config, Offset, PerMille, Record, RequestId, SequentialTest, Spec, StreamsOnWithdrawal, Tally,
    TestVerdict, VersionName, VersionSpec, Withdrawal,
};

use super::context::Entry;
use crate::clock::wall;
use crate::platform::{LogError, rate, stream};

const MILLION: f64 = 1_000_000.0;

/// Tallies of this entry, and the versions that it has stopped itself.
#[derive(Debug, Default)]
pub(crate) struct Quality(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    tallies: BTreeMap<VersionName, BTreeMap<String, Tally>>,
    stopped: BTreeSet<VersionName>,
}

impl Quality {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the lower bound of a version's quality for a kind of request.
    pub(crate) fn lower_bound(
        &self,
        version: &VersionName,
        spec: &VersionSpec,
        class: &str,
    ) -> PerMille {
        let state = self.lock();
        let tally = state.tallies.get(version).and_then(|t| t.get(class)).copied();
        tally.unwrap_or_default().lower_bound(spec.quality, spec.quality_weight)
    }

    /// Returns the configuration as this entry acts by it: versions that it has stopped are
    /// withdrawn here at once, before the log says so to all.
    pub(crate) fn overlay(&self, config: Arc<Config>) -> Arc<Config> {
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

    /// Adds a rating; returns the version's tally over all kinds of requests.
    fn add(&self, version: &VersionName, class: &str, good: bool) -> Tally {
        let mut state = self.lock();
        let classes = state.tallies.entry(version.clone()).or_default();
        let one = Tally { good: u64::from(good), bad: u64::from(!good) };
        let tally = classes.entry(class.to_owned()).or_default();
        *tally = tally.plus(one);
        classes.values().fold(Tally::default(), |sum, t| sum.plus(*t))
    }

    /// Notes that a version is stopped; its ratings so far do not count if it is put back.
    fn stop(&self, version: &VersionName) -> bool {
        let mut state = self.lock();
        state.tallies.remove(version);
        state.stopped.insert(version.clone())
    }
}

/// Says whether this answer is among those that are rated.
pub(crate) fn is_sampled(entry: &Entry) -> bool {
    let rating = &entry.settings.rating;
    rating.address.is_some() && fastrand::u16(0..1000) < rating.sample_per_mille
}

/// Has an answer rated, counts the rating, and withdraws the version if it is shown to be bad.
pub(crate) async fn judge(
    entry: &Arc<Entry>,
    version: &VersionName,
    class: &str,
    text: &str,
) -> Option<PerMille> {
    let rating = &entry.settings.rating;
    let timeout = rating.timeout_ms;
    let score = rate(&entry.daemon.http, rating.address?, version, text, timeout).await?;
    let good = score.0 >= rating.good_from;
    entry.daemon.telemetry.count(if good { "rating.good" } else { "rating.bad" }, 1);
    let tally = entry.quality.add(version, class, good);
    let alpha = f64::from(rating.false_stop_per_million) / MILLION;
    let test = SequentialTest::new(PerMille(rating.allowed_bad_per_mille), alpha);
    if test.verdict(tally) == TestVerdict::Stop && entry.quality.stop(version) {
        let reason = format!("{} of {} rated answers were bad", tally.bad, tally.bad + tally.good);
        entry.daemon.telemetry.warn("version_stopped", &[("version", version), ("why", &reason)]);
        smol::spawn(withdraw(entry.clone(), version.clone(), reason)).detach();
    }
    Some(score)
}

/// Appends the withdrawal until the log has it. A second copy has the same id and no effect.
async fn withdraw(entry: Arc<Entry>, version: VersionName, reason: String) {
    let record = Record::Withdraw(Withdrawal {
        id: RequestId(fastrand::u128(..)),
        author: format!("entry {}", entry.daemon.host),
        reason,
        at: wall(),
        version,
        streams: StreamsOnWithdrawal::Finish,
    });
    let json = serde_json::to_vec(&record).unwrap_or_default();
    while let Err(e) = entry.daemon.log.append(stream::CONFIG, json.clone()).await {
        entry.daemon.telemetry.warn("withdrawal_not_appended", &[("why", &e)]);
        let pause = match e {
            LogError::Refused { retry_after, .. } => retry_after,
            LogError::Unknown(_) => redwingfold_core::Millis(500),
        };
        smol::Timer::after(crate::clock::jittered(pause)).await;
    }
}
