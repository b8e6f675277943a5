//! Memory for callers' requests: which requests get how much of it, and which give way when it is short.

use std::collections::BTreeMap;
use std::fmt;

use crate::ids::{ByteCount, Millis};

/// Who the memory of a request is counted for.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum MemoryOwner {
    /// A customer, given by a hash.
    Customer(u32),
    /// Callers whose customer is not known.
    Unidentified,
}

/// What a request does with its memory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemoryPhase {
    /// Its body is received from the caller.
    Receiving,
    /// Its response waits for the caller to read it.
    Sending,
    /// It waits, or is processed.
    Working,
}

/// Why a request has to give up its memory to another one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Eviction {
    /// Its body, or what is left of it, is received too slowly.
    SlowBody,
    /// Its customer holds more than its part, and another customer needs memory.
    HeavyCustomer,
    /// Its caller does not read the response.
    UnreadResponse,
}

impl fmt::Display for Eviction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::SlowBody => "slow_body",
            Self::HeavyCustomer => "heavy_customer",
            Self::UnreadResponse => "unread_response",
        })
    }
}

/// There is no memory for a request, and no other request gives way.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemoryFull;

/// How the memory for requests is divided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemoryPolicy {
    /// Memory of all requests together.
    pub total: ByteCount,
    /// Memory of a request besides its body and its response: its head, its state, and its connection to a server.
    pub per_request: ByteCount,
    /// Memory of a request up to which it is small.
    pub small_request: ByteCount,
    /// Share of the memory that only small requests may use. Without it, a few large bodies take the place of hundreds of
    /// ordinary requests.
    pub small_share: f64,
    /// Share of the memory that callers without a known customer may use.
    pub unidentified_share: f64,
    /// Time without progress after which a request gives way to others.
    pub stall_time: Millis,
    /// Mean rate in bytes per second below which a body gives way to others, from the stall time on.
    pub min_body_rate: u64,
}

impl Default for MemoryPolicy {
    fn default() -> Self {
        Self {
            total: ByteCount(64 * 1024 * 1024),
            per_request: ByteCount(32 * 1024),
            small_request: ByteCount(64 * 1024),
            small_share: 0.125,
            unidentified_share: 0.5,
            stall_time: Millis(1_000),
            min_body_rate: 32 * 1024,
        }
    }
}

/// Number of a request that holds memory.
pub type HolderNumber = u64;

#[derive(Clone, Copy, Debug)]
struct Holder {
    owner: MemoryOwner,
    bytes: usize,
    phase: MemoryPhase,
    /// When the phase began.
    since: Millis,
    /// When a byte was last received or sent.
    progress_at: Millis,
    /// Bytes received or sent since the phase began.
    moved: usize,
}

/// Bytes in use.
#[derive(Clone, Copy, Debug, Default)]
struct Used {
    all: usize,
    large: usize,
    unidentified: usize,
}

/// The memory that callers' requests hold.
///
/// Load pattern: many callers send bodies at once, whole or in pieces, stop short of their end and keep their connections
/// open; or they leave their responses unread. Each byte is reserved before it is received, so that all of them together
/// stay within the total. What does not fit is refused at once, unless others have stalled: these give way, as a caller
/// that makes no progress would otherwise hold the memory for as long as it likes.
///
/// ```
/// use redwingfold_core::{ByteCount, MemoryFull, MemoryOwner, MemoryPolicy, Millis, RequestMemory};
/// let policy = MemoryPolicy { total: ByteCount(1_000_000), ..MemoryPolicy::default() };
/// let mut memory = RequestMemory::new(policy);
/// let (first, _) = memory.open(MemoryOwner::Customer(1), Millis(0))?;
/// memory.resize(first, 600_000, Millis(0))?;
/// let (second, _) = memory.open(MemoryOwner::Customer(1), Millis(10))?;
/// assert_eq!(memory.resize(second, 600_000, Millis(10)), Err(MemoryFull));
/// // The first body has stalled.
/// assert_eq!(memory.resize(second, 600_000, Millis(1_500))?.len(), 1);
/// # Ok::<(), MemoryFull>(())
/// ```
#[derive(Debug)]
pub struct RequestMemory {
    policy: MemoryPolicy,
    holders: BTreeMap<HolderNumber, Holder>,
    used: Used,
    next: HolderNumber,
}

/// Requests that lost their memory, each with the reason.
pub type Evicted = Vec<(HolderNumber, Eviction)>;

impl RequestMemory {
    /// Creates an account in which nothing is reserved.
    pub fn new(policy: MemoryPolicy) -> Self {
        Self { policy, holders: BTreeMap::new(), used: Used::default(), next: 0 }
    }

    /// Returns the reserved bytes.
    pub fn in_use(&self) -> ByteCount {
        ByteCount(self.used.all)
    }

    /// Returns the number of requests that hold memory.
    pub fn holders(&self) -> usize {
        self.holders.len()
    }

    /// Changes the memory of all requests together. Returns the requests that give way, as they have stalled and more is
    /// reserved than there is now; the others keep what they have.
    pub fn set_total(&mut self, total: ByteCount, now: Millis) -> Evicted {
        self.policy.total = total;
        if self.used.all <= total.0 {
            return Vec::new();
        }
        let mut evicted = Vec::new();
        for (number, why) in self.stalled(None, now) {
            if self.used.all <= total.0 {
                break;
            }
            self.close(number);
            evicted.push((number, why));
        }
        evicted
    }

    /// Reserves memory for a request whose head was received, without its body.
    ///
    /// # Errors
    ///
    /// [`MemoryFull`] if there is none, and no other request gives way.
    pub fn open(
        &mut self,
        owner: MemoryOwner,
        now: Millis,
    ) -> Result<(HolderNumber, Evicted), MemoryFull> {
        let number = self.next;
        self.next += 1;
        let phase = MemoryPhase::Receiving;
        let holder = Holder { owner, bytes: 0, phase, since: now, progress_at: now, moved: 0 };
        self.holders.insert(number, holder);
        let evicted = self.resize(number, 0, now);
        if evicted.is_err() {
            self.close(number);
        }
        evicted.map(|evicted| (number, evicted))
    }

    /// Changes the memory of a request to `bytes` for its body and response. Does nothing if it has lost its memory.
    ///
    /// # Errors
    ///
    /// [`MemoryFull`] if there is not enough, and no other request gives way. The request keeps what it has.
    pub fn resize(
        &mut self,
        number: HolderNumber,
        bytes: usize,
        now: Millis,
    ) -> Result<Evicted, MemoryFull> {
        let evicted = self.plan(number, bytes, now).ok_or(MemoryFull)?;
        evicted.iter().for_each(|(other, _)| self.close(*other));
        let bytes = bytes + self.policy.per_request.0;
        if let Some(holder) = self.holders.get(&number).copied() {
            let resized = Holder { bytes, ..holder };
            self.used = self.with(self.without(self.used, &holder), &resized);
            self.holders.insert(number, resized);
        }
        Ok(evicted)
    }

    /// Returns what is reserved for the body and the response of a request.
    pub fn reserved(&self, number: HolderNumber) -> ByteCount {
        let bytes = self.holders.get(&number).map_or(0, |holder| holder.bytes);
        ByteCount(bytes.saturating_sub(self.policy.per_request.0))
    }

    /// Returns whether a request could get `bytes` for its body and response.
    pub fn has_room(&self, number: HolderNumber, bytes: usize, now: Millis) -> bool {
        self.plan(number, bytes, now).is_some()
    }

    /// Returns the requests that have to give way so that a request gets `bytes`; `None` if they would not suffice.
    fn plan(&self, number: HolderNumber, bytes: usize, now: Millis) -> Option<Evicted> {
        let Some(holder) = self.holders.get(&number) else { return Some(Vec::new()) };
        let resized = Holder { bytes: bytes + self.policy.per_request.0, ..*holder };
        let mut used = self.with(self.without(self.used, holder), &resized);
        let mut evicted: Evicted = Vec::new();
        if resized.bytes <= holder.bytes || self.fits(&used, &resized) {
            return Some(evicted);
        }
        for (other, why) in
            self.stalled(Some(number), now).into_iter().chain(self.heavy(number, &resized))
        {
            let held = &self.holders[&other];
            let is_evicted = evicted.iter().any(|(known, _)| *known == other);
            if !is_evicted && self.helps(&used, &resized, held) {
                used = self.without(used, held);
                evicted.push((other, why));
            }
            if self.fits(&used, &resized) {
                return Some(evicted);
            }
        }
        None
    }

    /// Records the customer of a request.
    ///
    /// # Errors
    ///
    /// [`MemoryFull`] if its owner may not have so much.
    pub fn set_owner(
        &mut self,
        number: HolderNumber,
        owner: MemoryOwner,
    ) -> Result<(), MemoryFull> {
        let Some(holder) = self.holders.get(&number).copied() else { return Ok(()) };
        let owned = Holder { owner, ..holder };
        let used = self.with(self.without(self.used, &holder), &owned);
        if owner == MemoryOwner::Unidentified && !self.fits(&used, &owned) {
            return Err(MemoryFull);
        }
        self.used = used;
        self.holders.insert(number, owned);
        Ok(())
    }

    /// Records what a request does.
    pub fn set_phase(&mut self, number: HolderNumber, phase: MemoryPhase, now: Millis) {
        if let Some(holder) = self.holders.get_mut(&number) {
            *holder = Holder { phase, since: now, progress_at: now, moved: 0, ..*holder };
        }
    }

    /// Records that bytes were received from the caller of a request, or sent to it.
    pub fn record_progress(&mut self, number: HolderNumber, bytes: usize, now: Millis) {
        if let Some(holder) = self.holders.get_mut(&number) {
            holder.progress_at = now;
            holder.moved += bytes;
        }
    }

    /// Returns the memory of a request.
    pub fn close(&mut self, number: HolderNumber) {
        if let Some(holder) = self.holders.remove(&number) {
            self.used = self.without(self.used, &holder);
        }
    }

    fn is_large(&self, holder: &Holder) -> bool {
        holder.bytes > self.policy.small_request.0
    }

    fn with(&self, used: Used, holder: &Holder) -> Used {
        let large = if self.is_large(holder) { holder.bytes } else { 0 };
        let unidentified = if holder.owner == MemoryOwner::Unidentified { holder.bytes } else { 0 };
        Used {
            all: used.all + holder.bytes,
            large: used.large + large,
            unidentified: used.unidentified + unidentified,
        }
    }

    fn without(&self, used: Used, holder: &Holder) -> Used {
        let part = self.with(Used::default(), holder);
        Used {
            all: used.all - part.all,
            large: used.large - part.large,
            unidentified: used.unidentified - part.unidentified,
        }
    }

    fn share(&self, share: f64) -> usize {
        (self.policy.total.0 as f64 * share) as usize
    }

    /// Returns whether the bytes in use exceed the total, the part of large requests, and that of callers without a known
    /// customer, as far as these bind a request.
    fn excess(&self, used: &Used, holder: &Holder) -> (bool, bool, bool) {
        let max_large = self.policy.total.0 - self.share(self.policy.small_share);
        let max_unidentified = self.share(self.policy.unidentified_share);
        (
            used.all > self.policy.total.0,
            self.is_large(holder) && used.large > max_large,
            holder.owner == MemoryOwner::Unidentified && used.unidentified > max_unidentified,
        )
    }

    fn fits(&self, used: &Used, holder: &Holder) -> bool {
        self.excess(used, holder) == (false, false, false)
    }

    /// Returns whether the end of another request brings a request closer to its memory.
    fn helps(&self, used: &Used, holder: &Holder, other: &Holder) -> bool {
        let (all, large, unidentified) = self.excess(used, holder);
        all || (large && self.is_large(other))
            || (unidentified && other.owner == MemoryOwner::Unidentified)
    }

    /// Returns the requests other than `except` whose callers make no progress, those that have waited longest first, and
    /// then those that are too slow.
    fn stalled(&self, except: Option<HolderNumber>, now: Millis) -> Evicted {
        let rank = |holder: &Holder| {
            let age = now.since(holder.since);
            let is_stalled = now.since(holder.progress_at) >= self.policy.stall_time;
            let rate = holder.moved as u64 * 1_000 / age.0.max(1);
            match holder.phase {
                MemoryPhase::Working => None,
                MemoryPhase::Sending => {
                    is_stalled.then_some((0, holder.progress_at.0, Eviction::UnreadResponse))
                }
                MemoryPhase::Receiving if is_stalled => {
                    Some((0, holder.progress_at.0, Eviction::SlowBody))
                }
                MemoryPhase::Receiving => (age >= self.policy.stall_time
                    && rate < self.policy.min_body_rate)
                    .then_some((1, rate, Eviction::SlowBody)),
            }
        };
        let others = self.holders.iter().filter(|(other, _)| Some(**other) != except);
        let mut ranked: Vec<_> = others
            .filter_map(|(other, holder)| {
                rank(holder).map(|(class, key, why)| (class, key, *other, why))
            })
            .collect();
        ranked.sort_unstable_by_key(|(class, key, other, _)| (*class, *key, *other));
        ranked.into_iter().map(|(.., other, why)| (other, why)).collect()
    }

    /// Returns the bodies of the customer that holds most, newest first, if it holds more than its part and the request's
    /// customer would not.
    fn heavy(&self, number: HolderNumber, holder: &Holder) -> Evicted {
        let mut by_owner: BTreeMap<MemoryOwner, usize> = BTreeMap::new();
        for (other, held) in &self.holders {
            let bytes = if *other == number { holder.bytes } else { held.bytes };
            *by_owner.entry(held.owner).or_default() += bytes;
        }
        let part = self.policy.total.0 / by_owner.len().max(1);
        let own = by_owner.get(&holder.owner).copied().unwrap_or(0);
        let heaviest = by_owner.iter().max_by_key(|(_, bytes)| **bytes);
        let Some((heavy, _)) = heaviest.filter(|(_, bytes)| **bytes > part && own <= part) else {
            return Vec::new();
        };
        let bodies = self.holders.iter().filter(|(other, held)| {
            **other != number
                && held.owner == *heavy
                && held.phase == MemoryPhase::Receiving
                && self.is_large(held)
        });
        let mut newest: Vec<_> = bodies.map(|(other, held)| (held.since, *other)).collect();
        newest.sort_unstable_by(|a, b| b.cmp(a));
        newest.into_iter().map(|(_, other)| (other, Eviction::HeavyCustomer)).collect()
    }
}
