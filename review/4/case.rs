//! A new version of the configuration adds a stream route with several models whose streams may not be resumed; the
//! models have little confidence in their answers.

#[path = "../common-2/mod.rs"]
mod common;

use std::thread::sleep;
use std::time::Duration;

use common::{Record, Verdict, fleet, has_trouble, message, send};
use redwingfold_standins::platform::{Config, Plan, Route, StreamPlan};

/// `config_apply_ms` of the deployment, and a second more.
const IN_FORCE_AFTER: Duration = Duration::from_millis(3_000);

const REQUESTS: usize = 20;

/// Confidence that the engines report, from 0 to 100.
const CONFIDENCE: u8 = 5;

fn main() {
    let record = Record::create();
    let mut fleet = fleet();
    let mut config = Config::default();
    fleet.publish(&config);
    for id in ["e1", "e2", "e3"] {
        fleet.engine(id, "models", |_| {
            Plan::Stream(StreamPlan { confidence: Some(CONFIDENCE), ..StreamPlan::default() })
        });
    }
    fleet.start_ready();
    // Time in which the gateway has been in touch with the platform.
    sleep(Duration::from_millis(3_500));
    // Without the new route, the requests go to one of the same kind without a choice of models.
    let (path, model) = if has_trouble() { ("/fresh/a", "*") } else { ("/once/a", "s") };
    if has_trouble() {
        let overrides = r#"{"max_attempts": 3, "sizes": ["s", "m", "l"]}"#;
        config.routes.push(Route {
            name: "fresh",
            service: "models",
            kind: "stream",
            overrides: overrides.parse().expect("fields of a route"),
        });
        config.version += 1;
        fleet.publish(&config);
        record.line("version 2 acknowledged: adds the stream route `fresh` with sizes and without resume_streams");
        sleep(IN_FORCE_AFTER);
    }
    let (mut twice, mut served) = (Vec::new(), 0);
    for n in 0..REQUESTS {
        let id = format!("r{n}");
        let prompt = format!("Model: {model}\r\nToken-Usage: 100,10\r\nPrompt-Prefix: a1:60,b{n}:40\r\n");
        let text = message("POST", path, &id, Some("key-ani"), 20_000);
        let got = send(
            fleet.gateways[0].callers,
            &text.replace("Content-Length", &format!("{prompt}Content-Length")),
        );
        let runs = fleet.runs(&id);
        let ran: Vec<_> = runs
            .iter()
            .map(|run| format!("{} as model {}", run.server, run.head.get("model").unwrap_or("none")))
            .collect();
        record.line(&format!("request {id} {path}: status {}, ran at {ran:?}", got.status()));
        served += usize::from(got.status() == 200 && got.is_whole);
        if runs.len() > 1 {
            twice.push(id);
        }
    }
    if served == 0 {
        record.finish(fleet, Verdict::NotRun, "no request was served");
    }
    let why = format!("{served} served; {} of {REQUESTS} ran more than once: {twice:?}", twice.len());
    let verdict = if twice.is_empty() { Verdict::Held } else { Verdict::Broken };
    record.finish(fleet, verdict, &why);
}
