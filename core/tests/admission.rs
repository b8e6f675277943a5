//! Decisions on requests that arrive, and order of those that wait.

mod contention;

use std::collections::BTreeSet;

use bolero::TypeGenerator;
use contention::{Order, Outcome, Shortage, simulate};
use redwingfold_core::{
    AdmissionDecision, AdmissionPolicy, Capacity, Demand, Millis, Priority, QueueFull, WaitQueue,
    Waiting,
};

/// Most by which the share of a less urgent kind may exceed that of a more urgent one.
const MAX_INVERSION: f64 = 0.05;

/// Least share of each kind that is served in time, in each shortage. Without ageing, the last rank is served to
/// between 0.002 and 0.04 in a burst, with half of the servers, with retries, and with more long requests.
const MIN_SHARE: f64 = 0.05;

/// Least ratio between the share of the largest tenth of a kind and that of the kind.
const MIN_RATIO_OF_LARGEST: f64 = 0.5;

const SEEDS: std::ops::Range<u64> = 0..3;

/// Returns the most by which the share of a less urgent kind exceeds that of a more urgent one.
fn inversion(shares: [f64; 3]) -> f64 {
    let [first, second, third] = shares;
    (second - first).max(third - first).max(third - second)
}

fn assert_order_by_rank(shortage: Shortage) {
    for seed in SEEDS {
        let outcome = simulate(Order::Queue, shortage, seed);
        let (served, on_target) = (outcome.shares(), outcome.shares_on_target());
        println!("{shortage:?}, seed {seed}: served {served:.3?}, on target {on_target:.3?}");
        assert!(inversion(served) <= MAX_INVERSION, "{shortage:?}, {seed}: {served:.3?}");
        assert!(inversion(on_target) <= MAX_INVERSION, "{shortage:?}, {seed}: {on_target:.3?}");
        assert_nothing_starves(&outcome, &format!("{shortage:?}, {seed}"));
        assert_eq!(outcome.held_back, 0, "{shortage:?}, {seed}");
    }
}

fn assert_nothing_starves(outcome: &Outcome, label: &str) {
    for (kind, share) in outcome.shares().into_iter().enumerate() {
        let largest = outcome.share_of_largest(kind);
        assert!(share >= MIN_SHARE, "{label}: kind {kind} {share:.3}");
        assert!(largest >= share * MIN_RATIO_OF_LARGEST, "{label}: {kind} {largest:.3} {share:.3}");
    }
}

/// Asserts that the bound is broken, by at least `min`, if requests start in order of arrival.
fn assert_arrival_order_fails(shortage: Shortage, min: f64) {
    for seed in SEEDS {
        let served = simulate(Order::Arrival, shortage, seed).shares();
        println!("{shortage:?}, seed {seed}, order of arrival: served {served:.3?}");
        assert!(inversion(served) > min.max(MAX_INVERSION), "{shortage:?}, {seed}: {served:.3?}");
    }
}

/// Load pattern: all kinds at twice the capacity. In order of arrival all wait for as long as the most patient callers
/// do, so that hardly a tenth of the first rank begins in time but all long requests of the second.
#[test]
fn burst_is_served_by_rank() {
    assert_order_by_rank(Shortage::Burst(2.0));
    assert_arrival_order_fails(Shortage::Burst(2.0), 0.8);
}

/// Load pattern: one kind at 2.5 times its rate. In order of arrival it takes the capacity from the first rank.
#[test]
fn kind_that_grows_does_not_displace_more_urgent_ones() {
    for (kind, min) in [(0, 0.2), (1, 0.6), (2, 0.3)] {
        assert_order_by_rank(Shortage::OneKind(kind));
        assert_arrival_order_fails(Shortage::OneKind(kind), min);
    }
}

/// Load pattern: callers that are refused or give up send three times. In order of arrival their requests fill the
/// queue, and less than a quarter of the first rank begins in time.
#[test]
fn retries_do_not_displace_more_urgent_requests() {
    assert_order_by_rank(Shortage::Retries);
    assert_arrival_order_fails(Shortage::Retries, 0.7);
}

/// Load pattern: half of the servers are lost with what they run, at 0.9 of the capacity before.
#[test]
fn half_of_the_servers_serve_by_rank() {
    assert_order_by_rank(Shortage::HalfOfServers);
    assert_arrival_order_fails(Shortage::HalfOfServers, 0.7);
}

/// Load pattern: all gateways are lost for 5 s, and all callers come back within 200 ms. In order of arrival some of
/// the first rank give up while long requests of the second start.
#[test]
fn callers_that_come_back_in_one_wave_are_served_by_rank() {
    assert_order_by_rank(Shortage::Wave);
    assert_arrival_order_fails(Shortage::Wave, 0.05);
}

/// Guards against refusals that name a time at which there is no capacity: of the callers that return at that time, at
/// least 95 in 100 are served in time.
#[test]
fn promised_times_are_true() {
    for seed in SEEDS {
        let returned = |order| {
            let outcome = simulate(order, Shortage::Burst(2.0), seed);
            let count = outcome.callers.iter().filter(|c| c.has_returned).count();
            (outcome.share(|c| c.has_returned), count)
        };
        let ((kept, count), (ignored, _)) =
            (returned(Order::Queue), returned(Order::QueueWithoutPromises));
        println!("seed {seed}: {kept:.3} of {count}, treated as new {ignored:.3}");
        assert!(count >= 50 && kept >= 0.95, "{seed}: {kept:.3} of {count}");
        assert!(ignored < 0.95, "{seed}: {ignored:.3}");
    }
}

fn demand(rank: u8, arrived_at: u64) -> Demand {
    Demand {
        rank: Priority(rank),
        tokens: 400,
        arrived_at: Millis(arrived_at),
        latency_target: Millis(500),
        patience: Millis(2_000),
        deadline: Millis(arrived_at + 9_000),
        prefill: Millis(100),
        duration: Millis(900),
    }
}

fn waiting(id: u64, demand: Demand) -> Waiting {
    Waiting { id, customer: 0, demand, has_promise: false }
}

fn no_usage(_: u32) -> f64 {
    0.0
}

const FULL: Capacity =
    Capacity { free_slots: 0.0, next_slot: Millis(100), prefill_wait: Millis(50) };

/// Guards against refusals of requests that can begin in time, and against waits of those that cannot: at the exact
/// limits of the caller's patience and deadline, for queues and for busy servers.
#[test]
fn requests_wait_up_to_the_limits_of_their_callers() {
    let decide = |capacity: Capacity, ahead, rate, demand: Demand| {
        AdmissionPolicy.decide(&capacity, ahead, rate, &demand, Millis(1_000))
    };
    let (refused, request) =
        (|ms| AdmissionDecision::Refuse { ready_in: Millis(ms) }, demand(1, 1_000));
    // Wait of 1,850 ms, 50 ms until the prompt is read and 100 ms to read it: the patience of 2,000 ms.
    assert_eq!(decide(FULL, 185, 100.0, request), AdmissionDecision::Wait);
    assert_eq!(decide(FULL, 186, 100.0, request), refused(1_910));
    let busy = Capacity { next_slot: Millis(1_851), ..FULL };
    assert_eq!(decide(busy, 0, 100.0, request), refused(1_901));
    // The answer takes 900 ms after its first event.
    let urgent = |deadline| Demand { deadline: Millis(deadline), ..request };
    assert_eq!(decide(FULL, 0, 100.0, urgent(2_150)), AdmissionDecision::Wait);
    assert_eq!(decide(FULL, 0, 100.0, urgent(2_149)), refused(150));
    // Time that has passed since arrival counts.
    assert_eq!(decide(FULL, 180, 100.0, demand(1, 900)), refused(1_850));
}

/// Guards against refusals because a gateway has not yet measured a rate, or has an absurd one.
#[test]
fn unknown_rates_refuse_no_request() {
    for rate in [0.0, -1.0, f64::NAN, f64::MIN_POSITIVE] {
        let decision = AdmissionPolicy.decide(&FULL, 50, rate, &demand(1, 0), Millis(0));
        assert_eq!(decision, AdmissionDecision::Wait, "{rate}");
    }
    let absurd = Capacity { free_slots: f64::NAN, ..FULL };
    let decision = AdmissionPolicy.decide(&absurd, 1, f64::INFINITY, &demand(1, 0), Millis(0));
    assert_eq!(decision, AdmissionDecision::Wait);
}

/// Guards against criteria of the order that are swapped or ignored: each request goes before the next one by one
/// criterion, and after it by all later ones.
#[test]
fn criteria_apply_in_turn() {
    let now = Millis(1_000);
    let with = |id, demand, customer, has_promise| Waiting { id, customer, demand, has_promise };
    let slow = Demand { latency_target: Millis(5_000), ..demand(1, 0) };
    let patient = Demand { patience: Millis(8_000), ..slow };
    let smaller = Demand { tokens: 300, ..patient };
    let usage = |customer| f64::from(customer);
    let in_order = [
        // Waited for two latency targets.
        with(1, Demand { patience: Millis(8_500), ..demand(1, 0) }, 9, false),
        with(2, patient, 9, true),
        with(3, patient, 7, false),
        with(4, slow, 8, false),
        with(5, smaller, 8, false),
        with(6, patient, 8, false),
        // Arrived later, with the same latest start.
        with(7, Demand { arrived_at: Millis(1), patience: Millis(7_999), ..patient }, 8, false),
    ];
    let mut queue = WaitQueue::default();
    for waiting in in_order.into_iter().rev() {
        assert_eq!(queue.push(waiting, now, usage), Ok(None));
    }
    let popped: Vec<_> = std::iter::from_fn(|| queue.pop(now, usage)).map(|w| w.id).collect();
    assert_eq!(popped, [1, 2, 3, 4, 5, 6, 7]);
}

/// Guards against a full queue that refuses urgent requests, drops one without a report, or grows.
#[test]
fn full_queue_makes_room_for_more_urgent_requests() {
    let (mut queue, now) = (WaitQueue::default(), Millis(0));
    let mut id = 0;
    while queue.push(waiting(id, demand(1, 0)), now, no_usage) == Ok(None) {
        id += 1;
    }
    let bound = queue.len();
    assert_eq!(queue.push(waiting(id, demand(1, 0)), now, no_usage), Err(QueueFull));
    let replaced = queue.push(waiting(id + 1, demand(0, 0)), now, no_usage);
    // The last of equal requests is the one with the highest number.
    assert_eq!(replaced, Ok(Some(waiting(id - 1, demand(1, 0)))));
    assert_eq!(queue.len(), bound);
    // A request that cannot begin in time any longer is replaced by any other.
    let replaced = queue.push(waiting(id + 2, demand(2, 5_000)), Millis(5_000), no_usage);
    assert!(matches!(replaced, Ok(Some(_))), "{replaced:?}");
}

/// Guards against promised returns that are refused again because of new requests of the same rank.
#[test]
fn promised_returns_count_only_what_goes_before_them() {
    let (mut queue, now) = (WaitQueue::default(), Millis(0));
    for id in 0..5 {
        queue.push(waiting(id, demand(1, 0)), now, no_usage).unwrap();
    }
    queue.push(waiting(5, demand(0, 0)), now, no_usage).unwrap();
    let promised = Waiting { has_promise: true, ..waiting(6, demand(1, 0)) };
    queue.push(promised, now, no_usage).unwrap();
    assert_eq!(queue.ahead_of(&demand(1, 0), now), 7);
    assert_eq!(queue.ahead_of_return(&demand(1, 0), now), 2);
    assert_eq!(queue.ahead_of(&demand(0, 0), now), 1);
    // Requests that cannot begin in time delay nobody.
    assert_eq!(queue.ahead_of(&demand(2, 5_000), Millis(5_000)), 0);
}

/// Random request, with few values so that ties are frequent.
#[derive(Clone, Copy, Debug, TypeGenerator)]
struct Drawn {
    rank: u8,
    tokens: u8,
    arrived_at: u8,
    target: u8,
    patience: u8,
    deadline: u8,
    prefill: u8,
    customer: u8,
    has_promise: bool,
}

impl Drawn {
    fn waiting(self, id: u64, now: u64) -> Waiting {
        let demand = Demand {
            rank: Priority(self.rank % 4),
            tokens: u64::from(self.tokens) * 100,
            arrived_at: Millis(now + u64::from(self.arrived_at)),
            latency_target: Millis(u64::from(self.target % 8) * 20),
            patience: Millis(u64::from(self.patience) * 4),
            deadline: Millis(now + u64::from(self.deadline) * 8),
            prefill: Millis(u64::from(self.prefill)),
            duration: Millis(u64::from(self.tokens)),
        };
        let customer = u32::from(self.customer % 3);
        Waiting { id, customer, demand, has_promise: self.has_promise }
    }
}

/// Use of a customer's share, with absurd values.
fn drawn_usage(customer: u32) -> f64 {
    [0.5, f64::NAN, f64::NEG_INFINITY][customer as usize]
}

fn effective_rank(waiting: &Waiting, now: Millis) -> i64 {
    let Demand { rank, arrived_at, latency_target, .. } = waiting.demand;
    i64::from(rank.0) - (now.since(arrived_at).0 / (2 * latency_target.0.max(1))) as i64
}

/// For any requests: a higher effective rank goes first, and with equal effective rank, promise and usage, one with
/// more time left never goes before one with less.
#[test]
fn requests_with_more_time_left_never_go_first() {
    bolero::check!().with_type::<(Vec<Drawn>, u16)>().for_each(|(drawn, now)| {
        let (mut queue, now) = (WaitQueue::default(), Millis(u64::from(*now)));
        for (id, drawn) in (0..1_000).zip(drawn) {
            queue.push(drawn.waiting(id, 0), now, drawn_usage).unwrap();
        }
        let popped: Vec<_> = std::iter::from_fn(|| queue.pop(now, drawn_usage)).collect();
        for pair in popped.windows(2) {
            let [first, second] = [&pair[0], &pair[1]];
            let rank = |waiting| (effective_rank(waiting, now), !waiting.has_promise);
            assert!(rank(first) <= rank(second), "{first:?} {second:?}");
            if rank(first) == rank(second) && first.customer == second.customer {
                assert!(first.demand.latest_start() <= second.demand.latest_start());
            }
        }
        assert!(popped.iter().all(|waiting| waiting.demand.latest_start() >= now));
    });
}

/// With a free slot, a request that arrives at an empty queue is sent whatever it needs, and one that waits is popped
/// unless it cannot begin in time.
#[test]
fn free_capacity_holds_no_request_back() {
    bolero::check!().with_type::<(Vec<Drawn>, u16, u8)>().for_each(|(drawn, now, free)| {
        let (mut queue, now) = (WaitQueue::default(), Millis(u64::from(*now)));
        let capacity = Capacity { free_slots: 1.0 + f64::from(*free), ..FULL };
        for (id, drawn) in (0..1_000).zip(drawn) {
            let waiting = drawn.waiting(id, 0);
            let decision = AdmissionPolicy.decide(&capacity, 0, 1.0, &waiting.demand, now);
            assert_eq!(decision, AdmissionDecision::Send);
            queue.push(waiting, now, drawn_usage).unwrap();
        }
        while queue.pop(now, drawn_usage).is_some() {}
        let left = queue.len();
        assert_eq!(queue.take_hopeless(now).len(), left);
        assert!(queue.is_empty());
    });
}

/// Ageing: whatever arrives later with the same or a longer latency target, a request of the last rank, of the customer
/// with the most use, is popped after a bounded number of pops or reported by `take_hopeless`.
#[test]
fn every_request_is_popped_or_reported() {
    const STEP: u64 = 10;
    const ARRIVALS_PER_STEP: u64 = 3;
    const TARGET: u64 = 100;
    // Requests that arrive more than four times two latency targets later never have a higher effective rank than one
    // of rank 2. Those that arrive before may all go first.
    const MAX_POPS: u64 = 4 * 2 * TARGET / STEP * ARRIVALS_PER_STEP + 1;
    bolero::check!().with_type::<(Vec<Drawn>, u16)>().for_each(|(drawn, patience)| {
        let usage = |customer| if customer == 9 { 1e9 } else { 0.0 };
        let aged = Demand {
            latency_target: Millis(TARGET),
            patience: Millis(u64::from(*patience)),
            deadline: Millis(1_000_000),
            ..demand(2, 0)
        };
        let mut queue = WaitQueue::default();
        queue.push(Waiting { customer: 9, ..waiting(0, aged) }, Millis(0), usage).unwrap();
        let mut later = drawn.iter().cycle();
        for step in 0..=MAX_POPS {
            let (at, now) = (step * STEP, Millis(step * STEP));
            for (n, drawn) in (1..=ARRIVALS_PER_STEP).zip(&mut later) {
                let drawn = drawn.waiting(step * ARRIVALS_PER_STEP + n, at);
                let target = drawn.demand.latency_target.max(Millis(TARGET));
                let demand = Demand {
                    arrived_at: now,
                    latency_target: target,
                    patience: Millis(100_000),
                    deadline: Millis(1_000_000),
                    ..drawn.demand
                };
                queue.push(Waiting { demand, ..drawn }, now, usage).unwrap();
            }
            let hopeless = queue.take_hopeless(now);
            let popped = queue.pop(now, usage);
            if hopeless.iter().chain(&popped).any(|waiting| waiting.id == 0) {
                return;
            }
        }
        panic!("not popped in {MAX_POPS} pops");
    });
}

/// Under any sequence of operations, also with a full queue, each request leaves the queue once.
#[test]
fn nothing_is_lost_or_returned_twice() {
    bolero::check!().with_type::<(bool, Vec<(u8, Drawn)>)>().for_each(|(is_full, steps)| {
        let (mut queue, mut inside) = (WaitQueue::default(), BTreeSet::new());
        let mut next_id = if *is_full { 1_020 } else { 0 };
        for id in 0..next_id {
            queue.push(waiting(id, demand(1, id % 7)), Millis(0), drawn_usage).unwrap();
            inside.insert(id);
        }
        for (at, (step, drawn)) in (0..).zip(steps.iter().take(24)) {
            let now = Millis(at * 20);
            match step % 8 {
                0..=4 => {
                    let waiting = drawn.waiting(next_id, now.0);
                    match queue.push(waiting, now, drawn_usage) {
                        Ok(replaced) => {
                            assert!(replaced.is_none_or(|replaced| inside.remove(&replaced.id)));
                            assert!(inside.insert(next_id));
                        }
                        Err(QueueFull) => assert_eq!(queue.len(), 1_024),
                    }
                    next_id += 1;
                }
                5 => {
                    let popped = queue.pop(now, drawn_usage);
                    assert!(popped.is_none_or(|popped| inside.remove(&popped.id)));
                }
                6 => {
                    let hopeless = queue.take_hopeless(now);
                    assert!(hopeless.iter().all(|waiting| inside.remove(&waiting.id)));
                }
                _ => {
                    let id = next_id.saturating_sub(u64::from(drawn.tokens % 32));
                    assert_eq!(queue.remove(id), inside.remove(&id));
                }
            }
            assert!(queue.len() == inside.len() && queue.len() <= 1_024);
        }
    });
}
