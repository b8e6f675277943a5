//! Each check of `common::checks` finds an injected violation and reports none in a correct
//! history.

mod common;

use common::checks::{
    false_not_run, moved_sessions, repeated_runs, runs_after, wrong_answers, wrong_bills,
};
use common::traffic::Call;
use redwingfold_core::{Bill, KeyHash, Millis, RequestId};
use redwingfold_standins::fleet::{Answered, Ask};
use redwingfold_standins::{Event, answer_text};
use serde_json::json;

fn event(what: &str, of: &str, request: &str, at_us: u64, detail: &str) -> Event {
    let [what, of, request, detail] = [what, of, request, detail].map(str::to_owned);
    Event { at_us, what, of, request, detail }
}

fn call(session: &str, request: u128, version: &str, body: &str) -> Call {
    let request = RequestId(request).to_string();
    let headers = [("x-request-id", request.as_str()), ("x-model-version", version)];
    let headers = headers.map(|(k, v)| (k.to_owned(), v.to_owned())).to_vec();
    let answered = Answered {
        status: 200,
        headers,
        body: body.as_bytes().to_vec(),
        whole: true,
        ..Default::default()
    };
    Call { ask: Ask::chat("ani", "slip", "p").session(session), sent_us: 0, answered }
}

fn answer(request: u128, version: &str) -> String {
    let content = answer_text(version, &RequestId(request).to_string(), "p", 8);
    json!({"choices": [{"message": {"content": content}}]}).to_string()
}

#[test]
fn runs_after_a_withdrawal_are_found() {
    let events = [event("run", "v1", "r1", 10, ""), event("run", "v2", "r2", 30, "")];
    assert!(runs_after(&events, "v1", 20).is_empty());
    assert_eq!(runs_after(&events, "v1", 5).len(), 1);
}

#[test]
fn sessions_with_two_versions_are_found() {
    let good = [call("s", 1, "v1", ""), call("s", 2, "v1", ""), call("t", 3, "v2", "")];
    assert!(moved_sessions(&good).is_empty());
    let bad = [call("s", 1, "v1", ""), call("s", 2, "v2", "")];
    assert_eq!(moved_sessions(&bad).len(), 1);
}

#[test]
fn answers_of_another_request_and_cut_ones_are_found() {
    let good = [call("s", 1, "v1", &answer(1, "v1"))];
    assert_eq!(wrong_answers(&good), Vec::<String>::new());
    assert_eq!(wrong_answers(&[call("s", 1 << 100, "v1", &answer(2 << 100, "v1"))]).len(), 1);
    let mut cut = call("s", 1, "v1", &answer(1, "v1"));
    cut.answered.whole = false;
    assert_eq!(wrong_answers(&[cut]).len(), 1);
    // A token of another attempt within the answer.
    let spliced = answer(1, "v1").replace("5:v1", "5:v2");
    assert_eq!(wrong_answers(&[call("s", 1, "v1", &spliced)]).len(), 1);
}

#[test]
fn refusals_of_what_ran_are_found() {
    let id = RequestId(1).to_string();
    let mut refused = call("s", 1, "v1", &json!({"error": {"run_state": "not_run"}}).to_string());
    refused.answered.status = 503;
    let calls = [refused];
    assert!(false_not_run(&calls, &[event("run", "v1", "other", 1, "")]).is_empty());
    assert_eq!(false_not_run(&calls, &[event("run", "v1", &id, 1, "")]).len(), 1);
}

#[test]
fn second_runs_are_found() {
    let events = [event("run", "/x", "r1", 1, "k1"), event("run", "/x", "r2", 2, "k2")];
    assert!(repeated_runs(&events).is_empty());
    let twice = [events[0].clone(), events[0].clone()];
    assert_eq!(repeated_runs(&twice).len(), 1);
}

#[test]
fn missing_and_foreign_bills_are_found() {
    let bill = |request: u128| {
        let customer = "ani".parse().unwrap();
        let request = RequestId(request);
        let bill = Bill {
            id: KeyHash::of(&customer, &request.to_string()),
            attempt: 1,
            customer,
            request,
            version: "v1".parse().unwrap(),
            tokens: 1,
            cost: 1,
            at: Millis(0),
        };
        (1, serde_json::to_string(&[bill]).unwrap())
    };
    let calls = [call("s", 1, "v1", &answer(1, "v1"))];
    assert_eq!(wrong_bills(&calls, &[bill(1), bill(1)]), Vec::<String>::new());
    assert!(!wrong_bills(&calls, &[]).is_empty());
    assert!(!wrong_bills(&calls, &[bill(1), bill(2)]).is_empty());
}
