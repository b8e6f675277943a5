//! Checks of recorded calls and events. Each returns its violations as texts, empty if there are
//! none.

use std::collections::{BTreeMap, BTreeSet};

use redwingfold_core::BillFold;
use redwingfold_standins::{Event, answer_text};
use serde_json::Value;

use super::traffic::Call;

/// Finds runs of a version that began after `at_us`, in microseconds since 1970.
pub fn runs_after(events: &[Event], version: &str, at_us: u64) -> Vec<String> {
    let late_runs = events.iter().filter(|e| e.what == "run" && e.of == version && e.at_us > at_us);
    late_runs.map(|e| format!("{version} ran {} after the time limit", e.request)).collect()
}

/// Finds sessions whose answers came from more than one version.
pub fn moved_sessions(calls: &[Call]) -> Vec<String> {
    let mut versions_by_session = BTreeMap::<&str, BTreeSet<&str>>::new();
    for call in calls.iter().filter(|c| c.answered.status == 200) {
        if let (Some(session), Some(version)) =
            (call.request_header("x-session-id"), call.answered.header("x-model-version"))
        {
            versions_by_session.entry(session).or_default().insert(version);
        }
    }
    let moved = versions_by_session.into_iter().filter(|(_, versions)| versions.len() > 1);
    moved.map(|(session, versions)| format!("session {session} had {versions:?}")).collect()
}

/// Finds answers with status 200 that are incomplete or differ from what the engine generates for
/// the request.
pub fn wrong_answers(calls: &[Call]) -> Vec<String> {
    let mut found = Vec::new();
    for call in calls.iter().filter(|c| c.answered.status == 200) {
        let answered = &call.answered;
        let request_body: Value = serde_json::from_slice(&call.ask.body).unwrap_or_default();
        let is_stream = request_body["stream"] == true;
        let prompt = request_body["messages"][0]["content"].as_str().unwrap_or_default();
        let tokens = request_body["max_tokens"].as_u64().unwrap_or(8);
        let request = answered.header("x-request-id").unwrap_or_default();
        let version = answered.header("x-model-version").unwrap_or_default();
        let expected = answer_text(version, request, prompt, tokens);
        let content = answered.content();
        let is_complete = if is_stream { answered.is_complete_stream() } else { answered.whole };
        match is_complete {
            true if content != expected => {
                found.push(format!("request {request}: {content:?}, not {expected:?}"));
            }
            // A stream may end early if its HTTP body is visibly incomplete; the received part must
            // then be a prefix of the answer.
            false if is_stream && !answered.whole && expected.starts_with(&content) => {}
            false => found.push(format!("request {request}: the answer is incomplete")),
            true => {}
        }
    }
    found
}

/// Finds refusals with run state `not_run` of requests that an engine or service has run.
pub fn false_not_run(calls: &[Call], events: &[Event]) -> Vec<String> {
    let ran: BTreeSet<_> =
        events.iter().filter(|e| e.what == "run").map(|e| e.request.as_str()).collect();
    let refused = calls.iter().filter(|c| c.answered.error_code().1 == "not_run");
    let ids = refused.filter_map(|c| c.answered.header("x-request-id"));
    ids.filter(|id| ran.contains(id))
        .map(|id| format!("{id} ran, but was refused as not run"))
        .collect()
}

/// Finds idempotency keys for which a service ran more than once. The tests send the key as the
/// request body, which the service records as the event's detail.
pub fn repeated_runs(events: &[Event]) -> Vec<String> {
    let mut runs = BTreeMap::<&str, usize>::new();
    for event in events.iter().filter(|e| e.what == "run") {
        *runs.entry(&event.detail).or_default() += 1;
    }
    let repeated = runs.into_iter().filter(|(_, n)| *n > 1);
    repeated.map(|(key, n)| format!("{key} ran {n} times")).collect()
}

/// Finds answers without a bill, and more bills of requests without a known response than there are
/// calls whose response was lost.
pub fn wrong_bills(calls: &[Call], records: &[(u64, String)]) -> Vec<String> {
    let mut fold = BillFold::default();
    records.iter().for_each(|(_, raw)| fold.apply(raw.as_bytes()));
    let mut found = Vec::new();
    let mut expected_bills = BTreeMap::<String, usize>::new();
    for call in calls.iter().filter(|c| c.answered.status == 200) {
        let id = call.answered.header("x-request-id").unwrap_or_default();
        let key = call.request_header("idempotency-key").unwrap_or(id);
        *expected_bills.entry(key.to_owned()).or_default() += 1;
    }
    let answered_ids: BTreeSet<_> =
        calls.iter().filter_map(|c| c.answered.header("x-request-id")).collect();
    let bill_count = fold.bills().count();
    let unmatched = fold.bills().filter(|b| !answered_ids.contains(b.request.to_string().as_str()));
    let without_response = calls.iter().filter(|c| c.answered.status == 0).count();
    if unmatched.count() > without_response {
        found.push("bills of requests that no caller has sent".to_owned());
    }
    if bill_count < expected_bills.len() {
        found.push(format!("{} answers, but {bill_count} bills", expected_bills.len()));
    }
    found
}
