//! Automatic rollout steps, and withdrawals of versions.

use std::sync::Arc;

use redwingfold_core::{
    Change, Config, ConfigRecord, Millis, ObjectKey, Offset, RequestId, RolloutSpec, Spec,
    StreamsOnWithdrawal, VersionName, Withdrawal, next_rollout_share,
};
use smol::Timer;

use super::context::Entry;
use super::quality::{in_service_since, test_version};
use crate::clock::{jittered, unix_time};
use crate::platform::{LogError, stream};

const PAGE_RECORDS: usize = 500;
const RETRY_DELAY: Millis = Millis(500);

/// Periodically publishes this entry's rating totals to the log and reads those of the other
/// entries. Versions are tested and rollouts are advanced by the sum of all totals. Never returns
/// if rating is configured.
///
/// Totals are published as one batch per interval, and only if ratings were added.
pub(crate) async fn run_rating_loop(entry: &Arc<Entry>) {
    let mut published_ratings = 0;
    if entry.settings.rating.address.is_none() {
        return;
    }
    loop {
        Timer::after(jittered(entry.settings.batch.every_ms)).await;
        let records = entry.quality.tally_records(entry);
        let rated = records.iter().map(|r| r.total.rated()).sum::<u64>();
        if rated != published_ratings {
            let json = serde_json::to_vec(&records).unwrap_or_default();
            // If the append fails or its outcome is unknown, the next totals include these.
            if entry.daemon.log.append(stream::RATINGS, json).await.is_ok() {
                published_ratings = rated;
            }
        }
        let from = Offset(entry.quality.folded_offset().0 + 1);
        match entry.daemon.log.read(stream::RATINGS, from, PAGE_RECORDS, Millis(0)).await {
            Ok(page) => entry.quality.apply_records(&page.records),
            Err(_) => continue,
        }
        let config = entry.daemon.store.current();
        for (key, spec) in config.of_kind("version") {
            match (spec, key.name.parse()) {
                (Spec::Version(v), Ok(version)) if v.withdrawn_at.is_none() => {
                    test_version(entry, &version);
                }
                _ => {}
            }
        }
        advance_rollouts(entry, &config).await;
    }
}

/// Raises the share of each rollout whose ratings allow the next step.
async fn advance_rollouts(entry: &Arc<Entry>, config: &Config) {
    let effective = entry.quality.effective_config(entry.daemon.store.current());
    for (key, spec) in config.of_kind("rollout") {
        let Spec::Rollout(rollout) = spec else { continue };
        let is_in_service =
            effective.version(&rollout.to).is_some_and(|v| v.withdrawn_at.is_none());
        if !is_in_service {
            continue;
        }
        let since = in_service_since(config, &rollout.to);
        let (tally, _) = entry.quality.tallies(entry, &rollout.to, since);
        let next = next_rollout_share(
            &rollout.steps,
            rollout.share,
            rollout.rated_before,
            tally,
            rollout.per_step,
            rollout.allowed_bad,
        );
        if let Some(share) = next {
            let raised = RolloutSpec { share, rated_before: tally.rated(), ..rollout.clone() };
            let reason = format!("{} of {} rated answers were good", tally.good, tally.rated());
            publish_share(entry, config, key, raised, reason).await;
        }
    }
}

/// Publishes a rollout's next share. If several entries do so at the same time, the first in log
/// order takes effect; the others expect a revision that is then outdated.
async fn publish_share(
    entry: &Entry,
    config: &Config,
    key: &ObjectKey,
    raised: RolloutSpec,
    reason: String,
) {
    let Some(stored) = config.objects.get(key) else { return };
    let share = raised.share;
    let mut object = stored.object.clone();
    object.spec = Spec::Rollout(raised);
    let record = ConfigRecord::Change(Change {
        id: RequestId(fastrand::u128(..)),
        author: format!("entry {}", entry.daemon.host),
        reason,
        at: unix_time(),
        expects: [(key.clone(), stored.revision)].into(),
        put: vec![object],
        delete: Vec::new(),
    });
    let json = serde_json::to_vec(&record).unwrap_or_default();
    // A change that did not take effect is retried in the next round of `run_rating_loop`.
    match entry.daemon.log.append(stream::CONFIG, json).await {
        Ok(_) => {
            entry.daemon.telemetry.info("rollout_raised", &[("rollout", key), ("share", &share)])
        }
        Err(e) => {
            entry.daemon.telemetry.warn("rollout_not_raised", &[("rollout", key), ("why", &e)])
        }
    }
}

/// Appends a withdrawal to the log, retrying until it succeeds. A duplicate has the same id and no
/// effect.
pub(crate) async fn append_withdrawal(entry: Arc<Entry>, version: VersionName, reason: String) {
    let record = ConfigRecord::Withdraw(Withdrawal {
        id: RequestId(fastrand::u128(..)),
        author: format!("entry {}", entry.daemon.host),
        reason,
        at: unix_time(),
        version,
        streams: StreamsOnWithdrawal::Finish,
    });
    let json = serde_json::to_vec(&record).unwrap_or_default();
    while let Err(e) = entry.daemon.log.append(stream::CONFIG, json.clone()).await {
        entry.daemon.telemetry.warn("withdrawal_not_appended", &[("why", &e)]);
        let delay = match e {
            LogError::Refused { retry_after, .. } => retry_after,
            LogError::Unknown(_) => RETRY_DELAY,
        };
        Timer::after(jittered(delay)).await;
    }
}
