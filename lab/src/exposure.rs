//! Counts the bad answers of a faulty new version, by rollout policy.

use std::path::Path;
use std::time::Duration;

use redwingfold::load::{Pace, Summary, run_load};
use serde::Serialize;
use serde_json::{Value, json};

use crate::report::{print_table, write_json};
use crate::trial::{EngineKind, answers_by, customers, load, mean_max, set_faults, start};
use crate::world::World;

/// Bad answers per 1,000 requests of the current version.
const BASE: u64 = 20;

/// Additional bad answers per 1,000 requests of the new version.
const DROPS: [u64; 3] = [50, 200, 800];

const FAST: EngineKind = EngineKind { slots: 64, token_ms: 0, prefill_ms: 0 };
const CALLERS: usize = 8;

struct Policy {
    name: &'static str,
    share: u64,
    steps: &'static [u64],
    is_tested: bool,
}

const POLICIES: [Policy; 4] = [
    Policy { name: "no canary", share: 1000, steps: &[], is_tested: false },
    Policy { name: "fixed 10% canary", share: 100, steps: &[], is_tested: false },
    Policy { name: "all traffic, tested", share: 1000, steps: &[], is_tested: true },
    Policy {
        name: "steps 1, 10, 100%, tested",
        share: 10,
        steps: &[10, 100, 1000],
        is_tested: true,
    },
];

#[derive(Debug, Serialize)]
struct Row {
    policy: &'static str,
    drop_per_mille: u64,
    requests: Vec<usize>,
    by_new: Vec<usize>,
    bad: Vec<usize>,
    stopped: usize,
}

/// Runs all policies under the same load, prints a table and writes the rows as JSON.
pub(crate) fn exposure(seconds: f64, seeds: u64, out: &Path) -> eyre::Result<bool> {
    let mut rows = Vec::new();
    for drop in DROPS {
        for policy in &POLICIES {
            rows.push(measure(policy, drop, Duration::from_secs_f64(seconds), seeds)?);
        }
    }
    let mut cells = Vec::new();
    for row in &rows {
        let rate = |r: &Row| {
            r.bad.iter().sum::<usize>() as f64 / r.requests.iter().sum::<usize>().max(1) as f64
        };
        let none =
            rows.iter().find(|r| r.policy == "no canary" && r.drop_per_mille == row.drop_per_mille);
        let (mean, max) = mean_max(&row.bad.iter().map(|n| *n as f64).collect::<Vec<_>>());
        let (requests, _) = mean_max(&row.requests.iter().map(|n| *n as f64).collect::<Vec<_>>());
        cells.push(vec![
            row.policy.to_owned(),
            format!("{}%", row.drop_per_mille as f64 / 10.0),
            format!("{requests:.0}"),
            format!("{mean:.0}"),
            format!("{max:.0}"),
            format!("{:.3}", rate(row) / none.map_or(1.0, rate).max(1e-9)),
            format!("{} of {}", row.stopped, row.bad.len()),
        ]);
    }
    let head =
        ["policy", "worse by", "requests", "bad answers, mean", "max", "of no canary", "stopped"];
    print_table(&head, &cells);
    write_json(out, "exposure", &json!({"rows": rows, "base_bad_per_mille": BASE}))?;
    Ok(true)
}

fn measure(policy: &Policy, drop: u64, window: Duration, seeds: u64) -> eyre::Result<Row> {
    let mut row = Row {
        policy: policy.name,
        drop_per_mille: drop,
        requests: Vec::new(),
        by_new: Vec::new(),
        bad: Vec::new(),
        stopped: 0,
    };
    for seed in 1..=seeds {
        let sample = if policy.is_tested { 1000 } else { 0 };
        let settings = json!({
            "rating": {"sample_per_mille": sample, "rollout_sample_per_mille": sample, "allowed_bad_per_mille": 50},
            "batch": {"every_ms": 500},
        });
        let world = start(2, 2, FAST, "slip-1,slip-2", &settings, &objects(policy))?;
        set_faults(&world, &json!({"bad": {"slip-1": BASE, "slip-2": BASE + drop}}))?;
        let load = load(&world, "ani", "slip", 4, Pace::Callers(CALLERS), window, seed)?;
        let samples = smol::block_on(run_load(&load));
        let (by_new, bad) = answers_by(&world, "slip-2")?;
        row.requests.push(Summary::of(&samples).whole);
        row.by_new.push(by_new);
        row.bad.push(bad);
        row.stopped += usize::from(is_withdrawn(&world)?);
    }
    Ok(row)
}

fn is_withdrawn(world: &World) -> eyre::Result<bool> {
    let output = world.ctl(&["show", "version/slip-2"])?;
    let stored: Value = serde_json::from_slice(&output.stdout)?;
    Ok(!stored["object"]["spec"]["withdrawn_at"].is_null())
}

fn objects(policy: &Policy) -> Value {
    let version = json!({"model": "slip", "cost_per_ktok": 1, "quality": 900});
    let mut objects = customers(&["ani".to_owned()]);
    objects.extend([
        json!({"kind": "model", "name": "slip", "spec": {"current": "slip-1"}}),
        json!({"kind": "version", "name": "slip-1", "spec": version}),
        json!({"kind": "version", "name": "slip-2", "spec": version}),
        json!({"kind": "rollout", "name": "up", "spec": {
            "model": "slip", "to": "slip-2", "share": policy.share, "steps": policy.steps,
            "per_step": 50, "allowed_bad": 100,
        }}),
        json!({"kind": "grant", "name": "all", "spec": {"callers": "org=all", "versions": "model=slip"}}),
    ]);
    Value::from(objects)
}
