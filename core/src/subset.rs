//! Selection of peers: stable, bounded subsets by rendezvous hashing, spread over failure domains.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{FailureDomain, HostId};
use crate::pin::PinKey;

/// A host with its failure domain, as a candidate peer.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Member {
    /// The host.
    pub host: HostId,
    /// Its failure domain.
    pub domain: FailureDomain,
}

fn rendezvous_score(seed: &str, host: &HostId) -> u64 {
    xxhash_rust::xxh3::xxh3_64(format!("{seed}\0{host}").as_bytes())
}

/// Ranks members for a seed, so that the first ones are in different failure domains.
///
/// The members of each domain are ranked by hash. The result has the first of each domain, then the
/// second of each, and so on. A member that joins or leaves affects only the position of members
/// ranked after it in its domain.
///
/// ```
/// use redwingfold_core::{Member, rank};
/// let member = |host: &str, domain: &str| Member {
///     host: host.parse().unwrap(),
///     domain: domain.parse().unwrap(),
/// };
/// let all = [member("a1", "a"), member("a2", "a"), member("b1", "b")];
/// let ranked = rank("seed", &all);
/// assert_ne!(ranked[0].domain, ranked[1].domain);
/// ```
pub fn rank<'a>(seed: &str, members: &'a [Member]) -> Vec<&'a Member> {
    let mut scored: Vec<_> = members.iter().map(|m| (rendezvous_score(seed, &m.host), m)).collect();
    scored.sort_by(|a, b| (b.0, &b.1.host).cmp(&(a.0, &a.1.host)));
    let mut depth = std::collections::HashMap::new();
    let mut layered: Vec<_> = scored
        .into_iter()
        .map(|(score, member)| {
            let layer = depth.entry(&member.domain).or_insert(0_usize);
            *layer += 1;
            (*layer, score, member)
        })
        .collect();
    layered.sort_by(|a, b| (a.0, b.1, &a.2.host).cmp(&(b.0, a.1, &b.2.host)));
    layered.into_iter().map(|(_, _, member)| member).collect()
}

/// A side with the pool of backend servers that it belongs to.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct PooledSide {
    /// The side's host.
    pub member: Member,
    /// Its pool; hosts of a pool serve the same versions.
    pub pool: String,
}

/// Returns the sides that an entry connects to.
///
/// Each side chooses `fan_in` entries in different failure domains, and an entry connects to the
/// sides that chose it. If entries chose sides, some sides would be chosen by none and stay idle:
/// one in seven with 24 entries that choose 24 of 306 sides each. In addition, an entry connects to
/// the `per_pool` sides of each pool that it ranks first, so that it can serve every version.
///
/// ```
/// use redwingfold_core::{Member, PooledSide, sides_of_entry};
/// let member = |host: &str, domain: &str| Member {
///     host: host.parse().unwrap(),
///     domain: domain.parse().unwrap(),
/// };
/// let entries = [member("e1", "a"), member("e2", "b")];
/// let sides = [PooledSide { member: member("s1", "a"), pool: "slips".into() }];
/// let own = "e1".parse().unwrap();
/// assert_eq!(sides_of_entry(&own, &entries, &sides, 2, 1).len(), 1);
/// ```
pub fn sides_of_entry(
    own: &HostId,
    entries: &[Member],
    sides: &[PooledSide],
    fan_in: usize,
    per_pool: usize,
) -> BTreeSet<HostId> {
    let chose_own = |side: &&PooledSide| {
        let chosen = rank(side.member.host.as_str(), entries);
        chosen.iter().take(fan_in).any(|entry| entry.host == *own)
    };
    let mut connected: BTreeSet<_> =
        sides.iter().filter(chose_own).map(|side| side.member.host.clone()).collect();
    let mut pools = BTreeMap::<&str, Vec<Member>>::new();
    for side in sides {
        pools.entry(&side.pool).or_default().push(side.member.clone());
    }
    for members in pools.values() {
        connected.extend(rank(own.as_str(), members).iter().take(per_pool).map(|m| m.host.clone()));
    }
    connected
}

/// Returns whether `own` is among the `per_domain` members of its failure domain that read the log
/// for the others.
pub fn is_log_reader(own: &Member, members: &[Member], per_domain: usize) -> bool {
    let mut scores: Vec<_> = members
        .iter()
        .filter(|m| m.domain == own.domain && m.host != own.host)
        .map(|m| rendezvous_score("log-reader", &m.host))
        .collect();
    scores.sort_unstable_by(|a, b| b.cmp(a));
    let own_score = rendezvous_score("log-reader", &own.host);
    scores.iter().take_while(|s| **s > own_score).count() < per_domain
}

/// Returns the `copies` hosts that hold a session's pin, in the order in which to query them.
pub fn pin_holders<'a>(key: &PinKey, members: &'a [Member], copies: usize) -> Vec<&'a Member> {
    let seed = format!("pin\0{}\0{}\0{}", key.customer, key.session, key.name);
    let mut ranked = rank(&seed, members);
    ranked.truncate(copies);
    ranked
}
