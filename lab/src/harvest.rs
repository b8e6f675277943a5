//! Measures fairness while two of ten customers send five times the capacity of the engines.

use std::path::Path;
use std::time::Duration;

use redwingfold::load::{Load, Pace, Quantiles, Sample, run_load};
use serde::Serialize;
use serde_json::{Value, json};

use crate::report::{print_table, write_json};
use crate::trial::{EngineKind, customers, load, start};

const SMALL: usize = 8;
const ENGINES: usize = 2;
const KIND: EngineKind = EngineKind { slots: 8, token_ms: 4, prefill_ms: 2 };
const TOKENS: u64 = 16;

/// Concurrent callers of the probe that measures the capacity of the engines before the other
/// loads.
const PROBE_CALLERS: usize = 64;
const PROBE: Duration = Duration::from_secs(4);

/// Load of each small customer, as a fraction of the capacity.
const QUIET_PART: f64 = 0.04;

/// Load of the two large customers together during the burst, as a multiple of the capacity.
const BURST_PART: f64 = 5.0;

#[derive(Debug, Serialize)]
struct Part {
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
        let quiet = parts[0].took.p95;
        for part in &parts {
            rows.push(vec![
                seed.to_string(),
                format!("{capacity:.0}"),
                part.name.to_owned(),
                part.requests.to_string(),
                part.refused.to_string(),
                format!("{:.0} ms", part.took.p50),
                format!("{:.0} ms", part.took.p95),
                format!("{:.2}", part.took.p95 / quiet),
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

fn measure(window: Duration, seed: u64) -> eyre::Result<(f64, Vec<Part>)> {
    let mut names: Vec<_> = (0..SMALL).map(|n| format!("small-{n}")).collect();
    names.extend(["large-0".to_owned(), "large-1".to_owned(), "probe".to_owned()]);
    let settings = json!({"limits": {"requests": 5000, "connections": 9000}});
    let world = start(1, ENGINES, KIND, "slip-1", &settings, &objects(&names))?;
    let make = |who: &str, pace, span, n: u64| {
        load(&world, who, "slip", TOKENS, pace, span, seed * 100 + n)
    };
    let probe = make("probe", Pace::Callers(PROBE_CALLERS), PROBE, 99)?;
    let done = smol::block_on(run_load(&probe)).iter().filter(|s| s.is_complete).count();
    let capacity = done as f64 / PROBE.as_secs_f64();
    let quiet = |span: Duration| -> eyre::Result<Vec<Load>> {
        let rate = Pace::Rate(capacity * QUIET_PART);
        (0..SMALL).map(|n| make(&format!("small-{n}"), rate, span, n as u64)).collect()
    };
    let before = together(&quiet(window)?)?;
    let mut loads = quiet(window)?;
    for n in 0..2 {
        let rate = Pace::Rate(capacity * BURST_PART / 2.0);
        loads.push(make(&format!("large-{n}"), rate, window, 50 + n)?);
    }
    let mut during = together(&loads)?;
    let large = during.split_off(SMALL);
    let after = together(&quiet(window / 2)?)?;
    Ok((
        capacity,
        vec![
            part("eight others, quiet", &before),
            part("eight others, burst", &during),
            part("two large, burst", &large),
            part("eight others, after", &after),
        ],
    ))
}

/// Runs all loads concurrently.
fn together(loads: &[Load]) -> eyre::Result<Vec<Vec<Sample>>> {
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

fn part(name: &'static str, samples: &[Vec<Sample>]) -> Part {
    let all = || samples.iter().flatten();
    Part {
        name,
        requests: all().count(),
        whole: all().filter(|s| s.is_complete).count(),
        refused: all().filter(|s| !s.is_complete).count(),
        took: Quantiles::of(all().filter(|s| s.is_complete).map(|s| s.total_time)),
    }
}
