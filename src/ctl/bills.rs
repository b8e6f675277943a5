//! The `bills` command: adds up the billing records, with the same rules as their consumers.

use std::collections::BTreeMap;

use redwingfold_core::{BillFold, Millis, Offset};
use serde_json::json;

use super::Exit;
use super::context::Ctl;
use super::table::{print_json, print_table};
use crate::platform::stream;

const MAX_PAGE_RECORDS: usize = 500;

/// Adds up the billing records that the log retains, by customer and version.
pub(crate) async fn bills(ctl: &Ctl) -> eyre::Result<Exit> {
    let mut fold = BillFold::default();
    let mut from = Offset(1);
    loop {
        let page = ctl.log.read(stream::BILLS, from, MAX_PAGE_RECORDS, Millis(0)).await;
        let page = page.map_err(|e| eyre::eyre!("{e}"))?;
        for (offset, raw) in &page.records {
            fold.apply(raw);
            from = Offset(offset.0 + 1);
        }
        if page.records.is_empty() || from >= page.next {
            break;
        }
    }
    let mut totals = BTreeMap::<(String, String), (u64, u64, u64)>::new();
    for bill in fold.bills() {
        let key = (bill.customer.to_string(), bill.version.to_string());
        let total = totals.entry(key).or_default();
        *total = (total.0 + 1, total.1 + bill.tokens, total.2 + bill.cost);
    }
    if ctl.json {
        let rows = totals.iter().map(|((customer, version), (requests, tokens, cost))| {
            json!({"customer": customer, "version": version, "requests": requests, "tokens": tokens, "cost_millionths": cost})
        });
        print_json(&json!({"skipped": fold.skipped(), "bills": rows.collect::<Vec<_>>()}))?;
        return Ok(Exit::Ok);
    }
    let rows = totals.iter().map(|((customer, version), (requests, tokens, cost))| {
        let cost = *cost as f64 / 1e6;
        vec![
            customer.clone(),
            version.clone(),
            requests.to_string(),
            tokens.to_string(),
            format!("{cost:.6}"),
        ]
    });
    print_table(&["CUSTOMER", "VERSION", "REQUESTS", "TOKENS", "COST"], rows.collect());
    Ok(Exit::Ok)
}
