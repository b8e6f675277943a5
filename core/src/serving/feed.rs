//! Shared reads of a store's feed: one gateway reads, and sends what it read to the others.

use std::collections::VecDeque;

use crate::ids::Millis;

/// What a gateway sends to others after a read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FeedUpdate {
    /// Offset from which the message carries the changes.
    pub from: u64,
    /// Offset at which the feed ended.
    pub next: u64,
    /// Time since the feed was read.
    pub age: Millis,
}

/// How a message of another gateway relates to this gateway's offset.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FeedUpdateOutcome {
    /// It continues at or before this gateway's offset: its changes are applied.
    Applies,
    /// It ends at this gateway's offset.
    Confirms,
    /// It begins after this gateway's offset: this gateway must fetch what it missed, or read the store.
    Gap,
    /// It ends before this gateway's offset, or this gateway has no offset yet.
    Stale,
}

/// A gateway's offset in a feed, and the time as of which it is current.
///
/// If every gateway read the store by itself, the calls would grow with the fleet, for the same
/// data. Instead, each gateway waits for a random time since its view was last current. The first
/// one to time out reads, and its message restarts the timers of the others. There is no leader
/// whose failure would have to be detected: a gateway that receives no message reads after twice
/// its period at most.
///
/// The timers are not uniform. The probability of an early timeout falls exponentially with the
/// size of the fleet, as with the feedback timers of multicast receivers. With uniform timers, a
/// dozen of 28 gateways timed out before the first one's message reached them.
#[derive(Clone, Debug)]
pub struct FeedView {
    period: Millis,
    /// Gateways that read this feed, including this one.
    fleet: usize,
    next: Option<u64>,
    /// Highest offset that `next` ever had.
    highest_next: Option<u64>,
    known_as_of: Millis,
    refresh_interval: Millis,
    /// When a message first showed that this gateway missed changes.
    gap_since: Option<Millis>,
}

/// Time in which a gateway that is ahead answers and announces what it sent. Each one that has fetched from it serves
/// others next.
const FETCH_ROUND: Millis = Millis(300);

/// Factor by which the gateways that are not behind grow in a round.
const ROUND_GROWTH: usize = 8;

impl FeedView {
    /// Creates a view without an offset. `period` is the least time without messages after which
    /// this gateway reads; it reads after twice the period at most.
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
            gap_since: None,
        }
    }

    /// Sets the number of gateways that read this feed, including this one.
    pub fn set_fleet_size(&mut self, fleet: usize) {
        self.fleet = fleet.max(1);
    }

    /// Returns the number of gateways that read this feed, including this one.
    pub fn fleet_size(&self) -> usize {
        self.fleet
    }

    /// Returns the offset of the next record to read; `None` if the feed must be read whole.
    pub fn next(&self) -> Option<u64> {
        self.next
    }

    /// Returns the highest offset that this view ever had; [`FeedView::clear_offset`] leaves it.
    ///
    /// A gateway without an offset asks only gateways whose offset is higher than this. Without
    /// this comparison, two gateways in the same state kept asking each other, and neither read the
    /// store's list for 20 s.
    pub fn highest_next(&self) -> Option<u64> {
        self.highest_next
    }

    /// Returns the time as of which the view was last current; `None` if it never was.
    ///
    /// It remains valid after the offset is cleared. An order that arrives with the next read of
    /// the whole feed is younger than this; without that bound, such an order was taken to be just
    /// given, and a good version was done after its deadline.
    pub fn as_of(&self) -> Option<Millis> {
        (self.known_as_of > Millis(0)).then_some(self.known_as_of)
    }

    /// Returns whether this gateway should read the store, or fetch from a gateway that is ahead.
    pub fn is_due(&self, now: Millis) -> bool {
        self.next.is_none()
            || self.gap_since.is_some()
            || now.since(self.known_as_of) >= self.refresh_interval
    }

    /// Returns the earliest time at which a gateway that missed changes reads the store, rather than wait for those that
    /// are ahead.
    ///
    /// Load pattern: hundreds of servers register within seconds, and each read brings more changes than a message
    /// carries, so that all gateways miss some at the same moment. One gateway is ahead then and serves few at a time.
    /// With a fixed wait, as many read the store as it could not serve in that time. The number of gateways that serve
    /// grows with each round, so that the wait grows with the logarithm of the fleet. It ends when this gateway would
    /// read without any message.
    ///
    /// ```
    /// use redwingfold_core::{FeedUpdate, FeedView, Millis};
    /// let mut view = FeedView::new(Millis(2_000));
    /// view.record_read(Millis(0), 7, 0);
    /// view.apply_update(FeedUpdate { from: 90, next: 90, age: Millis(0) }, Millis(100), 0);
    /// assert_eq!(view.store_read_at(), Some(Millis(400)));
    /// view.set_fleet_size(356);
    /// assert_eq!(view.store_read_at(), Some(Millis(1_000)));
    /// ```
    pub fn store_read_at(&self) -> Option<Millis> {
        let since = self.gap_since?;
        let rounds = u64::from(self.fleet.max(2).ilog(ROUND_GROWTH)) + 1;
        let unaided = self.known_as_of.after(self.refresh_interval);
        let patient = since.after(Millis(FETCH_ROUND.0 * rounds));
        Some(patient.min(unaided).max(since.after(FETCH_ROUND)))
    }

    /// Records a read of this gateway that began at `began`; `draw` is a random number.
    pub fn record_read(&mut self, began: Millis, next: u64, draw: u64) {
        self.next = Some(next);
        self.highest_next = self.highest_next.max(self.next);
        self.gap_since = None;
        self.refresh(began, draw);
    }

    /// Clears the offset, because the feed no longer has the record at it.
    pub fn clear_offset(&mut self) {
        self.next = None;
    }

    /// Applies the message of another gateway; `draw` is a random number.
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
                self.gap_since = None;
                self.refresh(as_of, draw);
                FeedUpdateOutcome::Applies
            }
            Some(_) => {
                self.gap_since.get_or_insert(now);
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

/// Length in bytes of an answer from which a compacted read pays: below it, the second call takes
/// longer than the bytes that it saves.
const MIN_COMPACTED_READ_BYTES: u64 = 64 * 1024;

/// Returns whether a compacted read, which has only the newest record of each key, is shorter than
/// all records since the last read. `behind` is the number of records since then, and `bytes` the
/// length of the answer that has them.
///
/// A record with the whole configuration supersedes the earlier ones. A gateway with a link of 10
/// Mbit/s that is several configurations of 300 kB behind, one every 0.4 s, would never catch up by
/// reading each of them.
///
/// ```
/// use redwingfold_core::is_compacted_read_shorter;
/// assert!(is_compacted_read_shorter(2, 600_000));
/// assert!(!is_compacted_read_shorter(1, 600_000) && !is_compacted_read_shorter(20, 9_000));
/// ```
pub fn is_compacted_read_shorter(behind: u64, bytes: u64) -> bool {
    behind > 1 && bytes >= MIN_COMPACTED_READ_BYTES
}

/// The changes of the last reads of a feed, which each message repeats.
///
/// A lost message leaves a gap before the next one, and each gateway that missed it reads the
/// store. In a fleet of hundreds, some gateway always did: with 2% of messages lost, 330 gateways
/// read eight times as often as one. A message that repeats the changes of the two before it closes
/// the gap.
#[derive(Clone, Debug)]
pub struct FeedHistory<C> {
    reads: VecDeque<ReadChanges<C>>,
    max_changes: usize,
}

#[derive(Clone, Debug)]
struct ReadChanges<C> {
    from: u64,
    next: u64,
    changes: Vec<C>,
}

/// Reads whose changes a message carries. Two messages in a row are lost so rarely that the store
/// can be read then.
const MAX_HISTORY_READS: usize = 3;

impl<C: Clone> FeedHistory<C> {
    /// Creates an empty history of at most `max_changes` changes.
    ///
    /// ```
    /// use redwingfold_core::FeedHistory;
    /// let mut history = FeedHistory::new(8);
    /// history.add(10, 12, vec!["a"]);
    /// history.add(12, 13, vec!["b"]);
    /// assert_eq!(history.recent_changes(), Some((10, vec!["a", "b"])));
    /// ```
    pub fn new(max_changes: usize) -> Self {
        Self { reads: VecDeque::new(), max_changes }
    }

    /// Adds the changes between two offsets, from an own read or another gateway's message.
    pub fn add(&mut self, from: u64, next: u64, changes: Vec<C>) {
        if self.reads.back().is_some_and(|last| last.next != from) {
            self.reads.clear();
        }
        self.reads.push_back(ReadChanges { from, next, changes });
        let is_long = |reads: &VecDeque<ReadChanges<C>>| {
            let changes: usize = reads.iter().map(|read| read.changes.len()).sum();
            reads.len() > MAX_HISTORY_READS || changes > self.max_changes
        };
        while is_long(&self.reads) {
            self.reads.pop_front();
        }
    }

    /// Returns the first offset in the history, and the changes since.
    pub fn recent_changes(&self) -> Option<(u64, Vec<C>)> {
        let from = self.reads.front()?.from;
        Some((from, self.reads.iter().flat_map(|read| read.changes.iter().cloned()).collect()))
    }
}

/// Draws a wait of up to `max`; the larger the fleet, the rarer an early one.
///
/// The wait `t` has a density proportional to `exp(lambda * t / max)`. With `lambda` of one more
/// than the logarithm of the fleet's size, about one gateway is expected in the first part of the
/// time, whatever the size is.
pub(crate) fn random_wait(max: Millis, fleet: usize, draw: u64) -> Millis {
    let lambda = (fleet.max(1) as f64).ln() + 1.0;
    let uniform = draw as f64 / u64::MAX as f64;
    let part = (uniform * lambda.exp_m1()).ln_1p() / lambda;
    Millis((part * max.0 as f64) as u64)
}
