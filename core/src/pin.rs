//! Sessions and the versions that they keep.

use std::collections::{BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

use crate::ids::{CustomerName, Millis, SessionId, VersionName};

/// What a pin is for: a customer's session, under one name that it asks for.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PinKey {
    /// The customer.
    pub customer: CustomerName,
    /// Its session.
    pub session: SessionId,
    /// The model or cascade that is asked for.
    pub name: String,
}

/// The version that a session keeps.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Pin {
    /// How many withdrawals have moved the session; a higher one replaces a lower one.
    pub moves: u32,
    /// When the session got this version, by the clock of the entry that asked.
    pub since: Millis,
    /// The version.
    pub version: VersionName,
}

impl Pin {
    /// Says whether this pin replaces `other`: after more withdrawals, or at the same number if it
    /// is the older. Every holder applies the same order, so copies that crossed end up equal.
    pub fn replaces(&self, other: &Self) -> bool {
        (other.moves, &self.since, &self.version) < (self.moves, &other.since, &other.version)
    }
}

/// A holder's pins, bounded in number; the pin that was used longest ago gives way first.
#[derive(Debug)]
pub struct PinTable {
    max: usize,
    pins: HashMap<PinKey, (Pin, Millis)>,
    by_use: BTreeSet<(Millis, PinKey)>,
}

impl PinTable {
    /// Makes a table for at most `max` pins.
    pub fn new(max: usize) -> Self {
        Self { max: max.max(1), pins: HashMap::new(), by_use: BTreeSet::new() }
    }

    /// Returns the pin in force after `proposed`: the one that is held, or the proposal if none is
    /// held or a withdrawal moved the session. The first proposal wins, whatever its clock said.
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
            Some((held, _)) if proposed.moves <= held.moves => held.clone(),
            _ => proposed,
        };
        self.put(key.clone(), pin.clone(), now);
        pin
    }

    /// Takes a pin that another holder has, and returns the one in force.
    pub fn merge(&mut self, key: &PinKey, theirs: Pin, now: Millis) -> Pin {
        let pin = match self.pins.get(key) {
            Some((held, _)) if !theirs.replaces(held) => held.clone(),
            _ => theirs,
        };
        self.put(key.clone(), pin.clone(), now);
        pin
    }

    /// Returns the pin that is held, and counts it as used.
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

    /// Returns all pins, for handing them to another holder.
    pub fn iter(&self) -> impl Iterator<Item = (&PinKey, &Pin)> {
        self.pins.iter().map(|(key, (pin, _))| (key, pin))
    }

    /// Returns the number of pins.
    pub fn len(&self) -> usize {
        self.pins.len()
    }

    /// Says whether no pin is held.
    pub fn is_empty(&self) -> bool {
        self.pins.is_empty()
    }
}
