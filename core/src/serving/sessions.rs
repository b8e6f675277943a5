//! Sessions that have moved to the target version of a rollout, and the gateways that store each.

use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;

use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

use super::catalog::ServiceName;
use crate::ids::{Millis, ParseIdError, VersionName};

/// Number of gateways that keep a session; several, so that one that restarts does not lose it.
const KEEPERS: usize = 3;

/// Maximum number of sessions in a table; beyond it, the half that was used longest ago is dropped.
const MAX_SESSIONS: usize = 20_000;

/// A session of a service during the rollout of a version; equal on all gateways.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct SessionKey(pub u64);

impl SessionKey {
    /// Returns the key of a session for the rollout of a version.
    ///
    /// ```
    /// use redwingfold_core::SessionKey;
    /// let key = |session| SessionKey::new(&"slips".into(), &"v2".parse().unwrap(), session);
    /// assert_eq!(key("a"), key("a"));
    /// assert_ne!(key("a"), key("b"));
    /// ```
    pub fn new(service: &ServiceName, target: &VersionName, session: &str) -> Self {
        let mut hash = Xxh3::new();
        for part in [service.as_str(), target.as_str(), session] {
            hash.update(part.as_bytes());
            hash.update(&[0]);
        }
        Self(hash.digest())
    }

    /// Returns the gateways that store this session; `id` must identify a gateway equally on all gateways.
    ///
    /// Selected by rendezvous hashing: a gateway that joins or leaves changes the keepers of only the sessions that it
    /// stores.
    ///
    /// ```
    /// use redwingfold_core::SessionKey;
    /// let (all, fewer) = ([1, 2, 3, 4, 5], [1, 2, 3, 4]);
    /// let keepers = SessionKey(7).keepers(&all, |gateway| *gateway);
    /// let left = SessionKey(7).keepers(&fewer, |gateway| *gateway);
    /// assert_eq!(keepers.len(), 3);
    /// assert!(keepers.iter().filter(|gateway| !left.contains(gateway)).count() <= 1);
    /// ```
    pub fn keepers<A: Copy>(self, gateways: &[A], id: impl Fn(&A) -> u64) -> Vec<A> {
        let score = |gateway: &A| xxh3_64_with_seed(&id(gateway).to_le_bytes(), self.0);
        let mut scored: Vec<_> = gateways.iter().map(|g| (score(g), *g)).collect();
        scored.sort_unstable_by_key(|(score, _)| std::cmp::Reverse(*score));
        scored.into_iter().take(KEEPERS).map(|(_, gateway)| gateway).collect()
    }

    /// Returns the gateways of `settled`, which did not join recently, that stored this session before others joined
    /// and do not now.
    ///
    /// Where many gateways join at once, all keepers of a session may be new and have no record of its move.
    ///
    /// ```
    /// use redwingfold_core::SessionKey;
    /// let (settled, all, key): ([u64; 4], _, _) = ([1, 2, 3, 4], [1, 2, 3, 4, 5, 6, 7], SessionKey(7));
    /// let keepers = key.keepers(&all, |gateway| *gateway);
    /// let former = key.former_keepers(&keepers, &settled, |gateway| *gateway);
    /// let before = key.keepers(&settled, |gateway| *gateway);
    /// assert!(before.iter().all(|g| keepers.contains(g) || former.contains(g)));
    /// ```
    pub fn former_keepers<A: Copy + PartialEq>(
        self,
        keepers: &[A],
        settled: &[A],
        id: impl Fn(&A) -> u64,
    ) -> Vec<A> {
        let mut former = self.keepers(settled, id);
        former.retain(|gateway| !keepers.contains(gateway));
        former
    }
}

impl fmt::Display for SessionKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for SessionKey {
    type Err = ParseIdError;

    /// Parses the hexadecimal form.
    ///
    /// ```
    /// use redwingfold_core::SessionKey;
    /// assert_eq!(SessionKey(10).to_string().parse(), Ok(SessionKey(10)));
    /// assert!("10".parse::<SessionKey>().is_err());
    /// ```
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_hex = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
        let number = is_hex.then(|| u64::from_str_radix(text, 16).ok()).flatten();
        number.map(Self).ok_or_else(|| ParseIdError::new("a session key (16 hex digits)", text))
    }
}

/// Sessions with a request that was sent to the target version of a rollout.
///
/// ```
/// use redwingfold_core::{Millis, MovedSessions, SessionKey};
/// let mut moved = MovedSessions::new(Millis(10_000));
/// moved.record(SessionKey(1), Millis(0));
/// assert!(moved.contains(SessionKey(1), Millis(9_999)));
/// assert!(!moved.contains(SessionKey(1), Millis(10_000)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct MovedSessions {
    retention: Millis,
    used_at: HashMap<SessionKey, Millis>,
    cleaned_at: Millis,
}

impl MovedSessions {
    /// Creates an empty table that keeps a session for `retention` after its last request.
    pub fn new(retention: Millis) -> Self {
        Self { retention, ..Self::default() }
    }

    /// Records a request of a session.
    pub fn record(&mut self, session: SessionKey, now: Millis) {
        if now.since(self.cleaned_at) >= self.retention {
            self.cleaned_at = now;
            self.used_at.retain(|_, at| now.since(*at) < self.retention);
        }
        if self.used_at.len() >= MAX_SESSIONS && !self.used_at.contains_key(&session) {
            self.drop_older_half();
        }
        self.used_at.insert(session, now);
    }

    /// Returns whether a session has moved.
    pub fn contains(&self, session: SessionKey, now: Millis) -> bool {
        self.used_at.get(&session).is_some_and(|at| now.since(*at) < self.retention)
    }

    /// Returns the number of sessions in the table.
    pub fn len(&self) -> usize {
        self.used_at.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.used_at.is_empty()
    }

    fn drop_older_half(&mut self) {
        let mut times: Vec<_> = self.used_at.values().copied().collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.used_at.retain(|_, at| *at > median);
    }
}
