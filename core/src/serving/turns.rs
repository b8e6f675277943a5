//! Turns that divide a backend server's request rate among gateways.

use std::collections::HashMap;

use super::catalog::BackendId;
use crate::ids::{Millis, RequestRate};

/// Maximum time for which a turn stays open.
const OPEN_FOR: Millis = Millis(250);

/// Fleet size to assume until messages from the other gateways could arrive.
const DEFAULT_FLEET: usize = 330;

/// Time in which a gateway receives messages from all others after the first one could arrive.
const SETTLING_TIME: Millis = Millis(3_000);

/// Time for which the largest known fleet size counts: a gateway that receives no messages may be cut off while the
/// others still send requests.
const LARGEST_RETENTION: Millis = Millis(60_000);

/// Maximum time between two turns, for rates close to zero.
const MAX_PERIOD: Millis = Millis(3_600_000);

/// How long a turn is kept after its last lookup.
const TURN_RETENTION: Millis = Millis(60_000);

/// Minimum number of recorded turns before stale ones are removed.
const MIN_CLEANUP_THRESHOLD: usize = 256;

/// The number of gateways to assume, erring on the high side.
///
/// Failure: nearly all gateways restart while servers are cold. Each of them has no other on its list yet; if each assumed
/// that it was the only one, it would send all that a server accepts.
#[derive(Clone, Copy, Debug, Default)]
struct Fleet {
    largest: usize,
    largest_seen_at: Millis,
    /// Time from which messages of other gateways could arrive.
    settling_from: Option<Millis>,
}

impl Fleet {
    fn record(&mut self, fleet: usize, now: Millis) {
        if fleet >= self.largest || now.since(self.largest_seen_at) >= LARGEST_RETENTION {
            (self.largest, self.largest_seen_at) = (fleet, now);
        }
    }

    fn is_settled(&self, now: Millis) -> bool {
        self.settling_from.is_some_and(|at| now.since(at) >= SETTLING_TIME)
    }

    fn size(&self, now: Millis) -> usize {
        let least = if self.is_settled(now) { 1 } else { DEFAULT_FLEET };
        self.largest.max(least)
    }
}

/// This gateway's turns at servers that accept a limited request rate from all gateways combined.
///
/// Load pattern: servers that have just started or report a limit are idle, so every gateway prefers them to loaded
/// ones, and their combined requests exceed what the servers accept. No gateway sees what the others send. Each
/// therefore has one turn at each of these servers per `fleet / rate` seconds, at a randomly drawn time. Unused turns
/// expire, because accumulated ones would all be used in a single burst.
///
/// ```
/// use redwingfold_core::{Millis, RequestRate, SendTurns};
/// let rate = RequestRate::new(3.0).unwrap();
/// let mut turns = SendTurns::default();
/// turns.start_settling(Millis(0));
/// turns.record_fleet(3, Millis(0));
/// let id = "i-1".into();
/// assert_eq!(turns.wait(&id, rate, Millis(5_000), 700), Millis(700));
/// assert_eq!(turns.wait(&id, rate, Millis(5_700), 0), Millis(0));
/// turns.record_send(&id, rate, Millis(5_700));
/// assert_eq!(turns.wait(&id, rate, Millis(5_700), 0), Millis(1_000));
/// ```
#[derive(Clone, Debug, Default)]
pub struct SendTurns {
    fleet: Fleet,
    turns: HashMap<BackendId, Turn>,
    /// Number of turns at which stale ones are next removed.
    cleanup_threshold: usize,
}

#[derive(Clone, Copy, Debug)]
struct Turn {
    opens_at: Millis,
    looked_at: Millis,
}

impl SendTurns {
    /// Starts the settling time, because messages from the other gateways can arrive from now on or there are no
    /// others.
    pub fn start_settling(&mut self, now: Millis) {
        self.fleet.settling_from.get_or_insert(now);
    }

    /// Records the number of gateways in the membership list, including this one.
    pub fn record_fleet(&mut self, fleet: usize, now: Millis) {
        self.fleet.record(fleet, now);
    }

    /// Returns the number of gateways to assume, including this one.
    pub fn fleet(&self, now: Millis) -> usize {
        self.fleet.size(now)
    }

    /// Returns whether messages from all other gateways could have arrived, so that their number is known.
    pub fn is_fleet_known(&self, now: Millis) -> bool {
        self.fleet.is_settled(now)
    }

    /// Returns the time until this gateway may send to a server that accepts `rate` from all gateways combined; `draw`
    /// is a random number.
    pub fn wait(&mut self, id: &BackendId, rate: RequestRate, now: Millis, draw: u64) -> Millis {
        let period = self.period(rate, now);
        let open_for = OPEN_FOR.min(period);
        let drawn = now.after(Millis(draw % period.0));
        self.make_room(now);
        let turn = Turn { opens_at: drawn, looked_at: now };
        let turn = self.turns.entry(id.clone()).or_insert(turn);
        turn.looked_at = now;
        // The fleet has shrunk or the rate has risen. The turn is drawn anew, because a time derived from `now` would
        // be the same on all gateways.
        if turn.opens_at > now.after(period) {
            turn.opens_at = drawn;
        }
        let missed = now.since(turn.opens_at.after(open_for)).0.div_ceil(period.0);
        turn.opens_at = turn.opens_at.after(Millis(missed * period.0));
        turn.opens_at.since(now)
    }

    /// Records a send to a server, which uses up the current turn.
    pub fn record_send(&mut self, id: &BackendId, rate: RequestRate, now: Millis) {
        let period = self.period(rate, now);
        if let Some(turn) = self.turns.get_mut(id) {
            turn.opens_at = turn.opens_at.after(period);
        }
    }

    fn period(&self, rate: RequestRate, now: Millis) -> Millis {
        let rate = rate.per_second().max(f64::MIN_POSITIVE);
        let period = self.fleet.size(now) as f64 * 1000.0 / rate;
        Millis((period as u64).clamp(1, MAX_PERIOD.0))
    }

    fn make_room(&mut self, now: Millis) {
        if self.turns.len() < self.cleanup_threshold.max(MIN_CLEANUP_THRESHOLD) {
            return;
        }
        self.turns.retain(|_, turn| now.since(turn.looked_at) < TURN_RETENTION);
        // Doubling keeps the amortized cost of an insertion constant.
        self.cleanup_threshold = self.turns.len() * 2;
    }
}
