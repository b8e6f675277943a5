//! Hundreds of servers register within seconds, and each read of the feed has more changes than a message carries.

use redwingfold_core::{FeedPositions, FeedUpdate, FeedView, Millis};

/// Period in ms of reads of the feed.
const PERIOD: u64 = 1_250;
/// Milliseconds until a message is delivered.
const MESSAGE_DELAY: u64 = 20;
/// Milliseconds until a gateway has answered another one, on a host with a tenth of a CPU core.
const ANSWER_DELAY: u64 = 60;
/// Gateways that one gateway answers at the same time.
const MAX_SERVED: usize = 8;
/// Gateways that are notified of a list fetched from a peer.
const FANOUT: usize = 8;
/// Longest random delay in ms of a fetch.
const MAX_FETCH_DELAY: u64 = 200;
/// Records per second, and for how many milliseconds.
const RECORDS_PER_SECOND: u64 = 130;
const STORM_MS: u64 = 5_000;
/// Changes that a message carries.
const MAX_CHANGES: u64 = 12;
const STEP: u64 = 10;

/// Where a gateway that is behind gets what it lacks.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Policy {
    /// From the gateway with the highest offset, and from the store after a fixed time.
    FurthestThenStore,
    /// From any gateway that is well ahead, and from the store at [`FeedView::store_read_at`].
    WellAhead,
}

#[derive(Clone)]
struct Gateway {
    view: FeedView,
    positions: FeedPositions<usize>,
    /// The peer that is asked, and when its answer arrives.
    fetch: Option<(usize, u64)>,
    /// Time of the next fetch; gateways that are notified together do not ask together.
    fetches_at: Option<u64>,
    served: usize,
    is_frozen: bool,
}

struct Message {
    at: u64,
    to: usize,
    from: usize,
    update: FeedUpdate,
    read_at: u64,
}

struct Outcome {
    /// Times of the reads of the store.
    reads_at: Vec<u64>,
    max_staleness: u64,
}

impl Outcome {
    /// Returns the largest number of reads within a second.
    fn max_reads_in_a_second(&self) -> usize {
        let within = |from: u64| {
            let is_within = |at: &&u64| (from..from + 1_000).contains(*at);
            self.reads_at.iter().filter(is_within).count()
        };
        self.reads_at.iter().map(|from| within(*from)).max().unwrap_or(0)
    }
}

/// Fetches from a peer that is ahead, after a random delay.
fn start_fetch(
    fleet: &mut [Gateway],
    at: usize,
    policy: Policy,
    now: Millis,
    rng: &mut fastrand::Rng,
) {
    let own = fleet[at].view.highest_next();
    let peer = match policy {
        Policy::FurthestThenStore => fleet[at].positions.pick_ahead(own, rng.u64(..), now),
        Policy::WellAhead => fleet[at].positions.pick_well_ahead(own, rng.u64(..), now),
    };
    match (peer, fleet[at].fetches_at) {
        (Some(_), None) => fleet[at].fetches_at = Some(now.0 + rng.u64(..MAX_FETCH_DELAY)),
        (Some(peer), Some(begins)) if begins <= now.0 => {
            fleet[at].fetches_at = None;
            match fleet[peer].served < MAX_SERVED {
                true => {
                    fleet[peer].served += 1;
                    fleet[at].fetch = Some((peer, now.0 + ANSWER_DELAY));
                }
                false => fleet[at].positions.record_failure(peer, now),
            }
        }
        _ => {}
    }
}

/// Simulates `n` gateways that know the feed and each other. `lost` is the share of messages that are lost, and of the
/// gateways one in `frozen_one_in` announces a position and then never answers.
fn simulate(n: usize, lost: f64, frozen_one_in: usize, policy: Policy, seed: u64) -> Outcome {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut fleet: Vec<Gateway> = (0..n)
        .map(|at| {
            let mut view = FeedView::new(Millis(PERIOD));
            view.set_fleet_size(n);
            view.record_read(Millis(0), 0, rng.u64(..));
            let is_frozen = frozen_one_in > 0 && at % frozen_one_in == 1;
            let positions = FeedPositions::new();
            Gateway { view, positions, fetch: None, fetches_at: None, served: 0, is_frozen }
        })
        .collect();
    let end_at = |ms: u64| ms.min(STORM_MS) * RECORDS_PER_SECOND / 1_000;
    let mut messages: Vec<Message> = Vec::new();
    let mut outcome = Outcome { reads_at: Vec::new(), max_staleness: 0 };
    for ms in (STEP..STORM_MS + 5_000).step_by(STEP as usize) {
        let now = Millis(ms);
        for message in messages.extract_if(.., |message| message.at <= ms).collect::<Vec<_>>() {
            let gateway = &mut fleet[message.to];
            let age = Millis(ms - message.read_at);
            let update = FeedUpdate { age, ..message.update };
            gateway.view.apply_update(update, now, rng.u64(..));
            gateway.positions.record(message.from, update.next, now);
        }
        for at in 0..n {
            let mut announced = None;
            if let Some((peer, _)) = fleet[at].fetch.filter(|(_, arrives)| *arrives <= ms) {
                fleet[at].fetch = None;
                fleet[peer].served -= 1;
                let next = fleet[peer].view.next().unwrap_or(0);
                let as_of = fleet[peer].view.as_of().unwrap_or_default();
                if !fleet[peer].is_frozen && fleet[at].view.next() < Some(next) {
                    fleet[at].view.record_read(as_of, next, rng.u64(..));
                    announced =
                        Some((FANOUT, FeedUpdate { from: next, next, age: Millis(0) }, as_of.0));
                } else {
                    fleet[at].positions.record_failure(peer, now);
                }
            }
            let is_due = fleet[at].view.is_due(now);
            if is_due && fleet[at].fetch.is_none() {
                start_fetch(&mut fleet, at, policy, now, &mut rng);
            }
            let gap_at = fleet[at].view.store_read_at();
            let reads_at = match (policy, gap_at) {
                (_, None) => now,
                (Policy::WellAhead, Some(reads_at)) => reads_at,
                // A fleet of one waits for a single round.
                (Policy::FurthestThenStore, Some(_)) => {
                    let mut alone = fleet[at].view.clone();
                    alone.set_fleet_size(1);
                    alone.store_read_at().unwrap_or(now)
                }
            };
            if is_due && now >= reads_at && announced.is_none() {
                let (from, next) = (fleet[at].view.next().unwrap_or(0), end_at(ms));
                fleet[at].view.record_read(now, next, rng.u64(..));
                outcome.reads_at.push(ms);
                let from = if next - from > MAX_CHANGES { next } else { from };
                announced = Some((n, FeedUpdate { from, next, age: Millis(0) }, ms));
            }
            if let Some((fanout, update, read_at)) = announced {
                let mut others: Vec<_> = (0..n).filter(|other| *other != at).collect();
                rng.shuffle(&mut others);
                others.truncate(fanout);
                others.retain(|_| rng.f64() >= lost);
                let message =
                    |to| Message { at: ms + MESSAGE_DELAY, to, from: at, update, read_at };
                messages.extend(others.into_iter().map(message));
            }
            let as_of = fleet[at].view.as_of().unwrap_or_default();
            outcome.max_staleness = outcome.max_staleness.max(now.since(as_of).0);
        }
    }
    outcome
}

/// Guards against a store that is read by all gateways at once while servers register: one that cannot be served by a
/// peer at once must not read the store for it. In no second does more than a tenth of the fleet read it, and of a small
/// fleet no more than four gateways.
#[test]
fn registrations_are_read_by_few() {
    for (n, seeds) in [(17, 8), (103, 4), (356, 2), (712, 1)] {
        for seed in 0..seeds {
            let reads = simulate(n, 0.02, 0, Policy::WellAhead, seed).max_reads_in_a_second();
            assert!(
                reads <= (n / 10).max(4),
                "{n} gateways, seed {seed}: {reads} reads in a second"
            );
        }
    }
}

/// Lost messages, and gateways that announce what they have and never answer, keep nobody from changes for longer than
/// two periods and the time of a fetch.
#[test]
fn storm_leaves_nobody_behind() {
    for (lost, frozen_one_in) in [(0.02, 0), (0.3, 0), (0.02, 5)] {
        for seed in 0..3 {
            let outcome = simulate(103, lost, frozen_one_in, Policy::WellAhead, seed);
            let staleness = outcome.max_staleness;
            let most = 2 * PERIOD + 300 + ANSWER_DELAY;
            assert!(staleness <= most, "{lost} lost, seed {seed}: {staleness} ms old");
        }
    }
}

/// Guards against a check that cannot fail: with a fixed wait, and one gateway to ask, most of the fleet reads the store.
#[test]
fn one_source_and_a_fixed_wait_send_the_fleet_to_the_store() {
    let reads = simulate(356, 0.02, 0, Policy::FurthestThenStore, 1).reads_at.len();
    assert!(reads >= 356, "{reads} reads");
}
