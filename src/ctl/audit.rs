//! The `audit` command: lists changes to the configuration with author, time and reason.

use redwingfold_core::{AuditEntry, Verdict};

use super::Exit;
use super::context::Ctl;
use super::table::{print_json, print_table};
use crate::clock::unix_time;

/// Lists the newest changes.
pub(crate) async fn audit(ctl: &Ctl, limit: usize) -> eyre::Result<Exit> {
    ctl.config().await?;
    let mut entries = ctl.store.audit();
    entries.drain(..entries.len().saturating_sub(limit));
    if ctl.json {
        print_json(&entries)?;
        return Ok(Exit::Ok);
    }
    print_table(
        &["OFFSET", "AGE", "AUTHOR", "VERDICT", "TOUCHES", "REASON"],
        entries.iter().map(row).collect(),
    );
    Ok(Exit::Ok)
}

fn row(entry: &AuditEntry) -> Vec<String> {
    let touches: Vec<_> = entry.touches.iter().map(ToString::to_string).collect();
    let verdict = match &entry.verdict {
        Verdict::Accepted => "accepted".to_owned(),
        Verdict::Duplicate { of } => format!("copy of {of}"),
        Verdict::Rejected { why } => format!("rejected: {why}"),
        Verdict::Skipped { why } => format!("skipped: {why}"),
    };
    vec![
        entry.offset.to_string(),
        format!("{} s", unix_time().since(entry.at).0 / 1000),
        entry.author.clone(),
        verdict,
        touches.join(" "),
        entry.reason.clone(),
    ]
}
