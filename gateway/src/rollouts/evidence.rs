//! Evidence on the versions of a service: counting answers, and exchanging the counts with other gateways.

use redwingfold_core::{
    AnswerCounts, AnswerSums, Arm, FleetEvidence, Millis, Phase, RouteName, SendCounts,
    ServiceName, VersionName,
};
use xxhash_rust::xxh3::xxh3_64;

use super::{END_REPORTED_FOR, Rollouts, ServiceVersions};
use crate::rollout_report::{RolloutReport, StoredStatus};

/// Age from which another gateway's request rate is ignored: the gateway has stopped or is cut off.
const MAX_REPORT_AGE: Millis = Millis(4_000);

/// Time to the first byte on top of prompt processing: a few steps of a batch.
const FIRST_BYTE_OVERHEAD: Millis = Millis(40);

/// One observation on an answer.
#[derive(Clone, Copy, Debug)]
pub(crate) enum AnswerSignal {
    /// The server failed to answer.
    Failed,
    /// The first byte arrived after `took`; processing the prompt takes `expected`.
    FirstByte { took: Millis, expected: Millis },
    /// The time between two events of the answer.
    EventGap(Millis),
}

/// An observation on an answer, with the attributes by which it is compared.
#[derive(Clone, Debug)]
pub(crate) struct AnswerSample<'a> {
    pub(crate) service: &'a ServiceName,
    pub(crate) version: &'a VersionName,
    pub(crate) route: &'a RouteName,
    /// Index of the answering model among the route's sizes; 0 if the caller chose the model.
    pub(crate) size_index: usize,
    /// Requests running and waiting on the server, divided by its slots.
    pub(crate) load: f64,
    /// Whether the server belongs to the first half of the version's servers.
    pub(crate) is_first_half: bool,
    pub(crate) signal: AnswerSignal,
}

impl Rollouts {
    /// Adds an observation to the evidence on its version.
    ///
    /// Times are compared as ratios to the usual time for the route, model and server load. Ratios of any version
    /// but the current one are divided by how much slower than usual the current version is at the moment.
    pub(crate) fn record_answer(&mut self, sample: &AnswerSample<'_>, now: Millis) {
        let arm = self.arm_of(sample.service, sample.version);
        let Some(versions) = self.services.get_mut(sample.service) else { return };
        let route = xxh3_64(sample.route.as_str().as_bytes()) as u32;
        let time = match sample.signal {
            AnswerSignal::Failed => None,
            AnswerSignal::FirstByte { took, expected } => {
                Some(took.0.max(1) as f64 / expected.after(FIRST_BYTE_OVERHEAD).0 as f64)
            }
            AnswerSignal::EventGap(gap) => Some(gap.0.max(1) as f64),
        };
        let is_event_gap = matches!(sample.signal, AnswerSignal::EventGap(_));
        let usual = versions.baselines.entry((route, sample.size_index, is_event_gap)).or_default();
        let ratio = time.and_then(|time| match arm {
            Some(Arm::Current) => usual.ratio(time, sample.load),
            Some(Arm::Target) | None => usual.ratio_of_other_version(time, sample.load),
        });
        if let (Some(Arm::Current), Some(time)) = (arm, time) {
            usual.record(time, sample.load);
        }
        let recent = &mut versions.slowdowns[usize::from(is_event_gap)];
        let ratio = match arm {
            Some(Arm::Current) => ratio.inspect(|ratio| recent.record(*ratio, now)),
            Some(Arm::Target) | None => ratio.map(|ratio| ratio / recent.factor()),
        };
        if versions.latest().is_none_or(|canary| canary.phase() == Phase::Done) {
            return;
        }
        let evidence = versions.route_evidence.entry(route).or_default();
        let counts = match arm {
            Some(Arm::Current) => &mut evidence.current,
            Some(Arm::Target) | None => &mut evidence.target,
        };
        let mut delta = AnswerSums::default();
        match (sample.signal, ratio) {
            (AnswerSignal::Failed, _) => delta.failed = 1,
            (AnswerSignal::FirstByte { .. }, ratio) => {
                delta.good = 1;
                ratio.into_iter().for_each(|ratio| delta.first_byte.add(ratio));
            }
            (AnswerSignal::EventGap(_), ratio) => {
                ratio.into_iter().for_each(|ratio| delta.event_gap.add(ratio))
            }
        }
        let half = if sample.is_first_half { delta } else { AnswerSums::default() };
        *counts = counts.plus(AnswerCounts { half, ..delta.into() });
    }

    /// Returns when the last report of another gateway on an active rollout was received.
    pub fn last_report_at(&self) -> Millis {
        let received_at =
            self.services.values().flat_map(|v| v.peer_reports.values()).map(|(_, at)| *at);
        received_at.max().unwrap_or_default()
    }

    /// Returns this gateway's reports on active and recently ended rollouts, for the other gateways.
    pub fn reports(&self, now: Millis) -> Vec<RolloutReport> {
        let report = |(service, v): (&ServiceName, &ServiceVersions)| {
            let canary = v.latest()?;
            let is_recent = v.ended_at.is_none_or(|at| now.since(at) < END_REPORTED_FOR);
            let is_reported = match canary.phase() {
                Phase::Trial | Phase::Ramp | Phase::Full => true,
                Phase::Done => is_recent,
                Phase::RolledBack => is_recent || canary.elapsed(now) < canary.order().window,
            };
            if !is_reported {
                return None;
            }
            let target = &canary.order().target;
            let known = self.statuses.known(service);
            let known = known.filter(|known| known.target == *target && self.store_era.is_some());
            let stored_status = match known.map(|known| known.ended) {
                Some(Some(phase)) => StoredStatus::Ended(phase),
                Some(None) => StoredStatus::Running,
                None => StoredStatus::Unknown,
            };
            let status_age = known.map_or(Millis(0), |known| now.since(known.as_of));
            Some(RolloutReport {
                service: service.clone(),
                target: canary.order().target.clone(),
                elapsed: canary.elapsed(now),
                is_age_known: canary.is_age_known(),
                is_announced: canary.is_announced(),
                routes: v.route_evidence.clone(),
                sent: canary.counts(now),
                is_rolled_back: canary.phase() == Phase::RolledBack,
                stored_status,
                status_age,
                store_era: self.store_era.unwrap_or_default(),
            })
        };
        self.services.iter().filter_map(report).collect()
    }

    /// Merges another gateway's report; returns `true` if it rolled the target back and this gateway had not.
    ///
    /// Counts of other gateways arrive with a delay, so one gateway reaches the threshold for a rollback first. The
    /// others follow its decision at once. Deciding on counts alone, one of three gateways rolled back while two
    /// completed the rollout.
    pub fn merge_report(&mut self, from: &str, report: RolloutReport, now: Millis) -> bool {
        self.merge_stored_status(&report, now);
        let Some(versions) = self.services.get_mut(&report.service) else { return false };
        let Some(canary) = versions.latest_mut() else { return false };
        // A trial that began before the order for its version does not count for the rollout of that order.
        if canary.order().target != report.target || canary.is_announced() != report.is_announced {
            return false;
        }
        canary.merge_age(report.elapsed, report.is_age_known, now);
        let is_newly_rolled_back = report.is_rolled_back && canary.phase() < Phase::Done;
        let (service, stored_status) = (report.service.clone(), report.stored_status);
        let is_announced = report.is_announced;
        match versions.peer_reports.get_mut(from) {
            Some((merged, at)) => {
                merged.merge(report);
                *at = now;
            }
            None => {
                versions.peer_reports.insert(from.to_owned(), (report, now));
            }
        }
        if is_newly_rolled_back {
            self.end_rollout(&service, Phase::RolledBack, now);
        }
        // An end is final, even if the store has lost it since.
        match stored_status {
            StoredStatus::Ended(phase) if is_announced => self.end_rollout(&service, phase, now),
            _ => {}
        }
        is_newly_rolled_back
    }

    /// Merges what another gateway reports of the status in the store, even if it belongs to another order.
    fn merge_stored_status(&mut self, report: &RolloutReport, now: Millis) {
        let ended = match report.stored_status {
            StoredStatus::Unknown => return,
            _ if !report.is_announced => return,
            StoredStatus::Running => None,
            StoredStatus::Ended(phase) => Some(phase),
        };
        // A gateway that has not noticed a restore of the store reports the status from before it.
        if self.store_era != Some(report.store_era) || self.statuses.is_unreliable(now) {
            return;
        }
        let as_of = Millis(now.0.saturating_sub(report.status_age.0));
        let status = self.known_status(&report.service, &report.target, ended, as_of, now);
        self.statuses.merge_report(&report.service, status);
    }
}

impl ServiceVersions {
    pub(super) fn fleet_evidence(&self, now: Millis) -> FleetEvidence {
        let mut routes = self.route_evidence.clone();
        let mut sent = self.latest().map_or_else(SendCounts::default, |c| c.counts(now));
        for (report, at) in self.peer_reports.values() {
            for (route, evidence) in &report.routes {
                let sum = routes.entry(*route).or_default();
                *sum = sum.plus(*evidence);
            }
            let is_fresh = now.since(*at) < MAX_REPORT_AGE;
            let per_s = if is_fresh { report.sent.per_s } else { 0.0 };
            sent = sent.plus(SendCounts { per_s, ..report.sent });
        }
        FleetEvidence { routes: routes.into_values().collect(), sent }
    }
}
