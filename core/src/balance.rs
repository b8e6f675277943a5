//! Load balancing: selects the backend server for a request.

use crate::ids::Millis;

/// A backend server that can serve the request, with the entry's latest data on it.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate<T> {
    /// The backend server.
    pub id: T,
    /// Running and waiting requests in its last report.
    pub reported_requests: u32,
    /// Requests that this entry has sent to it since that report.
    pub sent_since_report: u32,
    /// Number of requests that it runs concurrently without slowing down.
    pub slots: u32,
    /// Smoothed time to the first token of a request that does not wait.
    pub first_token: Millis,
    /// Share of the prompt that its prefix cache probably holds, 0.0 to 1.0.
    pub cached_share: f32,
    /// Whether its side is not suspected to have failed; a suspected server is used only if no
    /// healthy one is left.
    pub is_healthy: bool,
}

/// Estimates the time to the first token.
///
/// The reported load is stale, so the requests that the entry has sent since are added. The cached
/// part of the prompt needs no prefill.
pub fn expected_first_token<T>(candidate: &Candidate<T>) -> f64 {
    let load = f64::from(candidate.reported_requests + candidate.sent_since_report);
    let rounds = load / f64::from(candidate.slots.max(1));
    let prefill = f64::from(1.0 - candidate.cached_share.clamp(0.0, 1.0));
    (candidate.first_token.0.max(1) as f64) * (rounds + prefill)
}

/// Chooses among the candidates: the better of two drawn at random, or the one with the best
/// cached prefix if its expected time is not above the random winner's.
///
/// `draw(n)` returns a random number below `n`. The best of all candidates is not used, because
/// every entry has the same stale reports: all would overload that one until the next report.
///
/// ```
/// use redwingfold_core::{Candidate, Millis, pick_of_two};
/// let busy = Candidate {
///     id: "a",
///     reported_requests: 8,
///     sent_since_report: 0,
///     slots: 4,
///     first_token: Millis(50),
///     cached_share: 0.0,
///     is_healthy: true,
/// };
/// let idle = Candidate { id: "b", reported_requests: 0, ..busy.clone() };
/// let mut n = 0;
/// let both = [busy, idle];
/// let chosen = pick_of_two(&both, |len| { n += 1; n % len });
/// assert_eq!(chosen.map(|c| c.id), Some("b"));
/// ```
pub fn pick_of_two<T>(
    candidates: &[Candidate<T>],
    mut draw: impl FnMut(usize) -> usize,
) -> Option<&Candidate<T>> {
    let healthy: Vec<_> = candidates.iter().filter(|c| c.is_healthy).collect();
    let pool = if healthy.is_empty() { candidates.iter().collect() } else { healthy };
    let (first, second) = match pool.len() {
        0 => return None,
        1 => return Some(pool[0]),
        len => {
            let first = draw(len);
            // The second draw is among the others, so that there are always two candidates.
            let second = draw(len - 1);
            (first, if second >= first { second + 1 } else { second })
        }
    };
    let better = |a: usize, b: usize| {
        if expected_first_token(pool[b]) < expected_first_token(pool[a]) { b } else { a }
    };
    let winner = better(first, second);
    let best_cached =
        (0..pool.len()).max_by(|&a, &b| pool[a].cached_share.total_cmp(&pool[b].cached_share));
    match best_cached {
        Some(i) if pool[i].cached_share > pool[winner].cached_share => {
            Some(pool[better(winner, i)])
        }
        _ => Some(pool[winner]),
    }
}

/// Chooses the candidates in turn, whatever their load; serves as a baseline for measurements.
pub fn pick_round_robin<T>(candidates: &[Candidate<T>], turn: usize) -> Option<&Candidate<T>> {
    candidates.get(turn % candidates.len().max(1))
}

/// Chooses the candidate with the least reported load; serves as a baseline for measurements. All
/// entries with the same stale reports choose the same candidate.
pub fn pick_least_reported<T>(candidates: &[Candidate<T>]) -> Option<&Candidate<T>> {
    candidates.iter().min_by_key(|c| c.reported_requests)
}
