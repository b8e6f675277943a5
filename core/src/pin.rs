//! Session pins: the version that a session keeps using.

use std::collections::{BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

use crate::ids::{CustomerName, Millis, SessionId, VersionName};

/// Key of a pin: a customer's session and the name that it requests.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PinKey {
    /// The customer.
    pub customer: CustomerName,
    /// Its session.
    pub session: SessionId,
    /// Name of the requested model or cascade.
    pub name: String,
}

/// The version that a session keeps.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Pin {
    /// Number of withdrawals that have moved the session; a pin with more moves replaces one with
    /// fewer.
    pub moves: u32,
    /// When the session got this version, by the clock of the entry that set the pin.
    pub since: Millis,
    /// The version.
    pub version: VersionName,
}

impl Pin {
    /// Returns whether this pin replaces `other`: it has more moves, or as many and is older. The
    /// order is total and the same at every holder, so copies exchanged in any order converge.
    pub fn replaces(&self, other: &Self) -> bool {
        (other.moves, &self.since, &self.version) < (self.moves, &other.since, &other.version)
    }
}

/// The pins of one holder, bounded in number; evicts the least recently used pin.
#[derive(Debug)]
pub struct PinTable {
    max: usize,
    pins: HashMap<PinKey, (Pin, Millis)>,
    by_use: BTreeSet<(Millis, PinKey)>,
}

impl PinTable {
    /// Creates a table for at most `max` pins.
    pub fn new(max: usize) -> Self {
        Self { max: max.max(1), pins: HashMap::new(), by_use: BTreeSet::new() }
    }

    /// Returns the stored pin, or stores `proposed` if there is none or a withdrawal has moved the
    /// session since. The first proposal to arrive wins, whatever its timestamp.
    ///
    /// ```
    /// use redwingfold_core::{Millis, Pin, PinKey, PinTable};
    /// let key = PinKey {
    ///     customer: "ani".parse().unwrap(),
    ///     session: "batch-7".parse().unwrap(),
    ///     name: "slip".into(),
    /// };
    /// let pin = |v: &str| Pin { moves: 0, since: Millis(5), version: v.parse().unwrap() };
    /// let mut table = PinTable::new(10);
    /// assert_eq!(table.get_or_set(&key, pin("slip-1"), Millis(5)).version, pin("slip-1").version);
    /// let later = Pin { since: Millis(9), ..pin("slip-2") };
    /// assert_eq!(table.get_or_set(&key, later, Millis(9)).version, pin("slip-1").version);
    /// ```
    pub fn get_or_set(&mut self, key: &PinKey, proposed: Pin, now: Millis) -> Pin {
        let pin = match self.pins.get(key) {
            Some((stored, _)) if proposed.moves <= stored.moves => stored.clone(),
            _ => proposed,
        };
        self.put(key.clone(), pin.clone(), now);
        pin
    }

    /// Merges a pin of another holder, and returns the pin that is stored then.
    pub fn merge(&mut self, key: &PinKey, received: Pin, now: Millis) -> Pin {
        let pin = match self.pins.get(key) {
            Some((stored, _)) if !received.replaces(stored) => stored.clone(),
            _ => received,
        };
        self.put(key.clone(), pin.clone(), now);
        pin
    }

    /// Returns the stored pin, and marks it as used at `now`.
    pub fn get(&mut self, key: &PinKey, now: Millis) -> Option<Pin> {
        let (pin, _) = self.pins.get(key)?.clone();
        self.put(key.clone(), pin.clone(), now);
        Some(pin)
    }

    fn put(&mut self, key: PinKey, pin: Pin, now: Millis) {
        if let Some((_, used)) = self.pins.insert(key.clone(), (pin, now)) {
            self.by_use.remove(&(used, key.clone()));
        }
        self.by_use.insert((now, key));
        if self.pins.len() > self.max
            && let Some((_, oldest)) = self.by_use.pop_first()
        {
            self.pins.remove(&oldest);
        }
    }

    /// Returns all pins, for a transfer to another holder.
    pub fn iter(&self) -> impl Iterator<Item = (&PinKey, &Pin)> {
        self.pins.iter().map(|(key, (pin, _))| (key, pin))
    }

    /// Returns the number of pins.
    pub fn len(&self) -> usize {
        self.pins.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.pins.is_empty()
    }
}
