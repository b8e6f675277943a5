//! The `status` command: shows the configuration in force on each daemon, and the versions loaded
//! on each backend server.

use serde_json::{Value, json};

use super::Exit;
use super::context::{Ctl, HostReply, decode_json_reply};
use super::table::{print_json, print_table};
use crate::wire::Call;

/// Calls all daemons for their state.
pub(crate) async fn status(ctl: &Ctl) -> eyre::Result<Exit> {
    let replies = ctl.call_hosts(&Call::Status, |_| true).await?;
    let any_unanswered = replies.iter().any(|(_, reply)| reply.is_err());
    if ctl.json {
        let daemons = replies.iter().map(|(host, reply)| match decode_json_reply(reply) {
            Ok(state) => state,
            Err(reason) => json!({"host": host.host, "role": host.role, "error": reason}),
        });
        print_json(&daemons.collect::<Vec<_>>())?;
    } else {
        let header =
            ["HOST", "ROLE", "DOMAIN", "OFFSET", "HASH", "STATE", "RUNNING", "BILLS", "LOADED"];
        print_table(&header, replies.iter().map(row).collect());
    }
    Ok(if any_unanswered { Exit::Unknown } else { Exit::Ok })
}

fn row((host, reply): &HostReply) -> Vec<String> {
    let mut row = vec![host.host.to_string(), host.role.clone(), host.failure_domain.to_string()];
    match decode_json_reply(reply) {
        Err(reason) => row.extend(["".into(), "".into(), format!("silent: {reason}")]),
        Ok(state) => row.extend([
            state["offset"].to_string(),
            state["hash"].as_str().unwrap_or_default().to_owned(),
            if state["leaving"] == json!(true) { "leaving" } else { "serving" }.to_owned(),
            state["running"].to_string(),
            state["unconfirmed_bills"].to_string(),
            format_loaded(&state),
        ]),
    }
    row
}

fn format_loaded(state: &Value) -> String {
    let backends = state["backends"].as_array().cloned().unwrap_or_default();
    let describe = |backend: &Value| {
        let versions = backend["versions"].as_array().cloned().unwrap_or_default();
        let versions: Vec<_> = versions.iter().filter_map(Value::as_str).collect();
        let content = backend["service"].as_str().map_or_else(|| versions.join("+"), str::to_owned);
        let down_note = if backend["up"] == json!(true) { "" } else { " (down)" };
        format!("{}={content}{down_note}", backend["name"].as_str().unwrap_or_default())
    };
    backends.iter().map(describe).collect::<Vec<_>>().join(" ")
}
