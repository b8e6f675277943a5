//! Measures the latency that the router adds to a direct engine call, and the throughput per core.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use redwingfold::load::{Load, Pace, ProcUsage, RequestShape, Summary, proc_usage, run_load};
use redwingfold_standins::fleet::key_of;
use serde::Serialize;
use serde_json::{Value, json};

use crate::objects::one_model_with;
use crate::report::{print_table, write_json};
use crate::testbed::Testbed;

#[derive(Debug, Serialize)]
struct Row {
    what: String,
    callers: usize,
    stream: bool,
    direct: Summary,
    routed: Summary,
    entry_cores: f64,
    side_cores: f64,
    routed_per_core: f64,
    tokens_per_core: f64,
}

#[derive(Debug, Serialize)]
struct Memory {
    entry_idle: u64,
    side_idle: u64,
    entry_streams: u64,
    side_streams: u64,
    streams: usize,
}

/// Concurrent streams while memory is measured.
const STREAMS: usize = 1_000;

/// Tokens per stream while memory is measured. An engine with 1,000 streams takes about 0.1 s per
/// token, so the streams outlive the measurement.
const TOKENS_PER_STREAM: u64 = 100;

/// Runs the experiment, prints tables and writes the results as JSON.
pub(crate) fn overhead(seconds: f64, out: &Path) -> eyre::Result<bool> {
    let mut testbed = Testbed::start(&["entry-1".to_owned(), "gpu-1".to_owned()])?;
    let args = [
        "engine",
        "--versions",
        "slip-1",
        "--slots",
        "2000",
        "--token-ms",
        "0",
        "--prefill-ms",
        "0",
    ];
    let engine = testbed.backend("gpu-1", &args)?;
    let slow =
        testbed.backend("gpu-1-slow", &["engine", "--versions", "slow-1", "--slots", "2000"])?;
    let backend = json!([
        {"name": "engine-0", "address": engine, "kind": "engine", "slots": 2000},
        {"name": "engine-1", "address": slow, "kind": "engine", "slots": 2000},
    ]);
    let queue = json!({"max_waiting": 4000, "max_per_customer": 4000});
    testbed.daemon("side", "gpu-1", "hall-a", &json!({"backends": backend, "queue": queue}))?;
    let limits = json!({"limits": {"requests": 4000}});
    testbed.daemon("entry", "entry-1", "hall-a", &limits)?;
    testbed.list_hosts()?;
    testbed.publish_json(&objects())?;
    testbed.wait_ready(1)?;
    let mut rows = Vec::new();
    for stream in [false, true] {
        for callers in [1, 64] {
            rows.push(compare(&testbed, engine, callers, stream, seconds)?);
        }
    }
    let memory = memory(&testbed, slow)?;
    print_rows(&rows, &memory);
    write_json(out, "overhead", &json!({"rows": rows, "memory": memory}))?;
    Ok(true)
}

fn objects() -> Value {
    let version = json!({"model": "slow", "cost_per_ktok": 1, "quality": 900});
    one_model_with(&[
        json!({"kind": "model", "name": "slow", "spec": {"current": "slow-1"}}),
        json!({"kind": "version", "name": "slow-1", "spec": version}),
    ])
}

fn load(
    testbed: &Testbed,
    routed: bool,
    engine: SocketAddr,
    callers: usize,
    stream: bool,
    seconds: f64,
) -> eyre::Result<Load> {
    let shape = RequestShape {
        model: if routed { "slip" } else { "slip-1" }.to_owned(),
        key: routed.then(|| key_of("ani")),
        prompt_chars: 200,
        prefixes: 16,
        tokens: 32,
        stream,
        headers: Vec::new(),
    };
    Ok(Load {
        addr: if routed { testbed.entry()? } else { engine },
        shape,
        pace: Pace::Callers(callers),
        duration: Duration::from_secs_f64(seconds),
        seed: 1,
    })
}

fn usage(testbed: &Testbed, role: &str) -> eyre::Result<ProcUsage> {
    let daemon = testbed.daemons.iter().find(|d| d.role == role);
    proc_usage(daemon.map_or(0, |d| d.process.id()))
}

/// Sends the same load directly and through the router. The two alternate, so that other load on
/// the machine affects both alike.
fn compare(
    testbed: &Testbed,
    engine: SocketAddr,
    callers: usize,
    stream: bool,
    seconds: f64,
) -> eyre::Result<Row> {
    const TURNS: usize = 4;
    let (mut direct, mut routed) = (Vec::new(), Vec::new());
    let mut cpu = [Duration::ZERO; 2];
    for _ in 0..TURNS {
        let part = seconds / TURNS as f64;
        direct.extend(smol::block_on(run_load(&load(
            testbed, false, engine, callers, stream, part,
        )?)));
        let before = [usage(testbed, "entry")?.cpu, usage(testbed, "side")?.cpu];
        routed
            .extend(smol::block_on(run_load(&load(testbed, true, engine, callers, stream, part)?)));
        let after = [usage(testbed, "entry")?.cpu, usage(testbed, "side")?.cpu];
        for i in 0..2 {
            cpu[i] += after[i] - before[i];
        }
    }
    let whole = routed.iter().filter(|s| s.is_complete).count() as f64;
    let tokens: u64 = routed.iter().filter(|s| s.is_complete).map(|s| s.tokens).sum();
    let busy = (cpu[0] + cpu[1]).as_secs_f64().max(0.001);
    let (mut direct, mut routed) = (Summary::of(&direct), Summary::of(&routed));
    // The samples of each turn count time from the start of that turn, so rates over all turns are
    // computed here.
    for summary in [&mut direct, &mut routed] {
        summary.per_second = summary.whole as f64 / seconds;
        summary.tokens_per_second /= TURNS as f64;
    }
    Ok(Row {
        what: format!("{} callers, {}", callers, if stream { "streamed" } else { "whole" }),
        callers,
        stream,
        direct,
        routed,
        entry_cores: cpu[0].as_secs_f64() / seconds,
        side_cores: cpu[1].as_secs_f64() / seconds,
        routed_per_core: whole / busy,
        tokens_per_core: tokens as f64 / busy,
    })
}

fn memory(testbed: &Testbed, engine: SocketAddr) -> eyre::Result<Memory> {
    let idle = [usage(testbed, "entry")?.resident, usage(testbed, "side")?.resident];
    let mut load = load(testbed, true, engine, STREAMS, true, 0.1)?;
    load.shape.tokens = TOKENS_PER_STREAM;
    load.shape.model = "slow".to_owned();
    let load_thread = std::thread::spawn(move || smol::block_on(run_load(&load)).len());
    let status = || crate::testbed::get(engine, "/v1/load");
    crate::testbed::wait(|| {
        status().is_ok_and(|l| l["running"].as_u64() >= Some(STREAMS as u64 * 9 / 10))
    })?;
    let busy = [usage(testbed, "entry")?.resident, usage(testbed, "side")?.resident];
    load_thread.join().map_err(|_| eyre::eyre!("the load thread panicked"))?;
    Ok(Memory {
        entry_idle: idle[0],
        side_idle: idle[1],
        entry_streams: busy[0],
        side_streams: busy[1],
        streams: STREAMS,
    })
}

fn print_rows(rows: &[Row], memory: &Memory) {
    let head = [
        "load",
        "direct p50",
        "routed p50",
        "ratio",
        "added",
        "direct p99",
        "routed p99",
        "ratio",
        "requests/s",
        "per core",
        "tokens/s/core",
    ];
    let table_row = |what: &str,
                     row: &Row,
                     direct: &redwingfold::load::Quantiles,
                     routed: &redwingfold::load::Quantiles| {
        vec![
            format!("{}, {what}", row.what),
            format!("{:.2} ms", direct.p50),
            format!("{:.2} ms", routed.p50),
            format!("{:.2}", routed.p50 / direct.p50),
            format!("{:.2} ms", routed.p50 - direct.p50),
            format!("{:.2} ms", direct.p99),
            format!("{:.2} ms", routed.p99),
            format!("{:.2}", routed.p99 / direct.p99),
            format!("{:.0}", row.routed.per_second),
            format!("{:.0}", row.routed_per_core),
            format!("{:.0}", row.tokens_per_core),
        ]
    };
    let mut cells = Vec::new();
    for row in rows {
        cells.push(table_row("first byte", row, &row.direct.first, &row.routed.first));
        cells.push(table_row("whole", row, &row.direct.took, &row.routed.took));
    }
    print_table(&head, &cells);
    let mib = |bytes: u64| format!("{:.1} MiB", bytes as f64 / 1_048_576.0);
    print_table(
        &["memory", "entry", "side"],
        &[
            vec!["idle after the loads".into(), mib(memory.entry_idle), mib(memory.side_idle)],
            vec![
                format!("{} open streams", memory.streams),
                mib(memory.entry_streams),
                mib(memory.side_streams),
            ],
        ],
    );
}
