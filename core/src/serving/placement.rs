//! Placement of requests on backend servers.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::catalog::BackendId;
use crate::ids::Millis;

/// A backend server that could run the request, and its load as estimated by this gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Place {
    /// The server.
    pub id: BackendId,
    /// Estimated number of running requests.
    pub running: f64,
    /// Estimated number of waiting requests.
    pub waiting: f64,
    /// Estimated prefill time of the prompts that it has not processed yet, including those that other gateways sent.
    pub prefill_wait: Millis,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it is ejected for its failures, and therefore used only if all servers are.
    pub is_ejected: bool,
}

/// Prefill work of a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Work {
    /// Hash of the longest prompt prefix that other requests share.
    pub shared_prompt: Option<u64>,
    /// Prefill time of the shared prefix where it is not cached.
    pub shared: Millis,
    /// Tokens of the shared prefix.
    pub shared_tokens: u64,
}

/// Weights of placement, in milliseconds of a server's time.
#[derive(Clone, Copy, Debug)]
pub struct PlacementPolicy {
    /// Cost of a running request: it slows each decoding step of the others.
    pub running_ms: f64,
    /// Cost of a waiting request: all slots are taken.
    pub waiting_ms: f64,
    /// Cost of reading a shared token again, beyond its prefill time: it evicts other prompts from the cache.
    pub reread_ms_per_token: f64,
    /// Share of the shared prompt that the first servers in the ranking of a prompt are expected to have cached.
    pub cached_share: [f64; 3],
}

impl Default for PlacementPolicy {
    /// A step with one more request takes about 2% longer. A request runs for dozens of steps, a few of which delay the
    /// first token of a new one. The second server in the ranking gets a prompt only while the first is loaded, and so
    /// has it cached less often.
    fn default() -> Self {
        Self {
            running_ms: 4.0,
            waiting_ms: 60.0,
            reread_ms_per_token: 0.015,
            cached_share: [1.0, 0.6, 0.2],
        }
    }
}

impl Place {
    fn cost(&self, policy: &PlacementPolicy) -> f64 {
        let waiting = self.waiting + (self.running - f64::from(self.slots)).max(0.0);
        self.prefill_wait.0 as f64 + self.running * policy.running_ms + waiting * policy.waiting_ms
    }
}

/// Chooses the server that is expected to send the first token of the request soonest.
///
/// Load pattern: prompts of a few hundred tokens among some of fifty thousand. With placement by the number of requests
/// alone, a short prompt waits seconds behind a long one. So the cost is the time that a server needs for the prompts
/// that it has yet to read, and for the part of this request that it has not cached. The caches are estimated without
/// messages: servers are ranked for each shared prompt by rendezvous hashing, which yields the same ranking on every
/// gateway, and a server that joins or leaves moves only its own share of the prompts. A popular prompt cannot overload
/// its server, since the work that it causes counts as well.
///
/// `draw` picks among servers with equal costs.
///
/// ```
/// use redwingfold_core::{Millis, Place, PlacementPolicy, Work, place};
/// let idle = Place {
///     id: "a".into(), running: 0.0, waiting: 0.0, prefill_wait: Millis(0), slots: 8,
///     is_ejected: false,
/// };
/// let busy = Place { id: "b".into(), running: 7.0, ..idle.clone() };
/// let both = [idle, busy];
/// let chosen = place(&both, Work::default(), &PlacementPolicy::default(), |n| n - 1);
/// assert_eq!(chosen.map(|p| p.id.as_str()), Some("a"));
/// ```
pub fn place<'a>(
    places: &'a [Place],
    work: Work,
    policy: &PlacementPolicy,
    mut draw: impl FnMut(usize) -> usize,
) -> Option<&'a Place> {
    let healthy: Vec<_> = places.iter().filter(|p| !p.is_ejected).collect();
    let pool = if healthy.is_empty() { places.iter().collect() } else { healthy };
    let mut costs: Vec<f64> = pool.iter().map(|p| p.cost(policy)).collect();
    if let Some(prompt) = work.shared_prompt {
        let ranked = ranked(&pool, prompt);
        let saved = work.shared.0 as f64 + work.shared_tokens as f64 * policy.reread_ms_per_token;
        for (&i, part) in ranked.iter().zip(policy.cached_share) {
            costs[i] -= part * saved;
        }
    }
    let least = costs.iter().copied().min_by(f64::total_cmp)?;
    let best: Vec<_> = (0..pool.len()).filter(|&i| costs[i] <= least).collect();
    Some(pool[best[draw(best.len())]])
}

/// Returns the first `count` servers of a version in an order that is the same on all gateways, half of them from each
/// half of the servers. Excluded servers are skipped.
///
/// ```
/// use redwingfold_core::{Millis, Place, is_in_first_half, lead_servers};
/// let place = |n: usize| Place {
///     id: format!("s{n}").as_str().into(),
///     running: 0.0, waiting: 0.0, prefill_wait: Millis(0), slots: 8, is_ejected: n == 3,
/// };
/// let lead = lead_servers((0..40).map(place).collect(), 4);
/// assert_eq!(lead.iter().filter(|p| is_in_first_half(&p.id)).count(), 2);
/// assert!(lead.iter().all(|p| !p.is_ejected));
/// ```
pub fn lead_servers(places: Vec<Place>, count: usize) -> Vec<Place> {
    let (mut first, mut second): (Vec<_>, Vec<_>) =
        places.into_iter().filter(|p| !p.is_ejected).partition(|p| is_in_first_half(&p.id));
    first.sort_by_key(|p| lead_rank(&p.id));
    second.sort_by_key(|p| lead_rank(&p.id));
    let of_second = (count / 2).max(count.saturating_sub(first.len())).min(second.len());
    first.truncate(count - of_second);
    first.extend(second.into_iter().take(of_second));
    first
}

/// Returns whether a server belongs to the first half of the servers of its version.
pub fn is_in_first_half(id: &BackendId) -> bool {
    lead_rank(id).is_multiple_of(2)
}

/// Rank in an order that is independent of that for any prompt.
fn lead_rank(id: &BackendId) -> u64 {
    const SEED: u64 = 0x6c65_6164;
    xxh3_64_with_seed(id.as_str().as_bytes(), SEED)
}

/// Ranks servers for a shared prompt by rendezvous hashing.
fn ranked(pool: &[&Place], prompt: u64) -> Vec<usize> {
    let mut ranked: Vec<_> = (0..pool.len()).collect();
    let hash = |i: &usize| xxh3_64_with_seed(pool[*i].id.as_str().as_bytes(), prompt);
    ranked.sort_by_key(|i| std::cmp::Reverse(hash(i)));
    ranked
}
