//! Unreachable servers and gateways that report them to each other, in virtual time.

use redwingfold_core::{Millis, UnreachableServers};

/// Timeout of a connection attempt; successful ones take a few milliseconds.
const CONNECT: u64 = 60;
/// Interval between messages of a gateway.
const TURN: u64 = 100;

/// The faults of a simulation.
#[derive(Clone, Copy)]
struct Load {
    gateways: usize,
    servers: usize,
    per_s: u64,
    /// Number of servers that are unreachable for all gateways from `from` to `until`.
    dark: usize,
    from: u64,
    until: u64,
    /// Number of gateways that reach no server in that time.
    cut_off: usize,
    /// Whether gateways exchange reports.
    is_told: bool,
}

#[derive(Default)]
struct Played {
    /// Connection attempts to unreachable servers.
    in_vain: usize,
    /// Choices made by gateways that are not cut off, and the sum over these of the reachable servers that were
    /// excluded.
    choices: usize,
    wrongly_out: usize,
    /// Time from the end of the outage until the last of the servers has answered.
    back_after: u64,
}

/// A report in transit to all other gateways: arrival time, sender, server, and whether the server has answered.
type Word = (u64, usize, u32, bool);

fn play(load: Load, seed: u64) -> Played {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut tables = vec![UnreachableServers::new(); load.gateways];
    tables.iter_mut().for_each(|table| table.record_contact(Millis(0)));
    let (mut failing, mut words): (Vec<(u64, usize, u32)>, Vec<Word>) = Default::default();
    let (mut played, mut back) = (Played::default(), vec![false; load.dark]);
    let is_on = |ms: u64| (load.from..load.until).contains(&ms);
    for ms in 0..load.until + 6_000 {
        let now = Millis(ms);
        for (_, g, server) in failing.extract_if(.., |(at, ..)| *at <= ms) {
            if !tables[g].is_cut_off(now) {
                tables[g].record_failure(server, g, load.gateways, now, rng.u64(..));
                words.push((ms + rng.u64(..TURN), g, server, false));
            }
        }
        for (_, from, server, has_answered) in words.extract_if(.., |(at, ..)| *at <= ms) {
            for (g, table) in tables.iter_mut().enumerate() {
                match has_answered {
                    _ if g == from || !load.is_told || rng.f64() < 0.02 => {}
                    true => {
                        table.record_answer(server);
                    }
                    false => {
                        table.record_failure(server, from, load.gateways, now, rng.u64(..));
                    }
                }
            }
        }
        let requests = (0..load.per_s).filter(|_| rng.u64(..1_000) == 0).count();
        for _ in 0..requests {
            let g = rng.usize(..load.gateways);
            let is_dark = |server: u32| (server as usize) < load.dark && is_on(ms);
            let is_out = |server: &u32| tables[g].is_excluded(*server, now);
            let (out, pool): (Vec<u32>, Vec<u32>) = (0..load.servers as u32).partition(is_out);
            if g >= load.cut_off {
                played.choices += 1;
                played.wrongly_out += out.iter().filter(|server| !is_dark(**server)).count();
            }
            let two = [rng.choice(&pool), rng.choice(&pool)];
            // No work on an unreachable server is reported, so of two candidates it looks less loaded.
            let Some(&server) = two.into_iter().flatten().min_by_key(|s| !is_dark(**s)) else {
                continue;
            };
            tables[g].record_attempt(server, now);
            match is_dark(server) || (g < load.cut_off && is_on(ms)) {
                true => {
                    played.in_vain += usize::from(is_dark(server));
                    failing.push((ms + CONNECT, g, server));
                }
                false => {
                    tables[g].record_contact(now);
                    if tables[g].record_answer(server) {
                        words.push((ms + rng.u64(..TURN), g, server, true));
                    }
                    if let Some(back) = back.get_mut(server as usize).filter(|_| ms >= load.until) {
                        played.back_after = if *back { played.back_after } else { ms - load.until };
                        *back = true;
                    }
                }
            }
        }
    }
    assert!(back.iter().all(|back| *back), "a server is not found again");
    played
}

const RACK: Load = Load {
    gateways: 103,
    servers: 180,
    per_s: 1_100,
    dark: 54,
    from: 1_000,
    until: 6_000,
    cut_off: 0,
    is_told: true,
};

/// Guards against gateways that each have to find out on their own that servers are unreachable: a rack of 54 servers
/// loses power in front of 103 gateways, and no gateway uses the same server more than once in 18 s. With reports, at
/// most a quarter of the connection attempts to these servers is made, and all of them answer requests within five
/// seconds after the outage.
#[test]
fn dark_servers_are_left_by_all_gateways() {
    for seed in 0..3 {
        let alone = play(Load { is_told: false, ..RACK }, seed);
        let played = play(RACK, seed);
        let (tries, before) = (played.in_vain, alone.in_vain);
        assert!(tries * 4 <= before, "seed {seed}: {tries} tries in vain, {before} without words");
        assert!(played.back_after <= 5_000, "seed {seed}: {} ms", played.back_after);
    }
}

/// In a small fleet, reports of two gateways are enough to exclude a server.
#[test]
fn two_gateways_are_enough() {
    let small = Load { gateways: 3, servers: 12, per_s: 60, dark: 4, ..RACK };
    for seed in 0..5 {
        let alone = play(Load { is_told: false, ..small }, seed);
        let played = play(small, seed);
        assert!(played.in_vain * 2 <= alone.in_vain, "seed {seed}: {}", played.in_vain);
    }
}

/// Guards against false reports: a third of the gateways is cut off from all servers and reports them. The servers
/// answer all other gateways, so that at most one in fifty is excluded there.
#[test]
fn gateways_that_are_cut_off_put_no_good_server_out() {
    for seed in 0..3 {
        let played = play(Load { dark: 0, cut_off: 34, ..RACK }, seed);
        let share = played.wrongly_out as f64 / (played.choices * RACK.servers) as f64;
        assert!(share <= 0.02, "seed {seed}: {share:.4}");
    }
}
