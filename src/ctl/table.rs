//! Output as tables or JSON.

use comfy_table::Table;
use comfy_table::presets::NOTHING;

/// Prints a table with a header row.
pub(crate) fn print_table(header: &[&str], rows: Vec<Vec<String>>) {
    let mut table = Table::new();
    table.load_preset(NOTHING).set_header(header.to_vec());
    for row in rows {
        table.add_row(row);
    }
    println!("{table}");
}

/// Prints a value as JSON.
pub(crate) fn print_json(value: &impl serde::Serialize) -> eyre::Result<()> {
    println!("{}", serde_json::to_string_pretty(value)?);
    Ok(())
}
