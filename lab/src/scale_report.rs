//! Tables, fits and plots of the scale experiment.

use std::collections::BTreeMap;
use std::path::Path;

use crate::plot::{Fit, Line, fit, plot};
use crate::report::print_table;
use crate::scale::{Cost, SizeResult};

/// Prints the results as tables.
pub(crate) fn print(results: &[SizeResult]) {
    let cost = |c: &Cost| {
        vec![
            format!("{:.2} / {:.2}", c.cpu_mean, c.cpu_max),
            format!("{:.1} / {:.1}", c.memory_mean, c.memory_max),
            format!("{:.0} / {:.0}", c.bytes_mean, c.bytes_max),
        ]
    };
    let head = [
        "daemons",
        "entries",
        "entry core % mean/max",
        "MiB",
        "bytes/s",
        "side core %",
        "MiB",
        "bytes/s",
        "log appends/s",
        "log reads/s",
    ];
    let rows: Vec<_> = results
        .iter()
        .map(|r| {
            let mut row = vec![r.daemons.to_string(), r.entries.to_string()];
            row.extend(cost(&r.idle_entry));
            row.extend(cost(&r.idle_side));
            row.push(format!("{:.2}", r.log_appends_per_second));
            row.push(format!("{:.2}", r.log_reads_per_second));
            row
        })
        .collect();
    println!("idle");
    print_table(&head, &rows);
    let head = [
        "daemons",
        "changes/s",
        "changes",
        "in force p50",
        "p99",
        "max",
        "missing",
        "entry core %",
        "entry bytes/s",
        "side core %",
        "side bytes/s",
    ];
    let rows: Vec<_> = results
        .iter()
        .flat_map(|r| r.propagation.iter().map(move |p| (r.daemons, p)))
        .map(|(daemons, p)| {
            vec![
                daemons.to_string(),
                p.rate.to_string(),
                p.changes.to_string(),
                format!("{:.0} ms", p.in_force_ms.p50),
                format!("{:.0} ms", p.in_force_ms.p99),
                format!("{:.0} ms", p.in_force_ms.max),
                p.missing.to_string(),
                format!("{:.2} / {:.2}", p.entry.cpu_mean, p.entry.cpu_max),
                format!("{:.0} / {:.0}", p.entry.bytes_mean, p.entry.bytes_max),
                format!("{:.2} / {:.2}", p.side.cpu_mean, p.side.cpu_max),
                format!("{:.0} / {:.0}", p.side.bytes_mean, p.side.bytes_max),
            ]
        })
        .collect();
    println!("changes");
    print_table(&head, &rows);
    let head = [
        "daemons",
        "killed max",
        "frozen max",
        "leaving max",
        "restarted",
        "back after",
        "log reads",
    ];
    let rows: Vec<_> = results
        .iter()
        .map(|r| {
            vec![
                r.daemons.to_string(),
                format!("{:.0} ms", r.killed_ms.max),
                format!("{:.0} ms", r.frozen_ms.max),
                format!("{:.0} ms", r.leaving_ms.max),
                r.restarted.to_string(),
                format!("{:.0} ms", r.restart_ms),
                r.restart_log_reads.to_string(),
            ]
        })
        .collect();
    println!("hosts");
    print_table(&head, &rows);
}

fn series(results: &[SizeResult], f: impl Fn(&SizeResult) -> f64) -> Vec<(f64, f64)> {
    results.iter().map(|r| (r.daemons as f64, f(r))).collect()
}

/// Fits each metric as a linear function of the number of daemons.
pub(crate) fn fits(results: &[SizeResult]) -> BTreeMap<String, Fit> {
    let mut fits = BTreeMap::new();
    let mut add = |name: &str, f: &dyn Fn(&SizeResult) -> f64| {
        fits.insert(name.to_owned(), fit(&series(results, f)));
    };
    add("idle entry core %", &|r| r.idle_entry.cpu_mean);
    add("idle side core %", &|r| r.idle_side.cpu_mean);
    add("idle entry bytes/s", &|r| r.idle_entry.bytes_mean);
    add("idle side bytes/s", &|r| r.idle_side.bytes_mean);
    add("idle entry MiB", &|r| r.idle_entry.memory_mean);
    add("idle side MiB", &|r| r.idle_side.memory_mean);
    add("log reads/s", &|r| r.log_reads_per_second);
    add("in force p99 ms at 0.25/s", &|r| r.propagation[0].in_force_ms.p99);
    add("in force p99 ms at 5/s", &|r| r.propagation[1].in_force_ms.p99);
    add("entry core % at 0.25/s", &|r| r.propagation[0].entry.cpu_mean);
    add("entry bytes/s at 0.25/s", &|r| r.propagation[0].entry.bytes_mean);
    add("side bytes/s at 0.25/s", &|r| r.propagation[0].side.bytes_mean);
    add("entry bytes/s at 5/s", &|r| r.propagation[1].entry.bytes_mean);
    add("side core % at 0.25/s", &|r| r.propagation[0].side.cpu_mean);
    fits
}

/// Plots the results as SVG files in `out`.
pub(crate) fn draw(results: &[SizeResult], out: &Path) -> eyre::Result<()> {
    let line = |name: &str, f: &dyn Fn(&SizeResult) -> f64| Line {
        name: name.to_owned(),
        points: series(results, f),
    };
    plot(
        &out.join("scale-bytes.svg"),
        "Control bytes of a daemon when idle",
        "daemons",
        "bytes/s",
        &[line("entry", &|r| r.idle_entry.bytes_mean), line("side", &|r| r.idle_side.bytes_mean)],
    )?;
    plot(
        &out.join("scale-cpu.svg"),
        "Processor time of a daemon when idle",
        "daemons",
        "% of a core",
        &[line("entry", &|r| r.idle_entry.cpu_mean), line("side", &|r| r.idle_side.cpu_mean)],
    )?;
    plot(
        &out.join("scale-in-force.svg"),
        "Until a change is in force",
        "daemons",
        "ms",
        &[
            line("p50 at 0.25/s", &|r| r.propagation[0].in_force_ms.p50),
            line("p99 at 0.25/s", &|r| r.propagation[0].in_force_ms.p99),
            line("p50 at 5/s", &|r| r.propagation[1].in_force_ms.p50),
            line("p99 at 5/s", &|r| r.propagation[1].in_force_ms.p99),
        ],
    )
}
