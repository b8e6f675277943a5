//! Which other gateway to ask for what it knows and this one does not.

use std::collections::HashMap;
use std::hash::Hash;

use crate::ids::Millis;

/// How far other gateways know a feed, as they told, by their addresses.
///
/// The store may turn a host away for minutes while it serves the others, and a slow link may take a second for
/// what a neighbour can say in a few hundred bytes. A gateway that hears that another one is ahead asks it.
#[derive(Clone, Debug)]
pub struct Leads<P> {
    known: HashMap<P, Lead>,
}

#[derive(Clone, Copy, Debug)]
struct Lead {
    next: u64,
    heard: Millis,
    /// Not asked before: it has just failed.
    again_at: Millis,
}

/// Time for which what a gateway told is of use: it may have ended since.
const KEPT: Millis = Millis(5_000);

/// Time until a gateway that failed to answer is asked again. It may serve as many as it can at once.
const AGAIN_AFTER: Millis = Millis(300);

impl<P: Copy + Eq + Hash> Leads<P> {
    /// Makes a table of nobody.
    ///
    /// ```
    /// use redwingfold_core::{Leads, Millis};
    /// let mut leads = Leads::new();
    /// leads.heard('a', 7, Millis(0));
    /// assert_eq!(leads.pick(Some(6), 0, Millis(10)), Some('a'));
    /// assert_eq!(leads.pick(Some(7), 0, Millis(10)), None);
    /// ```
    pub fn new() -> Self {
        Self { known: HashMap::new() }
    }

    /// Notes that a gateway knows the feed up to an offset.
    pub fn heard(&mut self, gateway: P, next: u64, now: Millis) {
        self.known.retain(|_, lead| now.since(lead.heard) < KEPT);
        let lead = self.known.entry(gateway).or_insert(Lead { next, heard: now, again_at: now });
        (lead.next, lead.heard) = (next, now);
    }

    /// Notes that a gateway did not answer.
    pub fn failed(&mut self, gateway: P, now: Millis) {
        if let Some(lead) = self.known.get_mut(&gateway) {
            lead.again_at = now.after(AGAIN_AFTER);
        }
    }

    /// Picks one of those that are furthest ahead of `own`; `draw` is a random number.
    pub fn pick(&self, own: Option<u64>, draw: u64, now: Millis) -> Option<P> {
        let is_of_use = |lead: &Lead| {
            own.is_none_or(|own| lead.next > own)
                && now >= lead.again_at
                && now.since(lead.heard) < KEPT
        };
        let ahead: Vec<_> = self.known.iter().filter(|(_, lead)| is_of_use(lead)).collect();
        let furthest = ahead.iter().map(|(_, lead)| lead.next).max()?;
        let best: Vec<_> = ahead.iter().filter(|(_, lead)| lead.next == furthest).collect();
        best.get((draw % best.len() as u64) as usize).map(|(gateway, _)| **gateway)
    }
}

impl<P: Copy + Eq + Hash> Default for Leads<P> {
    fn default() -> Self {
        Self::new()
    }
}
