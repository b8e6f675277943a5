//! What each daemon has in force, and what is loaded where.

use serde_json::{Value, json};

use super::Exit;
use super::context::{Ctl, Said, json_of};
use super::table::{print, print_json};
use crate::wire::Call;

/// Asks every daemon for its state.
pub(crate) async fn status(ctl: &Ctl) -> eyre::Result<Exit> {
    let said = ctl.ask_all(&Call::Status, |_| true).await?;
    let silent = said.iter().any(|(_, answer)| answer.is_err());
    if ctl.json {
        let daemons = said.iter().map(|(host, answer)| match json_of(answer) {
            Ok(state) => state,
            Err(why) => json!({"host": host.host, "role": host.role, "error": why}),
        });
        print_json(&daemons.collect::<Vec<_>>())?;
    } else {
        let head =
            ["HOST", "ROLE", "DOMAIN", "OFFSET", "HASH", "STATE", "RUNNING", "BILLS", "LOADED"];
        print(&head, said.iter().map(row).collect());
    }
    Ok(if silent { Exit::Unknown } else { Exit::Ok })
}

fn row((host, answer): &Said) -> Vec<String> {
    let mut row = vec![host.host.to_string(), host.role.clone(), host.failure_domain.to_string()];
    match json_of(answer) {
        Err(why) => row.extend(["".into(), "".into(), format!("silent: {why}")]),
        Ok(state) => row.extend([
            state["offset"].to_string(),
            state["hash"].as_str().unwrap_or_default().to_owned(),
            if state["leaving"] == json!(true) { "leaving" } else { "serving" }.to_owned(),
            state["running"].to_string(),
            state["unconfirmed_bills"].to_string(),
            loaded(&state),
        ]),
    }
    row
}

fn loaded(state: &Value) -> String {
    let backends = state["backends"].as_array().cloned().unwrap_or_default();
    let one = |backend: &Value| {
        let versions = backend["versions"].as_array().cloned().unwrap_or_default();
        let versions: Vec<_> = versions.iter().filter_map(Value::as_str).collect();
        let what = backend["service"].as_str().map_or_else(|| versions.join("+"), str::to_owned);
        let up = if backend["up"] == json!(true) { "" } else { " (down)" };
        format!("{}={what}{up}", backend["name"].as_str().unwrap_or_default())
    };
    backends.iter().map(one).collect::<Vec<_>>().join(" ")
}
