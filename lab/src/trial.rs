//! Setup shared by the experiments on routing, billing and rollouts.

use std::time::Duration;

use redwingfold::load::{Load, Pace, RequestShape};
use redwingfold_standins::fleet::key_of;
use serde_json::{Value, json};

use crate::objects::sha256_of;
use crate::testbed::{Testbed, get, post};

/// Parameters of a stand-in engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineKind {
    pub(crate) slots: usize,
    pub(crate) token_ms: u64,
    pub(crate) prefill_ms: u64,
}

/// Starts entries and sides, publishes `objects` and waits until every entry is connected to all
/// sides. Each side has one engine, which serves `versions`.
pub(crate) fn start(
    entries: usize,
    sides: usize,
    kind: EngineKind,
    versions: &str,
    entry_settings: &Value,
    objects: &Value,
) -> eyre::Result<Testbed> {
    let mut names: Vec<_> = (0..entries).map(|n| format!("entry-{n}")).collect();
    names.extend((0..sides).map(|n| format!("gpu-{n}")));
    let mut testbed = Testbed::start(&names)?;
    for n in 0..sides {
        let (slots, token, prefill) =
            (kind.slots.to_string(), kind.token_ms.to_string(), kind.prefill_ms.to_string());
        let args = [
            "engine",
            "--versions",
            versions,
            "--slots",
            &slots,
            "--token-ms",
            &token,
            "--prefill-ms",
            &prefill,
        ];
        let engine = testbed.backend(&format!("engine-{n}"), &args)?;
        let backend = json!([
            {"name": "engine-0", "address": engine, "kind": "engine", "slots": kind.slots},
        ]);
        let domain = format!("hall-{}", n % 3);
        testbed.daemon("side", &format!("gpu-{n}"), &domain, &json!({"backends": backend}))?;
    }
    for n in 0..entries {
        let mut settings = entry_settings.clone();
        if settings["rating"].is_object() {
            settings["rating"]["address"] = json!(testbed.rating.addr);
        }
        testbed.daemon("entry", &format!("entry-{n}"), &format!("hall-{}", n % 3), &settings)?;
    }
    testbed.list_hosts()?;
    testbed.publish_json(objects)?;
    testbed.wait_ready(sides)?;
    Ok(testbed)
}

/// Returns customer objects with the label `org=all` and the default weight, 1.
pub(crate) fn customers(names: &[String]) -> Vec<Value> {
    let customer = |name: &String| json!({"kind": "customer", "name": name, "labels": {"org": "all"}, "spec": {"key_sha256": [sha256_of(name)]}});
    names.iter().map(customer).collect()
}

/// Returns a load that one customer sends to the first entry.
pub(crate) fn load(
    testbed: &Testbed,
    customer: &str,
    model: &str,
    tokens: u64,
    pace: Pace,
    duration: Duration,
    seed: u64,
) -> eyre::Result<Load> {
    let shape = RequestShape {
        model: model.to_owned(),
        key: Some(key_of(customer)),
        prompt_chars: 400,
        prefixes: 16,
        tokens,
        stream: false,
        headers: Vec::new(),
    };
    Ok(Load { addr: testbed.entry()?, shape, pace, duration, seed })
}

/// Injects faults into all engines.
pub(crate) fn set_faults(testbed: &Testbed, faults: &Value) -> eyre::Result<()> {
    for backend in &testbed.backends {
        post(backend.addr, "/control", faults)?;
    }
    Ok(())
}

/// Counts the answers of a version on all engines. Returns the total and the number of bad ones.
pub(crate) fn answers_by(testbed: &Testbed, version: &str) -> eyre::Result<(usize, usize)> {
    let (mut all, mut bad) = (0, 0);
    for backend in &testbed.backends {
        for event in get(backend.addr, "/history")?.as_array().into_iter().flatten() {
            if event["what"] == "end" && event["of"] == version {
                all += 1;
                bad += usize::from(event["detail"] == "bad");
            }
        }
    }
    Ok((all, bad))
}

/// Returns the mean and the maximum.
pub(crate) fn mean_max(values: &[f64]) -> (f64, f64) {
    let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
    (mean, values.iter().copied().fold(0.0, f64::max))
}
