//! Simulation, in virtual time, of gateways that send requests to the free slots of servers.

use std::collections::VecDeque;

use redwingfold_core::{HeadroomPolicy, LoadSample, Millis, Run, RunTimes, ServerFacts};

const STEP_MS: u64 = 5;

/// Maximum time that a message takes in one direction.
const MAX_DELAY_MS: u64 = 20;

/// Interval at which gateways send each other the reports that they have.
const PEER_INTERVAL_MS: u64 = 1_000;

/// Time until a gateway that has started knows the size of the fleet.
const DISCOVERY_MS: u64 = 4_000;

/// Cycle of slow hosts, and the part of it in which a host is slow.
const SLOW_CYCLE_MS: u64 = 12_000;
const SLOW_MS: u64 = 2_000;

/// How much slower it is then.
const SLOW_FACTOR: f64 = 2.5;

/// A way to share free slots.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sharing {
    /// Each gateway uses its part; the way in use.
    Parts,
    /// Each gateway uses all free slots that were reported, or all slots without a report.
    All,
}

/// What happens to the gateways or servers at `Load::fault_at`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    None,
    /// Gateways no longer receive reports from each other.
    CutOff,
    /// One gateway restarts.
    OneNew,
    /// All gateways restart; what they sent before still runs.
    AllNew,
    /// Half of the servers end; their requests return at once.
    HalfOfServersGone,
}

#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub gateways: usize,
    pub servers: usize,
    pub slots: u32,
    /// Mean duration of runs; each takes between half of it and one and a half times as long.
    pub run_ms: u64,
    /// Requests per second at all gateways combined.
    pub per_s: f64,
    /// Time and length of a burst with seven times as many requests.
    pub burst: Option<(u64, u64)>,
    pub fault: Fault,
    pub fault_at: u64,
    /// Whether each host is slow for a sixth of the time, one after another.
    pub slow_hosts: bool,
    pub duration_ms: u64,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Most requests at one server beyond its slots, at any time.
    pub beyond: usize,
    /// Requests that waited at a server for longer than 500 ms.
    pub waited: usize,
    /// Longest wait at a server.
    pub longest_wait_ms: u64,
    /// Runs that were completed after the fault.
    pub completed: usize,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    gateway: usize,
    /// Restarts of the gateway before the request was sent.
    restarts: u32,
    sent_at: u64,
    arrives_at: u64,
    work_ms: f64,
}

#[derive(Clone, Debug, Default)]
struct Server {
    is_gone: bool,
    arriving: Vec<Request>,
    waiting: VecDeque<Request>,
    /// Running requests, each with the time of its start.
    running: Vec<(Request, u64)>,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    running: u32,
    waiting: u32,
    made_at: u64,
}

#[derive(Clone, Debug, Default)]
struct Gateway {
    restarts: u32,
    started_at: Option<u64>,
    pending: usize,
    reports: Vec<Option<Report>>,
    /// The requests at each server.
    sent: Vec<Vec<Sent>>,
    times: RunTimes,
}

/// A request of a gateway that is at a server.
#[derive(Clone, Copy, Debug)]
struct Sent {
    sent_at: u64,
    /// Whether its first event has arrived, so that the newest report includes it.
    has_started: bool,
}

/// An answer or its first event on its way to a gateway.
#[derive(Clone, Copy, Debug)]
struct Message {
    server: usize,
    request: Request,
    report: Report,
    arrives_at: u64,
    /// Duration of the run, if it has ended.
    took: Option<u64>,
}

struct Fleet {
    load: Load,
    sharing: Sharing,
    rng: fastrand::Rng,
    servers: Vec<Server>,
    gateways: Vec<Gateway>,
    messages: Vec<Message>,
    outcome: Outcome,
}

/// Simulates a load and returns the worst values over seeds, and the sums of the requests that waited or completed.
pub fn worst(sharing: Sharing, load: Load, seeds: u64) -> Outcome {
    let outcomes = (1..=seeds).map(|seed| Fleet::new(sharing, load, seed).run());
    let worse = |a: Outcome, b: Outcome| Outcome {
        beyond: a.beyond.max(b.beyond),
        waited: a.waited + b.waited,
        longest_wait_ms: a.longest_wait_ms.max(b.longest_wait_ms),
        completed: a.completed + b.completed,
    };
    outcomes.reduce(worse).unwrap_or_default()
}

impl Fleet {
    fn new(sharing: Sharing, load: Load, seed: u64) -> Self {
        let gateway = Gateway {
            reports: vec![None; load.servers],
            sent: vec![Vec::new(); load.servers],
            ..Gateway::default()
        };
        Self {
            load,
            sharing,
            rng: fastrand::Rng::with_seed(seed),
            servers: vec![Server::default(); load.servers],
            gateways: vec![gateway; load.gateways],
            messages: Vec::new(),
            outcome: Outcome::default(),
        }
    }

    fn run(mut self) -> Outcome {
        for now in (0..self.load.duration_ms).step_by(STEP_MS as usize) {
            if now == self.load.fault_at {
                self.start_fault(now);
            }
            self.add_requests(now);
            (0..self.servers.len()).for_each(|server| self.step_server(server, now));
            self.deliver(now);
            if now.is_multiple_of(PEER_INTERVAL_MS) && !self.is_cut_off(now) {
                self.exchange_reports();
            }
            for _ in 0..self.gateways.len() {
                let gateway = self.rng.usize(..self.gateways.len());
                self.send_pending(gateway, now);
            }
        }
        self.outcome
    }

    fn is_cut_off(&self, now: u64) -> bool {
        self.load.fault == Fault::CutOff && now >= self.load.fault_at
    }

    fn start_fault(&mut self, now: u64) {
        match self.load.fault {
            Fault::None | Fault::CutOff => {}
            Fault::OneNew => self.restart(0, now),
            Fault::AllNew => {
                (0..self.gateways.len()).for_each(|gateway| self.restart(gateway, now))
            }
            Fault::HalfOfServersGone => {
                let half = self.servers.len() / 2;
                for server in &mut self.servers[..half] {
                    *server = Server { is_gone: true, ..Server::default() };
                }
                for gateway in &mut self.gateways {
                    gateway.pending += gateway.sent[..half].iter().map(Vec::len).sum::<usize>();
                    gateway.sent[..half].iter_mut().for_each(Vec::clear);
                }
                self.messages.retain(|message| message.server >= half);
            }
        }
    }

    /// Restarts a gateway, whose callers return at once.
    fn restart(&mut self, gateway: usize, now: u64) {
        let servers = self.load.servers;
        let gateway = &mut self.gateways[gateway];
        let sent: usize = gateway.sent.iter().map(Vec::len).sum();
        *gateway = Gateway {
            restarts: gateway.restarts + 1,
            started_at: Some(now),
            pending: gateway.pending + sent,
            reports: vec![None; servers],
            sent: vec![Vec::new(); servers],
            ..Gateway::default()
        };
    }

    fn add_requests(&mut self, now: u64) {
        let is_burst = self.load.burst.is_some_and(|(at, ms)| (at..at + ms).contains(&now));
        let per_s = if is_burst { 7.0 * self.load.per_s } else { self.load.per_s };
        let mean = per_s * STEP_MS as f64 / 1_000.0;
        let count = mean as usize + usize::from(self.rng.f64() < mean.fract());
        for _ in 0..count {
            let gateway = self.rng.usize(..self.gateways.len());
            self.gateways[gateway].pending += 1;
        }
    }

    fn step_server(&mut self, index: usize, now: u64) {
        let server = &mut self.servers[index];
        if server.is_gone {
            return;
        }
        let (arrived, arriving) =
            server.arriving.drain(..).partition(|request| request.arrives_at <= now);
        server.arriving = arriving;
        let arrived: Vec<Request> = arrived;
        server.waiting.extend(arrived);
        let slow_at = (index as u64 * SLOW_CYCLE_MS / self.load.servers as u64) % SLOW_CYCLE_MS;
        let phase = (now + SLOW_CYCLE_MS - slow_at) % SLOW_CYCLE_MS;
        let is_slow = self.load.slow_hosts && phase < SLOW_MS;
        let done = STEP_MS as f64 / if is_slow { SLOW_FACTOR } else { 1.0 };
        server.running.iter_mut().for_each(|(request, _)| request.work_ms -= done);
        let (ended, running) = server.running.drain(..).partition(|(r, _)| r.work_ms <= 0.0);
        server.running = running;
        let ended: Vec<(Request, u64)> = ended;
        let mut answers: Vec<_> = ended.iter().map(|(r, at)| (*r, Some(now - at))).collect();
        self.outcome.completed += if now >= self.load.fault_at { ended.len() } else { 0 };
        while server.running.len() < self.load.slots as usize {
            let Some(request) = server.waiting.pop_front() else { break };
            server.running.push((request, now));
            let waited = now - request.arrives_at;
            self.outcome.waited += usize::from(waited > 500);
            self.outcome.longest_wait_ms = self.outcome.longest_wait_ms.max(waited);
            answers.push((request, None));
        }
        self.outcome.beyond = self.outcome.beyond.max(server.waiting.len());
        let report = Report {
            running: server.running.len() as u32,
            waiting: server.waiting.len() as u32,
            made_at: now,
        };
        for (request, took) in answers {
            let arrives_at = now + self.rng.u64(1..=MAX_DELAY_MS);
            self.messages.push(Message { server: index, request, report, arrives_at, took });
        }
    }

    fn deliver(&mut self, now: u64) {
        let (due, rest): (Vec<_>, Vec<_>) =
            self.messages.drain(..).partition(|message| message.arrives_at <= now);
        self.messages = rest;
        for Message { server, request, report, took, .. } in due {
            let gateway = &mut self.gateways[request.gateway];
            if gateway.restarts != request.restarts {
                continue;
            }
            let sent = &mut gateway.sent[server];
            let Some(at) = sent.iter().position(|sent| sent.sent_at == request.sent_at) else {
                continue;
            };
            match took {
                None => sent[at].has_started = true,
                Some(took) => {
                    sent.swap_remove(at);
                    gateway.times.record(&"drafts".into(), Millis(took), 1_000);
                }
            }
            let known = &mut gateway.reports[server];
            if known.is_none_or(|known| known.made_at < report.made_at) {
                *known = Some(report);
            }
        }
    }

    fn exchange_reports(&mut self) {
        for server in 0..self.servers.len() {
            let reports = self.gateways.iter().filter_map(|gateway| gateway.reports[server]);
            let newest = reports.max_by_key(|report| report.made_at);
            self.gateways.iter_mut().for_each(|gateway| gateway.reports[server] = newest);
        }
    }

    fn facts(&self, gateway: usize, server: usize, now: u64) -> ServerFacts {
        let gateway = &self.gateways[gateway];
        let (sent, report) = (&gateway.sent[server], gateway.reports[server]);
        let made_at = report.map_or(0, |report| report.made_at);
        let is_unseen = |s: &&Sent| !s.has_started && s.sent_at + MAX_DELAY_MS >= made_at;
        let unseen = sent.iter().filter(is_unseen).count();
        ServerFacts {
            slots: self.load.slots,
            report: report.map(|Report { running, waiting, made_at }| LoadSample {
                running,
                waiting,
                age: Millis(now - made_at),
            }),
            own_running: sent.len() as u32,
            sent_since_report: unseen as u32,
            ..ServerFacts::default()
        }
    }

    fn fleet_size(&self, gateway: usize, now: u64) -> usize {
        let started_at = self.gateways[gateway].started_at;
        let is_new = started_at.is_some_and(|at| now < at + DISCOVERY_MS);
        match self.sharing {
            Sharing::All => 1,
            Sharing::Parts if is_new => 0,
            Sharing::Parts => self.load.gateways,
        }
    }

    fn send_pending(&mut self, gateway: usize, now: u64) {
        while self.gateways[gateway].pending > 0 {
            let fleet = self.fleet_size(gateway, now);
            let run = self.gateways[gateway].times.run(&"drafts".into());
            let run = Run { tokens: 0, ..run };
            let free = |server: usize| {
                let facts = self.facts(gateway, server, now);
                HeadroomPolicy::default().server(&facts, run, fleet).free_slots
            };
            let first = self.rng.clone().usize(..self.servers.len());
            let servers = (0..self.servers.len()).map(|n| (first + n) % self.servers.len());
            let best = servers
                .filter(|server| !self.servers[*server].is_gone)
                .map(|server| (free(server), server))
                .max_by(|a, b| a.0.total_cmp(&b.0));
            let Some((1.0.., server)) = best else { break };
            self.send(gateway, server, now);
        }
    }

    fn send(&mut self, gateway: usize, server: usize, now: u64) {
        let work_ms = self.load.run_ms as f64 * (0.5 + self.rng.f64());
        let sender = &mut self.gateways[gateway];
        sender.pending -= 1;
        sender.sent[server].push(Sent { sent_at: now, has_started: false });
        let request = Request {
            gateway,
            restarts: sender.restarts,
            sent_at: now,
            arrives_at: now + self.rng.u64(1..=MAX_DELAY_MS),
            work_ms,
        };
        self.servers[server].arriving.push(request);
    }
}
