//! Output of results as JSON files and tables.

use std::path::Path;

use serde::Serialize;

/// Writes a result to `NAME.json` in `dir`, which is created if it is missing.
pub(crate) fn write_json(dir: &Path, name: &str, value: &impl Serialize) -> eyre::Result<()> {
    std::fs::create_dir_all(dir)?;
    let path = dir.join(format!("{name}.json"));
    std::fs::write(&path, serde_json::to_string_pretty(value)?)?;
    println!("written: {}", path.display());
    Ok(())
}

/// Prints a Markdown table with a header row. Each column is as wide as its widest cell.
pub(crate) fn print_table(head: &[&str], rows: &[Vec<String>]) {
    let width = |i: usize| {
        let cells = rows.iter().filter_map(|row| row.get(i)).map(String::len);
        cells.chain([head[i].len()]).max().unwrap_or(0)
    };
    let widths: Vec<_> = (0..head.len()).map(width).collect();
    let line = |cells: Vec<&str>| {
        let padded = cells.iter().zip(&widths).map(|(cell, width)| format!("{cell:>width$}"));
        println!("| {} |", padded.collect::<Vec<_>>().join(" | "));
    };
    line(head.to_vec());
    let rules: Vec<_> = widths.iter().map(|width| "-".repeat(*width)).collect();
    line(rules.iter().map(String::as_str).collect());
    for row in rows {
        line(row.iter().map(String::as_str).collect());
    }
}
