//! Measures fairness while two of ten customers send five times the capacity of the engines.

use std::path::Path;
use std::time::Duration;

use redwingfold::load::{Load, Pace, Quantiles, Sample, run_load};
use serde::Serialize;
use serde_json::{Value, json};

use crate::report::{print_table, write_json};
use crate::trial::{EngineKind, customers, load, start};

const SMALL_CUSTOMERS: usize = 8;
const ENGINES: usize = 2;
const ENGINE_KIND: EngineKind = EngineKind { slots: 8, token_ms: 4, prefill_ms: 2 };
const TOKENS: u64 = 16;

/// Concurrent callers of the probe that measures the capacity of the engines before the other
/// loads.
const PROBE_CALLERS: usize = 64;
const PROBE_DURATION: Duration = Duration::from_secs(4);

/// Load of each small customer, as a fraction of the capacity.
const SMALL_LOAD_FRACTION: f64 = 0.04;

/// Load of the two large customers together during the burst, as a multiple of the capacity.
const BURST_LOAD_MULTIPLE: f64 = 5.0;

#[derive(Debug, Serialize)]
struct GroupResult {
    name: &'static str,
    requests: usize,
    whole: usize,
    refused: usize,
    took: Quantiles,
}

/// Runs the experiment once per seed, prints a table and writes the results as JSON.
pub(crate) fn harvest(seconds: f64, seeds: u64, out: &Path) -> eyre::Result<bool> {
    let mut results = Vec::new();
    let mut rows = Vec::new();
    for seed in 1..=seeds {
        let (capacity, parts) = measure(Duration::from_secs_f64(seconds), seed)?;
        let quiet_p95 = parts[0].took.p95;
        for part in &parts {
            rows.push(vec![
                seed.to_string(),
                format!("{capacity:.0}"),
                part.name.to_owned(),
                part.requests.to_string(),
                part.refused.to_string(),
                format!("{:.0} ms", part.took.p50),
                format!("{:.0} ms", part.took.p95),
                format!("{:.2}", part.took.p95 / quiet_p95),
            ]);
        }
        results.push(json!({"seed": seed, "capacity": capacity, "parts": parts}));
    }
    let head = ["seed", "capacity/s", "who", "requests", "refused", "p50", "p95", "of quiet p95"];
    print_table(&head, &rows);
    write_json(out, "harvest", &results)?;
    Ok(true)
}

fn objects(names: &[String]) -> Value {
    let mut objects = customers(names);
    objects.extend([
        json!({"kind": "model", "name": "slip", "spec": {"current": "slip-1"}}),
        json!({"kind": "version", "name": "slip-1", "spec": {"model": "slip", "cost_per_ktok": 1, "quality": 900}}),
        json!({"kind": "grant", "name": "all", "spec": {"callers": "org=all", "versions": "model=slip"}}),
    ]);
    Value::from(objects)
}

fn measure(window: Duration, seed: u64) -> eyre::Result<(f64, Vec<GroupResult>)> {
    let mut names: Vec<_> = (0..SMALL_CUSTOMERS).map(|n| format!("small-{n}")).collect();
    names.extend(["large-0".to_owned(), "large-1".to_owned(), "probe".to_owned()]);
    let settings = json!({"limits": {"requests": 5000, "connections": 9000}});
    let testbed = start(1, ENGINES, ENGINE_KIND, "slip-1", &settings, &objects(&names))?;
    let customer_load = |who: &str, pace, span, n: u64| {
        load(&testbed, who, "slip", TOKENS, pace, span, seed * 100 + n)
    };
    let probe = customer_load("probe", Pace::Callers(PROBE_CALLERS), PROBE_DURATION, 99)?;
    let done = smol::block_on(run_load(&probe)).iter().filter(|s| s.is_complete).count();
    let capacity = done as f64 / PROBE_DURATION.as_secs_f64();
    let small_loads = |span: Duration| -> eyre::Result<Vec<Load>> {
        let rate = Pace::Rate(capacity * SMALL_LOAD_FRACTION);
        (0..SMALL_CUSTOMERS)
            .map(|n| customer_load(&format!("small-{n}"), rate, span, n as u64))
            .collect()
    };
    let before = run_concurrently(&small_loads(window)?)?;
    let mut loads = small_loads(window)?;
    for n in 0..2 {
        let rate = Pace::Rate(capacity * BURST_LOAD_MULTIPLE / 2.0);
        loads.push(customer_load(&format!("large-{n}"), rate, window, 50 + n)?);
    }
    let mut during = run_concurrently(&loads)?;
    let large = during.split_off(SMALL_CUSTOMERS);
    let after = run_concurrently(&small_loads(window / 2)?)?;
    Ok((
        capacity,
        vec![
            group_result("eight others, quiet", &before),
            group_result("eight others, burst", &during),
            group_result("two large, burst", &large),
            group_result("eight others, after", &after),
        ],
    ))
}

/// Runs all loads concurrently.
fn run_concurrently(loads: &[Load]) -> eyre::Result<Vec<Vec<Sample>>> {
    let threads: Vec<_> = loads
        .iter()
        .cloned()
        .map(|load| std::thread::spawn(move || smol::block_on(run_load(&load))))
        .collect();
    let join = |t: std::thread::JoinHandle<Vec<Sample>>| {
        t.join().map_err(|_| eyre::eyre!("a load thread panicked"))
    };
    threads.into_iter().map(join).collect()
}

fn group_result(name: &'static str, samples: &[Vec<Sample>]) -> GroupResult {
    let all = || samples.iter().flatten();
    GroupResult {
        name,
        requests: all().count(),
        whole: all().filter(|s| s.is_complete).count(),
        refused: all().filter(|s| !s.is_complete).count(),
        took: Quantiles::of(all().filter(|s| s.is_complete).map(|s| s.total_time)),
    }
}
