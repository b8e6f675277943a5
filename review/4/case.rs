//! The operator takes away the API keys of all tenants; requests with those keys, with a key that never existed and
//! without a key are sent after the bound.

#[path = "../common-2/mod.rs"]
mod common;

use std::thread::sleep;
use std::time::Duration;

use common::{Record, Verdict, fleet, has_trouble, message, send};
use redwingfold_standins::platform::{Config, Plan};

/// `config_apply_ms` of the deployment.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);

/// Time in addition to the bound, so that a late reading of the clock excuses nothing.
const MARGIN: Duration = Duration::from_millis(1_000);

/// Pause between two versions of the configuration.
const REVOKE_GAP: Duration = Duration::from_millis(500);

const REQUESTS_PER_KEY: usize = 5;

fn main() {
    let record = Record::create();
    let mut fleet = fleet();
    let mut config = Config::default();
    fleet.publish(&config);
    fleet.engine("p1", "plain", |arrival| {
        Plan::Answer(200, format!("answer to {}", arrival.id()).into_bytes())
    });
    fleet.start_ready();
    let callers = fleet.gateways[0].callers;
    let first = send(callers, &message("POST", "/send/a", "first", Some("key-ani"), 4_000));
    record.line(&format!("before: key-ani gets {}", first.status()));
    if first.status() != 200 {
        record.finish(fleet, Verdict::NotRun, "the first request was not served");
    }
    // Time in which the gateway has been in touch with the platform.
    sleep(Duration::from_millis(3_500));
    for tenant in 0..config.keys.len() {
        if has_trouble() {
            config.keys[tenant].1.clear();
        }
        config.version += 1;
        fleet.publish(&config);
        record.line(&format!(
            "version {} acknowledged; keys of the tenants: {:?}",
            config.version, config.keys
        ));
        sleep(REVOKE_GAP);
    }
    sleep(CONFIG_APPLY + MARGIN);
    let mut wrong = Vec::new();
    for key in [Some("key-ani"), Some("key-haus"), Some("key-never-given"), None] {
        let is_held = key.is_some_and(|key| config.keys.iter().any(|(_, keys)| keys.contains(&key)));
        for n in 0..REQUESTS_PER_KEY {
            let id = format!("{}-{n}", key.unwrap_or("no-key"));
            let got = send(callers, &message("POST", "/send/a", &id, key, 4_000));
            let runs = fleet.runs(&id);
            let tenant = runs.first().and_then(|run| run.head.get("tenant")).unwrap_or("none");
            record.line(&format!(
                "request {id}: status {}, {} runs, tenant at the engine: {tenant}",
                got.status(),
                runs.len()
            ));
            match is_held {
                true if got.status() != 200 => {
                    record.finish(fleet, Verdict::NotRun, "a request with a valid key was not served");
                }
                false if !runs.is_empty() => wrong.push(id),
                _ => {}
            }
        }
    }
    let why = format!("{} requests without a valid key ran: {wrong:?}", wrong.len());
    let verdict = if wrong.is_empty() { Verdict::Held } else { Verdict::Broken };
    record.finish(fleet, verdict, &why);
}
