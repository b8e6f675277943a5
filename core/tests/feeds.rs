//! Shared reads of a feed by several gateways, under message loss and frozen processes.

use std::collections::VecDeque;

use redwingfold_core::{FeedHistory, FeedUpdate, FeedUpdateOutcome, FeedView, Millis};

const PERIOD: u64 = 500;

struct Gateway {
    view: FeedView,
    history: FeedHistory<()>,
    /// Time as of which its view is really current, for the check.
    true_as_of: u64,
    frozen_until: u64,
}

impl Gateway {
    fn new(fleet: usize) -> Self {
        Self { view: view(fleet), history: FeedHistory::new(8), true_as_of: 0, frozen_until: 0 }
    }
}

struct Outcome {
    reads: u64,
    max_staleness: u64,
    gaps: u64,
}

/// Creates the view of one of `n` gateways.
fn view(n: usize) -> FeedView {
    let mut view = FeedView::new(Millis(PERIOD));
    view.set_fleet_size(n);
    view
}

/// Milliseconds from a read until another gateway handles its message: the transit, and scheduling
/// on a busy host.
const MESSAGE_DELAY: u64 = 40;

/// Simulates `n` gateways for a minute. Messages are delayed, and lost with probability `loss`; if
/// `freezes`, one gateway freezes for a while each second.
fn simulate(n: usize, loss: f64, freezes: bool, seed: u64) -> Outcome {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut gateways: Vec<_> = (0..n).map(|_| Gateway::new(n)).collect();
    let mut outcome = Outcome { reads: 0, max_staleness: 0, gaps: 0 };
    let mut in_flight: VecDeque<(u64, usize, FeedUpdate)> = VecDeque::new();
    // The feed grows by one record every 80 ms.
    let end_at = |ms: u64| ms / 80;
    for ms in (0..60_000).step_by(10) {
        if freezes && ms % 1_000 == 0 && ms > 0 {
            let g = rng.usize(..n);
            gateways[g].frozen_until = ms + rng.u64(500..4_000);
        }
        while in_flight.front().is_some_and(|(sent, _, _)| sent + MESSAGE_DELAY <= ms) {
            let Some((sent, from, update)) = in_flight.pop_front() else { break };
            let update = FeedUpdate { age: Millis(ms - sent), ..update };
            for (other, gateway) in gateways.iter_mut().enumerate() {
                if other == from || rng.f64() < loss || gateway.frozen_until > ms {
                    continue;
                }
                let before = gateway.view.next().unwrap_or_default();
                match gateway.view.apply_update(update, Millis(ms), rng.u64(..)) {
                    effect @ (FeedUpdateOutcome::Applies | FeedUpdateOutcome::Confirms) => {
                        gateway.true_as_of = gateway.true_as_of.max(sent);
                        if effect == FeedUpdateOutcome::Applies {
                            gateway.history.add(before, update.next, Vec::new());
                        }
                    }
                    FeedUpdateOutcome::Gap => outcome.gaps += 1,
                    FeedUpdateOutcome::Stale => {}
                }
            }
        }
        for (g, gateway) in gateways.iter_mut().enumerate() {
            if gateway.frozen_until > ms || !gateway.view.is_due(Millis(ms)) {
                continue;
            }
            let from = gateway.view.next().unwrap_or(end_at(ms));
            gateway.view.record_read(Millis(ms), end_at(ms), rng.u64(..));
            gateway.true_as_of = ms;
            // The initial reads of the gateways don't count: no message could replace them.
            outcome.reads += u64::from(ms > 0);
            gateway.history.add(from, end_at(ms), Vec::new());
            let from = gateway.history.recent_changes().map_or(from, |(from, _)| from);
            in_flight.push_back((ms, g, FeedUpdate { from, next: end_at(ms), age: Millis(0) }));
        }
        for gateway in &gateways {
            let running_for = ms.saturating_sub(gateway.frozen_until);
            if gateway.view.next().is_some() && running_for > 2 * PERIOD {
                outcome.max_staleness = outcome.max_staleness.max(ms - gateway.true_as_of);
            }
        }
    }
    outcome
}

/// Under any message loss and freezes, no running gateway has a view older than twice its period.
#[test]
fn no_gateway_is_staler_than_two_periods() {
    for n in [1, 3, 4, 28] {
        for loss in [0.0, 0.1, 0.5, 1.0] {
            for seed in 0..5 {
                let outcome = simulate(n, loss, true, seed);
                assert!(
                    outcome.max_staleness <= 2 * PERIOD + 10,
                    "{n} {loss} {seed}: {}",
                    outcome.max_staleness
                );
            }
        }
    }
}

/// Guards against reads of the store that grow with the fleet, when a message takes longer than the
/// time between the timeouts of two gateways. The reads stay as many as those of a few gateways;
/// with all messages lost, each gateway reads by itself.
#[test]
fn reads_do_not_grow_with_the_fleet() {
    let alone = simulate(1, 0.0, false, 1).reads;
    for n in [4, 28, 330] {
        let many = simulate(n, 0.02, false, 1);
        assert!(many.reads <= alone * 3, "{n}: {} against {alone}, {} gaps", many.reads, many.gaps);
    }
    assert!(simulate(28, 1.0, false, 1).reads >= alone * 20);
}

/// An update that begins after records which this gateway missed must not be applied, or the missed
/// ones would never be read.
#[test]
fn gap_is_read_and_not_skipped() {
    let mut view = FeedView::new(Millis(PERIOD));
    view.record_read(Millis(0), 10, 0);
    let update = FeedUpdate { from: 12, next: 15, age: Millis(0) };
    assert_eq!(view.apply_update(update, Millis(100), 0), FeedUpdateOutcome::Gap);
    assert_eq!((view.next(), view.is_due(Millis(100))), (Some(10), true));
    let earlier = FeedUpdate { from: 3, next: 8, age: Millis(0) };
    assert_eq!(view.apply_update(earlier, Millis(100), 0), FeedUpdateOutcome::Stale);
    assert_eq!(view.next(), Some(10));
}

/// A delayed message confirms only the state as of when it was sent.
#[test]
fn old_word_does_not_make_a_view_fresh() {
    let mut view = FeedView::new(Millis(PERIOD));
    view.record_read(Millis(0), 10, 0);
    let update = FeedUpdate { from: 10, next: 10, age: Millis(5_000) };
    view.apply_update(update, Millis(PERIOD + 1), 0);
    assert!(view.is_due(Millis(PERIOD + 1)));
}

/// A store drops its history while an operator gives an order, and a gateway reads the whole feed
/// again. The order can't be older than the gateway's last view, whose time must be kept.
#[test]
fn lost_feed_is_still_known_as_of_its_last_read() {
    let mut view = FeedView::new(Millis(450));
    assert_eq!(view.as_of(), None);
    view.record_read(Millis(700), 4, 0);
    view.clear_offset();
    assert_eq!((view.as_of(), view.next()), (Some(Millis(700)), None));
}
