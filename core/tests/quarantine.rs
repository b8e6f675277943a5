//! Poison requests, and innocent ones that run beside them, in simulated fleets in virtual time.

#[allow(dead_code, reason = "each test file uses its part")]
mod quarantine_fleet;

use quarantine_fleet::{Load, Outcome, simulate};
use redwingfold_core::{
    Admission, BackendId, EndedRun, Fingerprint, Mark, MarkChange, Millis, Quarantine,
    QuarantinePolicy,
};

/// Maximum number of sends of a poison request once all gateways must have its marks.
const MAX_LATE_SENDS: usize = 3;

const BASE: Load = Load {
    gateways: 3,
    servers: 12,
    poison_every: 0,
    poison_at_once: 1,
    popular_every: 100,
    single_every: 20,
    message_loss: 0.02,
    restart_every: 0,
    restart_all_every: 0,
    store_outages: Vec::new(),
    restores: Vec::new(),
    unrelated_ends: None,
    prompts: None,
    until: 60_000,
};

fn assert_for_seeds(load: &Load, seeds: u64, holds: impl Fn(&Outcome) -> bool) {
    for seed in 0..seeds {
        let outcome = simulate(load.clone(), seed);
        assert!(holds(&outcome), "seed {seed}: {load:?}: {outcome:?}");
    }
}

/// Guards against a poison request that reaches more servers than its trials allow, at any rate of arrival and in
/// fleets of three to 330 gateways. Two servers end under it at each gateway that has no marks yet; the marks of the
/// first gateway are read by the others within a second, even if all messages between them are lost.
#[test]
fn deadly_request_reaches_few_servers_however_it_comes() {
    for (gateways, servers, until, n) in
        [(3, 12, 60_000, 6), (24, 50, 60_000, 3), (103, 180, 30_000, 2), (330, 400, 15_000, 1)]
    {
        for (poison_every, poison_at_once) in [(200, 1), (2_000, 1), (20_000, 1), (5_000, 40)] {
            for message_loss in [0.02, 1.0] {
                let load = Load {
                    gateways,
                    servers,
                    poison_every,
                    poison_at_once,
                    message_loss,
                    until,
                    ..BASE
                };
                assert_for_seeds(&load, n, |outcome| outcome.poison_late_sends <= MAX_LATE_SENDS);
            }
        }
    }
}

/// Guards against gateways that restart without any state, one every 1.5 s or all every 7 s, and release a poison
/// request that keeps arriving. Its marks are in the store, and no gateway is more than two reads behind.
#[test]
fn deadly_request_stays_known_while_gateways_start_anew() {
    for (restart_every, restart_all_every) in [(1_500, 0), (0, 7_000), (1_500, 7_000)] {
        for (poison_every, message_loss) in [(200, 0.02), (4_000, 1.0), (10_000, 0.02)] {
            let load =
                Load { poison_every, restart_every, restart_all_every, message_loss, ..BASE };
            assert_for_seeds(&load, 20, |outcome| outcome.poison_late_sends <= MAX_LATE_SENDS);
        }
    }
}

/// Guards against marks that are lost while the store is unavailable, for a moment, for ten seconds, or twice. Marks
/// made in an outage are written within `CONTACT_MS` after it.
#[test]
fn deadly_request_is_known_once_the_store_is_back() {
    for store_outages in
        [vec![(0, 9_000)], vec![(5_000, 6_000), (9_000, 20_000)], vec![(2_000, 4_000)]]
    {
        for (gateways, poison_every) in [(3, 200), (3, 3_000), (24, 500)] {
            let store_outages = store_outages.clone();
            let load = Load { gateways, servers: 40, poison_every, store_outages, ..BASE };
            assert_for_seeds(&load, 10, |outcome| outcome.poison_late_sends <= MAX_LATE_SENDS);
        }
    }
}

/// Guards against marks that are lost in restores of the store from copies that lack the last seconds, also in series.
/// They are written again within `CONTACT_MS`, so that restarted gateways read them.
#[test]
fn deadly_request_stays_known_while_the_store_comes_back_from_copies() {
    for (gateways, servers, until, n) in
        [(3, 12, 60_000, 20), (24, 50, 60_000, 10), (103, 180, 30_000, 3), (330, 400, 20_000, 1)]
    {
        for (poison_every, restart_all_every, message_loss) in
            [(200, 0, 0.02), (3_000, 7_000, 0.02), (4_000, 0, 1.0), (1_000, 9_000, 0.3)]
        {
            for restores in
                [vec![(6_000, 5_000)], vec![(4_000, 2_000), (5_500, 3_000), (13_000, 12_000)]]
            {
                let load = Load {
                    gateways,
                    servers,
                    poison_every,
                    restart_all_every,
                    message_loss,
                    restores,
                    until,
                    ..BASE
                };
                assert_for_seeds(&load, n, |outcome| outcome.poison_late_sends <= MAX_LATE_SENDS);
            }
        }
    }
}

/// Guards against the quarantine of a popular request, which runs on most servers at any time and so on most that end
/// under a poison request. Unlike that one, it is answered as well.
#[test]
fn popular_request_beside_a_deadly_one_goes_on_being_served() {
    for (gateways, servers) in [(3, 12), (24, 50), (103, 180)] {
        for (poison_every, poison_at_once) in [(200, 1), (2_000, 10)] {
            for popular_every in [20, 100, 700] {
                let load = Load {
                    gateways,
                    servers,
                    poison_every,
                    poison_at_once,
                    popular_every,
                    until: 20_000,
                    ..BASE
                };
                assert_for_seeds(&load, 4, |outcome| {
                    outcome.popular_refused == 0 && outcome.single_refused == 0
                });
            }
        }
    }
}

/// Guards against requests that are refused because servers end for unrelated reasons: a third of them every two
/// seconds, or all every ten.
#[test]
fn requests_on_servers_that_end_by_themselves_go_on_being_served() {
    for unrelated_ends in [(2_000, 0.33), (10_000, 1.0), (500, 0.1)] {
        for (gateways, popular_every) in [(3, 20), (3, 300), (24, 50), (103, 100)] {
            let load = Load {
                gateways,
                servers: gateways * 2,
                popular_every,
                unrelated_ends: Some(unrelated_ends),
                until: 30_000,
                ..BASE
            };
            assert_for_seeds(&load, 4, |outcome| {
                outcome.popular_refused == 0 && outcome.single_refused == 0
            });
        }
    }
}

/// Guards against tables that grow without limit, in a gateway or in the store, however many requests servers end
/// under.
#[test]
fn marks_are_bounded() {
    let max_suspects = 50;
    let policy = QuarantinePolicy { max_suspects, ..QuarantinePolicy::default() };
    let mut quarantine = Quarantine::new(policy);
    let mut written = std::collections::HashSet::new();
    for n in 0..10_000 {
        let run = EndedRun { request: Fingerprint(n), sent_at: Millis(n * 100) };
        quarantine.record_end(&BackendId::from(n.to_string().as_str()), run, Millis(n * 100));
        quarantine.expedite_marks(run.request, Millis(n * 100));
        let due = quarantine.due_changes(Millis(n * 100), usize::MAX);
        for MarkChange { request, mark, age } in &due {
            match age {
                Some(_) => written.insert((*request, mark.clone())),
                None => written.remove(&(*request, mark.clone())),
            };
        }
        quarantine.confirm_written(&due);
        assert!(quarantine.counts(Millis(n * 100)).0 <= max_suspects);
        assert!(written.len() <= max_suspects + 1, "{}", written.len());
    }
}

/// Once a third server has ended under a request and both trials are used up, the request is refused until it is
/// forgotten, a day after its last end.
#[test]
fn request_is_tried_twice_and_forgotten_after_a_day() {
    let policy = QuarantinePolicy::default();
    let mut quarantine = Quarantine::new(policy);
    let request = Fingerprint(7);
    let mark = |mark| MarkChange { request, mark, age: Some(Millis(0)) };
    let ends = ["a", "b", "c"].map(|server| mark(Mark::End(server.into())));
    quarantine.apply_changes(&ends, Millis(0));
    assert_eq!(quarantine.admission(request, Millis(0)), Admission::Trial(1));
    quarantine.apply_changes(&[mark(Mark::Trial(1))], Millis(100));
    assert_eq!(
        quarantine.admission(request, Millis(100)),
        Admission::Refused(policy.trial_timeout)
    );
    let left = policy.trial_interval.since(Millis(3_000));
    assert_eq!(quarantine.admission(request, Millis(3_100)), Admission::Refused(left));
    let later = policy.trial_interval.after(Millis(100));
    assert_eq!(quarantine.admission(request, later), Admission::Trial(2));
    quarantine.apply_changes(&[mark(Mark::Trial(2))], later);
    let refused = quarantine.admission(request, later.after(policy.trial_interval));
    assert!(
        matches!(refused, Admission::Refused(left) if left > Millis(80_000_000)),
        "{refused:?}"
    );
    assert_eq!(quarantine.admission(request, policy.retention.after(later)), Admission::Allowed);
}

/// Guards against an innocent request that is refused for a day because its trials are lost one after the other, as
/// gateways are killed or links fail. It has four trials while no server has ended under any; after a third end it has
/// none left.
#[test]
fn trials_of_which_nothing_is_known_leave_others() {
    let policy = QuarantinePolicy::default();
    let mut quarantine = Quarantine::new(policy);
    let request = Fingerprint(7);
    let mark = |mark| MarkChange { request, mark, age: Some(Millis(0)) };
    quarantine.apply_changes(&["a", "b"].map(|server| mark(Mark::End(server.into()))), Millis(0));
    let mut now = Millis(0);
    for trial in 1..=4 {
        assert_eq!(quarantine.admission(request, now), Admission::Trial(trial));
        quarantine.apply_changes(&[mark(Mark::Trial(trial))], now);
        now = now.after(policy.trial_interval);
        if trial == 3 {
            let mut third = quarantine.clone();
            third.apply_changes(&[mark(Mark::End("c".into()))], now);
            assert!(matches!(third.admission(request, now), Admission::Refused(_)));
        }
    }
    assert!(matches!(quarantine.admission(request, now), Admission::Refused(_)));
}

/// A first end is not written while the stream runs on another server and is answered in the end. If the next server
/// ends under it as well, both ends are written immediately.
#[test]
fn first_end_of_a_stream_that_runs_on_waits_to_be_written() {
    for is_answered in [true, false] {
        let mut quarantine = Quarantine::new(QuarantinePolicy::default());
        let run = |sent_at| EndedRun { request: Fingerprint(1), sent_at: Millis(sent_at) };
        quarantine.record_end(&BackendId::from("a"), run(0), Millis(100));
        for now in (200..6_000).step_by(100) {
            quarantine.postpone_marks(Fingerprint(1), Millis(now));
            assert!(quarantine.due_changes(Millis(now), 9).is_empty());
        }
        if is_answered {
            quarantine.record_answer(Fingerprint(1), Millis(6_000));
        } else {
            quarantine.record_end(&BackendId::from("b"), run(200), Millis(6_000));
        }
        let due = quarantine.due_changes(Millis(20_000), 9).len();
        assert_eq!(due, if is_answered { 0 } else { 2 });
    }
}
