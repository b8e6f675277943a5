//! Engines that report limits, announce that they are leaving, or refuse requests with `Retry-After`, and checks that
//! gateways comply.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use redwingfold_standins::LinkFault;
use redwingfold_standins::platform::{Arrival, Engine};

use crate::checks::RequestRecord;
use crate::faults::Fault;
use crate::testbed::Testbed;

/// `Retry-After` delay that engines send when they refuse a request.
pub(crate) const RETRY_AFTER: Duration = Duration::from_secs(2);

/// On average, one step in this many changes what an engine reports.
const ONE_STEP_IN: u32 = 2;

/// Time allowed from the arrival of a request at an engine until the gateway has processed the answer.
const ANSWER_GRACE: Duration = Duration::from_secs(1);

/// Time allowed for a gateway to stop sending to an engine once it has processed the engine's announcement.
const LEAVING_GRACE: Duration = Duration::from_secs(2);

/// Time after an engine starts to report a limit before the limit is checked.
const LIMIT_GRACE: Duration = Duration::from_secs(3);

/// Sliding window over which requests under a limit are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);

/// Maximum number of requests that an engine may receive from one gateway during a `Retry-After` delay.
const MAX_DURING_RETRY_AFTER: usize = 2;

/// What engines have reported, and the faults that exempt gateways and engines from the checks.
#[derive(Debug)]
pub(crate) struct Reports {
    rng: fastrand::Rng,
    limits: Vec<Limit>,
    /// Times at which engines began to announce that they are leaving.
    leaving_since: HashMap<String, Instant>,
    /// Gateways that were stopped, killed or frozen, each with the start and end of the fault.
    disruptions: Vec<(usize, Instant, Instant)>,
    /// Engines whose connections were disturbed, so that their answers may not have reached a gateway.
    disturbed: HashSet<String>,
}

/// A limit that an engine reports or has reported.
#[derive(Clone, Debug)]
struct Limit {
    engine: String,
    per_second: f64,
    since: Instant,
    until: Option<Instant>,
}

/// A request that arrived at an engine, and the gateway that sent it.
struct SentRequest<'a> {
    arrival: &'a Arrival,
    gateway: usize,
    /// Whether the gateway has forwarded this engine's response to the caller.
    is_answered: bool,
}

impl Reports {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            // A sequence distinct from those of the other faults of the same seed.
            rng: fastrand::Rng::with_seed(seed.rotate_left(16)),
            limits: Vec::new(),
            leaving_since: HashMap::new(),
            disruptions: Vec::new(),
            disturbed: HashSet::new(),
        }
    }

    /// Randomly makes an engine start or stop reporting a limit, or announce that it is leaving.
    pub(crate) fn step(&mut self, testbed: &mut Testbed) -> Option<String> {
        if self.rng.u32(..ONE_STEP_IN) > 0 {
            return None;
        }
        let is_active =
            |e: &&Engine| !e.is_down() && !testbed.withdrawn_engines.contains(&e.spec.id);
        let engines: Vec<_> = testbed.fleet.engines.iter().filter(is_active).cloned().collect();
        let engine = engines.get(self.rng.usize(..engines.len().max(1)))?;
        let (id, now) = (engine.spec.id.clone(), Instant::now());
        let current = self.limits.iter_mut().find(|l| l.engine == id && l.until.is_none());
        match (current, self.rng.u32(..4)) {
            (Some(limit), 1..) => {
                engine.set_limit(None);
                limit.until = Some(now);
                Some(format!("Limit({id}, none)"))
            }
            (None, 1..) => {
                let per_second = self.rng.f64() * 4.0;
                engine.set_limit(Some(per_second));
                self.limits.push(Limit { engine: id.clone(), per_second, since: now, until: None });
                Some(format!("Limit({id}, {per_second:.1})"))
            }
            (_, 0) => {
                let same_service = engines.iter().filter(|e| e.spec.service == engine.spec.service);
                if same_service.count() <= 2 {
                    return None;
                }
                engine.announce_leaving();
                testbed.withdrawn_engines.insert(id.clone());
                self.leaving_since.insert(id.clone(), now);
                Some(format!("Leaving({id})"))
            }
        }
    }

    /// Records a fault that started at `started_at` and has just been injected.
    pub(crate) fn record_fault(&mut self, testbed: &Testbed, fault: Fault, started_at: Instant) {
        let gateways = match fault {
            Fault::Freeze(n) | Fault::Kill(n) | Fault::Stop(n) => n..n + 1,
            Fault::KillAll => 0..testbed.fleet.gateways.len(),
            _ => 0..0,
        };
        self.disruptions.extend(gateways.map(|gateway| (gateway, started_at, Instant::now())));
        match fault {
            Fault::EngineWay(_, LinkFault::None) => {}
            Fault::EngineWay(n, _) | Fault::LostConnections(n) => {
                let engines = &testbed.fleet.engines;
                let engine = engines.get(n % engines.len().max(1));
                self.disturbed.extend(engine.map(|engine| engine.spec.id.clone()));
            }
            _ => {}
        }
    }

    /// Returns whether a fault of a gateway, extended by `ANSWER_GRACE`, overlaps the time between `from` and `to`.
    fn is_disrupted(&self, gateway: usize, from: Instant, to: Instant) -> bool {
        self.disruptions.iter().any(|(n, started_at, ended_at)| {
            *n == gateway && *started_at <= to && *ended_at + ANSWER_GRACE >= from
        })
    }

    /// Checks that each gateway complied with the reports that it had received in the responses of engines.
    pub(crate) fn check(
        &self,
        arrivals: &[Arrival],
        records: &[RequestRecord],
        gateways: usize,
    ) -> Vec<String> {
        let stamps: HashMap<&str, &str> = records
            .iter()
            .filter_map(|r| Some((r.id.as_str(), r.response.head.get("response-stamp")?)))
            .collect();
        let mut by_engine: HashMap<&str, Vec<SentRequest<'_>>> = HashMap::new();
        for arrival in arrivals {
            let is_intended = arrival.head.get("expect-instance") == Some(&arrival.server);
            let number = arrival.id().strip_prefix('r').and_then(|n| n.parse::<usize>().ok());
            let (Some(number), true) = (number, is_intended) else { continue };
            let stamp = format!("by-{}", arrival.server);
            let is_answered = stamps.get(arrival.id()) == Some(&stamp.as_str());
            let sent = SentRequest { arrival, gateway: number % gateways, is_answered };
            by_engine.entry(&arrival.server).or_default().push(sent);
        }
        by_engine.values_mut().for_each(|sent| sent.sort_by_key(|s| s.arrival.at));
        let mut broken = Vec::new();
        for (engine, sent) in by_engine.iter().filter(|(id, _)| !self.disturbed.contains(**id)) {
            broken.extend(self.check_retry_after(engine, sent));
            broken.extend(self.check_leaving(engine, sent));
            let limits = self.limits.iter().filter(|limit| limit.engine == **engine);
            broken.extend(limits.filter_map(|limit| self.check_limit(limit, sent)));
        }
        broken
    }

    /// Checks the requests that each gateway sent after a refusal, until the `Retry-After` delay had ended.
    fn check_retry_after(&self, engine: &str, sent: &[SentRequest<'_>]) -> Option<String> {
        let most = sent.iter().filter(|s| !s.arrival.was_run).map(|refused| {
            let (from, to) = (refused.arrival.at + ANSWER_GRACE, refused.arrival.at + RETRY_AFTER);
            let is_exempt = self.is_disrupted(refused.gateway, refused.arrival.at, to);
            let is_in_delay = |s: &&SentRequest<'_>| {
                s.gateway == refused.gateway && (from..to).contains(&s.arrival.at)
            };
            if is_exempt { 0 } else { sent.iter().filter(is_in_delay).count() }
        });
        let most = most.max().unwrap_or(0);
        (most > MAX_DURING_RETRY_AFTER).then(|| {
            format!("{engine} received {most} requests from one gateway during a Retry-After delay")
        })
    }

    /// Checks that no gateway sent requests to a leaving engine after the grace period that follows the answer with the
    /// announcement.
    fn check_leaving(&self, engine: &str, sent: &[SentRequest<'_>]) -> Option<String> {
        let since = *self.leaving_since.get(engine)?;
        let is_late = |late: &&SentRequest<'_>| {
            sent.iter().any(|earlier| {
                earlier.is_answered
                    && earlier.gateway == late.gateway
                    && earlier.arrival.at >= since
                    && late.arrival.at > earlier.arrival.at + ANSWER_GRACE + LEAVING_GRACE
                    && !self.is_disrupted(late.gateway, earlier.arrival.at, late.arrival.at)
            })
        };
        let late = sent.iter().filter(is_late).count();
        (late > 0).then(|| {
            format!(
                "{engine} received {late} requests too long after announcing that it is leaving"
            )
        })
    }

    /// Checks the request rate under a limit, counting only gateways that have forwarded a response with it.
    fn check_limit(&self, limit: &Limit, sent: &[SentRequest<'_>]) -> Option<String> {
        let is_in_force = |at: Instant| {
            at >= limit.since + LIMIT_GRACE && limit.until.is_none_or(|until| at < until)
        };
        let is_informed = |later: &SentRequest<'_>| {
            sent.iter().any(|earlier| {
                earlier.is_answered
                    && earlier.gateway == later.gateway
                    && earlier.arrival.at >= limit.since
                    && earlier.arrival.at + ANSWER_GRACE <= later.arrival.at
                    && !self.is_disrupted(later.gateway, earlier.arrival.at, later.arrival.at)
            })
        };
        let counted: Vec<_> = sent
            .iter()
            .filter(|s| is_in_force(s.arrival.at) && is_informed(s))
            .map(|s| s.arrival.at)
            .collect();
        let count_from = |first: &Instant| {
            counted.iter().filter(|at| *at >= first && **at < *first + LIMIT_WINDOW).count()
        };
        let most = counted.iter().map(count_from).max().unwrap_or(0);
        let allowed = limit.per_second * LIMIT_WINDOW.as_secs_f64() * 1.5 + 5.0;
        (most as f64 > allowed).then(|| {
            format!(
                "{} reported a limit of {:.1} requests per second and received {most} in 4 s",
                limit.engine, limit.per_second
            )
        })
    }
}
