//! Checks the guarantees against the responses that callers received and the requests that engines received.

use std::collections::HashMap;

use redwingfold_standins::platform::{Arrival, Got};

/// A request and its response, as recorded by the caller.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Value of the `Attempt-Id` header.
    pub id: String,
    /// Path of the request.
    pub path: String,
    /// Customer that owns the API key.
    pub customer: &'static str,
    /// The response; its status is 0 if there was none.
    pub response: Got,
    /// Whether the response took longer than the caller's timeout and a margin.
    pub is_late: bool,
}

/// Returns a description of each violated guarantee, with the request.
pub fn violations(records: &[RequestRecord], arrivals: &[Arrival]) -> Vec<String> {
    let mut by_id: HashMap<&str, Vec<&Arrival>> = HashMap::new();
    for arrival in arrivals {
        by_id.entry(arrival.id()).or_default().push(arrival);
    }
    let mut broken = Vec::new();
    for request in records {
        let request_arrivals = by_id.remove(request.id.as_str()).unwrap_or_default();
        broken.extend(check(request, &request_arrivals));
    }
    for (id, _) in by_id {
        broken.push(format!("{id}: an engine got a request that nobody sent"));
    }
    broken
}

fn check(request: &RequestRecord, request_arrivals: &[&Arrival]) -> Vec<String> {
    let mut broken = Vec::new();
    let mut require = |holds: bool, violation: &str| {
        if !holds {
            broken.push(format!(
                "{} {}: {violation}: {:?}",
                request.id, request.path, request.response
            ));
        }
    };
    let runs: Vec<_> = request_arrivals.iter().filter(|a| a.was_run).collect();
    let status = request.response.status();
    let is_stream = request.path.starts_with("/draft/") || request.path.starts_with("/sized/");
    require(!request.path.starts_with("/send/") || runs.len() <= 1, "ran more than once");
    require(runs.len() <= 3, "ran at more engines than its route allows");
    require(!matches!(status, 429 | 503) || runs.is_empty(), "refused as not run, but it ran");
    require(!matches!(status, 403 | 404), "refused though its route is there");
    let is_success = status == 200 && request.response.is_whole;
    let expected_body = format!("answer to {}", request.id);
    require(
        !is_success || is_stream || request.response.text() == expected_body,
        "got another answer than its own",
    );
    require(
        !(is_success && is_stream) || is_complete(&request.response.text()),
        "a stream has gaps or doubles",
    );
    require(
        !(is_stream && status == 200) || is_ordered(&request.response.text()),
        "events out of order",
    );
    require(!request.is_late, "held beyond its time");
    for arrival in request_arrivals {
        let head = &arrival.head;
        require(head.get("tenant") == Some(request.customer), "ran for another customer");
        require(head.get("credential").is_none(), "the key was passed on");
        require(head.line.contains(&request.path), "ran with another path");
        // The address may have passed to another engine, which must then refuse the request.
        let is_intended = head.get("expect-instance") == Some(&arrival.server);
        require(is_intended || !arrival.was_run, "not meant for its engine");
    }
    broken
}

fn event_ids(text: &str) -> Vec<u64> {
    text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect()
}

fn is_complete(text: &str) -> bool {
    event_ids(text) == [0, 1, 2, 3, 4, 5] && text.matches("data: piece").count() == 6
}

fn is_ordered(text: &str) -> bool {
    event_ids(text).iter().enumerate().all(|(i, id)| i as u64 == *id)
}
