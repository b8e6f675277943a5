//! How much a gateway sends to backend servers that have just started.

use std::collections::HashMap;

use super::catalog::BackendId;
use crate::ids::Millis;

/// Longest time for which a gateway may use its turn at a cold server.
const OPEN_FOR: Millis = Millis(250);

/// Gateways that a fleet is taken to have until the others could be heard.
const UNKNOWN_FLEET: usize = 330;

/// Time in which gateways hear of all others after the first word of them.
const SETTLING: Millis = Millis(3_000);

/// Time for which the largest fleet that was known counts: a gateway that hears nobody may be cut off, while the others
/// send on.
const LARGEST_KEPT: Millis = Millis(60_000);

/// Longest time between two turns, where a server is said to bear next to nothing.
const MAX_PERIOD: Millis = Millis(3_600_000);

/// Servers whose turns are remembered before those that are no longer cold are dropped.
const MAX_TURNS: usize = 256;

/// What the servers of a service bear while they are cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// Time for which a server is cold after its start.
    pub lasts: Millis,
    /// Requests a second that it bears on average.
    pub per_s: f64,
}

/// How near to what cold servers bear all gateways together come.
#[derive(Clone, Copy, Debug)]
pub struct ColdPolicy {
    /// Most requests within a second, as a multiple of those that a server bears on average.
    pub over: f64,
    /// Requests beyond that.
    pub slack: f64,
    /// Part of the average that is sent: gateways that do not know of each other send more.
    pub mean_part: f64,
    /// Part of the most that is sent on average: turns are drawn, so that more of them come in some seconds.
    pub most_part: f64,
}

impl Default for ColdPolicy {
    fn default() -> Self {
        Self { over: 1.0, slack: 0.0, mean_part: 0.5, most_part: 0.25 }
    }
}

impl ColdPolicy {
    /// Returns the most requests that a cold server may get within any second.
    pub fn most(&self, limit: ColdLimit) -> f64 {
        limit.per_s * self.over + self.slack
    }

    /// Returns the requests a second that all gateways together send to a cold server.
    pub fn rate(&self, limit: ColdLimit) -> f64 {
        (limit.per_s * self.mean_part).min(self.most(limit) * self.most_part)
    }
}

/// The number of gateways, as one of them may count on.
///
/// Load pattern: nearly all gateways start anew while servers are cold. Each knows nobody as yet; taken for the only
/// one, each would send all that a server bears.
#[derive(Clone, Copy, Debug, Default)]
struct Fleet {
    largest: usize,
    seen_at: Millis,
    /// When others could first be heard.
    met_at: Option<Millis>,
}

impl Fleet {
    fn saw(&mut self, fleet: usize, now: Millis) {
        if fleet >= self.largest || now.since(self.seen_at) >= LARGEST_KEPT {
            (self.largest, self.seen_at) = (fleet, now);
        }
    }

    fn size(&self, now: Millis) -> usize {
        let is_settled = self.met_at.is_some_and(|at| now.since(at) >= SETTLING);
        let least = if is_settled { 1 } else { UNKNOWN_FLEET };
        self.largest.max(least)
    }
}

/// This gateway's turns at cold servers.
///
/// Load pattern: servers come back together and are idle, so that every gateway chooses them before the loaded ones, and
/// they end under the herd. Nobody counts what all gateways send. So each has a turn at each cold server once in as many
/// intervals as there are gateways, at a moment that it draws, and loses one that it does not use: turns that were
/// saved up would all be used in the first burst.
///
/// ```
/// use redwingfold_core::{ColdLimit, ColdPolicy, ColdTurns, Millis};
/// let limit = ColdLimit { lasts: Millis(3_000), per_s: 12.0 };
/// let mut turns = ColdTurns::new(ColdPolicy::default());
/// turns.met(Millis(0));
/// turns.saw_fleet(3, Millis(0));
/// let id = "i-1".into();
/// let wait = turns.wait(&id, limit, Millis(5_000), 700);
/// assert_eq!(wait, Millis(700));
/// assert_eq!(turns.wait(&id, limit, Millis(5_700), 0), Millis(0));
/// turns.sent(&id, limit, Millis(5_700));
/// assert_eq!(turns.wait(&id, limit, Millis(5_700), 0), Millis(1_000));
/// ```
#[derive(Clone, Debug)]
pub struct ColdTurns {
    policy: ColdPolicy,
    fleet: Fleet,
    turns: HashMap<BackendId, Turn>,
}

#[derive(Clone, Copy, Debug)]
struct Turn {
    opens_at: Millis,
    looked_at: Millis,
}

impl ColdTurns {
    /// Makes the turns of a gateway that knows no other as yet.
    pub fn new(policy: ColdPolicy) -> Self {
        Self { policy, fleet: Fleet::default(), turns: HashMap::new() }
    }

    /// Notes that the others could be heard from now on, or that there are none.
    pub fn met(&mut self, now: Millis) {
        self.fleet.met_at.get_or_insert(now);
    }

    /// Notes how many gateways know of each other, this one included.
    pub fn saw_fleet(&mut self, fleet: usize, now: Millis) {
        self.fleet.saw(fleet, now);
    }

    /// Returns the time until this gateway may send to a cold server; `draw` is a random number.
    pub fn wait(&mut self, id: &BackendId, limit: ColdLimit, now: Millis, draw: u64) -> Millis {
        let period = self.period(limit, now);
        let open_for = OPEN_FOR.min(period);
        let drawn = now.after(Millis(draw % period.0));
        let turn = Turn { opens_at: drawn, looked_at: now };
        if self.turns.len() >= MAX_TURNS {
            self.turns.retain(|_, turn| now.since(turn.looked_at) < limit.lasts);
        }
        let turn = self.turns.entry(id.clone()).or_insert(turn);
        turn.looked_at = now;
        // The fleet turned out to be smaller; a moment that all gateways derive from now would be the same for all.
        if turn.opens_at > now.after(period) {
            turn.opens_at = drawn;
        }
        let missed = now.since(turn.opens_at.after(open_for)).0.div_ceil(period.0);
        turn.opens_at = turn.opens_at.after(Millis(missed * period.0));
        turn.opens_at.since(now)
    }

    /// Notes a send to a cold server.
    pub fn sent(&mut self, id: &BackendId, limit: ColdLimit, now: Millis) {
        let period = self.period(limit, now);
        if let Some(turn) = self.turns.get_mut(id) {
            turn.opens_at = turn.opens_at.after(period);
        }
    }

    fn period(&self, limit: ColdLimit, now: Millis) -> Millis {
        let rate = self.policy.rate(limit).max(f64::MIN_POSITIVE);
        let period = self.fleet.size(now) as f64 * 1000.0 / rate;
        Millis((period as u64).clamp(1, MAX_PERIOD.0))
    }
}
