//! What must hold, from what callers got and engines saw.

use std::collections::HashMap;

use redwingfold_standins::platform::{Arrival, Got};

/// A request as its caller knows it.
#[derive(Clone, Debug)]
pub struct Seen {
    /// Id of the attempt.
    pub id: String,
    /// Path.
    pub path: String,
    /// Customer that holds the key.
    pub customer: &'static str,
    /// What came back.
    pub got: Got,
    /// Whether the caller took so long that its own patience ended first.
    pub is_late: bool,
}

/// Returns each promise that was broken, with the request.
pub fn violations(seen: &[Seen], arrivals: &[Arrival]) -> Vec<String> {
    let mut by_id: HashMap<&str, Vec<&Arrival>> = HashMap::new();
    for arrival in arrivals {
        by_id.entry(arrival.id()).or_default().push(arrival);
    }
    let mut broken = Vec::new();
    for request in seen {
        let arrived = by_id.remove(request.id.as_str()).unwrap_or_default();
        broken.extend(check(request, &arrived));
    }
    for (id, _) in by_id {
        broken.push(format!("{id}: an engine got a request that nobody sent"));
    }
    broken
}

fn check(request: &Seen, arrived: &[&Arrival]) -> Vec<String> {
    let mut broken = Vec::new();
    let mut claim = |holds: bool, what: &str| {
        if !holds {
            broken.push(format!("{} {}: {what}: {:?}", request.id, request.path, request.got));
        }
    };
    let runs: Vec<_> = arrived.iter().filter(|a| a.was_run).collect();
    let status = request.got.status();
    let is_stream = request.path.starts_with("/draft/") || request.path.starts_with("/sized/");
    claim(!request.path.starts_with("/send/") || runs.len() <= 1, "ran more than once");
    claim(runs.len() <= 3, "ran at more engines than its route allows");
    claim(!matches!(status, 429 | 503) || runs.is_empty(), "refused as not run, but it ran");
    claim(!matches!(status, 403 | 404), "refused though its route is there");
    let whole = status == 200 && request.got.is_whole;
    let own = format!("answer to {}", request.id);
    claim(!whole || is_stream || request.got.text() == own, "got another answer than its own");
    claim(
        !(whole && is_stream) || is_complete(&request.got.text()),
        "a stream has gaps or doubles",
    );
    claim(!(is_stream && status == 200) || is_ordered(&request.got.text()), "events out of order");
    claim(!request.is_late, "held beyond its time");
    for arrival in arrived {
        let head = &arrival.head;
        claim(head.get("tenant") == Some(request.customer), "ran for another customer");
        claim(head.get("credential").is_none(), "the key was passed on");
        claim(head.line.contains(&request.path), "ran with another path");
        // Another engine that has the address now refuses it.
        let is_meant = head.get("expect-instance") == Some(&arrival.server);
        claim(is_meant || !arrival.was_run, "not meant for its engine");
    }
    broken
}

fn ids(text: &str) -> Vec<u64> {
    text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect()
}

fn is_complete(text: &str) -> bool {
    ids(text) == [0, 1, 2, 3, 4, 5] && text.matches("data: piece").count() == 6
}

fn is_ordered(text: &str) -> bool {
    ids(text).iter().enumerate().all(|(i, id)| i as u64 == *id)
}
