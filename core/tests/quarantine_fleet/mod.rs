//! Simulation, in virtual time, of a fleet of gateways whose servers end under some requests.

use redwingfold_core::{
    Admission, BackendId, EndedRun, FeedHistory, FeedUpdate, FeedUpdateOutcome, FeedView,
    Fingerprint, Mark, MarkChange, Millis, Quarantine, QuarantinePolicy,
};

const STEP_MS: u64 = 10;
/// Time after which a change at one gateway must have reached all that can call the store.
pub const CONTACT_MS: u64 = 3_000;
/// Interval between reads of the store.
const READ_INTERVAL_MS: u64 = 600;
/// Pause after a round of calls to the store.
const CALL_PAUSE_MS: u64 = 600;
/// Delay of a message.
const MESSAGE_DELAY_MS: u64 = 20;
/// Time until a server that ended is replaced by another incarnation.
const REPLACEMENT_DELAY_MS: u64 = 3_000;
/// Time from the end of a server until a gateway has probed it.
const PROBE_DELAY_MS: u64 = 10;
/// Bits of a position that hold the offset; the bits above hold the era.
const OFFSET_BITS: u32 = 44;
const MAX_SENDS: u32 = 3;
const MAX_SENT_CHANGES: usize = 24;

/// The poison request: each server that runs it ends.
pub const POISON: Fingerprint = Fingerprint(1);
/// A request that many callers send.
pub const POPULAR: Fingerprint = Fingerprint(2);

/// The load and the faults of a simulation.
#[derive(Clone, Debug)]
pub struct Load {
    pub gateways: usize,
    pub servers: usize,
    /// Interval between arrivals of the poison request, and how many arrive at once, at random gateways.
    pub poison_every: u64,
    pub poison_at_once: usize,
    /// Interval between popular requests, and between requests that are sent once.
    pub popular_every: u64,
    pub single_every: u64,
    /// Share of the messages between gateways that are lost.
    pub message_loss: f64,
    /// Interval between restarts of a random gateway, and of all.
    pub restart_every: u64,
    pub restart_all_every: u64,
    /// Outages of the store: start and end.
    pub store_outages: Vec<(u64, u64)>,
    /// Times of restores of the store, and the age of the copies.
    pub restores: Vec<(u64, u64)>,
    /// Interval between unrelated ends of servers, and the share of the servers that end.
    pub unrelated_ends: Option<(u64, f64)>,
    pub until: u64,
}

/// Results of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Sends of the poison request by gateways that can reach the store, later than `CONTACT_MS` after the third end.
    pub poison_late_sends: usize,
    pub poison_ends: usize,
    pub poison_refused: usize,
    pub popular_sent: usize,
    pub popular_refused: usize,
    /// The longest time in which all popular requests were refused.
    pub popular_gap: u64,
    pub single_sent: usize,
    pub single_refused: usize,
    /// Calls to the store, and marks in it at the end.
    pub calls: usize,
    pub marks: usize,
}

struct Gateway {
    quarantine: Quarantine,
    view: FeedView,
    past: FeedHistory<MarkChange>,
    started_at: u64,
    /// Time of the next possible call to the store, and end of the pause that applies unless something is urgent.
    next_call_at: u64,
    paused_until: u64,
    claims: Vec<(Flight, u8)>,
}

#[derive(Clone, Debug)]
struct Flight {
    gateway: usize,
    /// Start time of the gateway.
    gateway_started_at: u64,
    request: Fingerprint,
    sends: u32,
    is_trial: bool,
}

/// A request in flight on a server.
struct Run {
    flight: Flight,
    server: usize,
    sent_at: u64,
    ends_at: u64,
}

struct Server {
    incarnation: u32,
    back_at: u64,
}

struct Message {
    at: u64,
    to: usize,
    from: u64,
    next: u64,
    as_of: u64,
    changes: Vec<MarkChange>,
}

pub struct Simulation {
    load: Load,
    rng: fastrand::Rng,
    gateways: Vec<Gateway>,
    servers: Vec<Server>,
    runs: Vec<Run>,
    messages: Vec<Message>,
    /// Broken runs, and the times when the end of their server is detected.
    broken: Vec<(u64, Run, BackendId)>,
    /// Time when each mark was made, time when it was written, and the mark.
    log: Vec<(u64, u64, MarkChange)>,
    era: u64,
    third_end: Option<u64>,
    popular_served_at: u64,
    next_single: u64,
    pub outcome: Outcome,
}

fn gateway(now: u64, fleet: usize) -> Gateway {
    let mut view = FeedView::new(Millis(READ_INTERVAL_MS));
    view.set_fleet_size(fleet);
    Gateway {
        quarantine: Quarantine::new(QuarantinePolicy::default()),
        view,
        past: FeedHistory::new(MAX_SENT_CHANGES),
        started_at: now,
        next_call_at: now,
        paused_until: now,
        claims: Vec::new(),
    }
}

/// Runs a simulation.
pub fn simulate(load: Load, seed: u64) -> Outcome {
    let mut simulation = Simulation {
        gateways: (0..load.gateways).map(|_| gateway(0, load.gateways)).collect(),
        servers: (0..load.servers).map(|_| Server { incarnation: 0, back_at: 0 }).collect(),
        rng: fastrand::Rng::with_seed(seed),
        runs: Vec::new(),
        messages: Vec::new(),
        broken: Vec::new(),
        log: Vec::new(),
        era: 0,
        third_end: None,
        popular_served_at: 0,
        next_single: 1_000,
        outcome: Outcome::default(),
        load,
    };
    for now in (0..simulation.load.until).step_by(STEP_MS as usize) {
        simulation.step(now);
    }
    let mut keys: Vec<_> = simulation.log.iter().map(|(.., c)| (c.request, &c.mark)).collect();
    keys.sort();
    keys.dedup();
    let is_present = |key: &(Fingerprint, &Mark)| {
        let newest = simulation.log.iter().rev().find(|(.., c)| (c.request, &c.mark) == *key);
        newest.is_some_and(|(.., change)| change.age.is_some())
    };
    simulation.outcome.marks = keys.iter().filter(|key| is_present(key)).count();
    simulation.outcome
}

fn recurs_at(now: u64, span: u64) -> bool {
    span > 0 && now > 0 && now % span < STEP_MS
}

impl Simulation {
    fn step(&mut self, now: u64) {
        self.restart(now);
        self.restore(now);
        self.end_servers(now);
        self.finish_runs(now);
        self.detect_ends(now);
        self.deliver_messages(now);
        self.add_arrivals(now);
        (0..self.gateways.len()).for_each(|g| self.call_store(g, now));
    }

    fn restart(&mut self, now: u64) {
        let fleet = self.gateways.len();
        if recurs_at(now, self.load.restart_every) {
            let g = self.rng.usize(..fleet);
            self.gateways[g] = gateway(now, fleet);
        }
        if recurs_at(now, self.load.restart_all_every) {
            (0..fleet).for_each(|g| self.gateways[g] = gateway(now, fleet));
        }
        let gateways = &self.gateways;
        self.runs
            .retain(|run| gateways[run.flight.gateway].started_at == run.flight.gateway_started_at);
        self.broken.retain(|(_, run, _)| {
            gateways[run.flight.gateway].started_at == run.flight.gateway_started_at
        });
    }

    fn restore(&mut self, now: u64) {
        let copy = self.load.restores.iter().find(|(at, _)| now >= *at && now < at + STEP_MS);
        if let Some((_, age)) = copy {
            let copied_at = now.saturating_sub(*age);
            self.log.retain(|(_, written_at, _)| *written_at <= copied_at);
            self.era += 1;
        }
    }

    fn is_store_away(&self, now: u64) -> bool {
        self.load.store_outages.iter().any(|(from, until)| (*from..*until).contains(&now))
    }

    fn is_in_touch(&self, g: usize, now: u64) -> bool {
        let since = now.saturating_sub(CONTACT_MS);
        let is_store_stable =
            self.load.store_outages.iter().all(|(from, until)| now < *from || since >= *until)
                && self.load.restores.iter().all(|(at, _)| now < *at || since >= *at);
        is_store_stable && self.gateways[g].started_at <= since
    }

    /// Lets requests arrive.
    fn add_arrivals(&mut self, now: u64) {
        if recurs_at(now, self.load.poison_every) {
            (0..self.load.poison_at_once).for_each(|_| self.arrive(POISON, now));
        }
        if recurs_at(now, self.load.popular_every) {
            self.arrive(POPULAR, now);
        }
        if recurs_at(now, self.load.single_every) {
            self.next_single += 1;
            self.arrive(Fingerprint(self.next_single), now);
        }
    }

    fn arrive(&mut self, request: Fingerprint, now: u64) {
        let gateway = self.rng.usize(..self.gateways.len());
        let gateway_started_at = self.gateways[gateway].started_at;
        let flight = Flight { gateway, gateway_started_at, request, sends: 0, is_trial: false };
        match self.gateways[gateway].quarantine.admission(request, Millis(now)) {
            Admission::Allowed => self.send(flight, now),
            Admission::Refused(_) => self.refuse(request, now),
            Admission::Trial(number) => {
                let gateway = &mut self.gateways[gateway];
                gateway.quarantine.record_claim(request, Millis(now));
                gateway.claims.push((flight, number));
            }
        }
    }

    fn refuse(&mut self, request: Fingerprint, now: u64) {
        match request {
            POISON => self.outcome.poison_refused += 1,
            POPULAR => {
                self.outcome.popular_refused += 1;
                let gap = now - self.popular_served_at;
                self.outcome.popular_gap = self.outcome.popular_gap.max(gap);
            }
            _ => self.outcome.single_refused += 1,
        }
    }

    fn send(&mut self, mut flight: Flight, now: u64) {
        let up: Vec<_> =
            (0..self.servers.len()).filter(|s| self.servers[*s].back_at <= now).collect();
        if up.is_empty() {
            return;
        }
        let server = up[self.rng.usize(..up.len())];
        flight.sends += 1;
        match flight.request {
            POISON => {
                let later = self.third_end.is_some_and(|at| now > at + CONTACT_MS);
                if later && self.is_in_touch(flight.gateway, now) {
                    self.outcome.poison_late_sends += 1;
                }
            }
            POPULAR if flight.sends == 1 => {
                self.outcome.popular_sent += 1;
                self.popular_served_at = now;
            }
            _ if flight.sends == 1 => self.outcome.single_sent += 1,
            _ => {}
        }
        let duration = match flight.request {
            POISON => self.rng.u64(30..400),
            _ => self.rng.u64(50..1_500),
        };
        self.runs.push(Run { flight, server, sent_at: now, ends_at: now + duration });
    }

    fn finish_runs(&mut self, now: u64) {
        let done: Vec<_> = self.runs.extract_if(.., |run| run.ends_at <= now).collect();
        let (deadly, good): (Vec<_>, Vec<_>) =
            done.into_iter().partition(|run| run.flight.request == POISON);
        for run in good {
            let gateway = &mut self.gateways[run.flight.gateway];
            gateway.quarantine.record_answer(run.flight.request, Millis(now));
        }
        for run in deadly {
            let server = run.server;
            self.runs.push(run);
            self.outcome.poison_ends += 1;
            if self.outcome.poison_ends == 3 {
                self.third_end = Some(now);
            }
            self.end_server(server, now);
        }
    }

    /// Ends a server, which breaks all its runs.
    fn end_server(&mut self, server: usize, now: u64) {
        let id = format!("s{server}-{}", self.servers[server].incarnation);
        self.servers[server].incarnation += 1;
        self.servers[server].back_at = now + REPLACEMENT_DELAY_MS;
        let broken: Vec<_> = self.runs.extract_if(.., |run| run.server == server).collect();
        let id = BackendId::from(id.as_str());
        self.broken.extend(broken.into_iter().map(|run| (now + PROBE_DELAY_MS, run, id.clone())));
    }

    fn end_servers(&mut self, now: u64) {
        let Some((span, part)) = self.load.unrelated_ends else { return };
        if recurs_at(now, span) {
            for server in 0..self.servers.len() {
                if self.servers[server].back_at <= now && self.rng.f64() < part {
                    self.end_server(server, now);
                }
            }
        }
    }

    /// Lets gateways detect ends and retry the broken runs.
    fn detect_ends(&mut self, now: u64) {
        let known: Vec<_> = self.broken.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, run, server) in known {
            let request = run.flight.request;
            let gateway = &mut self.gateways[run.flight.gateway];
            let broken = EndedRun { request, sent_at: Millis(run.sent_at) };
            gateway.quarantine.record_end(&server, broken, Millis(now));
            let quarantine = &mut gateway.quarantine;
            let may_resend = !run.flight.is_trial && run.flight.sends < MAX_SENDS;
            match quarantine.admission(request, Millis(now)) {
                Admission::Allowed if may_resend => self.send(run.flight, now),
                Admission::Trial(number) if may_resend => {
                    quarantine.record_claim(request, Millis(now));
                    self.gateways[run.flight.gateway].claims.push((run.flight, number));
                }
                _ => quarantine.expedite_marks(request, Millis(now)),
            }
        }
    }

    fn deliver_messages(&mut self, now: u64) {
        for message in self.messages.extract_if(.., |message| message.at <= now).collect::<Vec<_>>()
        {
            let gateway = &mut self.gateways[message.to];
            let from = gateway.view.next();
            let update = FeedUpdate {
                from: message.from,
                next: message.next,
                age: Millis(now - message.as_of),
            };
            let heard = gateway.view.apply_update(update, Millis(now), self.rng.u64(..));
            if let (FeedUpdateOutcome::Applies, Some(from)) = (heard, from) {
                gateway.past.add(from, message.next, message.changes.clone());
                gateway.quarantine.apply_changes(&message.changes, Millis(now));
            }
        }
    }

    fn call_store(&mut self, g: usize, now: u64) {
        let gateway = &self.gateways[g];
        let is_write_due = gateway.quarantine.next_due_at().is_some_and(|at| at.0 <= now);
        let is_due = gateway.view.is_due(Millis(now)) || is_write_due;
        let is_urgent = gateway.quarantine.is_urgent() || !gateway.claims.is_empty();
        let is_pause_over = gateway.paused_until <= now || is_urgent;
        if gateway.next_call_at > now || !is_pause_over || (!is_due && gateway.claims.is_empty()) {
            return;
        }
        let claims = std::mem::take(&mut self.gateways[g].claims);
        self.outcome.calls += 1;
        if self.is_store_away(now) {
            self.gateways[g].next_call_at = now + self.rng.u64(700..1_600);
            claims.iter().for_each(|(flight, _)| self.refuse(flight.request, now));
            return;
        }
        for (mut flight, number) in claims {
            self.read(g, now);
            if self.gateways[g].quarantine.last_trial(flight.request) >= number {
                self.refuse(flight.request, now);
                continue;
            }
            let mark = Mark::Trial(number);
            self.append(MarkChange { request: flight.request, mark, age: Some(Millis(0)) }, now);
            flight.is_trial = true;
            self.send(flight, now);
        }
        let due = self.gateways[g].quarantine.due_changes(Millis(now), 500);
        due.iter().for_each(|change| self.append(change.clone(), now));
        self.gateways[g].quarantine.confirm_written(&due);
        let is_due = self.gateways[g].view.is_due(Millis(now));
        if is_due || is_urgent {
            self.outcome.calls += usize::from(!due.is_empty());
            self.read(g, now);
        }
        self.gateways[g].quarantine.take_urgent();
        self.gateways[g].paused_until = now + CALL_PAUSE_MS;
    }

    fn append(&mut self, change: MarkChange, now: u64) {
        let made_at = now - change.age.map_or(0, |age| age.0).min(now);
        self.log.push((made_at, now, change));
    }

    fn read(&mut self, g: usize, now: u64) {
        let end = (self.era << OFFSET_BITS) | self.log.len() as u64;
        let aged = |(at, _, c): &(u64, u64, MarkChange)| MarkChange {
            age: c.age.map(|_| Millis(now - at)),
            ..c.clone()
        };
        let gateway = &mut self.gateways[g];
        let known = gateway.view.next().filter(|next| next >> OFFSET_BITS == self.era);
        let offset = known.map_or(0, |known| known & ((1 << OFFSET_BITS) - 1));
        let changes: Vec<_> = self.log[offset as usize..].iter().map(aged).collect();
        let is_older = gateway.view.highest_next().is_some_and(|was| was >> OFFSET_BITS < self.era);
        if known.is_none() && is_older {
            let (fleet, draw) = (gateway.view.fleet_size(), self.rng.u64(..));
            gateway.quarantine.apply_restored_snapshot(&changes, fleet, Millis(now), draw);
        } else {
            gateway.quarantine.apply_changes(&changes, Millis(now));
        }
        gateway.view.record_read(Millis(now), end, self.rng.u64(..));
        gateway.past.add(
            known.unwrap_or(end),
            end,
            if known.is_some() { changes } else { Vec::new() },
        );
        let (from, changes) = gateway.past.recent_changes().unwrap_or((end, Vec::new()));
        for to in (0..self.gateways.len()).filter(|to| *to != g) {
            if self.rng.f64() >= self.load.message_loss {
                let changes = changes.clone();
                let at = now + MESSAGE_DELAY_MS;
                self.messages.push(Message { at, to, from, next: end, as_of: now, changes });
            }
        }
    }
}
