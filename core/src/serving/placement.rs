//! Which backend server gets a request of a gateway.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::catalog::BackendId;
use crate::ids::Millis;

/// A backend server that could take the request, with what the gateway knows of its load.
#[derive(Clone, Debug, PartialEq)]
pub struct Place {
    /// The server.
    pub id: BackendId,
    /// Requests that it is believed to run.
    pub running: f64,
    /// Requests that are believed to wait there.
    pub waiting: f64,
    /// Time that the prompts will take which it has not read yet, as far as gateways have told.
    pub unread: Millis,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether its answers were so bad that it is left out while others are there.
    pub is_out: bool,
}

/// What a request asks of the server that gets it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Work {
    /// Hash of the last part of its prompt that other requests share.
    pub shared_prompt: Option<u64>,
    /// Time in which its shared parts are read where they are not cached.
    pub shared: Millis,
    /// Their tokens.
    pub shared_tokens: u64,
}

/// Weights of placement, in milliseconds of a server's time.
#[derive(Clone, Copy, Debug)]
pub struct PlacementPolicy {
    /// A request that runs: it slows each step of the others.
    pub running_ms: f64,
    /// A request that waits: all slots are taken.
    pub waiting_ms: f64,
    /// Reading a shared token again, beyond its time: it takes memory from other prompts.
    pub reread_ms_per_token: f64,
    /// Part of the shared prompt that the first servers in a prompt's ranking hold in their caches.
    pub cached_share: [f64; 3],
}

impl Default for PlacementPolicy {
    /// A step with one more request takes about 2% longer; a request that runs stays for dozens of
    /// steps, of which a new one feels a few before its first token. The second in rank gets a prompt only while the
    /// first is loaded, and has it in its cache less often.
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
        self.unread.0 as f64 + self.running * policy.running_ms + waiting * policy.waiting_ms
    }
}

/// Chooses the server that is expected to come to the request's first token soonest.
///
/// Load pattern: prompts of a few hundred tokens among some of fifty thousand. By the number of
/// requests alone, a short one waits seconds behind a long one; so what counts is the time that a
/// server will take for what it has yet to read, and for what of this request is not in its cache. Which prompts it
/// caches is known without asking: servers are ranked for each shared prompt by rendezvous hashing,
/// which every gateway does alike, and one that comes or goes moves only its own share. A popular
/// prompt cannot bury its server, since the work that it brings counts too.
///
/// `draw` decides between servers that cost the same.
///
/// ```
/// use redwingfold_core::{Millis, Place, PlacementPolicy, Work, place};
/// let idle = Place {
///     id: "a".into(), running: 0.0, waiting: 0.0, unread: Millis(0), slots: 8,
///     is_out: false,
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
    let healthy: Vec<_> = places.iter().filter(|p| !p.is_out).collect();
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

/// Returns the first `count` of a version's servers in an order that is the same on all gateways, half of them from each half
/// of the servers. Those that are left out are passed over.
///
/// ```
/// use redwingfold_core::{Millis, Place, is_in_first_half, lead_servers};
/// let place = |n: usize| Place {
///     id: format!("s{n}").as_str().into(),
///     running: 0.0, waiting: 0.0, unread: Millis(0), slots: 8, is_out: n == 3,
/// };
/// let lead = lead_servers((0..40).map(place).collect(), 4);
/// assert_eq!(lead.iter().filter(|p| is_in_first_half(&p.id)).count(), 2);
/// assert!(lead.iter().all(|p| !p.is_out));
/// ```
pub fn lead_servers(places: Vec<Place>, count: usize) -> Vec<Place> {
    let (mut first, mut second): (Vec<_>, Vec<_>) =
        places.into_iter().filter(|p| !p.is_out).partition(|p| is_in_first_half(&p.id));
    first.sort_by_key(|p| lead_rank(&p.id));
    second.sort_by_key(|p| lead_rank(&p.id));
    let of_second = (count / 2).max(count.saturating_sub(first.len())).min(second.len());
    first.truncate(count - of_second);
    first.extend(second.into_iter().take(of_second));
    first
}

/// Says to which half of its version's servers a server belongs.
pub fn is_in_first_half(id: &BackendId) -> bool {
    lead_rank(id).is_multiple_of(2)
}

/// Another order than that for any prompt.
fn lead_rank(id: &BackendId) -> u64 {
    const SEED: u64 = 0x6c65_6164;
    xxh3_64_with_seed(id.as_str().as_bytes(), SEED)
}

/// Ranks servers for a shared prompt.
fn ranked(pool: &[&Place], prompt: u64) -> Vec<usize> {
    let mut ranked: Vec<_> = (0..pool.len()).collect();
    let hash = |i: &usize| xxh3_64_with_seed(pool[*i].id.as_str().as_bytes(), prompt);
    ranked.sort_by_key(|i| std::cmp::Reverse(hash(i)));
    ranked
}
