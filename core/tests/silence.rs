//! Second sends of requests whose server sends no data.

use redwingfold_core::{Awaited, Millis, SilencePolicy, SilenceWatch};

const TARGET_LATENCY: Millis = Millis(2_000);
const POLL: Millis = Millis(200);

/// Results of a simulation.
#[derive(Debug, Default)]
struct Outcome {
    /// Share of second sends for requests whose answer was in transit.
    needless_sends: f64,
    /// Share of lost answers whose second send began to answer within the target latency.
    saved_answers: f64,
}

/// Simulates requests whose first byte takes `mean` ms on average, exponentially distributed; one answer in thirty is
/// lost.
fn simulate(mean: f64, pressure: f64, seed: u64) -> Outcome {
    let policy = SilencePolicy::default();
    let mut rng = fastrand::Rng::with_seed(seed);
    let (mut needless_sends, mut lost, mut saved_answers, n) = (0, 0, 0, 20_000);
    for _ in 0..n {
        let mut first = || (-mean * (1.0 - rng.f64()).ln()) as u64;
        let (takes, again) = (first(), first());
        let is_lost = rng.u32(..30) == 0;
        let mut watch = SilenceWatch::new(Millis(0), POLL);
        let given_up = (1..100).map(|look| look * POLL.0).find(|now| {
            // The server sends data to other requests all the time.
            watch.poll(Millis(*now), Millis(*now));
            let is_answered = !is_lost && takes <= *now;
            is_answered
                || watch.is_over(&policy, Awaited::Head(Millis(50)), TARGET_LATENCY, pressure)
        });
        let is_second = is_lost || given_up.is_some_and(|at| at < takes);
        match (is_lost, given_up) {
            (true, Some(at)) => {
                lost += 1;
                saved_answers += u64::from(at + again <= TARGET_LATENCY.0);
            }
            (true, None) => lost += 1,
            (false, _) => needless_sends += u32::from(is_second),
        }
    }
    Outcome {
        needless_sends: f64::from(needless_sends) / f64::from(n),
        saved_answers: saved_answers as f64 / f64::from(lost),
    }
}

/// Guards against lost answers that are noticed too late: one in thirty is lost on its way, and callers time out soon
/// after the target latency. First bytes usually take a tenth of it, so a second send after half of it is in time.
#[test]
fn lost_answers_are_had_again_in_time() {
    for seed in 0..5 {
        let calm = simulate(100.0, 0.05, seed);
        assert!(calm.saved_answers > 0.95 && calm.needless_sends < 0.001, "{calm:?}");
    }
}

/// Load pattern: servers are so loaded that first bytes take a quarter of the target latency on average, then all of
/// it. A second send for each waiting request would double the queue; the timeout grows with the pressure, and at the
/// highest pressure nothing is sent twice.
#[test]
fn queues_do_not_double_themselves() {
    let (busy, full) = (simulate(500.0, 0.25, 3), simulate(2_000.0, 1.0, 3));
    assert!(busy.needless_sends < 0.03, "{busy:?}");
    assert!(full.needless_sends == 0.0 && full.saved_answers == 0.0, "{full:?}");
}

/// Guards against second sends after the process was stopped for five seconds. The data that servers sent in that time
/// waits unread in its sockets, so that all of them seem to have sent nothing.
#[test]
fn standstill_of_the_process_is_no_silence() {
    let policy = SilencePolicy::default();
    let mut watch = SilenceWatch::new(Millis(0), POLL);
    for now in [200, 5_200] {
        watch.poll(Millis(now), Millis(0));
    }
    assert!(!watch.is_over(&policy, Awaited::Event(Millis(1_000)), TARGET_LATENCY, 0.0));
    watch.poll(Millis(5_400), Millis(5_300));
    watch.poll(Millis(5_600), Millis(5_300));
    assert!(watch.is_over(&policy, Awaited::Event(Millis(1_000)), TARGET_LATENCY, 0.0));
}

/// A server that sends nothing to any request is abandoned even at a pressure at which missing data on one request has
/// no effect.
#[test]
fn hanging_server_is_given_up_under_pressure() {
    let policy = SilencePolicy::default();
    let given_up = |last_data_at: fn(u64) -> u64| {
        let mut watch = SilenceWatch::new(Millis(0), POLL);
        (1..50).map(|look| look * POLL.0).find(|now| {
            watch.poll(Millis(*now), Millis(last_data_at(*now)));
            watch.is_over(&policy, Awaited::Head(Millis(50)), TARGET_LATENCY, 1.0)
        })
    };
    assert_eq!(given_up(|_| 0), Some(3_000));
    assert_eq!(given_up(|now| now), None);
}
