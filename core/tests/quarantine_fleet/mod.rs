//! Simulation, in virtual time, of a fleet of gateways whose servers end under some requests.

mod load;

pub use load::{Load, Place, PromptLoad};
use redwingfold_core::{
    BackendId, EndedRun, FeedHistory, FeedUpdate, FeedUpdateOutcome, FeedView, Fingerprint, Mark,
    MarkChange, Millis, Quarantine, QuarantinePolicy, RequestAdmission, SuspectTrial,
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

/// Number of ends under a deadly prompt part after which it must be quarantined.
const PART_ENDS: usize = 5;
/// Base of the ids of first parts, subjects and deadly parts of prompts.
const FIRST_PARTS: u64 = 1_000_000;
const SUBJECTS: u64 = 2_000_000;
const DEADLY_PARTS: u64 = 3_000_000;

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
    /// For each deadly part, the sends of requests with it by gateways that can reach the store, later than `CONTACT_MS`
    /// after the fifth end under it.
    pub part_late_sends: Vec<usize>,
    pub part_ends: Vec<usize>,
    pub part_refused: usize,
    /// Sound requests with prompts: all, and those that were refused.
    pub sound: Counted,
    /// Those that arrived later than twice `CONTACT_MS` after the fifth end under a deadly part.
    pub late_sound: Counted,
    /// Those of them that had the subject of a deadly part.
    pub late_subject: Counted,
    /// Calls to the store, and marks in it at the end.
    pub calls: usize,
    pub marks: usize,
}

/// Requests that arrived, and those of them that were refused as quarantined.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counted {
    pub arrived: usize,
    pub refused: usize,
}

struct Gateway {
    quarantine: Quarantine,
    view: FeedView,
    past: FeedHistory<MarkChange>,
    started_at: u64,
    /// Time of the next possible call to the store, and end of the pause that applies unless something is urgent.
    next_call_at: u64,
    paused_until: u64,
    claims: Vec<(Flight, Vec<SuspectTrial>)>,
}

#[derive(Clone, Debug)]
struct Flight {
    gateway: usize,
    /// Start time of the gateway.
    gateway_started_at: u64,
    request: Fingerprint,
    /// Shared parts of the prompt.
    parts: Vec<Fingerprint>,
    /// Index of its deadly part.
    deadly: Option<usize>,
    subject: u64,
    sends: u32,
    is_trial: bool,
}

impl Flight {
    fn keys(&self) -> Vec<Fingerprint> {
        std::iter::once(self.request).chain(self.parts.iter().copied()).collect()
    }

    fn ends_servers(&self) -> bool {
        self.request == POISON || self.deadly.is_some()
    }
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
    /// Time of the fifth end under each deadly part.
    fifth_ends: Vec<Option<u64>>,
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
    let deadly_parts = load.prompts.as_ref().map_or(0, |prompts| prompts.deadly_parts);
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
        fifth_ends: vec![None; deadly_parts],
        popular_served_at: 0,
        next_single: 1_000,
        outcome: Outcome {
            part_late_sends: vec![0; deadly_parts],
            part_ends: vec![0; deadly_parts],
            ..Outcome::default()
        },
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
        if let Some(prompts) = self.load.prompts.clone() {
            self.add_prompts(&prompts, now);
        }
    }

    fn add_prompts(&mut self, prompts: &PromptLoad, now: u64) {
        if recurs_at(now, prompts.sound_every) {
            for _ in 0..prompts.sound_at_once {
                let subject = self.rng.u64(..prompts.subjects);
                self.arrive_with_prompt(prompts, subject, None, now);
            }
        }
        if recurs_at(now, prompts.deadly_every) && now < prompts.deadly_until {
            for n in 0..prompts.deadly_parts * prompts.deadly_at_once {
                let deadly = n % prompts.deadly_parts;
                let mixed = self.rng.u64(..prompts.subjects);
                let subject = if prompts.is_mixed { mixed } else { deadly as u64 };
                self.arrive_with_prompt(prompts, subject, Some(deadly), now);
            }
        }
    }

    fn arrive_with_prompt(
        &mut self,
        prompts: &PromptLoad,
        subject: u64,
        deadly: Option<usize>,
        now: u64,
    ) {
        let mut ids = vec![FIRST_PARTS + subject % prompts.first_parts, SUBJECTS + subject];
        if let Some(deadly) = deadly {
            let at = match prompts.place {
                Place::First => 0,
                Place::Middle => 1,
                Place::Last => 2,
            };
            ids.insert(at, DEADLY_PARTS + deadly as u64);
        }
        self.next_single += 1;
        let parts = ids.into_iter().map(Fingerprint::of_prompt_part).collect();
        let request = Fingerprint(self.next_single);
        let deadly = deadly.filter(|_| now >= prompts.deadly_from);
        let flight = Flight { parts, deadly, subject, ..self.flight(request) };
        if deadly.is_none() {
            self.count_sound(&flight, now, |counted| counted.arrived += 1);
        }
        self.admit(flight, now);
    }

    /// Counts a sound request with a prompt.
    fn count_sound(&mut self, flight: &Flight, now: u64, count: impl Fn(&mut Counted)) {
        count(&mut self.outcome.sound);
        let is_late = |at: &Option<u64>| at.is_some_and(|at| now > at + 2 * CONTACT_MS);
        if self.fifth_ends.iter().any(is_late) {
            count(&mut self.outcome.late_sound);
            if (flight.subject as usize) < self.fifth_ends.len() {
                count(&mut self.outcome.late_subject);
            }
        }
    }

    fn flight(&mut self, request: Fingerprint) -> Flight {
        let gateway = self.rng.usize(..self.gateways.len());
        let gateway_started_at = self.gateways[gateway].started_at;
        let parts = Vec::new();
        Flight {
            gateway,
            gateway_started_at,
            request,
            parts,
            deadly: None,
            subject: 0,
            sends: 0,
            is_trial: false,
        }
    }

    fn arrive(&mut self, request: Fingerprint, now: u64) {
        let flight = self.flight(request);
        self.admit(flight, now);
    }

    fn admit(&mut self, flight: Flight, now: u64) {
        let gateway = &mut self.gateways[flight.gateway];
        match gateway.quarantine.request_admission(&flight.keys(), Millis(now)) {
            RequestAdmission::Allowed => self.send(flight, now),
            RequestAdmission::Refused { .. } => self.refuse(&flight, now),
            RequestAdmission::Trial(trials) => {
                let claim =
                    |t: &SuspectTrial| gateway.quarantine.record_claim(t.suspect, Millis(now));
                trials.iter().for_each(claim);
                gateway.claims.push((flight, trials));
            }
        }
    }

    fn refuse(&mut self, flight: &Flight, now: u64) {
        match flight.request {
            POISON => self.outcome.poison_refused += 1,
            _ if flight.deadly.is_some() => self.outcome.part_refused += 1,
            _ if !flight.parts.is_empty() => {
                self.count_sound(flight, now, |counted| counted.refused += 1);
            }
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
            let quarantine = &mut self.gateways[flight.gateway].quarantine;
            flight.keys().iter().for_each(|key| quarantine.expedite_marks(*key, Millis(now)));
            return;
        }
        let server = up[self.rng.usize(..up.len())];
        flight.sends += 1;
        if let Some(deadly) = flight.deadly {
            let later = self.fifth_ends[deadly].is_some_and(|at| now > at + CONTACT_MS);
            if later && self.is_in_touch(flight.gateway, now) {
                self.outcome.part_late_sends[deadly] += 1;
            }
        }
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
            _ if flight.sends == 1 && flight.parts.is_empty() => self.outcome.single_sent += 1,
            _ => {}
        }
        let max_duration = self.load.prompts.as_ref().map_or(1_500, |p| p.max_duration);
        let duration = match flight.request {
            _ if flight.ends_servers() => self.rng.u64(30..400),
            _ if !flight.parts.is_empty() => self.rng.u64(50..max_duration),
            _ => self.rng.u64(50..1_500),
        };
        self.runs.push(Run { flight, server, sent_at: now, ends_at: now + duration });
    }

    fn finish_runs(&mut self, now: u64) {
        let done: Vec<_> = self.runs.extract_if(.., |run| run.ends_at <= now).collect();
        let (deadly, good): (Vec<_>, Vec<_>) =
            done.into_iter().partition(|run| run.flight.ends_servers());
        for run in good {
            let gateway = &mut self.gateways[run.flight.gateway];
            for key in run.flight.keys() {
                gateway.quarantine.record_answer(key, Millis(now));
            }
        }
        for run in deadly {
            let server = run.server;
            match run.flight.deadly {
                Some(deadly) => {
                    self.outcome.part_ends[deadly] += 1;
                    if self.outcome.part_ends[deadly] == PART_ENDS {
                        self.fifth_ends[deadly] = Some(now);
                    }
                }
                None => {
                    self.outcome.poison_ends += 1;
                    if self.outcome.poison_ends == 3 {
                        self.third_end = Some(now);
                    }
                }
            }
            self.runs.push(run);
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
            let keys = run.flight.keys();
            let max_sends = match &self.load.prompts {
                Some(prompts) if !run.flight.parts.is_empty() => prompts.max_sends,
                _ => MAX_SENDS,
            };
            let quarantine = &mut self.gateways[run.flight.gateway].quarantine;
            for request in &keys {
                let broken = EndedRun { request: *request, sent_at: Millis(run.sent_at) };
                quarantine.record_end(&server, broken, Millis(now));
            }
            let may_resend = !run.flight.is_trial && run.flight.sends < max_sends;
            match quarantine.request_admission(&keys, Millis(now)) {
                RequestAdmission::Allowed if may_resend => self.send(run.flight, now),
                RequestAdmission::Trial(trials) if may_resend => {
                    trials.iter().for_each(|t| quarantine.record_claim(t.suspect, Millis(now)));
                    self.gateways[run.flight.gateway].claims.push((run.flight, trials));
                }
                _ => keys.iter().for_each(|key| quarantine.expedite_marks(*key, Millis(now))),
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
            claims.iter().for_each(|(flight, _)| self.refuse(flight, now));
            return;
        }
        for (mut flight, trials) in claims {
            self.read(g, now);
            let quarantine = &self.gateways[g].quarantine;
            if trials.iter().any(|t| quarantine.last_trial(t.suspect) >= t.number) {
                match quarantine.request_admission(&flight.keys(), Millis(now)) {
                    RequestAdmission::Allowed => self.send(flight, now),
                    _ => self.refuse(&flight, now),
                }
                continue;
            }
            let is_open = |key: &Fingerprint| trials.iter().all(|trial| trial.suspect != *key);
            let others: Vec<_> = flight.keys().into_iter().filter(is_open).collect();
            if quarantine.request_admission(&others, Millis(now)) != RequestAdmission::Allowed {
                self.refuse(&flight, now);
                continue;
            }
            for SuspectTrial { suspect, number } in trials {
                let mark = Mark::Trial(number);
                self.append(MarkChange { request: suspect, mark, age: Some(Millis(0)) }, now);
            }
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
