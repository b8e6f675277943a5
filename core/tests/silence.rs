//! When a server's silence towards a request is worth a second send.

use redwingfold_core::{Awaited, Millis, SilencePolicy, SilenceWatch};

const AIM: Millis = Millis(2_000);
const POLL: Millis = Millis(200);

/// How requests fared.
#[derive(Debug, Default)]
struct Outcome {
    /// Second sends for requests whose answer was under way.
    needless: f64,
    /// Requests of which the first answer was lost, and the second began within the aim.
    saved: f64,
}

/// Plays requests whose first byte takes `mean` ms, exponentially spread, and one answer in thirty is lost.
fn play(mean: f64, pressure: f64, seed: u64) -> Outcome {
    let policy = SilencePolicy::default();
    let mut rng = fastrand::Rng::with_seed(seed);
    let (mut needless, mut lost, mut saved, n) = (0, 0, 0, 20_000);
    for _ in 0..n {
        let mut first = || (-mean * (1.0 - rng.f64()).ln()) as u64;
        let (takes, again) = (first(), first());
        let is_lost = rng.u32(..30) == 0;
        let mut watch = SilenceWatch::new(Millis(0), POLL);
        let given_up = (1..100).map(|look| look * POLL.0).find(|now| {
            // The server answers others all the while.
            watch.poll(Millis(*now), Millis(*now));
            let is_answered = !is_lost && takes <= *now;
            is_answered || watch.is_over(&policy, Awaited::Head(Millis(50)), AIM, pressure)
        });
        let is_second = is_lost || given_up.is_some_and(|at| at < takes);
        match (is_lost, given_up) {
            (true, Some(at)) => {
                lost += 1;
                saved += u64::from(at + again <= AIM.0);
            }
            (true, None) => lost += 1,
            (false, _) => needless += u32::from(is_second),
        }
    }
    Outcome { needless: f64::from(needless) / f64::from(n), saved: saved as f64 / f64::from(lost) }
}

/// A server runs requests, and one answer in thirty gets lost on its way. Its callers see nothing, and
/// their patience is hardly longer than the aim; asked elsewhere after half of it they are answered in
/// time, since first bytes usually take a tenth.
#[test]
fn lost_answers_are_had_again_in_time() {
    for seed in 0..5 {
        let calm = play(100.0, 0.05, seed);
        assert!(calm.saved > 0.95 && calm.needless < 0.001, "{calm:?}");
    }
}

/// Load pattern: servers are so full that first bytes take a quarter of the aim on average, then all of it.
/// A second send for each that waits would double the queue; the wait grows with the pressure, and at the
/// worst nothing is sent twice.
#[test]
fn queues_do_not_double_themselves() {
    let (busy, full) = (play(500.0, 0.25, 3), play(2_000.0, 1.0, 3));
    assert!(busy.needless < 0.03, "{busy:?}");
    assert!(full.needless == 0.0 && full.saved == 0.0, "{full:?}");
}

/// The process stands still for five seconds while thirty streams run. What servers sent meanwhile waits
/// unread in its sockets, so that all of them look silent; none is sent once more for that.
#[test]
fn standstill_of_the_process_is_no_silence() {
    let policy = SilencePolicy::default();
    let mut watch = SilenceWatch::new(Millis(0), POLL);
    for now in [200, 5_200] {
        watch.poll(Millis(now), Millis(0));
    }
    assert!(!watch.is_over(&policy, Awaited::Event(Millis(1_000)), AIM, 0.0));
    watch.poll(Millis(5_400), Millis(5_300));
    watch.poll(Millis(5_600), Millis(5_300));
    assert!(watch.is_over(&policy, Awaited::Event(Millis(1_000)), AIM, 0.0));
}

/// A server hangs and says nothing to anyone: it is given up also at a pressure at which the silence
/// towards one request says nothing.
#[test]
fn hanging_server_is_given_up_under_pressure() {
    let policy = SilencePolicy::default();
    let given_up = |heard_at: fn(u64) -> u64| {
        let mut watch = SilenceWatch::new(Millis(0), POLL);
        (1..50).map(|look| look * POLL.0).find(|now| {
            watch.poll(Millis(*now), Millis(heard_at(*now)));
            watch.is_over(&policy, Awaited::Head(Millis(50)), AIM, 1.0)
        })
    };
    assert_eq!(given_up(|_| 0), Some(3_000));
    assert_eq!(given_up(|now| now), None);
}
