//! Promised returns of refused callers: how they are spread out, and whether any gateway recognizes them.

use std::collections::{BTreeMap, HashSet};

use redwingfold_core::{
    ByteBudget, Fingerprint, Millis, ReturnCounts, ReturnNotice, ReturnSchedule, ServiceName,
};

/// Sizes of fleets, each with the requests per second that the whole fleet completes.
const FLEETS: [(usize, f64); 4] = [(3, 60.0), (23, 500.0), (103, 2_200.0), (330, 9_600.0)];

/// Window in which returns are counted, in milliseconds.
const WINDOW_MS: u64 = 500;

/// Most returns within a window, relative to the requests that the fleet completes in it.
const MAX_RATIO: f64 = 1.5;

/// Interval of the periodic messages between gateways, in milliseconds.
const TURN_MS: u64 = 100;

/// Time at which all callers have returned and all messages have arrived, in milliseconds.
const END_MS: u64 = 25_000;

/// Most notices in a message.
const MAX_NOTICES: usize = 24;

/// Longest time until a promised return.
const MAX_DELAY: Millis = Millis(60_000);

fn service() -> ServiceName {
    "chat".into()
}

/// Returns the most times within any window, relative to the requests that are completed in it.
fn peak_ratio(mut times: Vec<u64>, per_s: f64) -> f64 {
    times.sort_unstable();
    let in_window = |(i, from): (usize, &u64)| {
        times[i..].partition_point(|time| *time < from + WINDOW_MS) as f64
    };
    let peak = times.iter().enumerate().map(in_window).fold(0.0, f64::max);
    peak / (per_s * WINDOW_MS as f64 / 1_000.0)
}

/// Returns the times at which the callers of a wave return: five seconds of capacity, refused within 50 ms by random
/// gateways.
fn wave_returns(
    (gateways, per_s): (usize, f64),
    seed: u64,
    mut delay: impl FnMut(&mut ReturnSchedule, Fingerprint, Millis, u64) -> Millis,
) -> Vec<u64> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut fleet = vec![ReturnSchedule::default(); gateways];
    let mut refused_at: Vec<_> = (0..(per_s * 5.0) as u64).map(|_| rng.u64(0..50)).collect();
    refused_at.sort_unstable();
    let return_time = |(caller, at): (u64, u64)| {
        let (gateway, draw) = (rng.usize(0..gateways), rng.u64(..));
        let delay = delay(&mut fleet[gateway], Fingerprint(caller), Millis(at), draw);
        at + delay.0 + rng.u64(0..40)
    };
    (0..).zip(refused_at).map(return_time).collect()
}

/// Guards against a wave of refused callers that returns as a wave. At random times between 1 and 2 s, as before, five
/// times as many return as the servers can take.
#[test]
fn refused_wave_returns_spread_out() {
    for fleet in FLEETS {
        let (gateways, per_s) = fleet;
        let rate = per_s / gateways as f64;
        for seed in 1..=3 {
            let promised = wave_returns(fleet, seed, |returns, request, now, draw| {
                returns.promise(request, &service(), Millis(1_000), rate, now, draw)
            });
            let random = wave_returns(fleet, seed, |_, _, _, draw| Millis(1_000 + draw % 1_000));
            let (promised, random) = (peak_ratio(promised, per_s), peak_ratio(random, per_s));
            println!("{gateways} gateways, seed {seed}: {promised:.2}, at random {random:.2}");
            assert!(promised <= MAX_RATIO, "{gateways} gateways, seed {seed}: {promised:.2}");
            assert!(random > 4.0, "{gateways} gateways, seed {seed}: {random:.2}");
        }
    }
}

/// Guards against gateways whose positions coincide: if each completes less than one request per window, the first
/// positions of all would fall into the same window without the random part.
#[test]
fn slow_gateways_do_not_coincide() {
    let (fleet, rate) = ((330, 165.0), 0.5);
    let peak = |is_random: bool| {
        let times = wave_returns(fleet, 1, |returns, request, now, draw| {
            let draw = if is_random { draw } else { 0 };
            returns.promise(request, &service(), Millis(1_000), rate, now, draw)
        });
        peak_ratio(times, fleet.1)
    };
    let (random, fixed) = (peak(true), peak(false));
    println!(
        "330 gateways, one return in 2 s each: {random:.2}, without the random part {fixed:.2}"
    );
    assert!(random <= MAX_RATIO, "{random:.2}");
    assert!(fixed > 3.0, "{fixed:.2}");
}

/// Which notices of a promise are delivered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Copies {
    All,
    FirstOnly,
    None,
}

/// A fleet whose gateways refuse callers, which return to random gateways.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    gateways: usize,
    callers: u64,
    /// Requests per second that a gateway completes.
    rate: f64,
    copies: Copies,
    /// Messages lost, in 100.
    lost: u64,
    /// Longest delay of a message, in milliseconds.
    max_delay: u64,
    /// Whether each message arrives twice.
    is_doubled: bool,
    /// Whether the gateway that refused a caller is gone when it returns.
    is_maker_gone: bool,
    /// Bytes per second for messages of each gateway; unlimited if `None`.
    bytes_per_s: Option<u64>,
    /// Whether each copy of a notice appears to be of another promise.
    is_renumbered: bool,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            gateways: 23,
            callers: 500,
            rate: 5.0,
            copies: Copies::All,
            lost: 30,
            max_delay: 40,
            is_doubled: false,
            is_maker_gone: false,
            bytes_per_s: None,
            is_renumbered: false,
        }
    }
}

#[derive(Debug)]
enum Event {
    Delivery { to: usize, notices: Vec<ReturnNotice> },
    Return { caller: u64, maker: usize },
}

/// What the gateways recognized.
#[derive(Debug, Default)]
struct Played {
    returned: f64,
    /// Returns that were recognized.
    known: f64,
    /// Returns that were recognized although no notice had arrived, or not recognized although one had.
    wrong: u64,
    /// Promises that could be used a second time.
    reused: u64,
    counts: ReturnCounts,
}

impl Played {
    fn known_share(&self) -> f64 {
        self.known / self.returned
    }
}

struct Play {
    scenario: Scenario,
    rng: fastrand::Rng,
    fleet: Vec<ReturnSchedule>,
    budgets: Vec<Option<ByteBudget>>,
    events: BTreeMap<(u64, u64), Event>,
    reported: HashSet<(Fingerprint, u16)>,
    /// Requests of which a notice has arrived, each with the gateway.
    heard: HashSet<(u64, usize)>,
    taken: Vec<(u64, usize)>,
    played: Played,
}

impl Play {
    fn new(scenario: Scenario, seed: u64) -> Self {
        let n = scenario.gateways;
        let budget = scenario.bytes_per_s.map(|bytes| ByteBudget::new(bytes, Millis(0)));
        Self {
            scenario,
            rng: fastrand::Rng::with_seed(seed),
            fleet: vec![ReturnSchedule::default(); n],
            budgets: (0..n).map(|_| budget).collect(),
            events: BTreeMap::new(),
            reported: HashSet::new(),
            heard: HashSet::new(),
            taken: Vec::new(),
            played: Played::default(),
        }
    }

    fn run(mut self) -> Played {
        self.refuse_all();
        for now in (0..END_MS).step_by(10) {
            if now % TURN_MS == 0 {
                (0..self.fleet.len()).for_each(|gateway| self.send(gateway, now));
            }
            while self.events.first_key_value().is_some_and(|((at, _), _)| *at <= now) {
                let event = self.events.pop_first().map(|(_, event)| event);
                event.into_iter().for_each(|event| self.apply(event, now));
            }
            self.check_reuse(now);
        }
        assert_eq!(self.played.returned, self.scenario.callers as f64);
        for returns in &mut self.fleet {
            returns.expire(Millis(END_MS));
            let counts = returns.take_counts();
            self.played.counts.kept += counts.kept;
            self.played.counts.broken += counts.broken;
            self.played.counts.unused += counts.unused;
        }
        self.played
    }

    fn schedule(&mut self, at: u64, event: Event) {
        let tie = self.rng.u64(..);
        self.events.insert((at, tie), event);
    }

    fn refuse_all(&mut self) {
        for caller in 0..self.scenario.callers {
            let (maker, draw) = (self.rng.usize(0..self.fleet.len()), self.rng.u64(..));
            let (ready_in, rate) = (Millis(1_000), self.scenario.rate);
            let request = Fingerprint(caller);
            let returns = &mut self.fleet[maker];
            let delay = returns.promise(request, &service(), ready_in, rate, Millis(0), draw);
            let at = delay.0 + self.rng.u64(0..40);
            self.schedule(at, Event::Return { caller, maker });
        }
    }

    fn send(&mut self, from: usize, now: u64) {
        let mut notices = self.fleet[from].report(MAX_NOTICES, Millis(now));
        let is_first = |n: &ReturnNotice| self.reported.insert((n.request, n.number));
        match self.scenario.copies {
            Copies::All => {}
            Copies::FirstOnly => notices.retain(is_first),
            Copies::None => notices.clear(),
        }
        if notices.is_empty() {
            return;
        }
        // At most 21 bytes per notice, and 16 for the other fields of the message, as in gateway/src/returns_tests.rs.
        let bytes = notices.len() as u64 * 21 + 16;
        let mut peers: Vec<_> = (0..self.fleet.len()).filter(|peer| *peer != from).collect();
        self.rng.shuffle(&mut peers);
        for to in peers {
            let budget = self.budgets[from].as_mut();
            if budget.is_some_and(|budget| !budget.try_take(bytes, Millis(now))) {
                break;
            }
            if self.rng.u64(0..100) < self.scenario.lost {
                continue;
            }
            for _ in 0..=u64::from(self.scenario.is_doubled) {
                let at = now + 1 + self.rng.u64(0..self.scenario.max_delay);
                self.schedule(at, Event::Delivery { to, notices: notices.clone() });
            }
        }
    }

    fn apply(&mut self, event: Event, now: u64) {
        match event {
            Event::Delivery { to, notices } => {
                for mut notice in notices {
                    if self.scenario.is_renumbered {
                        notice.number = self.rng.u16(..);
                    }
                    self.fleet[to].apply_peer(notice, Millis(now));
                    self.heard.insert((notice.request.0, to));
                }
            }
            Event::Return { caller, maker } => self.accept_return(caller, maker, now),
        }
    }

    fn accept_return(&mut self, caller: u64, maker: usize, now: u64) {
        let mut gateway = self.rng.usize(0..self.fleet.len());
        if self.scenario.is_maker_gone && gateway == maker {
            gateway = (maker + 1) % self.fleet.len();
        }
        let request = Fingerprint(caller);
        let is_expected = gateway == maker || self.heard.contains(&(caller, gateway));
        let returns = &mut self.fleet[gateway];
        let is_due = returns.is_due(request, Millis(now));
        let is_taken = returns.take(request, Millis(now)).is_some();
        assert_eq!(is_due, is_taken, "a due promise can be used, and no other");
        self.played.returned += 1.0;
        self.played.known += f64::from(u8::from(is_due));
        self.played.wrong += u64::from(is_due != is_expected);
        if is_taken {
            self.taken.push((caller, gateway));
        }
    }

    /// Counts the promises that are due again although they were used.
    fn check_reuse(&mut self, now: u64) {
        let fleet = &self.fleet;
        let is_due = |(c, g): &(u64, usize)| fleet[*g].is_due(Fingerprint(*c), Millis(now));
        let before = self.taken.len();
        self.taken.retain(|taken| !is_due(taken));
        self.played.reused += (before - self.taken.len()) as u64;
    }
}

/// Guards against callers that are treated as new because they returned to another gateway than the one that refused
/// them, where the notice did arrive; and against a single notice, of which 30 in 100 are lost.
#[test]
fn returns_are_known_at_any_gateway_unless_both_notices_were_lost() {
    for (gateways, callers) in [(3, 200), (23, 500), (103, 800), (330, 800)] {
        let base = Scenario { gateways, callers, ..Scenario::default() };
        let share = |copies| {
            let played = Play::new(Scenario { copies, ..base }, 5).run();
            assert_eq!(played.wrong, 0, "{gateways} gateways, {copies:?}");
            assert_eq!(played.counts.kept as f64, played.known, "{gateways} gateways, {copies:?}");
            played.known_share()
        };
        let [all, first, none] = [Copies::All, Copies::FirstOnly, Copies::None].map(share);
        println!("{gateways} gateways: {all:.3}, not repeated {first:.3}, no notices {none:.3}");
        assert!(all > 0.87, "{gateways} gateways: {all:.3}");
        assert!(first < all - 0.1, "{gateways} gateways: {first:.3}");
        // Only those that return to the same gateway are known: one in `gateways`, within four standard deviations.
        let mean = 1.0 / gateways as f64;
        let most = mean + 4.0 * (mean / callers as f64).sqrt();
        assert!(none < most, "{gateways} gateways: {none:.3}");
    }
}

/// Guards against promises that are lost with the gateway that made them.
#[test]
fn returns_are_known_although_the_promising_gateway_is_gone() {
    let base = Scenario { is_maker_gone: true, ..Scenario::default() };
    let played = Play::new(base, 6).run();
    let unannounced = Play::new(Scenario { copies: Copies::None, ..base }, 6).run();
    println!("{:.3}, no notices {:.3}", played.known_share(), unannounced.known_share());
    assert_eq!(played.wrong, 0);
    assert!(played.known_share() > 0.87, "{:.3}", played.known_share());
    assert_eq!(unannounced.known, 0.0);
}

/// Guards against notices that restore a used promise because they arrive late or twice. Without the number of the
/// promise, each copy would be another one.
#[test]
fn late_and_doubled_notices_change_nothing_more() {
    let base = Scenario { lost: 0, max_delay: 3_000, is_doubled: true, ..Scenario::default() };
    let played = Play::new(base, 7).run();
    let renumbered = Play::new(Scenario { is_renumbered: true, ..base }, 7).run();
    println!("{} used again, {} if renumbered", played.reused, renumbered.reused);
    assert_eq!(played.reused, 0);
    assert!(renumbered.reused > 50, "{}", renumbered.reused);
}

/// Documents which share of returns is recognized if each gateway makes a number of promises per second and may spend
/// 7,000 bytes per second on notices. Those to all peers exceed that at a few promises per second, so that only a
/// random part of the peers gets them. Guards against a schedule that sends more notices for the same promises.
#[test]
fn known_share_within_byte_budget() {
    let fleets = [
        (3, 20.0, 0.95),
        (23, 1.0, 0.95),
        (23, 5.0, 0.7),
        (23, 20.0, 0.25),
        (103, 1.0, 0.6),
        (103, 5.0, 0.18),
        (330, 0.5, 0.4),
        (330, 2.0, 0.13),
    ];
    for (gateways, rate, min_share) in fleets {
        let callers = (rate * 5.0) as u64 * gateways as u64;
        let bytes_per_s = Some(7_000);
        let scenario =
            Scenario { gateways, callers, rate, bytes_per_s, lost: 0, ..Scenario::default() };
        let share = Play::new(scenario, 8).run().known_share();
        println!("{gateways} gateways, {rate} promises per second each: {share:.3}");
        assert!(share > min_share, "{gateways} gateways: {share:.3}");
    }
}

/// Guards against gateways that need the state of others: after all were replaced, callers are new, and promises are
/// made as before.
#[test]
fn all_gateways_new_treat_callers_as_new() {
    let mut old = ReturnSchedule::default();
    let delays: Vec<_> = (0..50)
        .map(|n| old.promise(Fingerprint(n), &service(), Millis(500), 10.0, Millis(0), n))
        .collect();
    let mut new = ReturnSchedule::default();
    for (request, delay) in (0..).map(Fingerprint).zip(delays) {
        assert!(old.is_due(request, delay));
        assert!(!new.is_due(request, delay));
        assert_eq!(new.take(request, delay), None);
    }
    assert_eq!(new.pending(&service(), Millis(500)), 0);
    assert!(new.report(MAX_NOTICES, Millis(500)).is_empty());
    let delay = new.promise(Fingerprint(1), &service(), Millis(500), 10.0, Millis(6_000), 0);
    assert_eq!(delay, Millis(500));
    assert_eq!(new.take_counts(), ReturnCounts::default());
}

/// Guards against callers that lose their place because their promise was broken. Behind all others, the second caller
/// would wait until 5.5 s.
#[test]
fn broken_promise_keeps_its_place() {
    let mut returns = ReturnSchedule::default();
    let mut promise = |n, ready_in, now, draw| {
        let now = Millis(now);
        now.after(returns.promise(Fingerprint(n), &service(), Millis(ready_in), 2.0, now, draw))
    };
    let due: Vec<_> = (0..10).map(|n| promise(n, 500, 0, 0)).collect();
    assert_eq!(due[1..4], [1_000, 1_500, 2_000].map(Millis));
    // Only the capacity that is free before the next promise is given away.
    let again = promise(1, 100, 1_000, u64::from(u32::MAX));
    assert_eq!(again, Millis(1_500));
    // Capacity in 2 s: no random time is added, since callers with later promises already return before.
    assert_eq!(promise(2, 2_000, 1_500, u64::from(u32::MAX)), Millis(3_500));
    // New callers come after all others, and the capacity given away twice is counted.
    assert_eq!(promise(20, 100, 1_500, 0), Millis(6_500));
    assert_eq!(returns.take_counts(), ReturnCounts { broken: 2, ..ReturnCounts::default() });
}

/// Guards against a promise that one of several equal requests uses for another: each has its own place, also if a
/// customer sends many at once.
#[test]
fn equal_requests_have_a_promise_each() {
    let (mut returns, request) = (ReturnSchedule::default(), Fingerprint(1));
    let delays: Vec<_> = (0..4)
        .map(|_| returns.promise(request, &service(), Millis(1_000), 1.0, Millis(0), 0))
        .collect();
    assert_eq!(delays, [1_000, 2_000, 3_000, 4_000].map(Millis));
    for delay in delays {
        assert_eq!(returns.take(request, delay).map(|taken| taken.due_at), Some(delay));
        assert_eq!(returns.take(request, delay), None);
    }
    assert_eq!(returns.take_counts().kept, 4);
}

/// Guards against promises that hold too early, or that never end.
#[test]
fn promise_is_due_from_shortly_before_its_time_until_it_expires() {
    let mut returns = ReturnSchedule::default();
    returns.promise(Fingerprint(1), &service(), Millis(3_000), 1.0, Millis(0), 0);
    let is_due = |returns: &ReturnSchedule, at| returns.is_due(Fingerprint(1), Millis(at));
    assert_eq!(
        [2_749, 2_750, 5_000, 5_001].map(|at| is_due(&returns, at)),
        [false, true, true, false]
    );
    assert_eq!([3_250, 3_251].map(|at| returns.pending(&service(), Millis(at))), [1, 0]);
    assert_eq!([5_000, 5_001].map(|at| returns.expire(Millis(at))), [0, 1]);
    assert_eq!(returns.take_counts().unused, 1);
}

/// Guards against notices with absurd times, which would hold capacity for callers that never return.
#[test]
fn absurd_notices_are_ignored() {
    let mut returns = ReturnSchedule::default();
    let notice = |due_in| ReturnNotice { request: Fingerprint(1), number: 1, service: 1, due_in };
    for due_in in [MAX_DELAY.after(Millis(1)), Millis(u64::MAX)] {
        returns.apply_peer(notice(due_in), Millis(10));
    }
    assert!(returns.is_empty());
    assert_eq!(returns.take_counts().ignored, 2);
    returns.apply_peer(notice(MAX_DELAY), Millis(10));
    assert_eq!(returns.len(), 1);
}

/// Guards against a full table that drops the promises that hold longest, or that grows.
#[test]
fn full_table_drops_what_expires_first() {
    let mut returns = ReturnSchedule::default();
    let delays: Vec<_> = (0..5_000)
        .map(|n| returns.promise(Fingerprint(n), &service(), Millis(0), 100.0, Millis(0), 0))
        .collect();
    assert_eq!(returns.len(), 4_096);
    for (request, delay) in (0..).map(Fingerprint).zip(&delays) {
        assert_eq!(returns.is_due(request, *delay), request.0 >= 904, "{request}");
    }
}

/// Rates that a gateway may pass, including unusable ones.
const RATES: [f64; 9] = [f64::NAN, f64::INFINITY, f64::MAX, 1e-300, 0.0, -1.0, 0.05, 7.0, 900.0];

/// Promises for a service are ordered by the time they were made, not before the capacity, and within a minute.
#[test]
fn promises_are_ordered_and_never_early() {
    bolero::check!().with_type::<Vec<(u8, u16, u8, u16, u64)>>().for_each(|steps| {
        let (mut returns, mut now) = (ReturnSchedule::default(), Millis(0));
        let mut last = [Millis(0); 3];
        for (request, (name, ready_in, rate, step, draw)) in (0..).map(Fingerprint).zip(steps) {
            let name = usize::from(name % 3);
            let service = ["a", "b", "c"][name].into();
            let (ready_in, rate) = (Millis((*ready_in).into()), RATES[usize::from(rate % 9)]);
            now = now.after(Millis((*step).into()));
            let delay = returns.promise(request, &service, ready_in, rate, now, *draw);
            assert!(delay >= ready_in.min(MAX_DELAY) && delay <= MAX_DELAY, "{delay}");
            assert!(now.after(delay) >= last[name]);
            last[name] = now.after(delay);
        }
    });
}

/// After any sequence of events the number of promises is bounded, and each ends by itself.
#[test]
fn promises_are_bounded_and_end() {
    bolero::check!().with_type::<Vec<(u8, u8, u16, u64)>>().for_each(|steps| {
        let (mut returns, mut now) = (ReturnSchedule::default(), Millis(0));
        for (event, repeat, time, draw) in steps {
            for n in 0..u64::from(*repeat) {
                let (request, time) = (Fingerprint((draw ^ n) % 3_000), Millis((*time).into()));
                let (number, service) = ((draw >> 7) as u16, "a".into());
                match event % 6 {
                    0 => now = now.after(time),
                    1 => drop(returns.take(request, now)),
                    2 => drop(returns.report(MAX_NOTICES, now)),
                    3 => returns.apply_peer(
                        ReturnNotice { request, number, service: 3, due_in: time },
                        now,
                    ),
                    _ => {
                        let rate = RATES[(n % 9) as usize];
                        returns.promise(request, &service, time, rate, now, draw.rotate_left(7));
                    }
                }
                assert!(returns.len() <= 4_096);
            }
            assert!(returns.pending(&"a".into(), now) <= returns.len());
        }
        now = now.after(Millis(MAX_DELAY.0 + 2_001));
        returns.expire(now);
        assert_eq!(returns.pending(&"a".into(), now), 0);
        assert!((0..3_000).all(|n| !returns.is_due(Fingerprint(n), now)));
        returns.expire(now.after(Millis(6_000)));
        assert!(returns.is_empty());
    });
}
