//! Order in which a server reads prompts of several ranks, behind a gateway with admission control.

use redwingfold_core::{
    AdmissionDecision, AdmissionPolicy, Capacity, Demand, Millis, Priority, ServerOrder,
    UrgencyPolicy, WaitQueue, Waiting,
};

/// Tokens that the server reads per millisecond with the largest model of a common engine.
const TOKENS_PER_MS: f64 = 28.0;

/// Tokens read at a time; a prompt that arrives in the meantime waits.
const CHUNK: f64 = 1_024.0;

/// Slots of the server.
const SLOTS: usize = 48;

/// Time in ms over which requests arrive, and during which capacity is short.
const END: f64 = 130_000.0;
const SHORTAGE: std::ops::Range<f64> = 10_000.0..120_000.0;

/// Share of the time for which the server reads before and after.
const NORMAL_LOAD: f64 = 0.6;

/// Time in ms for which all gateways are gone, over which callers then return, and in which those are counted that
/// arrive after that.
const OUTAGE: f64 = 5_000.0;
const WAVE: f64 = 200.0;
const AFTER_WAVE: f64 = 5_000.0;

/// Most by which the share of a lower rank may exceed that of a higher one.
const MAX_INVERSION: f64 = 0.05;

/// Least share of each rank that begins in time.
const MIN_SHARE: f64 = 0.05;

/// Least ratio between the share of the largest tenth of a kind and that of the kind.
const MIN_RATIO_OF_LARGEST: f64 = 0.5;

const SEEDS: std::ops::Range<u64> = 0..5;

#[derive(Clone, Copy)]
struct Kind {
    rank: u8,
    /// Share of all requests.
    share: f64,
    /// Minimum tokens, and the most as a multiple of them.
    tokens: (f64, f64),
    target: u64,
    patience: u64,
    deadline: u64,
    /// Mean time from the first event to the end.
    duration: f64,
}

/// Short and long prompts of the first rank, long ones of the second, and short ones of the third with a short
/// deadline.
const KINDS: [Kind; 4] = [
    Kind {
        rank: 0,
        share: 0.3,
        tokens: (200.0, 5.0),
        target: 500,
        patience: 2_000,
        deadline: 10_000,
        duration: 1_000.0,
    },
    Kind {
        rank: 0,
        share: 0.05,
        tokens: (8_000.0, 3.0),
        target: 1_500,
        patience: 6_000,
        deadline: 20_000,
        duration: 1_500.0,
    },
    Kind {
        rank: 1,
        share: 0.15,
        tokens: (4_000.0, 12.0),
        target: 1_500,
        patience: 6_000,
        deadline: 20_000,
        duration: 1_500.0,
    },
    Kind {
        rank: 2,
        share: 0.5,
        tokens: (200.0, 5.0),
        target: 500,
        patience: 3_000,
        deadline: 3_000,
        duration: 600.0,
    },
];

/// Why capacity is short.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Shortage {
    /// All kinds arrive at a multiple of what the server reads.
    Burst(f64),
    /// One kind arrives at 2.5 times its rate, with the others at 0.85 of the capacity.
    OneKind(usize),
    /// Callers send three times, at 0.85 of the capacity.
    Retries,
    /// Half of the servers are gone, at 0.9 of the capacity before.
    HalfOfServers,
    /// All gateways are gone for 5 s; their callers come back within 200 ms.
    Wave,
}

impl Shortage {
    /// Returns the load of a kind as a multiple of its part of the capacity that is left.
    fn load(self, kind: usize, at: f64) -> f64 {
        match self {
            Self::Wave => 0.9,
            _ if !SHORTAGE.contains(&at) => NORMAL_LOAD,
            Self::Burst(load) => load,
            Self::OneKind(more) if more == kind => 0.85 * 2.5,
            Self::OneKind(_) => 0.85,
            Self::Retries => 0.85 * 3.0,
            Self::HalfOfServers => 0.9 * 2.0,
        }
    }
}

/// Who decides the order at the server.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Order {
    Arrival,
    /// By size first, as `UrgencyPolicy` ranks.
    Size,
    /// By the operator's rank first, as `ServerOrder` ranks.
    Rank,
    /// The same, but no prompt moves up one size class.
    RankWithoutMoves,
}

#[derive(Clone, Copy)]
struct Request {
    kind: usize,
    arrived_at: f64,
    tokens: f64,
    duration: f64,
    unread: f64,
    rank: Priority,
    first_event_at: Option<f64>,
}

impl Request {
    fn kind(&self) -> Kind {
        KINDS[self.kind]
    }

    fn demand(&self) -> Demand {
        let kind = KINDS[self.kind];
        Demand {
            rank: Priority(kind.rank),
            tokens: self.tokens as u64,
            arrived_at: Millis(self.arrived_at as u64),
            latency_target: Millis(kind.target),
            patience: Millis(kind.patience),
            deadline: Millis(self.arrived_at as u64 + kind.deadline),
            prefill: Millis((self.tokens / TOKENS_PER_MS) as u64),
            duration: Millis(self.duration as u64),
        }
    }

    fn began_within(&self, time: u64) -> bool {
        self.first_event_at.is_some_and(|at| at - self.arrived_at <= time as f64)
    }
}

fn draw_tokens(rng: &mut fastrand::Rng, kind: usize) -> f64 {
    let (min, ratio) = KINDS[kind].tokens;
    min * ratio.powf(rng.f64())
}

fn draw_requests(shortage: Shortage, rng: &mut fastrand::Rng) -> Vec<Request> {
    let mut mean_tokens = |kind| (0..2_000).map(|_| draw_tokens(rng, kind)).sum::<f64>() / 2_000.0;
    let mean: f64 =
        KINDS.iter().enumerate().map(|(kind, Kind { share, .. })| mean_tokens(kind) * share).sum();
    let mut requests = Vec::new();
    for (kind, Kind { share, duration, .. }) in KINDS.iter().enumerate() {
        let mut at = 0.0;
        while at < END {
            let per_ms = TOKENS_PER_MS / mean * share * shortage.load(kind, at);
            at += -(1.0 - rng.f64()).ln() / per_ms;
            let tokens = draw_tokens(rng, kind);
            let is_lost = shortage == Shortage::Wave
                && (SHORTAGE.start - OUTAGE..SHORTAGE.start).contains(&at);
            requests.push(Request {
                kind,
                arrived_at: if is_lost { SHORTAGE.start + rng.f64() * WAVE } else { at },
                tokens,
                duration: duration * (0.5 + rng.f64()),
                unread: tokens,
                rank: Priority(0),
                first_event_at: None,
            });
        }
    }
    requests.sort_by(|a, b| a.arrived_at.total_cmp(&b.arrived_at));
    requests
}

struct Simulation {
    order: Order,
    requests: Vec<Request>,
    queue: WaitQueue,
    /// Requests at the server whose prompts are not read yet.
    reading: Vec<usize>,
    /// Times at which answers that have begun are complete.
    ends: Vec<f64>,
    now: f64,
    next_arrival: usize,
    last_first_event: f64,
    /// Mean time between first events, in ms.
    mean_gap: f64,
}

impl Simulation {
    fn run(mut self) -> Vec<Request> {
        loop {
            self.drop_those_given_up();
            self.fill_slots();
            while self.requests.get(self.next_arrival).is_some_and(|r| r.arrived_at <= self.now) {
                self.arrive(self.next_arrival);
                self.next_arrival += 1;
            }
            let first = |i: &usize| (self.requests[*i].rank, *i);
            let next_arrival = self.requests.get(self.next_arrival).map(|r| r.arrived_at);
            match (self.reading.iter().copied().min_by_key(first), next_arrival) {
                (Some(next), _) => self.read(next),
                (None, Some(at)) if self.queue.is_empty() => self.now = at,
                (None, _) if !self.queue.is_empty() => {
                    self.now = self.ends.iter().copied().fold(f64::INFINITY, f64::min);
                }
                _ => return self.requests,
            }
        }
    }

    fn drop_those_given_up(&mut self) {
        let (now, requests) = (self.now, &self.requests);
        self.ends.retain(|end| *end > now);
        self.reading
            .retain(|i| now - requests[*i].arrived_at <= requests[*i].kind().patience as f64);
        self.queue.take_hopeless(Millis(now as u64));
    }

    fn free_slots(&self) -> usize {
        SLOTS.saturating_sub(self.reading.len() + self.ends.len())
    }

    fn fill_slots(&mut self) {
        while self.free_slots() > 0
            && let Some(waiting) = self.queue.pop(Millis(self.now as u64), |_| 0.0)
        {
            self.send(waiting.id as usize);
        }
    }

    fn server_rank(&self, i: usize) -> Priority {
        let Request { kind, arrived_at, tokens, .. } = self.requests[i];
        let Kind { rank, target, .. } = KINDS[kind];
        let (own, tokens) = (Priority(rank), tokens as u64);
        let left = Millis(target).since(Millis((self.now - arrived_at) as u64));
        let order = ServerOrder::default();
        match self.order {
            Order::Arrival => Priority(1),
            Order::Size => UrgencyPolicy::default().rank(tokens, own, false),
            Order::Rank => order.rank(own, tokens, left, false),
            Order::RankWithoutMoves => order.rank(own, tokens, Millis(u64::MAX), false),
        }
    }

    fn send(&mut self, i: usize) {
        self.requests[i].rank = self.server_rank(i);
        self.reading.push(i);
    }

    fn arrive(&mut self, i: usize) {
        let (demand, now, rank) =
            (self.requests[i].demand(), Millis(self.now as u64), self.server_rank(i));
        let ahead = self.reading.iter().map(|ahead| self.requests[*ahead]);
        let unread: f64 = ahead.filter(|ahead| ahead.rank <= rank).map(|ahead| ahead.unread).sum();
        let free = self.free_slots();
        let capacity = Capacity {
            free_slots: free as f64,
            next_slot: Millis(if free > 0 { 0 } else { self.mean_gap as u64 }),
            prefill_wait: Millis((unread / TOKENS_PER_MS) as u64),
        };
        let ahead = self.queue.ahead_of(&demand, now);
        match AdmissionPolicy.decide(&capacity, ahead, 1_000.0 / self.mean_gap, &demand, now) {
            AdmissionDecision::Send => self.send(i),
            AdmissionDecision::Wait => {
                let waiting = Waiting { id: i as u64, customer: 0, demand, has_promise: false };
                self.queue.push(waiting, now, |_| 0.0).unwrap();
            }
            AdmissionDecision::Refuse { .. } => {}
        }
    }

    /// Reads the next tokens of a prompt.
    fn read(&mut self, i: usize) {
        let request = &mut self.requests[i];
        let chunk = request.unread.min(CHUNK);
        self.now += chunk / TOKENS_PER_MS;
        request.unread -= chunk;
        if request.unread <= 0.0 {
            request.first_event_at = Some(self.now);
            self.ends.push(self.now + request.duration);
            self.reading.retain(|reading| *reading != i);
            self.mean_gap += (self.now - self.last_first_event - self.mean_gap) / 100.0;
            self.last_first_event = self.now;
        }
    }
}

/// Simulates a shortage with several seeds and returns the requests that arrived during it.
fn simulate(order: Order, shortage: Shortage) -> Vec<Request> {
    let counted = match shortage {
        Shortage::Wave => SHORTAGE.start..SHORTAGE.start + AFTER_WAVE,
        _ => SHORTAGE,
    };
    let of_seed = |seed| {
        let simulation = Simulation {
            order,
            requests: draw_requests(shortage, &mut fastrand::Rng::with_seed(seed)),
            queue: WaitQueue::default(),
            reading: Vec::new(),
            ends: Vec::new(),
            now: 0.0,
            next_arrival: 0,
            last_first_event: 0.0,
            mean_gap: 50.0,
        };
        simulation.run()
    };
    SEEDS.flat_map(of_seed).filter(|r| counted.contains(&r.arrived_at)).collect()
}

/// Returns the share of the requests selected by `is_counted` that began before their callers gave up.
fn share(requests: &[Request], is_counted: impl Fn(&Request) -> bool) -> f64 {
    let counted: Vec<_> = requests.iter().filter(|r| is_counted(r)).collect();
    let served = counted.iter().filter(|r| r.began_within(r.kind().patience)).count();
    served as f64 / counted.len().max(1) as f64
}

fn shares_of_ranks(requests: &[Request]) -> [f64; 3] {
    [0, 1, 2].map(|rank| share(requests, |r| r.kind().rank == rank))
}

/// Returns the share of the largest tenth of a kind by tokens.
fn share_of_largest(requests: &[Request], kind: usize) -> f64 {
    let mut tokens: Vec<_> = requests.iter().filter(|r| r.kind == kind).map(|r| r.tokens).collect();
    tokens.sort_by(f64::total_cmp);
    let min = tokens[tokens.len() * 9 / 10];
    share(requests, |r| r.kind == kind && r.tokens >= min)
}

/// Returns the most by which the share of a lower rank exceeds that of a higher one.
fn inversion(requests: &[Request]) -> f64 {
    let [first, second, third] = shares_of_ranks(requests);
    (second - first).max(third - first).max(third - second)
}

/// Asserts that the ranks are served in order, and that they are not if the server reads by arrival or by size.
fn assert_order_by_rank(shortage: Shortage) {
    let by_rank = simulate(Order::Rank, shortage);
    for order in [Order::Arrival, Order::Size, Order::Rank] {
        let requests = simulate(order, shortage);
        println!("{shortage:?}, {order:?}: {:.3?}", shares_of_ranks(&requests));
        let is_in_order = inversion(&requests) <= MAX_INVERSION;
        assert_eq!(is_in_order, order == Order::Rank, "{shortage:?}, {order:?}");
    }
    // The first rank begins before its callers give up, whatever its size.
    for kind in [0, 1] {
        let served = share(&by_rank, |r| r.kind == kind);
        assert!(served >= 0.98, "{shortage:?}, kind {kind}: {served:.3}");
    }
}

/// Load pattern: twice as many tokens as the server reads. By size, all of the last rank begin in time but 37 in 100 of
/// the second, whose prompts are long. By arrival, five times as many of the second as of the first do.
#[test]
fn burst_is_read_by_rank() {
    assert_order_by_rank(Shortage::Burst(2.0));
}

/// Load pattern: one kind at 2.5 times its rate, which delays the other ranks.
#[test]
fn kind_that_grows_does_not_delay_higher_ranks() {
    for kind in [0, 2, 3] {
        assert_order_by_rank(Shortage::OneKind(kind));
    }
}

/// Load pattern: all callers send three times.
#[test]
fn retries_are_read_by_rank() {
    assert_order_by_rank(Shortage::Retries);
}

/// Load pattern: half of the servers are gone, and the others get their requests.
#[test]
fn half_of_the_servers_read_by_rank() {
    assert_order_by_rank(Shortage::HalfOfServers);
}

/// Load pattern: the callers of 5 s come back within 200 ms.
#[test]
fn callers_that_come_back_in_one_wave_are_read_by_rank() {
    assert_order_by_rank(Shortage::Wave);
}

/// Load pattern: long prompts of the second rank take all that the first leaves. If no prompt moved up when its target
/// is close, the largest tenth would wait for all smaller ones of its rank until its callers give up. Ordered by size,
/// it does so as well.
#[test]
fn largest_prompts_do_not_starve() {
    let shortages =
        [Shortage::Burst(2.0), Shortage::OneKind(2), Shortage::Retries, Shortage::HalfOfServers];
    for shortage in shortages {
        for order in [Order::Size, Order::RankWithoutMoves, Order::Rank] {
            let requests = simulate(order, shortage);
            let ratio =
                |kind| share_of_largest(&requests, kind) / share(&requests, |r| r.kind == kind);
            let ratios = [0, 1, 2].map(ratio);
            println!("{shortage:?}, {order:?}: ratio of the largest tenth {ratios:.3?}");
            let is_served = ratios.iter().all(|ratio| *ratio >= MIN_RATIO_OF_LARGEST);
            assert_eq!(is_served, order == Order::Rank, "{shortage:?}, {order:?}: {ratios:.3?}");
        }
    }
}

/// For any request: only a resumed stream has rank 0, no lower rank of the operator goes before a higher one, more time
/// left brings no request forward, and more tokens none that has time. A prompt that cannot be read before its target
/// moves up one size class, and none moves up by more.
#[test]
fn ranks_keep_the_operators_order() {
    type Drawn = (u8, u16, u16, u8, u16, u16, bool);
    bolero::check!().with_type::<Drawn>().for_each(|drawn| {
        let (own, tokens, left, other_own, more_tokens, more_time, is_resumed) = *drawn;
        let order = ServerOrder::default();
        let rank = |own, tokens, left| order.rank(Priority(own), tokens, Millis(left), false).0;
        let (tokens, left) = (u64::from(tokens) % 12_000, u64::from(left) % 600);
        let (more_tokens, more_time) =
            (tokens + u64::from(more_tokens), left + u64::from(more_time));
        let (drawn, unmoved) = (rank(own, tokens, left), rank(own, tokens, u64::MAX));
        let first_of_own = 1 + 3 * own.min(2);
        assert!((first_of_own..first_of_own + 3).contains(&drawn));
        assert!(drawn <= rank(own, tokens, more_time));
        assert!(unmoved <= rank(own, more_tokens, u64::MAX));
        let moved = (unmoved - 1).max(first_of_own);
        assert!(drawn == unmoved || drawn == moved);
        if (left as f64) < tokens as f64 / TOKENS_PER_MS {
            assert_eq!(drawn, moved);
        }
        if own.min(2) < other_own.min(2) {
            assert!(rank(own, more_tokens, more_time) < rank(other_own, tokens, left));
        }
        let resumed = order.rank(Priority(own), tokens, Millis(left), is_resumed);
        assert_eq!(resumed == Priority(0), is_resumed);
    });
}

/// Guards against an absurd prefill rate that takes a request out of the ranks of its own.
#[test]
fn absurd_prefill_rates_change_no_rank_of_the_operator() {
    for tokens_per_ms in [0.0, -1.0, f64::NAN, f64::INFINITY] {
        let order = ServerOrder { tokens_per_ms, ..ServerOrder::default() };
        for (tokens, left) in [(0, 0), (0, 900), (50_000, 0), (u64::MAX, u64::MAX)] {
            let rank = order.rank(Priority(1), tokens, Millis(left), false).0;
            assert!((4..=6).contains(&rank), "{tokens_per_ms}: {rank}");
        }
    }
}

/// Load pattern: higher ranks need all that the server reads. Requests that wait at the server do not gain rank, so
/// that the last rank begins only if it arrives at a moment without prompts of higher ranks.
#[test]
fn last_rank_does_not_starve_at_the_server() {
    let shortages = [
        Shortage::Burst(2.0),
        Shortage::OneKind(2),
        Shortage::Retries,
        Shortage::HalfOfServers,
        Shortage::Wave,
    ];
    let starved: Vec<_> = shortages
        .into_iter()
        .map(|shortage| (shortage, shares_of_ranks(&simulate(Order::Rank, shortage))))
        .filter(|(_, shares)| shares[2] < MIN_SHARE)
        .collect();
    assert!(starved.is_empty(), "{starved:.3?}");
}
