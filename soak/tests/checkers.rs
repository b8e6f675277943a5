//! Each check catches a violation that is planted.

use redwingfold_soak::{Seen, violations};
use redwingfold_standins::platform::{Arrival, Got, Head};

fn head(line: &str, headers: &[(&str, &str)]) -> Head {
    let headers = headers.iter().map(|(n, v)| ((*n).to_owned(), (*v).to_owned())).collect();
    Head { line: line.to_owned(), headers }
}

fn seen(path: &str, status: u16, body: &str) -> Seen {
    let got = Got {
        head: head(&format!("HTTP/1.1 {status} Any"), &[]),
        body: body.as_bytes().to_vec(),
        is_whole: true,
    };
    Seen { id: "r1".to_owned(), path: path.to_owned(), customer: "ani", got, is_late: false }
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

fn caught(seen: &Seen, arrivals: &[Arrival], what: &str) -> bool {
    violations(std::slice::from_ref(seen), arrivals).iter().any(|v| v.contains(what))
}

/// A history in which all is well is not accused.
#[test]
fn calm_history_breaks_nothing() {
    let ok = seen("/send/1", 200, "answer to r1");
    assert!(violations(std::slice::from_ref(&ok), &[arrival("/send/1")]).is_empty());
}

/// Each planted violation is found, by the check that is for it.
#[test]
fn planted_violations_are_caught() {
    let ok = seen("/send/1", 200, "answer to r1");
    let one = arrival("/send/1");
    assert!(caught(&ok, &[one.clone(), one.clone()], "more than once"));
    assert!(caught(&seen("/send/1", 503, ""), std::slice::from_ref(&one), "refused as not run"));
    assert!(caught(&seen("/send/1", 404, ""), &[], "though its route is there"));
    assert!(caught(
        &seen("/send/1", 200, "answer to r2"),
        std::slice::from_ref(&one),
        "another answer"
    ));
    assert!(caught(
        &Seen { is_late: true, ..ok.clone() },
        std::slice::from_ref(&one),
        "beyond its time"
    ));
    let stream = |ids: &[u64]| {
        let text: String = ids.iter().map(|id| format!("id: {id}\ndata: piece {id}\n\n")).collect();
        seen("/draft/1", 200, &text)
    };
    let run = arrival("/draft/1");
    assert!(violations(&[stream(&[0, 1, 2, 3, 4, 5])], std::slice::from_ref(&run)).is_empty());
    assert!(caught(&stream(&[0, 1, 3, 4, 5]), std::slice::from_ref(&run), "gaps or doubles"));
    assert!(caught(&stream(&[0, 1, 1, 2, 3, 4, 5]), std::slice::from_ref(&run), "out of order"));
    assert!(caught(&stream(&[0, 1, 2, 3, 4, 5]), &vec![run; 4], "more engines"));
    let mut forged = one.clone();
    forged.head.headers[1].1 = "haus".to_owned();
    assert!(caught(&ok, &[forged], "another customer"));
    let mut leaked = one.clone();
    leaked.head.headers.push(("credential".to_owned(), "key".to_owned()));
    assert!(caught(&ok, &[leaked], "key was passed on"));
    let mut astray = one.clone();
    astray.server = "i-2".to_owned();
    assert!(caught(&ok, &[astray], "not meant for its engine"));
    let mut unasked = one;
    unasked.head.headers[0].1 = "r9".to_owned();
    assert!(caught(&ok, &[unasked], "nobody sent"));
}
