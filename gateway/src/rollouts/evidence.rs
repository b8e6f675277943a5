//! What gateways see of a version's answers, and tell each other.

use redwingfold_core::{
    AnswerCounts, AnswerSums, Arm, FleetEvidence, Millis, Phase, RouteName, SendCounts,
    ServiceName, VersionName,
};
use xxhash_rust::xxh3::xxh3_64;

use super::{END_TOLD, Rollouts, ServiceVersions};
use crate::rollout_news::{Recorded, RolloutNews};

/// Age at which another gateway's requests no longer count as coming on: it is gone or cut off.
const MAX_NEWS_AGE: Millis = Millis(4_000);

/// Time to the first byte beside the reading of the prompt: a few steps of a batch.
const STEP: Millis = Millis(40);

/// What was seen of an answer.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Sight {
    /// The server failed.
    Failed,
    /// Its first byte came, where its prompt takes `expected` to read.
    FirstByte { took: Millis, expected: Millis },
    /// Its events come with this pause.
    Pace(Millis),
}

/// An answer as it counts for its version.
#[derive(Clone, Debug)]
pub(crate) struct Seen<'a> {
    pub(crate) service: &'a ServiceName,
    pub(crate) version: &'a VersionName,
    pub(crate) route: &'a RouteName,
    pub(crate) size: usize,
    /// Requests that its server runs and that wait there, for each of its slots.
    pub(crate) load: f64,
    /// Whether its server belongs to the first half of the version's.
    pub(crate) is_first_half: bool,
    pub(crate) sight: Sight,
}

impl Rollouts {
    /// Counts an answer for its version.
    pub(crate) fn saw_answer(&mut self, seen: &Seen<'_>, now: Millis) {
        let arm = self.arm_of(seen.service, seen.version);
        let Some(versions) = self.services.get_mut(seen.service) else { return };
        let route = xxh3_64(seen.route.as_str().as_bytes()) as u32;
        let time = match seen.sight {
            Sight::Failed => None,
            Sight::FirstByte { took, expected } => {
                Some(took.0.max(1) as f64 / expected.after(STEP).0 as f64)
            }
            Sight::Pace(pause) => Some(pause.0.max(1) as f64),
        };
        let is_pace = matches!(seen.sight, Sight::Pace(_));
        let usual = versions.usual.entry((route, seen.size, is_pace)).or_default();
        let ratio = time.and_then(|time| match arm {
            Some(Arm::Current) => usual.ratio(time, seen.load),
            Some(Arm::Target) | None => usual.ratio_of_other(time, seen.load),
        });
        if let (Some(Arm::Current), Some(time)) = (arm, time) {
            usual.learn(time, seen.load);
        }
        let present = &mut versions.present[usize::from(is_pace)];
        let ratio = match arm {
            Some(Arm::Current) => ratio.inspect(|ratio| present.learn(*ratio, now)),
            Some(Arm::Target) | None => ratio.map(|ratio| ratio / present.factor()),
        };
        if versions.latest().is_none_or(|canary| canary.phase() == Phase::Done) {
            return;
        }
        let evidence = versions.routes.entry(route).or_default();
        let counts = match arm {
            Some(Arm::Current) => &mut evidence.current,
            Some(Arm::Target) | None => &mut evidence.target,
        };
        let mut one = AnswerSums::default();
        match (seen.sight, ratio) {
            (Sight::Failed, _) => one.failed = 1,
            (Sight::FirstByte { .. }, ratio) => {
                one.good = 1;
                ratio.into_iter().for_each(|ratio| one.first_byte.add(ratio));
            }
            (Sight::Pace(_), ratio) => ratio.into_iter().for_each(|ratio| one.event_gap.add(ratio)),
        }
        let half = if seen.is_first_half { one } else { AnswerSums::default() };
        *counts = counts.plus(AnswerCounts { half, ..one.into() });
    }

    /// Returns when another gateway was last heard on a roll-out under way.
    pub fn heard_at(&self) -> Millis {
        let heard = self.services.values().flat_map(|v| v.others.values()).map(|(_, at)| *at);
        heard.max().unwrap_or_default()
    }

    /// Returns what the other gateways should know of the roll-outs under way.
    pub fn news(&self, now: Millis) -> Vec<RolloutNews> {
        let news = |(service, v): (&ServiceName, &ServiceVersions)| {
            let canary = v.latest()?;
            let is_recent = v.ended_at.is_none_or(|at| now.since(at) < END_TOLD);
            let is_told = match canary.phase() {
                Phase::Trial | Phase::Ramp | Phase::Full => true,
                Phase::Done => is_recent,
                Phase::RolledBack => is_recent || canary.elapsed(now) < canary.order().window,
            };
            if !is_told {
                return None;
            }
            let target = &canary.order().target;
            let recorded = match self.statuses.ended(service, target) {
                Some(phase) => Recorded::Ended(phase),
                None if self.statuses.is_missing(service, target, Phase::Trial) => {
                    Recorded::Unknown
                }
                None => Recorded::Running,
            };
            Some(RolloutNews {
                service: service.clone(),
                target: canary.order().target.clone(),
                elapsed: canary.elapsed(now),
                is_age_known: canary.is_age_known(),
                is_announced: canary.is_announced(),
                routes: v.routes.clone(),
                sent: canary.counts(now),
                is_rolled_back: canary.phase() == Phase::RolledBack,
                recorded,
                era: self.era,
            })
        };
        self.services.iter().filter_map(news).collect()
    }

    /// Takes another gateway's news; `true` if it found the target bad, and this one had not.
    ///
    /// Each gateway hears of the others' counts a little late, so that one is over the bar first. The
    /// others heed it at once: with counts alone, one of three rolled back and two went on to done.
    pub fn hear(&mut self, from: &str, news: RolloutNews, now: Millis) -> bool {
        let Some(versions) = self.services.get_mut(&news.service) else { return false };
        let Some(canary) = versions.latest_mut() else { return false };
        // The trial of a version that no order named yet is older than its order.
        if canary.order().target != news.target || canary.is_announced() != news.is_announced {
            return false;
        }
        canary.merge_age(news.elapsed, news.is_age_known, now);
        let is_new = news.is_rolled_back && canary.phase() < Phase::Done;
        let (service, target, recorded) =
            (news.service.clone(), news.target.clone(), news.recorded);
        // A gateway that the store cannot reach may not have noticed yet that it came back from an older copy.
        let is_doubted = news.era < self.era || self.statuses.is_doubted(now);
        match versions.others.get_mut(from) {
            Some((known, at)) => {
                known.take(news);
                *at = now;
            }
            None => {
                versions.others.insert(from.to_owned(), (news, now));
            }
        }
        if is_new {
            self.end(&service, Phase::RolledBack, now);
        }
        match recorded {
            // What others know of the store may be of before it came back from an older copy.
            Recorded::Ended(phase) if is_doubted => self.end(&service, phase, now),
            _ if is_doubted => {}
            Recorded::Ended(phase) => self.recorded(&service, &target, Some(phase), now),
            Recorded::Running if self.statuses.is_missing(&service, &target, Phase::Trial) => {
                self.recorded(&service, &target, None, now);
            }
            Recorded::Running | Recorded::Unknown => {}
        }
        is_new
    }
}

impl ServiceVersions {
    pub(super) fn shared(&self, now: Millis) -> FleetEvidence {
        let mut routes = self.routes.clone();
        let mut sent = self.latest().map_or_else(SendCounts::default, |c| c.counts(now));
        for (news, at) in self.others.values() {
            for (route, evidence) in &news.routes {
                let sum = routes.entry(*route).or_default();
                *sum = sum.plus(*evidence);
            }
            let is_present = now.since(*at) < MAX_NEWS_AGE;
            let per_s = if is_present { news.sent.per_s } else { 0.0 };
            sent = sent.plus(SendCounts { per_s, ..news.sent });
        }
        FleetEvidence { routes: routes.into_values().collect(), sent }
    }
}
