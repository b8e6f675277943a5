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

/// Counts streams that are sent to another server, of 1,000 whose events come `gap` ms apart for four seconds, with
/// random deviations of a third, because their server prefills a long prompt.
fn sent_elsewhere(awaited: Awaited, gap: u64) -> usize {
    let policy = SilencePolicy::default();
    let mut rng = fastrand::Rng::with_seed(11);
    let is_sent = |rng: &mut fastrand::Rng| {
        let mut elapsed = 0;
        while elapsed < 4_000 {
            let next = rng.u64(gap * 2 / 3..=gap * 4 / 3);
            let mut watch = SilenceWatch::new(Millis(0), POLL);
            let looks = (1..).map(|look| Millis(look * POLL.0)).take_while(|now| now.0 < next);
            for now in looks {
                watch.poll(now, now);
                if watch.is_over(&policy, awaited, TARGET_LATENCY, 0.05) {
                    return true;
                }
            }
            elapsed += next;
        }
        false
    };
    (0..1_000).filter(|_| is_sent(&mut rng)).count()
}

/// Guards against streams that leave a server which prefills a long prompt, although the server still sends their events:
/// their own long prompts, prefilled again, stall the streams of the next server. Load pattern: events 0.9 s apart, where
/// gaps of 1.2 s are in time; another server needs 1.5 s to resume the stream.
#[test]
fn streams_beside_a_long_prompt_stay_at_their_server() {
    let gap = Millis(1_200);
    let by_gap_alone = sent_elsewhere(Awaited::Event(gap), 900);
    let resume = Millis(1_500);
    let by_resume_time = sent_elsewhere(Awaited::ResumableEvent { gap, resume }, 900);
    assert!(by_gap_alone > 500 && by_resume_time == 0, "{by_gap_alone} -> {by_resume_time}");
}

/// Guards against lost streams that stay with their server: a short prompt is resumed elsewhere within the gap that is in
/// time, and a long one still before its caller gives up.
#[test]
fn lost_streams_are_resumed_in_time_or_before_their_caller_leaves() {
    let policy = SilencePolicy::default();
    for gap in [Millis(600), Millis(1_200)] {
        // A caller gives up after 2 s, four times the target or eight times the gap, whichever is longest.
        let patience = Millis(gap.0 * 8).max(Millis(TARGET_LATENCY.0 * 4)).max(Millis(2_000));
        for resume in (0..4_000).step_by(50).map(Millis) {
            let timeout = policy.event_timeout(gap, resume);
            assert!(timeout.after(resume) <= patience, "{gap} {resume}");
            assert!(timeout <= Millis(gap.0 * 3).max(policy.min_event), "{gap} {resume}");
        }
        let quick = policy.event_timeout(Millis(1_200), Millis(100));
        assert!(quick.after(Millis(100)) <= Millis(1_200));
    }
}
