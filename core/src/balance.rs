//! Which backend server gets a request.

use crate::ids::Millis;

/// One backend server that could take the request, as the entry knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate<T> {
    /// The backend server.
    pub id: T,
    /// Requests that it reported as running or waiting.
    pub reported_requests: u32,
    /// Requests that this entry sent since the report was made.
    pub sent_since_report: u32,
    /// Requests that it runs at once without slowing down.
    pub slots: u32,
    /// Smoothed time to the first token of a request that does not wait.
    pub first_token: Millis,
    /// Share of the prompt that its prefix cache probably holds, 0.0 to 1.0.
    pub cached_share: f32,
    /// Whether it is trusted with new work; a suspected one is taken only if no other is left.
    pub is_healthy: bool,
}

/// Estimates the time to the first token.
///
/// The reported load is late, so the entry's own requests since then are added. A prompt that is
/// cached spares its part of the prefill.
pub fn expected_first_token<T>(candidate: &Candidate<T>) -> f64 {
    let load = f64::from(candidate.reported_requests + candidate.sent_since_report);
    let rounds = load / f64::from(candidate.slots.max(1));
    let prefill = f64::from(1.0 - candidate.cached_share.clamp(0.0, 1.0));
    (candidate.first_token.0.max(1) as f64) * (rounds + prefill)
}

/// Chooses among the candidates: the better of two drawn at random, or the one with the best
/// cached prefix if its expected time is not above the random winner's.
///
/// `draw(n)` returns a number below `n`. Two draws, and not the best of all, because every entry
/// holds the same late reports: the best of all would be flooded until the next report.
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
            // A second draw among the others: drawing the same one twice would be one choice.
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

/// Chooses each candidate in turn, whatever its load: a baseline for measurements.
pub fn pick_round_robin<T>(candidates: &[Candidate<T>], turn: usize) -> Option<&Candidate<T>> {
    candidates.get(turn % candidates.len().max(1))
}

/// Chooses the candidate with the least reported load: a baseline for measurements. All entries
/// that hold the same late reports choose the same one.
pub fn pick_least_reported<T>(candidates: &[Candidate<T>]) -> Option<&Candidate<T>> {
    candidates.iter().min_by_key(|c| c.reported_requests)
}
