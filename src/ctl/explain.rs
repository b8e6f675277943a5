//! The `explain` command: shows the routing decisions for a request, and their inputs.

use redwingfold_core::RequestId;
use serde_json::Value;

use super::Exit;
use super::context::{Ctl, decode_json_reply};
use super::table::{print_json, print_table};
use crate::wire::Call;

/// Calls all entries and shows the decision trace of a request.
pub(crate) async fn explain(ctl: &Ctl, request: RequestId) -> eyre::Result<Exit> {
    let replies = ctl.call_hosts(&Call::Explain(request), |host| !host.is_side()).await?;
    let unanswered = replies.iter().filter(|(_, reply)| reply.is_err()).count();
    let found = replies.into_iter().find_map(|(host, reply)| match decode_json_reply(&reply) {
        Ok(value) if !value.is_null() => Some((host, value)),
        _ => None,
    });
    let Some((host, decision)) = found else {
        eprintln!("no entry has a decision for {request}; {unanswered} entries did not answer");
        return Ok(if unanswered > 0 { Exit::Unknown } else { Exit::Found });
    };
    if ctl.json {
        print_json(&decision)?;
        return Ok(Exit::Ok);
    }
    println!(
        "request {request} by {} for {} at entry {}",
        display_text(&decision["customer"]),
        display_text(&decision["asked_for"]),
        host.host
    );
    let steps = decision["steps"].as_array().cloned().unwrap_or_default();
    let rows = steps.iter().map(|step| {
        vec![
            format!("{} ms", step["at"]),
            display_text(&step["what"]),
            display_text(&step["detail"]),
        ]
    });
    print_table(&["AFTER", "STEP", "DETAIL"], rows.collect());
    Ok(Exit::Ok)
}

fn display_text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
