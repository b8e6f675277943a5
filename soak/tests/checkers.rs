//! Tests that each checker reports a violation that is planted in a record.

use redwingfold_soak::{RequestRecord, violations};
use redwingfold_standins::platform::{Arrival, Got, Head};

fn head(line: &str, headers: &[(&str, &str)]) -> Head {
    let headers = headers.iter().map(|(n, v)| ((*n).to_owned(), (*v).to_owned())).collect();
    Head { line: line.to_owned(), headers }
}

fn record(path: &str, status: u16, body: &str) -> RequestRecord {
    let response = Got {
        head: head(&format!("HTTP/1.1 {status} Any"), &[]),
        body: body.as_bytes().to_vec(),
        is_whole: true,
    };
    RequestRecord {
        id: "r1".to_owned(),
        path: path.to_owned(),
        customer: "ani",
        response,
        is_late: false,
    }
}

fn arrival(path: &str) -> Arrival {
    let headers = [("attempt-id", "r1"), ("tenant", "ani"), ("expect-instance", "i-1")];
    Arrival {
        server: "i-1".to_owned(),
        head: head(&format!("POST {path} HTTP/1.1"), &headers),
        body: Vec::new(),
        was_run: true,
        caller_closed: false,
        at: std::time::Instant::now(),
    }
}

fn is_reported(record: &RequestRecord, arrivals: &[Arrival], violation: &str) -> bool {
    violations(std::slice::from_ref(record), arrivals).iter().any(|v| v.contains(violation))
}

/// A run without violations must not be reported.
#[test]
fn calm_history_breaks_nothing() {
    let ok = record("/send/1", 200, "answer to r1");
    assert!(violations(std::slice::from_ref(&ok), &[arrival("/send/1")]).is_empty());
}

/// Each planted violation must be reported by the checker for it.
#[test]
fn planted_violations_are_caught() {
    let ok = record("/send/1", 200, "answer to r1");
    let request_arrival = arrival("/send/1");
    assert!(is_reported(
        &ok,
        &[request_arrival.clone(), request_arrival.clone()],
        "more than once"
    ));
    assert!(is_reported(
        &record("/send/1", 503, ""),
        std::slice::from_ref(&request_arrival),
        "refused as not run"
    ));
    assert!(is_reported(&record("/send/1", 404, ""), &[], "though its route is there"));
    assert!(is_reported(
        &record("/send/1", 200, "answer to r2"),
        std::slice::from_ref(&request_arrival),
        "another answer"
    ));
    assert!(is_reported(
        &RequestRecord { is_late: true, ..ok.clone() },
        std::slice::from_ref(&request_arrival),
        "beyond its time"
    ));
    let stream = |ids: &[u64]| {
        let text: String = ids.iter().map(|id| format!("id: {id}\ndata: piece {id}\n\n")).collect();
        record("/draft/1", 200, &text)
    };
    let run = arrival("/draft/1");
    assert!(violations(&[stream(&[0, 1, 2, 3, 4, 5])], std::slice::from_ref(&run)).is_empty());
    assert!(is_reported(&stream(&[0, 1, 3, 4, 5]), std::slice::from_ref(&run), "gaps or doubles"));
    assert!(is_reported(
        &stream(&[0, 1, 1, 2, 3, 4, 5]),
        std::slice::from_ref(&run),
        "out of order"
    ));
    assert!(is_reported(&stream(&[0, 1, 2, 3, 4, 5]), &vec![run; 4], "more engines"));
    let mut forged = request_arrival.clone();
    forged.head.headers[1].1 = "haus".to_owned();
    assert!(is_reported(&ok, &[forged], "another customer"));
    let mut leaked = request_arrival.clone();
    leaked.head.headers.push(("credential".to_owned(), "key".to_owned()));
    assert!(is_reported(&ok, &[leaked], "key was passed on"));
    let mut misrouted = request_arrival.clone();
    misrouted.server = "i-2".to_owned();
    assert!(is_reported(&ok, &[misrouted], "not meant for its engine"));
    let mut unsolicited = request_arrival;
    unsolicited.head.headers[0].1 = "r9".to_owned();
    assert!(is_reported(&ok, &[unsolicited], "nobody sent"));
}
