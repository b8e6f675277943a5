//! Simulation, in virtual time, of gateways that share the limited request rate of backend servers.

#![allow(dead_code, reason = "each test file uses its part")]

use std::collections::HashMap;
use std::rc::Rc;

use redwingfold_core::{BackendId, Millis, RequestRate, SendTurns};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Maximum time until a gateway receives the record of a new server.
const RECORD_DELAY_MS: u64 = 600;

/// Maximum time until a gateway learns that a known server is cold again.
const LATE_RECORD_DELAY_MS: u64 = 2_000;

/// Initial value of a common clock, in milliseconds.
const CLOCK_START_MS: i64 = 10_000_000;

/// Poll interval of requests that wait for a turn.
const POLL_INTERVAL_MS: u64 = 10;

/// Time over which gateways restart, and in which each receives messages from all others.
const START_SPREAD_MS: u64 = 400;
const DISCOVERY_MS: u64 = 4_000;

/// A way to share the rate that a cold server accepts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sharing {
    /// Turns at random times that expire if unused; the way in use.
    Turns,
    /// A share of the rate for each gateway, accumulated up to one request.
    TokenBucket,
    /// One gateway per server with the whole rate, selected by rendezvous hashing among the known gateways.
    Owner,
    /// Time slots of a common clock, in the order of the known gateways.
    TimeSlots,
    /// No limit.
    Unlimited,
}

/// Errors in the state of the gateways.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// No error.
    None,
    /// Each knows half of the others.
    HalfKnown,
    /// All have just started and know no others at first.
    Restarted,
    /// Clocks differ by up to half a second.
    ClockSkew,
    /// A third of the others are dead.
    DeadGateways,
    /// Servers became cold again under the same ids, which gateways learn late.
    LateRecords,
}

/// The load of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub gateways: usize,
    pub cold: usize,
    pub warm: usize,
    /// Requests per second at all gateways combined.
    pub per_s: f64,
    /// Limit of each cold server, in requests per second.
    pub limit: f64,
    /// Target rate of all gateways combined, given the limit and the fleet size that a gateway knows.
    pub target_rate: fn(f64, usize) -> RequestRate,
    /// Simulated time.
    pub duration: Millis,
    /// Sliding window over which requests are counted.
    pub window: Millis,
    /// Time of a burst of ten times as many requests for 0.1 s.
    pub burst_at: Option<u64>,
}

/// Results of a simulation.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Maximum number of requests that a server got within any window.
    pub most: usize,
    /// Mean requests per second at a cold server.
    pub mean: f64,
    /// Lowest requests per second at any cold server.
    pub least: f64,
}

struct Gateway {
    /// Itself and the others that it knows at the end.
    known_gateways: Vec<usize>,
    ids: Rc<[BackendId]>,
    starts_at: u64,
    clock_offset: i64,
    turns: SendTurns,
    /// By server: time of the last send of this gateway, or start of its accumulation.
    sent_at: HashMap<usize, f64>,
    record_arrives_at: Vec<u64>,
    pending: u32,
}

impl Gateway {
    /// Returns the gateways that it knows at a time, including itself.
    fn known(&self, at: u64, fault: Fault) -> &[usize] {
        let part = match fault {
            Fault::Restarted => {
                (at.saturating_sub(self.starts_at) as f64 / DISCOVERY_MS as f64).min(1.0)
            }
            _ => 1.0,
        };
        let others = self.known_gateways.len() - 1;
        &self.known_gateways[..=(others as f64 * part) as usize]
    }

    fn may_send(
        &mut self,
        sharing: Sharing,
        server: usize,
        at: u64,
        fault: Fault,
        load: Load,
    ) -> bool {
        let fleet = self.turns.fleet(Millis(at));
        let target = (load.target_rate)(load.limit, fleet);
        let rate = target.per_second();
        let (own, known) = (self.known_gateways[0], self.known(at, fault).len());
        let since = at as f64 - self.sent_at.get(&server).copied().unwrap_or(f64::MIN);
        match sharing {
            Sharing::Unlimited => true,
            Sharing::Turns => {
                self.turns.record_fleet(known, Millis(at));
                let draw = xxh3_64_with_seed(&own.to_le_bytes(), at ^ ((server as u64) << 20));
                self.turns.wait(&self.ids[server], target, Millis(at), draw) == Millis(0)
            }
            Sharing::TokenBucket => since >= known as f64 * 1000.0 / rate,
            Sharing::Owner => {
                let score = |g: &&usize| xxh3_64_with_seed(&g.to_le_bytes(), server as u64);
                let owner = self.known(at, fault).iter().max_by_key(score);
                owner == Some(&own) && since >= 1000.0 / rate
            }
            Sharing::TimeSlots => {
                let slot = 1000.0 / rate;
                let wall = (at as i64 + self.clock_offset + CLOCK_START_MS) as f64;
                let turn = ((wall / slot) as usize + server * 7) % known;
                let before = self.known(at, fault).iter().filter(|g| **g < own).count();
                before == turn && since > slot
            }
        }
    }

    fn sent(&mut self, server: usize, at: u64, load: Load) {
        let rate = (load.target_rate)(load.limit, self.turns.fleet(Millis(at)));
        self.turns.record_send(&self.ids[server], rate, Millis(at));
        self.sent_at.insert(server, at as f64);
    }
}

/// Simulates requests while servers are cold.
fn simulate(sharing: Sharing, fault: Fault, load: Load, seed: u64) -> Outcome {
    let mut rng = fastrand::Rng::with_seed(seed);
    // Running gateways know each other long before the servers start.
    let start = if fault == Fault::Restarted { 0 } else { 20_000 };
    let n = load.gateways;
    let ids: Rc<[BackendId]> =
        (0..load.cold).map(|server| format!("i-{server}").as_str().into()).collect();
    let mut gateways: Vec<_> = (0..n).map(|own| gateway(own, n, &ids, fault, &mut rng)).collect();
    for gateway in gateways.iter_mut().filter(|gateway| gateway.starts_at < u64::MAX) {
        gateway.record_arrives_at.iter_mut().for_each(|at| *at += start);
        gateway.turns.start_settling(Millis(gateway.starts_at));
    }
    let mut arrivals: Vec<Vec<u64>> = vec![Vec::new(); load.cold];
    for at in start..start + load.duration.0 {
        let in_burst = load.burst_at.is_some_and(|b| (b..b + 100).contains(&(at - start)));
        let per_ms = load.per_s / 1000.0 * if in_burst { 10.0 } else { 1.0 };
        let new_requests = per_ms as u32 + u32::from(rng.f64() < per_ms.fract());
        for _ in 0..new_requests {
            // Some gateways get three times as many requests as others.
            let drawn = rng.usize(..n);
            let own = if drawn.is_multiple_of(3) || rng.bool() { drawn } else { drawn / 3 * 3 };
            gateways[own].pending += 1;
        }
        for gateway in gateways.iter_mut() {
            let is_poll = load.warm > 0 || at.is_multiple_of(POLL_INTERVAL_MS);
            while gateway.pending > 0 && at >= gateway.starts_at && is_poll {
                match choose(gateway, sharing, at, fault, load, &mut rng) {
                    Some(server) => arrivals[server].push(at),
                    None if load.warm == 0 => break,
                    None => {}
                }
                gateway.pending -= 1;
            }
        }
    }
    let all: usize = arrivals.iter().map(Vec::len).sum();
    let seconds = load.duration.0 as f64 / 1000.0;
    let most = arrivals.iter().map(|at| most_within(at, load.window)).max().unwrap_or(0);
    let least = arrivals.iter().map(Vec::len).min().unwrap_or(0) as f64 / seconds;
    Outcome { most, mean: all as f64 / load.cold as f64 / seconds, least }
}

fn gateway(
    own: usize,
    n: usize,
    ids: &Rc<[BackendId]>,
    fault: Fault,
    rng: &mut fastrand::Rng,
) -> Gateway {
    let mut known_gateways: Vec<_> = (0..n).filter(|g| *g != own).collect();
    rng.shuffle(&mut known_gateways);
    known_gateways.truncate(if fault == Fault::HalfKnown { n / 2 } else { n });
    known_gateways.insert(0, own);
    let record_delay =
        if fault == Fault::LateRecords { LATE_RECORD_DELAY_MS } else { RECORD_DELAY_MS };
    Gateway {
        known_gateways,
        ids: ids.clone(),
        starts_at: match fault {
            Fault::Restarted => rng.u64(..START_SPREAD_MS),
            Fault::DeadGateways if own % 3 == 1 => u64::MAX,
            _ => 0,
        },
        clock_offset: if fault == Fault::ClockSkew { rng.i64(-500..500) } else { 0 },
        turns: SendTurns::default(),
        sent_at: HashMap::new(),
        record_arrives_at: ids.iter().map(|_| rng.u64(..record_delay)).collect(),
        pending: 0,
    }
}

/// Chooses a cold server for a request, since idle servers are preferred; `None` for a warm one.
fn choose(
    gateway: &mut Gateway,
    sharing: Sharing,
    at: u64,
    fault: Fault,
    load: Load,
    rng: &mut fastrand::Rng,
) -> Option<usize> {
    let has_record = |gateway: &Gateway, server: usize| at >= gateway.record_arrives_at[server];
    if fault == Fault::LateRecords {
        // A server that is not known to be cold gets its share like all others.
        let any = rng.usize(..load.cold + load.warm);
        if any < load.cold && !has_record(gateway, any) {
            return Some(any);
        }
    }
    let mut known: Vec<_> = (0..load.cold).filter(|s| has_record(gateway, *s)).collect();
    rng.shuffle(&mut known);
    let open = known.into_iter().find(|s| gateway.may_send(sharing, *s, at, fault, load))?;
    gateway.sent(open, at, load);
    Some(open)
}

fn most_within(arrivals: &[u64], window: Millis) -> usize {
    let within = |(i, first): (usize, &u64)| {
        arrivals[i..].iter().take_while(|at| **at < first + window.0).count()
    };
    arrivals.iter().enumerate().map(within).max().unwrap_or(0)
}

/// Simulates each seed; returns the highest `most`, and `mean` and `least` averaged over the seeds.
pub fn worst(sharing: Sharing, fault: Fault, load: Load, seeds: u64) -> Outcome {
    let plays = (0..seeds).map(|seed| simulate(sharing, fault, load, seed));
    plays.fold(Outcome::default(), |a, b| Outcome {
        most: a.most.max(b.most),
        mean: a.mean + b.mean / seeds as f64,
        least: a.least + b.least / seeds as f64,
    })
}
