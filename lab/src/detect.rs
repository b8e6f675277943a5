//! Compares suspecting a host at the first missed heartbeat with waiting for three.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{JoinHandle, sleep};
use std::time::{Duration, Instant};

use redwingfold::load::{Load, Pace, RequestShape, Sample, run_load};
use redwingfold_standins::UdpProxy;
use redwingfold_standins::fleet::key_of;
use serde::Serialize;
use serde_json::json;

use crate::objects::one_model;
use crate::report::{print_table, write_json};
use crate::testbed::{Testbed, post};

const SIDES: usize = 4;

/// Requests per second.
const RATE: f64 = 200.0;

/// Slower requests count as affected by the silenced host. Without the fault, no request takes a
/// fifth of this.
const SLOW_THRESHOLD: Duration = Duration::from_millis(250);

/// Processor loads of the machine at which false alarms are counted, in percent.
const CPU_LOADS_PERCENT: [u64; 3] = [0, 60, 90];

#[derive(Clone, Debug, Serialize)]
struct Row {
    misses: u32,
    /// Number of requests slower than [`SLOW_THRESHOLD`], by round.
    slow: Vec<usize>,
    failed: Vec<usize>,
    /// The longest request of all rounds, in milliseconds.
    longest_ms: f64,
    /// Suspicions of healthy hosts, by processor load of the machine.
    false_alarms: Vec<usize>,
    /// Time for which false alarms were counted at each processor load.
    seconds: f64,
}

/// Measures both policies one after the other, prints a table and writes the rows as JSON.
pub(crate) fn detect(seconds: f64, rounds: usize, out: &Path) -> eyre::Result<bool> {
    let mut rows = Vec::new();
    for misses in [1, 3] {
        rows.push(measure(misses, Duration::from_secs_f64(seconds), rounds)?);
    }
    let head = [
        "misses",
        "slow requests a round",
        "failed",
        "longest",
        "false alarms idle",
        "at 60%",
        "at 90%",
    ];
    let cells: Vec<_> = rows
        .iter()
        .map(|r| {
            vec![
                r.misses.to_string(),
                format!("{:?}", r.slow),
                format!("{:?}", r.failed),
                format!("{:.0} ms", r.longest_ms),
                r.false_alarms[0].to_string(),
                r.false_alarms[1].to_string(),
                r.false_alarms[2].to_string(),
            ]
        })
        .collect();
    print_table(&head, &cells);
    write_json(out, "detect", &json!({"rows": rows, "rate": RATE}))?;
    Ok(true)
}

fn measure(misses: u32, window: Duration, rounds: usize) -> eyre::Result<Row> {
    let mut names = vec!["entry-1".to_owned()];
    names.extend((0..SIDES).map(|n| format!("gpu-{n}")));
    let mut testbed = Testbed::start(&names)?;
    for n in 0..SIDES {
        let args = ["engine", "--versions", "slip-1", "--slots", "64"];
        let engine = testbed.backend(&format!("engine-{n}"), &args)?;
        let backend =
            json!([{"name": "engine-0", "address": engine, "kind": "engine", "slots": 64}]);
        let domain = format!("hall-{n}");
        testbed.daemon("side", &format!("gpu-{n}"), &domain, &json!({"backends": backend}))?;
    }
    let overrides = json!({
        "heartbeat": {"misses": misses, "dead_misses": 6},
        "retry": {"budget_per_mille": 500, "budget_max": 500},
    });
    testbed.daemon("entry", "entry-1", "hall-0", &overrides)?;
    let silenced = testbed.daemons.iter_mut().find(|d| d.host == "gpu-0");
    let Some(side) = silenced else { eyre::bail!("host gpu-0 is missing") };
    let proxy = UdpProxy::start(side.peer_addr)?;
    side.peer_addr = proxy.addr;
    testbed.list_hosts()?;
    testbed.publish_json(&one_model())?;
    testbed.wait_ready(SIDES)?;
    sleep(Duration::from_secs(2));
    let (mut slow, mut failed, mut longest) = (Vec::new(), Vec::new(), Duration::ZERO);
    for round in 0..rounds {
        let load = load(&testbed, round as u64, Duration::from_secs(6))?;
        let load_thread = std::thread::spawn(move || smol::block_on(run_load(&load)));
        sleep(Duration::from_secs(2));
        proxy.silence_flows();
        let samples = load_thread.join().map_err(|_| eyre::eyre!("the load thread panicked"))?;
        let is_slow = |s: &&Sample| s.total_time > SLOW_THRESHOLD;
        slow.push(samples.iter().filter(is_slow).count());
        failed.push(samples.iter().filter(|s| !s.is_complete).count());
        longest = samples.iter().map(|s| s.total_time).fold(longest, Duration::max);
    }
    let mut false_alarms = Vec::new();
    for percent in CPU_LOADS_PERCENT {
        let entry = testbed.daemons.iter().find(|d| d.role == "entry");
        let suspected = || entry.map_or(0, |e| e.process.count("event=side_suspected"));
        let before = suspected();
        let cpu_load = start_cpu_load(percent);
        let load = load(&testbed, 100 + percent, window)?;
        smol::block_on(run_load(&load));
        cpu_load.stop();
        false_alarms.push(suspected() - before);
    }
    Ok(Row {
        misses,
        slow,
        failed,
        longest_ms: longest.as_secs_f64() * 1000.0,
        false_alarms,
        seconds: window.as_secs_f64(),
    })
}

fn load(testbed: &Testbed, seed: u64, duration: Duration) -> eyre::Result<Load> {
    let shape = RequestShape {
        model: "slip".to_owned(),
        key: Some(key_of("ani")),
        prompt_chars: 200,
        // Nearly every prompt has a prefix of its own, as a warm cache would route requests away
        // from the silenced side.
        prefixes: 1_000_000,
        tokens: 8,
        stream: false,
        headers: Vec::new(),
    };
    // Clears the engines' histories, which would otherwise grow for the whole experiment.
    for backend in &testbed.backends {
        post(backend.addr, "/forget", &json!({}))?;
    }
    Ok(Load { addr: testbed.entry()?, shape, pace: Pace::Rate(RATE), duration, seed })
}

/// Threads that keep every core partly busy.
struct CpuLoad {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl CpuLoad {
    fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().ok();
        }
    }
}

fn start_cpu_load(percent: u64) -> CpuLoad {
    const SLICE: Duration = Duration::from_millis(10);
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let stop = Arc::new(AtomicBool::new(percent == 0));
    let busy = SLICE * percent as u32 / 100;
    let threads = (0..cores).map(|_| {
        let stop = stop.clone();
        std::thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let started = Instant::now();
                while started.elapsed() < busy {
                    std::hint::spin_loop();
                }
                sleep(SLICE.saturating_sub(busy));
            }
        })
    });
    let threads = threads.collect();
    CpuLoad { stop, threads }
}
