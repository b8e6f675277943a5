//! Checks that a log outage under load loses and duplicates no bills.

use std::path::Path;
use std::time::Duration;

use redwingfold::load::{Pace, run_load};
use serde_json::{Value, json};

use crate::report::write_json;
use crate::testbed::{get, post, wait};
use crate::trial::{EngineKind, customers, load, start};

/// Requests per second.
const RATE: f64 = 50.0;
/// Length of the load before the outage, and again after it.
const LEAD_TIME: Duration = Duration::from_secs(5);
const FAST_ENGINE: EngineKind = EngineKind { slots: 64, token_ms: 0, prefill_ms: 0 };

/// Runs the experiment, prints the result and writes it as JSON. Returns whether every request
/// completed and was billed exactly once.
pub(crate) fn outage(seconds: f64, out: &Path) -> eyre::Result<bool> {
    let mut objects = customers(&["ani".to_owned()]);
    objects.extend([
        json!({"kind": "model", "name": "slip", "spec": {"current": "slip-1"}}),
        json!({"kind": "version", "name": "slip-1", "spec": {"model": "slip", "cost_per_ktok": 1, "quality": 900}}),
        json!({"kind": "grant", "name": "all", "spec": {"callers": "org=all", "versions": "model=slip"}}),
    ]);
    let testbed = start(2, 3, FAST_ENGINE, "slip-1", &json!({}), &Value::from(objects))?;
    let outage_length = Duration::from_secs_f64(seconds);
    let total = LEAD_TIME + outage_length + LEAD_TIME;
    let load = load(&testbed, "ani", "slip", 4, Pace::Rate(RATE), total, 1)?;
    let load_thread = std::thread::spawn(move || smol::block_on(run_load(&load)));
    std::thread::sleep(LEAD_TIME);
    let counts = || get(testbed.log.addr, "/counts");
    let before = counts()?;
    post(testbed.log.addr, "/control", &json!({"outage": true}))?;
    std::thread::sleep(outage_length);
    let status: Vec<Value> = serde_json::from_slice(&testbed.ctl(&["status", "--json"])?.stdout)?;
    let unconfirmed: Vec<_> = status
        .iter()
        .map(|d| json!({"host": d["host"], "unconfirmed": d["unconfirmed_bills"]}))
        .collect();
    post(testbed.log.addr, "/control", &json!({"outage": false}))?;
    let samples = load_thread.join().map_err(|_| eyre::eyre!("the load thread panicked"))?;
    let whole = samples.iter().filter(|s| s.is_complete).count();
    let billed = || -> eyre::Result<u64> {
        let output = testbed.ctl(&["bills", "--json"])?;
        let sums: Value = serde_json::from_slice(&output.stdout)?;
        Ok(sums["bills"][0]["requests"].as_u64().unwrap_or(0))
    };
    let caught_up = wait(|| billed().is_ok_and(|n| n >= whole as u64));
    let billed = billed()?;
    let after = counts()?;
    let result = json!({
        "outage_seconds": seconds, "rate": RATE, "requests": samples.len(), "whole": whole,
        "billed": billed, "caught_up": caught_up.is_ok(), "unconfirmed_at_the_end": unconfirmed,
        "appends_before": before["appends"], "appends_after": after["appends"],
    });
    println!("{}", serde_json::to_string_pretty(&result)?);
    write_json(out, "outage", &result)?;
    Ok(billed == whole as u64 && whole == samples.len())
}
