//! Counts the bad answers of a faulty new version, by rollout policy.

use std::path::Path;
use std::time::Duration;

use redwingfold::load::{Pace, Summary, run_load};
use serde::Serialize;
use serde_json::{Value, json};

use crate::report::{print_table, write_json};
use crate::testbed::Testbed;
use crate::trial::{EngineKind, answers_by, customers, load, mean_max, set_faults, start};

/// Bad answers per 1,000 requests of the current version.
const BASE_BAD_PER_MILLE: u64 = 20;

/// Additional bad answers per 1,000 requests of the new version.
const EXTRA_BAD_PER_MILLE: [u64; 3] = [50, 200, 800];

const FAST_ENGINE: EngineKind = EngineKind { slots: 64, token_ms: 0, prefill_ms: 0 };
const CALLERS: usize = 8;

struct Policy {
    name: &'static str,
    share_per_mille: u64,
    steps_per_mille: &'static [u64],
    is_tested: bool,
}

const POLICIES: [Policy; 4] = [
    Policy { name: "no canary", share_per_mille: 1000, steps_per_mille: &[], is_tested: false },
    Policy {
        name: "fixed 10% canary",
        share_per_mille: 100,
        steps_per_mille: &[],
        is_tested: false,
    },
    Policy {
        name: "all traffic, tested",
        share_per_mille: 1000,
        steps_per_mille: &[],
        is_tested: true,
    },
    Policy {
        name: "steps 1, 10, 100%, tested",
        share_per_mille: 10,
        steps_per_mille: &[10, 100, 1000],
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
    for extra_bad in EXTRA_BAD_PER_MILLE {
        for policy in &POLICIES {
            rows.push(measure(policy, extra_bad, Duration::from_secs_f64(seconds), seeds)?);
        }
    }
    let mut cells = Vec::new();
    for row in &rows {
        let rate = |r: &Row| {
            r.bad.iter().sum::<usize>() as f64 / r.requests.iter().sum::<usize>().max(1) as f64
        };
        let no_canary =
            rows.iter().find(|r| r.policy == "no canary" && r.drop_per_mille == row.drop_per_mille);
        let (mean, max) = mean_max(&row.bad.iter().map(|n| *n as f64).collect::<Vec<_>>());
        let (requests, _) = mean_max(&row.requests.iter().map(|n| *n as f64).collect::<Vec<_>>());
        cells.push(vec![
            row.policy.to_owned(),
            format!("{}%", row.drop_per_mille as f64 / 10.0),
            format!("{requests:.0}"),
            format!("{mean:.0}"),
            format!("{max:.0}"),
            format!("{:.3}", rate(row) / no_canary.map_or(1.0, rate).max(1e-9)),
            format!("{} of {}", row.stopped, row.bad.len()),
        ]);
    }
    let head =
        ["policy", "worse by", "requests", "bad answers, mean", "max", "of no canary", "stopped"];
    print_table(&head, &cells);
    write_json(out, "exposure", &json!({"rows": rows, "base_bad_per_mille": BASE_BAD_PER_MILLE}))?;
    Ok(true)
}

fn measure(policy: &Policy, extra_bad: u64, window: Duration, seeds: u64) -> eyre::Result<Row> {
    let mut row = Row {
        policy: policy.name,
        drop_per_mille: extra_bad,
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
        let testbed = start(2, 2, FAST_ENGINE, "slip-1,slip-2", &settings, &objects(policy))?;
        set_faults(
            &testbed,
            &json!({"bad": {"slip-1": BASE_BAD_PER_MILLE, "slip-2": BASE_BAD_PER_MILLE + extra_bad}}),
        )?;
        let load = load(&testbed, "ani", "slip", 4, Pace::Callers(CALLERS), window, seed)?;
        let samples = smol::block_on(run_load(&load));
        let (by_new, bad) = answers_by(&testbed, "slip-2")?;
        row.requests.push(Summary::of(&samples).whole);
        row.by_new.push(by_new);
        row.bad.push(bad);
        row.stopped += usize::from(is_withdrawn(&testbed)?);
    }
    Ok(row)
}

fn is_withdrawn(testbed: &Testbed) -> eyre::Result<bool> {
    let output = testbed.ctl(&["show", "version/slip-2"])?;
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
            "model": "slip", "to": "slip-2", "share": policy.share_per_mille, "steps": policy.steps_per_mille,
            "per_step": 50, "allowed_bad": 100,
        }}),
        json!({"kind": "grant", "name": "all", "spec": {"callers": "org=all", "versions": "model=slip"}}),
    ]);
    Value::from(objects)
}
