//! Starts a complete fleet with the example configurations.

use std::path::Path;

use redwingfold_standins::fleet::{Answered, Ask, Caller};
use serde_json::json;

use crate::testbed::Testbed;

const SIDES: usize = 5;

/// Starts a fleet with both example configurations, sends two requests and keeps running until a
/// stop signal, or stops at once if `once` is set or a request fails.
pub(crate) fn quickstart(once: bool, examples: &Path) -> eyre::Result<bool> {
    let hosts = ["entry-1", "entry-2", "gpu-1", "gpu-2", "gpu-3", "svc-1", "svc-2"];
    let mut testbed = Testbed::start(&hosts.map(str::to_owned))?;
    let slips = ["engine", "--versions", "slip-small-3,slip-large-7"];
    let drafts = ["engine", "--versions", "wortwerk-12,wortwerk-13"];
    start_engine_side(&mut testbed, "gpu-1", "tarlac-hall", &slips)?;
    start_engine_side(&mut testbed, "gpu-2", "nueva-hall", &slips)?;
    start_engine_side(&mut testbed, "gpu-3", "halle-nord", &drafts)?;
    start_service_side(&mut testbed, "svc-1", "pampanga-hall", "coop-api")?;
    start_service_side(&mut testbed, "svc-2", "halle-ost", "tauschportal")?;
    let overrides = json!({
        "rating": {"address": testbed.rating.addr},
        "limits": {"drain_accept_ms": 100},
    });
    testbed.daemon("entry", "entry-1", "tarlac-hall", &overrides)?;
    testbed.daemon("entry", "entry-2", "halle-sued", &overrides)?;
    testbed.list_hosts()?;
    testbed.publish(&examples.join("ani-ledger"))?;
    testbed.publish(&examples.join("hauszeit"))?;
    testbed.wait_ready(SIDES)?;

    let caller = Caller { addr: testbed.entry()? };
    let whole =
        caller.send_blocking(&example_request("demo-coop-tarlac", "slips", "2 sacks of urea"));
    show("whole", &whole, &testbed)?;
    let draft =
        example_request("demo-mitglieder", "wortwerk", "Draft an exchange agreement").stream(12);
    let streamed = caller.send_blocking(&draft.session("draft-1"));
    show("streamed", &streamed, &testbed)?;
    let succeeded = whole.status == 200 && whole.whole && streamed.is_complete_stream();
    if once || !succeeded {
        return stop(testbed, succeeded);
    }
    print_curl(&testbed)?;
    smol::block_on(async {
        redwingfold::stop_on_signal()?.recv().await.map_err(eyre::Report::from)
    })?;
    stop(testbed, true)
}

fn start_engine_side(
    testbed: &mut Testbed,
    host: &str,
    domain: &str,
    args: &[&str],
) -> eyre::Result<()> {
    let address = testbed.backend(host, args)?;
    let backend = json!([{"name": "engine-0", "address": address, "kind": "engine"}]);
    testbed.daemon("side", host, domain, &json!({"backends": backend}))
}

fn start_service_side(
    testbed: &mut Testbed,
    host: &str,
    domain: &str,
    name: &str,
) -> eyre::Result<()> {
    let address = testbed.backend(host, &["service"])?;
    let backend =
        json!([{"name": "service-0", "address": address, "kind": "service", "service": name}]);
    testbed.daemon("side", host, domain, &json!({"backends": backend}))
}

fn example_request(key: &str, model: &str, prompt: &str) -> Ask {
    let mut ask = Ask::chat("", model, prompt);
    ask.headers = vec![("authorization".to_owned(), format!("Bearer {key}"))];
    ask
}

fn show(what: &str, answered: &Answered, testbed: &Testbed) -> eyre::Result<()> {
    let header = |name: &str| answered.header(name).unwrap_or("-").to_owned();
    println!(
        "--- {what} answer: status {}, version {}",
        answered.status,
        header("x-model-version")
    );
    println!("{}", answered.text().trim_end());
    println!("--- what was decided");
    let output = testbed.ctl(&["explain", &header("x-decision-id")])?;
    print!(
        "{}{}",
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    );
    Ok(())
}

fn print_curl(testbed: &Testbed) -> eyre::Result<()> {
    let entry = testbed.entry()?;
    let chat = format!("http://{entry}/v1/chat/completions");
    println!("--- up until Ctrl-C; try");
    println!(
        r#"curl -s {chat} -H 'Authorization: Bearer demo-coop-tarlac' -d '{{"model":"slips","messages":[{{"role":"user","content":"3 bags"}}]}}'"#
    );
    println!(
        r#"curl -sN {chat} -H 'Authorization: Bearer demo-mitglieder' -H 'X-Session-Id: draft-1' -d '{{"model":"wortwerk","stream":true,"messages":[{{"role":"user","content":"Hallo"}}]}}'"#
    );
    println!(
        "curl -s http://{entry}/tausch/confirm -H 'Authorization: Bearer demo-mitglieder' -H 'Idempotency-Key: swap-1' -d 'chalet'"
    );
    println!("redwingfold-ctl --settings {} status", testbed.ctl_settings().display());
    Ok(())
}

/// Sends SIGTERM to every daemon, entries first, and checks that each exits successfully.
fn stop(testbed: Testbed, succeeded: bool) -> eyre::Result<bool> {
    let mut all_stopped = true;
    for role in ["entry", "side"] {
        let of_role = || testbed.daemons.iter().filter(|d| d.role == role);
        of_role().for_each(|d| d.process.term());
        for daemon in of_role() {
            let status = daemon.process.wait(std::time::Duration::from_secs(20));
            let stopped = status.is_some_and(|s| s.success());
            println!("{}: {}", daemon.host, if stopped { "stopped" } else { "did not stop" });
            all_stopped &= stopped;
        }
    }
    Ok(succeeded && all_stopped)
}
