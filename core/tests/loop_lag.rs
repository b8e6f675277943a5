//! Load on one event loop, in virtual time: requests wait in order, and new connections are closed unread while it is
//! overloaded.

use std::collections::VecDeque;

use redwingfold_core::{LoopLag, Millis};

/// Processing time of a request, of a closed connection, and time after which a caller has left.
const REQUEST_US: u64 = 10_000;
const CLOSE_US: u64 = 50;
const DEADLINE_US: u64 = 1_500_000;
const DURATION_US: u64 = 20_000_000;

/// Minimum share of the requests that are read and answered before their callers leave.
const MIN_SERVED: f64 = 0.75;

#[derive(Debug, Default)]
struct Outcome {
    read: usize,
    served: usize,
    closed: usize,
}

/// Simulates connections that arrive at an even rate. `busy` returns whether the process gets no CPU time at a time.
fn simulate(per_second: u64, sheds: bool, busy: impl Fn(u64) -> bool) -> Outcome {
    let (mut loop_lag, mut outcome) = (LoopLag::default(), Outcome::default());
    let mut waiting: VecDeque<u64> = VecDeque::new();
    let (mut now, mut next_arrival) = (0, 0);
    let millis = |us: u64| Millis(us / 1_000);
    let mut timer_due = loop_lag.record_timer(millis(now));
    // The timer runs behind the requests that were waiting when it was due.
    let mut ahead_of_timer = None;
    while now < DURATION_US {
        while next_arrival <= now {
            if sheds && loop_lag.is_overloaded(millis(now)) {
                outcome.closed += 1;
                now += CLOSE_US;
            } else {
                loop_lag.record_accept();
                outcome.read += 1;
                waiting.push_back(next_arrival);
            }
            next_arrival += 1_000_000 / per_second;
        }
        if busy(now) {
            now += 1_000;
            continue;
        }
        if millis(now) >= timer_due {
            let ahead = ahead_of_timer.get_or_insert(waiting.len());
            if *ahead == 0 {
                timer_due = loop_lag.record_timer(millis(now));
                ahead_of_timer = None;
            }
        }
        match waiting.pop_front() {
            None => now += 100,
            Some(arrived_at) => {
                now += REQUEST_US;
                outcome.served += usize::from(now - arrived_at <= DEADLINE_US);
                ahead_of_timer = ahead_of_timer.map(|ahead| ahead.saturating_sub(1));
            }
        }
    }
    outcome
}

/// Guards against a gateway that accepts more connections than it can serve, and answers none of its callers in time.
#[test]
fn requests_that_are_read_are_served_while_all_connections_go_to_one_gateway() {
    for per_second in [120, 200, 1_000, 3_200] {
        let outcome = simulate(per_second, true, |_| false);
        let share = outcome.served as f64 / outcome.read as f64;
        assert!(share >= MIN_SERVED, "{per_second} a second: {outcome:?}");
        let capacity = (DURATION_US / REQUEST_US) as f64;
        assert!(outcome.served as f64 >= MIN_SERVED * capacity, "{per_second}: {outcome:?}");
        let without = simulate(per_second, false, |_| false);
        assert!((without.served as f64) < MIN_SERVED * without.read as f64, "{without:?}");
    }
}

/// Guards against connections that are closed though the gateway has time for them: at four fifths of its capacity, also
/// when its CPU quota pauses it for a part of each tenth of a second.
#[test]
fn connections_are_accepted_while_the_loop_keeps_up() {
    assert_eq!(simulate(80, true, |_| false).closed, 0);
    let is_throttled = |now: u64| now % 100_000 >= 50_000;
    assert_eq!(simulate(40, true, is_throttled).closed, 0);
}
