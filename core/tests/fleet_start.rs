//! All gateways of a fleet start at once: which of them read the store, and when the others have what they read.

use redwingfold_core::{FeedPositions, Members, Millis, StartTurn};

/// Milliseconds until a message is delivered and handled.
const MESSAGE_DELAY: u64 = 20;
/// Milliseconds that the store takes for a registration; it takes one at a time.
const REGISTRATION_MS: u64 = 4;
/// Milliseconds for a read of the addresses, once the registrations that arrived before it are done.
const READ_ADDRESSES_MS: u64 = 20;
/// Milliseconds for a read of everything else, on a host with a tenth of a CPU core.
const READ_DATA_MS: u64 = 150;
/// Milliseconds until a gateway has answered another one.
const ANSWER_DELAY: u64 = 60;
/// Gateways that one gateway answers at the same time.
const MAX_SERVED: usize = 8;
/// Gateways that are notified of a fetch from a peer.
const FANOUT: usize = 8;
/// Gateways to which a gateway sends the member list when it grows.
const ADDRESSES_FANOUT: usize = 5;
const STEP: u64 = 10;

#[derive(Clone, Copy)]
struct Start {
    gateways: usize,
    /// Whether the deployment starts for the first time, so that gateways register.
    is_first: bool,
    /// Time in ms over which the gateways start.
    spread: u64,
    /// Share of messages that are lost.
    lost: f64,
    /// One in this many gateways that read the store ends before it answers another; 0 for none.
    fails_one_in: usize,
    /// The store rejects one in this many gateways; 0 for none. On a first start, nobody can find these.
    rejects_one_in: usize,
    /// Whether gateways wait for their turns; otherwise each reads for itself.
    takes_turns: bool,
}

const BASE: Start = Start {
    gateways: 356,
    is_first: false,
    spread: 300,
    lost: 0.02,
    fails_one_in: 0,
    rejects_one_in: 0,
    takes_turns: true,
};

struct Gateway {
    starts_at: u64,
    /// Time at which it is registered.
    registered_at: u64,
    turn: Option<StartTurn>,
    members: Members<usize>,
    positions: FeedPositions<usize>,
    addresses_read_at: Option<u64>,
    /// Time at which its read of the store, or its fetch from a peer, has everything.
    data_at: Option<u64>,
    fetch: Option<(usize, u64)>,
    served: usize,
    is_reader: bool,
    has_failed: bool,
    is_rejected: bool,
}

struct Outcome {
    address_reads: usize,
    data_reads: usize,
    /// Milliseconds after the last gateway's start at which all that run have everything; `None` if never.
    done_after: Option<u64>,
}

enum Content {
    Addresses(Vec<usize>),
    /// A greeting, and whether its sender has everything.
    Greeting(bool),
    HasData,
}

type Message = (u64, usize, usize, Content);

fn start_fleet(start: Start, seed: u64) -> Outcome {
    let mut rng = fastrand::Rng::with_seed(seed);
    let n = start.gateways;
    let one_in = |of: usize, at: usize| of > 0 && at % of == 1;
    let mut fleet: Vec<Gateway> = (0..n)
        .map(|at| Gateway {
            starts_at: rng.u64(..start.spread),
            registered_at: 0,
            turn: None,
            members: Members::new(at),
            positions: FeedPositions::new(),
            addresses_read_at: None,
            data_at: None,
            fetch: None,
            served: 0,
            is_reader: false,
            has_failed: false,
            is_rejected: one_in(start.rejects_one_in, at),
        })
        .collect();
    let mut order: Vec<usize> = (0..n).collect();
    order.sort_by_key(|at| fleet[*at].starts_at);
    let mut queue_ends = 0;
    for at in order.iter().filter(|_| start.is_first) {
        if fleet[*at].is_rejected {
            fleet[*at].registered_at = u64::MAX;
            continue;
        }
        queue_ends = queue_ends.max(fleet[*at].starts_at) + REGISTRATION_MS;
        fleet[*at].registered_at = queue_ends;
    }
    let mut messages: Vec<Message> = Vec::new();
    let mut outcome = Outcome { address_reads: 0, data_reads: 0, done_after: None };
    let mut readers = 0;
    for ms in (0..8_000).step_by(STEP as usize) {
        let now = Millis(ms);
        for (_, from, to, content) in
            messages.extract_if(.., |(at, ..)| *at <= ms).collect::<Vec<_>>()
        {
            let gateway = &mut fleet[to];
            if ms < gateway.starts_at || gateway.has_failed {
                continue;
            }
            gateway.members.record_message(from, now, rng.u64(..));
            if let Some(turn) = &mut gateway.turn {
                turn.record_peer(now, rng.u64(..));
            }
            match content {
                Content::Addresses(named) => {
                    gateway.members.add(&named, now);
                }
                Content::HasData => gateway.positions.record(from, 1, now),
                Content::Greeting(true) => gateway.positions.record(from, 1, now),
                Content::Greeting(false) => {}
            }
        }
        for at in 0..n {
            if ms < fleet[at].starts_at || fleet[at].has_failed {
                continue;
            }
            let mut to_all = None;
            let draw = rng.u64(..);
            let first_turn = StartTurn::new(start.is_first, now, draw);
            let mut turn = *fleet[at].turn.get_or_insert(first_turn);
            let registered_ago = ms.checked_sub(fleet[at].registered_at);
            if start.is_first && registered_ago.is_some_and(|ago| ago < STEP) {
                let position =
                    fleet.iter().filter(|g| g.registered_at < fleet[at].registered_at).count();
                turn.record_registration(position as u64, now, rng.u64(..));
            }
            fleet[at].turn = Some(turn);
            let is_turn = turn.is_due(now) || !start.takes_turns;
            let is_registered = !start.is_first || ms >= fleet[at].registered_at;
            if is_turn && is_registered && !fleet[at].is_rejected {
                if fleet[at].members.is_empty() && fleet[at].addresses_read_at.is_none() {
                    outcome.address_reads += 1;
                    let queued = fleet.iter().filter(|g| g.starts_at <= ms && !g.is_rejected);
                    let queue_ends = queued.map(|g| g.registered_at).max().unwrap_or(0);
                    fleet[at].addresses_read_at = Some(ms.max(queue_ends) + READ_ADDRESSES_MS);
                }
                if fleet[at].data_at.is_none() && fleet[at].fetch.is_none() {
                    outcome.data_reads += 1;
                    readers += 1;
                    fleet[at].data_at = Some(ms + READ_DATA_MS);
                    fleet[at].is_reader = true;
                }
            }
            if fleet[at].addresses_read_at.is_some_and(|read| read <= ms && ms < read + STEP) {
                let known: Vec<usize> = (0..n)
                    .filter(|other| fleet[*other].registered_at <= ms - READ_ADDRESSES_MS)
                    .collect();
                fleet[at].members.add(&known, now);
                let has_data = fleet[at].data_at.is_some_and(|has| has <= ms);
                to_all = Some(Content::Greeting(has_data));
            }
            if fleet[at].data_at.is_some_and(|has| has <= ms && ms < has + STEP) {
                if fleet[at].is_reader && one_in(start.fails_one_in, readers) {
                    fleet[at].has_failed = true;
                    continue;
                }
                to_all = Some(Content::HasData);
            }
            if let Some((peer, _)) = fleet[at].fetch.filter(|(_, arrives)| *arrives <= ms) {
                fleet[at].fetch = None;
                fleet[peer].served -= 1;
                match fleet[peer].has_failed {
                    true => fleet[at].positions.record_failure(peer, now),
                    false => fleet[at].data_at = Some(ms + STEP),
                }
            }
            let peer = fleet[at].positions.pick_well_ahead(None, rng.u64(..), now);
            if let (Some(peer), None, None) = (peer, fleet[at].data_at, fleet[at].fetch) {
                match fleet[peer].served < MAX_SERVED {
                    true => {
                        fleet[peer].served += 1;
                        fleet[at].fetch = Some((peer, ms + ANSWER_DELAY));
                    }
                    false => fleet[at].positions.record_failure(peer, now),
                }
            }
            let mut recipients = fleet[at].members.take_newcomers();
            let is_changed = fleet[at].members.take_changed();
            if to_all.is_none() && recipients.is_empty() && !is_changed {
                continue;
            }
            let mut live = fleet[at].members.live(now);
            live.sort_unstable();
            rng.shuffle(&mut live);
            if is_changed {
                recipients.extend(live.iter().take(ADDRESSES_FANOUT));
            }
            let fanout = match &to_all {
                Some(Content::HasData) if !fleet[at].is_reader => FANOUT,
                Some(_) => live.len(),
                None => 0,
            };
            let mut send = |to: usize, content: Content| {
                if rng.f64() >= start.lost {
                    messages.push((ms + MESSAGE_DELAY, at, to, content));
                }
            };
            for to in live.iter().take(fanout) {
                let content = match to_all {
                    Some(Content::Greeting(has_data)) => Content::Greeting(has_data),
                    _ => Content::HasData,
                };
                send(*to, content);
            }
            recipients.iter().for_each(|to| send(*to, Content::Addresses(live.clone())));
        }
        let is_lost = |g: &Gateway| g.has_failed || (start.is_first && g.is_rejected);
        let is_done = |g: &Gateway| is_lost(g) || g.data_at.is_some_and(|at| at <= ms);
        if ms >= start.spread && fleet.iter().all(is_done) {
            outcome.done_after = Some(ms - start.spread);
            break;
        }
    }
    outcome
}

/// Most gateways that may read the store for the same thing: a tenth of the fleet, and a dozen of a small one.
fn most_reads(gateways: usize) -> usize {
    (gateways / 10).max(12)
}

fn check(start: Start, seed: u64, most_ms: u64) {
    let Outcome { address_reads, data_reads, done_after } = start_fleet(start, seed);
    let n = start.gateways;
    let case = format!("{n} gateways, seed {seed}: {address_reads}, {data_reads}, {done_after:?}");
    assert!(address_reads.max(data_reads) <= most_reads(n), "{case}");
    assert!(done_after.is_some_and(|ms| ms <= most_ms), "{case}");
}

/// Sizes of fleets, and the number of seeds for each.
const FLEETS: [(usize, u64); 4] = [(4, 20), (17, 10), (103, 2), (356, 1)];

/// Guards against a first start in which each gateway reads the store, as none knows another one. Callers come ten
/// seconds after the start.
#[test]
fn first_start_reads_little() {
    for (gateways, seeds) in FLEETS {
        for seed in 0..seeds {
            check(Start { gateways, is_first: true, ..BASE }, seed, 5_000);
            check(Start { gateways, is_first: true, spread: STEP, ..BASE }, seed, 5_000);
        }
    }
    check(Start { gateways: 712, is_first: true, spread: STEP, ..BASE }, 0, 5_000);
}

/// Guards against the same after all gateways were killed, while callers wait. The load balancer asks each second.
#[test]
fn return_of_all_reads_little() {
    for (gateways, seeds) in FLEETS {
        for seed in 0..seeds {
            check(Start { gateways, ..BASE }, seed, 1_500);
        }
    }
    check(Start { gateways: 712, ..BASE }, 0, 1_500);
}

/// Guards against a start that depends on the gateways that read first: if one in three of them ends before it has
/// answered anyone, if a third is rejected by the store, or if three in ten messages are lost, all others start.
#[test]
fn start_needs_no_certain_gateway() {
    let faults = [
        Start { fails_one_in: 3, ..BASE },
        Start { rejects_one_in: 3, ..BASE },
        Start { lost: 0.3, ..BASE },
    ];
    for fault in faults {
        for (gateways, seeds) in [(17, 4), (103, 2), (356, 1)] {
            for (seed, is_first) in (0..seeds).flat_map(|seed| [(seed, false), (seed, true)]) {
                let start = Start { gateways, is_first, ..fault };
                let done_after = start_fleet(start, seed).done_after;
                let case = format!("{gateways} gateways, seed {seed}, first {is_first}");
                let faults = (fault.fails_one_in, fault.rejects_one_in, fault.lost);
                assert!(done_after.is_some(), "{case}, {faults:?}");
            }
        }
    }
}

/// Guards against a check that cannot fail: without turns, each gateway reads.
#[test]
fn without_turns_all_read() {
    let outcome = start_fleet(Start { takes_turns: false, ..BASE }, 1);
    assert_eq!(outcome.data_reads, 356);
}
