//! Measures the time to the first token, by load balancing policy.

use std::path::Path;
use std::time::Duration;

use redwingfold::load::{Load, Pace, Summary, run_load};
use serde_json::{Value, json};

use crate::report::{print_table, write_json};
use crate::trial::{EngineKind, customers, load, start};

const ENGINES: usize = 4;
const ENGINE_KIND: EngineKind = EngineKind { slots: 4, token_ms: 3, prefill_ms: 60 };
const TOKENS: u64 = 16;

/// Number of distinct prompt prefixes. They exceed the cache of one engine but fit into the caches
/// of all engines together.
const PREFIXES: usize = 160;
const PROMPT_CHARS: usize = 1500;

/// Loads as fractions of the capacity. The capacity is the throughput of round robin with as many
/// callers as slots.
const LOAD_FRACTIONS: [f64; 3] = [0.5, 0.8, 0.95];

const POLICIES: [&str; 3] = ["round_robin", "least_reported", "expected"];

/// Measures all policies at all loads, prints a table and writes the results as JSON.
pub(crate) fn latency(seconds: f64, seeds: u64, out: &Path) -> eyre::Result<bool> {
    let window = Duration::from_secs_f64(seconds);
    let mut results = Vec::new();
    let mut rows = Vec::new();
    for seed in 1..=seeds {
        let capacity = capacity(seed)?;
        for fraction in LOAD_FRACTIONS {
            let mut p95 = Vec::new();
            for policy in POLICIES {
                let summary = measure(policy, capacity * fraction, window, seed)?;
                p95.push(summary.first.p95);
                rows.push(vec![
                    seed.to_string(),
                    format!("{:.0}%", fraction * 100.0),
                    policy.to_owned(),
                    summary.whole.to_string(),
                    (summary.requests - summary.whole).to_string(),
                    format!("{:.0} ms", summary.first.p50),
                    format!("{:.0} ms", summary.first.p95),
                    format!("{:.0} ms", summary.first.p99),
                    format!("{:.0} ms", summary.longest_gap.p95),
                    format!("{:.2}", summary.first.p95 / p95[0]),
                ]);
                results.push(
                    json!({"seed": seed, "load": fraction, "policy": policy, "summary": summary}),
                );
            }
        }
    }
    let head = [
        "seed",
        "load",
        "policy",
        "whole",
        "refused",
        "first p50",
        "p95",
        "p99",
        "gap p95",
        "p95 of round robin",
    ];
    print_table(&head, &rows);
    write_json(out, "latency", &results)?;
    Ok(true)
}

fn objects() -> Value {
    let mut objects = customers(&["ani".to_owned()]);
    objects.extend([
        json!({"kind": "model", "name": "slip", "spec": {"current": "slip-1"}}),
        json!({"kind": "version", "name": "slip-1", "spec": {"model": "slip", "cost_per_ktok": 1, "quality": 900}}),
        json!({"kind": "grant", "name": "all", "spec": {"callers": "org=all", "versions": "model=slip"}}),
    ]);
    Value::from(objects)
}

fn with_streamed_prompts(mut load: Load) -> Load {
    load.shape.prefixes = PREFIXES;
    load.shape.prompt_chars = PROMPT_CHARS;
    load.shape.stream = true;
    load
}

fn capacity(seed: u64) -> eyre::Result<f64> {
    const PROBE_DURATION: Duration = Duration::from_secs(5);
    let settings = json!({"balance": {"policy": "round_robin"}});
    let testbed = start(1, ENGINES, ENGINE_KIND, "slip-1", &settings, &objects())?;
    let callers = Pace::Callers(ENGINES * ENGINE_KIND.slots);
    let load = with_streamed_prompts(load(
        &testbed,
        "ani",
        "slip",
        TOKENS,
        callers,
        PROBE_DURATION,
        seed,
    )?);
    let done = smol::block_on(run_load(&load)).iter().filter(|s| s.is_complete).count();
    Ok(done as f64 / PROBE_DURATION.as_secs_f64())
}

fn measure(policy: &str, rate: f64, window: Duration, seed: u64) -> eyre::Result<Summary> {
    let settings = json!({"balance": {"policy": policy}});
    let testbed = start(1, ENGINES, ENGINE_KIND, "slip-1", &settings, &objects())?;
    let warm_up = Duration::from_secs(2);
    let warm = with_streamed_prompts(load(
        &testbed,
        "ani",
        "slip",
        TOKENS,
        Pace::Rate(rate),
        warm_up,
        seed + 100,
    )?);
    smol::block_on(run_load(&warm));
    let load = with_streamed_prompts(load(
        &testbed,
        "ani",
        "slip",
        TOKENS,
        Pace::Rate(rate),
        window,
        seed,
    )?);
    Ok(Summary::of(&smol::block_on(run_load(&load))))
}
