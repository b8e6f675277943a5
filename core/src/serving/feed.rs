//! Reading a feed of the store together: one gateway reads, and the others hear what it saw.

use std::collections::VecDeque;

use crate::ids::Millis;

/// What a gateway tells of its last read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FeedUpdate {
    /// Offset from which the changes are told.
    pub from: u64,
    /// Offset at which the feed ended.
    pub next: u64,
    /// How long ago that was.
    pub age: Millis,
}

/// What a message of another gateway is good for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FeedUpdateOutcome {
    /// It goes on from what is known here: its changes are taken.
    Applies,
    /// It confirms what is known here.
    Confirms,
    /// It shows that something was missed: this gateway reads itself.
    Gap,
    /// It says nothing new.
    Stale,
}

/// How far a gateway knows a feed, and as of when.
///
/// With a read of each gateway's own, calls grow with the fleet while the feed says the same to
/// all. Here each waits a random time after the last moment as of which it knows the feed; the
/// first one reads, and its message lets the others wait anew. Nobody is elected, so nobody's death is
/// noticed late: a gateway that hears nothing reads itself after twice its period at most.
///
/// The waits are not drawn evenly: the chance of an early one falls exponentially with the size of the
/// fleet, as receivers of a multicast draw theirs. With even ones, a dozen of 28 gateways came to
/// their end before the message of the first had reached them.
#[derive(Clone, Debug)]
pub struct FeedView {
    period: Millis,
    /// Gateways that read this feed, this one included.
    fleet: usize,
    next: Option<u64>,
    /// Offset up to which the feed was ever known.
    highest_next: Option<u64>,
    known_as_of: Millis,
    refresh_interval: Millis,
}

impl FeedView {
    /// Makes the view of a feed of which nothing is known; it is read once in `period` at least.
    ///
    /// ```
    /// use redwingfold_core::{FeedUpdateOutcome, FeedUpdate, FeedView, Millis};
    /// let mut view = FeedView::new(Millis(500));
    /// assert!(view.is_due(Millis(0)));
    /// view.record_read(Millis(0), 7, 0);
    /// assert!(!view.is_due(Millis(499)));
    /// let message = FeedUpdate { from: 7, next: 9, age: Millis(10) };
    /// assert_eq!(view.apply_update(message, Millis(500), 0), FeedUpdateOutcome::Applies);
    /// assert!(!view.is_due(Millis(800)) && view.is_due(Millis(990)));
    /// ```
    pub fn new(period: Millis) -> Self {
        Self {
            period,
            fleet: 1,
            next: None,
            highest_next: None,
            known_as_of: Millis(0),
            refresh_interval: Millis(0),
        }
    }

    /// Notes how many gateways read this feed, this one included.
    pub fn set_fleet_size(&mut self, fleet: usize) {
        self.fleet = fleet.max(1);
    }

    /// Returns how many gateways read this feed, this one included.
    pub fn fleet_size(&self) -> usize {
        self.fleet
    }

    /// Returns the offset up to which the feed is known.
    pub fn next(&self) -> Option<u64> {
        self.next
    }

    /// Returns the offset up to which the feed was ever known; it stands also when the feed is lost.
    ///
    /// A gateway that has lost it asks only those that know more. With nothing to compare, two that knew the same
    /// asked each other three times a second, and neither read the store's list for 20 s.
    pub fn highest_next(&self) -> Option<u64> {
        self.highest_next
    }

    /// Returns as of when the feed was last known, if it ever was.
    ///
    /// That holds also while the next records cannot be read: an order that comes with the whole feed anew is
    /// younger than what was known before. Without that bound such an order was taken for just given, and
    /// a good version was done after its deadline.
    pub fn as_of(&self) -> Option<Millis> {
        (self.known_as_of > Millis(0)).then_some(self.known_as_of)
    }

    /// Says whether this gateway should read.
    pub fn is_due(&self, now: Millis) -> bool {
        self.next.is_none() || now.since(self.known_as_of) >= self.refresh_interval
    }

    /// Takes an own read that began at `began`; `draw` is a random number.
    pub fn record_read(&mut self, began: Millis, next: u64, draw: u64) {
        self.next = Some(next);
        self.highest_next = self.highest_next.max(self.next);
        self.refresh(began, draw);
    }

    /// Forgets how far the feed is known, because it no longer keeps what comes next.
    pub fn clear_offset(&mut self) {
        self.next = None;
    }

    /// Takes another gateway's message; `draw` is a random number.
    pub fn apply_update(
        &mut self,
        update: FeedUpdate,
        now: Millis,
        draw: u64,
    ) -> FeedUpdateOutcome {
        let as_of = Millis(now.0.saturating_sub(update.age.0));
        match self.next {
            None => FeedUpdateOutcome::Stale,
            Some(own) if own > update.next => FeedUpdateOutcome::Stale,
            Some(own) if own == update.next => {
                self.refresh(as_of, draw);
                FeedUpdateOutcome::Confirms
            }
            Some(own) if own >= update.from => {
                self.next = Some(update.next);
                self.highest_next = self.highest_next.max(self.next);
                self.refresh(as_of, draw);
                FeedUpdateOutcome::Applies
            }
            Some(_) => {
                self.refresh_interval = Millis(0);
                FeedUpdateOutcome::Gap
            }
        }
    }

    fn refresh(&mut self, as_of: Millis, draw: u64) {
        if as_of >= self.known_as_of {
            self.known_as_of = as_of;
            self.refresh_interval = self.period.after(random_wait(self.period, self.fleet, draw));
        }
    }
}

/// Length of an answer from which on it pays to ask for the newest of each key instead: below it a second
/// call takes longer than the bytes that it saves.
const MIN_COMPACTED_READ_BYTES: u64 = 64 * 1024;

/// Says whether the newest record of each key is shorter than all records since the last read.
///
/// A record that holds everything makes those before it useless. A gateway with 10 Mbit/s, behind by
/// several configurations of 300 kB each that came 0.4 s apart, would read them all one by one and never catch up.
/// `behind` is the number of records that are due, `bytes` the length of the answer that brings them.
///
/// ```
/// use redwingfold_core::is_compacted_read_shorter;
/// assert!(is_compacted_read_shorter(2, 600_000));
/// assert!(!is_compacted_read_shorter(1, 600_000) && !is_compacted_read_shorter(20, 9_000));
/// ```
pub fn is_compacted_read_shorter(behind: u64, bytes: u64) -> bool {
    behind > 1 && bytes >= MIN_COMPACTED_READ_BYTES
}

/// What the last reads of a feed brought, to be told again with each message.
///
/// A message that is lost leaves a gap before the next one, and whoever missed it reads the store.
/// Among hundreds of gateways somebody always did: with one message in fifty lost, 330 of them read
/// eight times as often as one. A message that also tells what the two before it did bridges the gap.
#[derive(Clone, Debug)]
pub struct FeedHistory<C> {
    reads: VecDeque<PastRead<C>>,
    max_changes: usize,
}

#[derive(Clone, Debug)]
struct PastRead<C> {
    from: u64,
    next: u64,
    changes: Vec<C>,
}

/// Reads that a message tells of: two lost ones in a row are rare enough to be read.
const MAX_HISTORY_READS: usize = 3;

impl<C: Clone> FeedHistory<C> {
    /// Makes an empty past of which at most `max_changes` are told.
    ///
    /// ```
    /// use redwingfold_core::FeedHistory;
    /// let mut past = FeedHistory::new(8);
    /// past.add(10, 12, vec!["a"]);
    /// past.add(12, 13, vec!["b"]);
    /// assert_eq!(past.recent_changes(), Some((10, vec!["a", "b"])));
    /// ```
    pub fn new(max_changes: usize) -> Self {
        Self { reads: VecDeque::new(), max_changes }
    }

    /// Adds what a read, or another gateway's message, brought between two offsets.
    pub fn add(&mut self, from: u64, next: u64, changes: Vec<C>) {
        if self.reads.back().is_some_and(|last| last.next != from) {
            self.reads.clear();
        }
        self.reads.push_back(PastRead { from, next, changes });
        let is_long = |reads: &VecDeque<PastRead<C>>| {
            let changes: usize = reads.iter().map(|read| read.changes.len()).sum();
            reads.len() > MAX_HISTORY_READS || changes > self.max_changes
        };
        while is_long(&self.reads) {
            self.reads.pop_front();
        }
    }

    /// Returns the offset from which changes can be told, and the changes since.
    pub fn recent_changes(&self) -> Option<(u64, Vec<C>)> {
        let from = self.reads.front()?.from;
        Some((from, self.reads.iter().flat_map(|read| read.changes.iter().cloned()).collect()))
    }
}

/// Draws a wait of up to `most`; early ones are the rarer the larger the fleet is.
///
/// The time from `t` to `t + dt` is drawn with a density of `exp(lambda * t / most)`. With `lambda` of
/// one more than the logarithm of the fleet's size, about one gateway is expected in the first part
/// of the time, whatever that size is.
pub(crate) fn random_wait(max: Millis, fleet: usize, draw: u64) -> Millis {
    let lambda = (fleet.max(1) as f64).ln() + 1.0;
    let uniform = draw as f64 / u64::MAX as f64;
    let part = (uniform * lambda.exp_m1()).ln_1p() / lambda;
    Millis((part * max.0 as f64) as u64)
}
