//! Measures control plane cost and propagation at several fleet sizes.

use std::collections::BTreeMap;
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use redwingfold::load::{Quantiles, proc_usage};
use serde::Serialize;
use serde_json::{Value, json};

use crate::objects::one_model_with;
use crate::report::write_json;
use crate::scale_report::{draw, fits, print};
use crate::testbed::{DaemonProcess, Testbed, get, post, wait};

/// Daemons per entry.
const DAEMONS_PER_ENTRY: usize = 13;

/// Number of failure domains.
const DOMAINS: usize = 8;

/// Number of host pools.
const POOLS: usize = 14;

/// Number of stand-in engines. The sides share them, to leave the machine's processors to the
/// daemons.
const ENGINES: usize = 4;

/// Configuration changes per second: the average rate that users require, and twenty times that.
const CHANGE_RATES: [f64; 2] = [0.25, 5.0];

/// Resource usage of the daemons of one role: mean, and maximum of one daemon.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct Cost {
    /// Processor time, in percent of a core.
    pub(crate) cpu_mean: f64,
    pub(crate) cpu_max: f64,
    /// Resident memory, in MiB.
    pub(crate) memory_mean: f64,
    pub(crate) memory_max: f64,
    /// UDP payload sent and received, in bytes per second.
    pub(crate) bytes_mean: f64,
    pub(crate) bytes_max: f64,
}

#[derive(Clone, Debug, Serialize)]
pub(crate) struct Propagation {
    pub(crate) rate: f64,
    pub(crate) changes: usize,
    pub(crate) in_force_ms: Quantiles,
    pub(crate) missing: usize,
    pub(crate) entry: Cost,
    pub(crate) side: Cost,
}

#[derive(Clone, Debug, Serialize)]
pub(crate) struct SizeResult {
    pub(crate) daemons: usize,
    pub(crate) entries: usize,
    pub(crate) idle_entry: Cost,
    pub(crate) idle_side: Cost,
    pub(crate) log_appends_per_second: f64,
    pub(crate) log_reads_per_second: f64,
    pub(crate) propagation: Vec<Propagation>,
    pub(crate) killed_ms: Quantiles,
    pub(crate) frozen_ms: Quantiles,
    pub(crate) leaving_ms: Quantiles,
    pub(crate) restart_ms: f64,
    pub(crate) restarted: usize,
    pub(crate) restart_log_reads: u64,
}

/// Measures all sizes, prints tables, and writes the results as JSON and SVG. Returns whether every
/// daemon logged every change as in force.
pub(crate) fn scale(sizes: &[usize], seconds: f64, out: &Path) -> eyre::Result<bool> {
    let mut results = Vec::new();
    for size in sizes {
        let started = Instant::now();
        let result = measure(*size, Duration::from_secs_f64(seconds))?;
        println!("{size} daemons: {:.0} s", started.elapsed().as_secs_f64());
        results.push(result);
    }
    print(&results);
    let fits = fits(&results);
    for (name, fit) in &fits {
        println!(
            "{name}: {:.4} + {:.6} x daemons, error {:.4}",
            fit.intercept, fit.slope, fit.error
        );
    }
    write_json(out, "scale", &json!({"sizes": results, "fits": fits}))?;
    draw(&results, out)?;
    Ok(results.iter().all(|r| r.propagation.iter().all(|p| p.missing == 0)))
}

fn start(size: usize) -> eyre::Result<Testbed> {
    let entries = (size / DAEMONS_PER_ENTRY).max(2);
    let mut names: Vec<_> = (0..entries).map(|n| format!("entry-{n}")).collect();
    names.extend((0..size - entries).map(|n| format!("gpu-{n}")));
    let mut testbed = Testbed::start(&names)?;
    let mut engines = Vec::new();
    for n in 0..ENGINES {
        let versions = "slip-1,slip-2";
        let args = ["engine", "--versions", versions, "--slots", "64"];
        engines.push(testbed.backend(&format!("engine-{n}"), &args)?);
    }
    for n in 0..size - entries {
        let backend = json!([
            {"name": "engine-0", "address": engines[n % ENGINES], "kind": "engine", "slots": 64},
        ]);
        let domain = format!("domain-{}", n % DOMAINS);
        // Reading the load of an engine is not control traffic. The sides share the engines, so
        // each side reads the load rarely.
        let queue = json!({"load_every_ms": 5_000});
        let overrides = json!({"backends": backend, "queue": queue});
        testbed.daemon("side", &format!("gpu-{n}"), &domain, &overrides)?;
    }
    for n in 0..entries {
        let domain = format!("domain-{}", n % DOMAINS);
        testbed.daemon("entry", &format!("entry-{n}"), &domain, &json!({}))?;
    }
    testbed.list_hosts_in_pools(POOLS)?;
    testbed.publish_json(&objects(100))?;
    testbed.wait_ready(1)?;
    Ok(testbed)
}

fn objects(share: u64) -> Value {
    let version = json!({"model": "slip", "cost_per_ktok": 1, "quality": 900});
    let rollout = json!({"model": "slip", "to": "slip-2", "share": share});
    one_model_with(&[
        json!({"kind": "version", "name": "slip-2", "spec": version}),
        json!({"kind": "rollout", "name": "up", "spec": rollout}),
    ])
}

fn measure(size: usize, window: Duration) -> eyre::Result<SizeResult> {
    let mut testbed = start(size)?;
    let entries = testbed.daemons.iter().filter(|d| d.role == "entry").count();
    // Lets connections, host lists and the first publication settle before the measurement.
    sleep(Duration::from_secs(5));
    let log_before = get(testbed.log.addr, "/counts")?;
    let idle = measure_costs(&testbed, window, || Ok(()))?;
    let log_after = get(testbed.log.addr, "/counts")?;
    let per_second = |name: &str| {
        let count = |v: &Value| v[name].as_u64().unwrap_or(0) as f64;
        (count(&log_after) - count(&log_before)) / window.as_secs_f64()
    };
    let mut propagation = Vec::new();
    for rate in CHANGE_RATES {
        propagation.push(measure_propagation(&testbed, rate, window)?);
    }
    let killed_ms = measure_detection(&testbed, "gpu-0", |d| d.process.kill())?;
    let frozen_ms = measure_detection(&testbed, "gpu-1", |d| d.process.freeze())?;
    let leaving_ms = measure_detection(&testbed, "gpu-2", |d| d.process.term())?;
    let (restart_ms, restarted, restart_log_reads) = restart_sides(&mut testbed, size)?;
    Ok(SizeResult {
        daemons: size,
        entries,
        idle_entry: idle.0,
        idle_side: idle.1,
        log_appends_per_second: per_second("appends"),
        log_reads_per_second: per_second("reads"),
        propagation,
        killed_ms,
        frozen_ms,
        leaving_ms,
        restart_ms,
        restarted,
        restart_log_reads,
    })
}

/// Returns processor time, resident bytes and transferred peer bytes of each daemon, by host.
fn resource_usage(testbed: &Testbed) -> eyre::Result<BTreeMap<String, (Duration, u64, f64)>> {
    let output = testbed.ctl(&["status", "--json"])?;
    let status: Vec<Value> = serde_json::from_slice(&output.stdout)?;
    let bytes: BTreeMap<_, _> = status
        .iter()
        .map(|d| {
            let count = |name: &str| d[name].as_u64().unwrap_or(0) as f64;
            let host = d["host"].as_str().unwrap_or_default().to_owned();
            (host, count("peer_bytes_sent") + count("peer_bytes_received"))
        })
        .collect();
    let mut all = BTreeMap::new();
    for daemon in &testbed.daemons {
        let usage = proc_usage(daemon.process.id())?;
        let bytes = bytes.get(&daemon.host).copied().unwrap_or(0.0);
        all.insert(daemon.host.clone(), (usage.cpu, usage.resident, bytes));
    }
    Ok(all)
}

/// Runs `work`, waits for the rest of the window and returns the resource usage of entries and
/// sides in that time.
fn measure_costs(
    testbed: &Testbed,
    window: Duration,
    work: impl FnOnce() -> eyre::Result<()>,
) -> eyre::Result<(Cost, Cost)> {
    let before = resource_usage(testbed)?;
    let started = Instant::now();
    work()?;
    sleep(window.saturating_sub(started.elapsed()));
    let seconds = started.elapsed().as_secs_f64();
    let after = resource_usage(testbed)?;
    let of_role = |role: &str| {
        let hosts = testbed.daemons.iter().filter(|d| d.role == role);
        let rows: Vec<_> = hosts
            .filter_map(|d| {
                let (then, now) = (before.get(&d.host)?, after.get(&d.host)?);
                let cpu = (now.0 - then.0).as_secs_f64() / seconds * 100.0;
                Some((cpu, now.1 as f64 / 1_048_576.0, (now.2 - then.2) / seconds))
            })
            .collect();
        let n = rows.len().max(1) as f64;
        let mean = |f: fn(&(f64, f64, f64)) -> f64| rows.iter().map(f).sum::<f64>() / n;
        let max = |f: fn(&(f64, f64, f64)) -> f64| rows.iter().map(f).fold(0.0, f64::max);
        Cost {
            cpu_mean: mean(|r| r.0),
            cpu_max: max(|r| r.0),
            memory_mean: mean(|r| r.1),
            memory_max: max(|r| r.1),
            bytes_mean: mean(|r| r.2),
            bytes_max: max(|r| r.2),
        }
    };
    Ok((of_role("entry"), of_role("side")))
}

fn now_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64() * 1000.0)
}

/// Parses the time of day of a log line, in milliseconds since midnight.
fn line_ms(line: &str) -> Option<f64> {
    let time = line.split('T').nth(1)?;
    let mut parts = time.get(..12)?.split([':', '.']);
    let mut next = || parts.next()?.parse::<f64>().ok();
    let (hours, minutes, seconds, millis) = (next()?, next()?, next()?, next()?);
    Some(((hours * 60.0 + minutes) * 60.0 + seconds) * 1000.0 + millis)
}

const DAY_MS: f64 = 86_400_000.0;

/// Returns the milliseconds from `from_ms` until a line was logged.
fn millis_after(from_ms: f64, line: &str) -> Option<f64> {
    let since = (line_ms(line)? - from_ms.rem_euclid(DAY_MS)).rem_euclid(DAY_MS);
    // Log times are truncated to milliseconds, so a line can appear to precede its cause.
    Some(if since > DAY_MS / 2.0 { 0.0 } else { since })
}

fn quantiles(values: &[f64]) -> Quantiles {
    Quantiles::of(values.iter().map(|ms| Duration::from_secs_f64(ms.max(0.0) / 1000.0)))
}

/// Appends changes at a rate and reads from the daemons' logs when each change came into force.
fn measure_propagation(
    testbed: &Testbed,
    rate: f64,
    window: Duration,
) -> eyre::Result<Propagation> {
    let changes = ((rate * window.as_secs_f64()) as usize).max(4);
    let mut appended = Vec::new();
    let mut revision = rollout_revision(testbed)?;
    let work = || {
        for n in 0..changes {
            let record = change_record(n as u64, revision);
            let appended_at_ms = now_ms();
            let answer = post(testbed.log.addr, "/streams/config/append", &record)?;
            revision = answer["offset"].as_u64().unwrap_or(0);
            appended.push((revision, appended_at_ms));
            sleep(Duration::from_secs_f64(1.0 / rate));
        }
        Ok(())
    };
    let (entry, side) = measure_costs(testbed, window, work)?;
    sleep(Duration::from_secs(4));
    let (mut times, mut missing) = (Vec::new(), 0);
    for daemon in &testbed.daemons {
        let lines = daemon.process.lines();
        for (offset, appended_at_ms) in &appended {
            // A daemon that applies several records at once logs only the last of them.
            let has = |line: &&String| offset_of(line).is_some_and(|o| o >= *offset);
            match lines.iter().find(has).and_then(|line| millis_after(*appended_at_ms, line)) {
                Some(ms) => times.push(ms),
                None => missing += 1,
            }
        }
    }
    Ok(Propagation { rate, changes, in_force_ms: quantiles(&times), missing, entry, side })
}

fn offset_of(line: &str) -> Option<u64> {
    let rest = line.split("event=config_in_force offset=").nth(1)?;
    rest.split(' ').next()?.parse().ok()
}

fn rollout_revision(testbed: &Testbed) -> eyre::Result<u64> {
    let output = testbed.ctl(&["show", "rollout/up"])?;
    let stored: Value = serde_json::from_slice(&output.stdout)?;
    Ok(stored["revision"].as_u64().unwrap_or(0))
}

fn change_record(n: u64, revision: u64) -> Value {
    let share = n % 1000;
    let id = format!("{:016x}{n:016x}", now_ms() as u64);
    json!({
        "type": "change", "id": id, "author": "lab", "reason": "a step of the roll-out", "at": 0,
        "expects": {"rollout/up": revision},
        "put": [{"kind": "rollout", "name": "up", "spec": {"model": "slip", "to": "slip-2", "share": share}}],
    })
}

/// Applies `act` to a side and returns how long the entries connected to it took to detect that.
fn measure_detection(
    testbed: &Testbed,
    host: &str,
    act: impl FnOnce(&DaemonProcess),
) -> eyre::Result<Quantiles> {
    let Some(side) = testbed.daemons.iter().find(|d| d.host == host) else {
        eyre::bail!("no host {host}");
    };
    let entries: Vec<_> = testbed.daemons.iter().filter(|d| d.role == "entry").collect();
    let connected = format!("event=side_connected host={host} ");
    let observers: Vec<_> = entries.iter().filter(|e| e.process.count(&connected) > 0).collect();
    let detection_lines = |e: &DaemonProcess| {
        let events = ["side_suspected", "side_leaving", "side_gone"];
        let lines = e.process.lines();
        let is_match = |l: &&String| {
            l.contains(&format!("host={host}")) && events.iter().any(|n| l.contains(n))
        };
        lines.iter().filter(is_match).map(String::clone).collect::<Vec<_>>()
    };
    let before: Vec<_> = observers.iter().map(|e| detection_lines(e).len()).collect();
    let since_ms = now_ms();
    act(side);
    wait(|| observers.iter().zip(&before).all(|(e, n)| detection_lines(e).len() > *n))?;
    let times: Vec<_> = observers
        .iter()
        .zip(&before)
        .filter_map(|(e, n)| millis_after(since_ms, &detection_lines(e)[*n]))
        .collect();
    Ok(quantiles(&times))
}

/// Kills a tenth of the daemons, sides only, and restarts them. Returns the milliseconds until all
/// had a configuration in force and a peer connection again, their number, and the log reads
/// meanwhile.
fn restart_sides(testbed: &mut Testbed, size: usize) -> eyre::Result<(f64, usize, u64)> {
    let hosts: Vec<_> = testbed
        .daemons
        .iter()
        .filter(|d| d.role == "side" && !["gpu-0", "gpu-1", "gpu-2"].contains(&d.host.as_str()))
        .take((size / 10).max(1))
        .map(|d| (d.host.clone(), d.domain.clone()))
        .collect();
    let reads = || -> eyre::Result<u64> {
        Ok(get(testbed.log.addr, "/counts")?["reads"].as_u64().unwrap_or(0))
    };
    let before = reads()?;
    for daemon in testbed.daemons.iter().filter(|d| hosts.iter().any(|(h, _)| *h == d.host)) {
        daemon.process.kill();
    }
    let killed_at = Instant::now();
    let engine = testbed.backends[0].addr;
    for (host, domain) in &hosts {
        let backend = json!([{"name": "engine-0", "address": engine, "kind": "engine"}]);
        let queue = json!({"load_every_ms": 5_000});
        testbed.daemon("side", host, domain, &json!({"backends": backend, "queue": queue}))?;
    }
    testbed.list_hosts_in_pools(POOLS)?;
    let is_back = |host: &str| {
        let daemon = testbed.daemons.iter().find(|d| d.host == host);
        daemon.is_some_and(|d| {
            d.process.count("event=config_in_force") > 0
                && d.process.count("event=peer_connected") > 0
        })
    };
    wait(|| hosts.iter().all(|(host, _)| is_back(host)))?;
    let took = killed_at.elapsed().as_secs_f64() * 1000.0;
    let after = get(testbed.log.addr, "/counts")?["reads"].as_u64().unwrap_or(0);
    Ok((took, hosts.len(), after - before))
}
