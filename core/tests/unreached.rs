//! Unreachable servers and gateways that report them to each other, in virtual time.

use redwingfold_core::{Millis, UnreachableServers};

/// Timeout of a connection attempt; successful ones take a few milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 60;
/// Interval between messages of a gateway.
const MESSAGE_INTERVAL_MS: u64 = 100;

/// The faults of a simulation.
#[derive(Clone, Copy)]
struct Load {
    gateways: usize,
    servers: usize,
    per_s: u64,
    /// Number of servers that are unreachable for all gateways from `from` to `until`.
    down: usize,
    from: u64,
    until: u64,
    /// Number of gateways that reach no server in that time.
    cut_off: usize,
    /// Whether gateways exchange reports.
    has_reports: bool,
}

#[derive(Default)]
struct Outcome {
    /// Connection attempts to unreachable servers.
    failed_connects: usize,
    /// Choices made by gateways that are not cut off, and the sum over these of the reachable servers that were
    /// excluded.
    choices: usize,
    wrongly_excluded: usize,
    /// Time from the end of the outage until the last of the servers has answered.
    recovery_ms: u64,
}

/// A report in transit to all other gateways: arrival time, sender, server, and whether the server has answered.
type Report = (u64, usize, u32, bool);

fn simulate(load: Load, seed: u64) -> Outcome {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut tables = vec![UnreachableServers::new(); load.gateways];
    tables.iter_mut().for_each(|table| table.record_contact(Millis(0)));
    let (mut failing, mut reports): (Vec<(u64, usize, u32)>, Vec<Report>) = Default::default();
    let (mut outcome, mut recovered) = (Outcome::default(), vec![false; load.down]);
    let is_outage = |ms: u64| (load.from..load.until).contains(&ms);
    for ms in 0..load.until + 6_000 {
        let now = Millis(ms);
        for (_, g, server) in failing.extract_if(.., |(at, ..)| *at <= ms) {
            if !tables[g].is_cut_off(now) {
                tables[g].record_failure(server, g, load.gateways, now, rng.u64(..));
                reports.push((ms + rng.u64(..MESSAGE_INTERVAL_MS), g, server, false));
            }
        }
        for (_, from, server, has_answered) in reports.extract_if(.., |(at, ..)| *at <= ms) {
            for (g, table) in tables.iter_mut().enumerate() {
                match has_answered {
                    _ if g == from || !load.has_reports || rng.f64() < 0.02 => {}
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
            let is_down = |server: u32| (server as usize) < load.down && is_outage(ms);
            let is_out = |server: &u32| tables[g].is_excluded(*server, now);
            let (out, pool): (Vec<u32>, Vec<u32>) = (0..load.servers as u32).partition(is_out);
            if g >= load.cut_off {
                outcome.choices += 1;
                outcome.wrongly_excluded += out.iter().filter(|server| !is_down(**server)).count();
            }
            let two = [rng.choice(&pool), rng.choice(&pool)];
            // No work on an unreachable server is reported, so of two candidates it looks less loaded.
            let Some(&server) = two.into_iter().flatten().min_by_key(|s| !is_down(**s)) else {
                continue;
            };
            tables[g].record_attempt(server, now);
            match is_down(server) || (g < load.cut_off && is_outage(ms)) {
                true => {
                    outcome.failed_connects += usize::from(is_down(server));
                    failing.push((ms + CONNECT_TIMEOUT_MS, g, server));
                }
                false => {
                    tables[g].record_contact(now);
                    if tables[g].record_answer(server) {
                        reports.push((ms + rng.u64(..MESSAGE_INTERVAL_MS), g, server, true));
                    }
                    if let Some(recovered) =
                        recovered.get_mut(server as usize).filter(|_| ms >= load.until)
                    {
                        outcome.recovery_ms =
                            if *recovered { outcome.recovery_ms } else { ms - load.until };
                        *recovered = true;
                    }
                }
            }
        }
    }
    assert!(
        recovered.iter().all(|recovered| *recovered),
        "a server got no request after the outage"
    );
    outcome
}

const RACK: Load = Load {
    gateways: 103,
    servers: 180,
    per_s: 1_100,
    down: 54,
    from: 1_000,
    until: 6_000,
    cut_off: 0,
    has_reports: true,
};

/// Guards against gateways that each have to find out on their own that servers are unreachable: a rack of 54 servers
/// loses power in front of 103 gateways, and no gateway uses the same server more than once in 18 s. With reports, at
/// most a quarter of the connection attempts to these servers is made, and all of them answer requests within five
/// seconds after the outage.
#[test]
fn dark_servers_are_left_by_all_gateways() {
    for seed in 0..3 {
        let without_reports = simulate(Load { has_reports: false, ..RACK }, seed);
        let outcome = simulate(RACK, seed);
        let (connects, before) = (outcome.failed_connects, without_reports.failed_connects);
        assert!(
            connects * 4 <= before,
            "seed {seed}: {connects} failed connects, {before} without reports"
        );
        assert!(outcome.recovery_ms <= 5_000, "seed {seed}: {} ms", outcome.recovery_ms);
    }
}

/// In a small fleet, reports of two gateways are enough to exclude a server.
#[test]
fn two_gateways_are_enough() {
    let small = Load { gateways: 3, servers: 12, per_s: 60, down: 4, ..RACK };
    for seed in 0..5 {
        let without_reports = simulate(Load { has_reports: false, ..small }, seed);
        let outcome = simulate(small, seed);
        assert!(
            outcome.failed_connects * 2 <= without_reports.failed_connects,
            "seed {seed}: {}",
            outcome.failed_connects
        );
    }
}

/// Guards against false reports: a third of the gateways is cut off from all servers and reports them. The servers
/// answer all other gateways, so that at most one in fifty is excluded there.
#[test]
fn gateways_that_are_cut_off_put_no_good_server_out() {
    for seed in 0..3 {
        let outcome = simulate(Load { down: 0, cut_off: 34, ..RACK }, seed);
        let share = outcome.wrongly_excluded as f64 / (outcome.choices * RACK.servers) as f64;
        assert!(share <= 0.02, "seed {seed}: {share:.4}");
    }
}
