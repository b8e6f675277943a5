//! What was decided about a request, and from what.

use redwingfold_core::RequestId;
use serde_json::Value;

use super::Exit;
use super::context::{Ctl, json_of};
use super::table::{print, print_json};
use crate::wire::Call;

/// Asks the entries for a request's decision.
pub(crate) async fn explain(ctl: &Ctl, request: RequestId) -> eyre::Result<Exit> {
    let said = ctl.ask_all(&Call::Explain(request), |host| !host.is_side()).await?;
    let silent = said.iter().filter(|(_, answer)| answer.is_err()).count();
    let known = said.into_iter().find_map(|(host, answer)| match json_of(&answer) {
        Ok(value) if !value.is_null() => Some((host, value)),
        _ => None,
    });
    let Some((host, decision)) = known else {
        eprintln!("no entry remembers {request}; {silent} did not answer");
        return Ok(if silent > 0 { Exit::Unknown } else { Exit::Found });
    };
    if ctl.json {
        print_json(&decision)?;
        return Ok(Exit::Ok);
    }
    println!(
        "request {request} by {} for {} at entry {}",
        text(&decision["customer"]),
        text(&decision["asked_for"]),
        host.host
    );
    let steps = decision["steps"].as_array().cloned().unwrap_or_default();
    let rows = steps
        .iter()
        .map(|step| vec![format!("{} ms", step["at"]), text(&step["what"]), text(&step["detail"])]);
    print(&["AFTER", "STEP", "DETAIL"], rows.collect());
    Ok(Exit::Ok)
}

fn text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
