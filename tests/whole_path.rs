//! A request's way through separate processes.

mod common;

use common::{builder, engine, objects};
use redwingfold_http::Method;
use redwingfold_standins::fleet::Ask;

#[test]
fn whole_streamed_and_plain_answers_come_through() {
    let fleet = builder()
        .engine("gpu-1", engine(&["slip-1", "slip-2"]))
        .service("svc-1", "coop")
        .start(&objects());
    let caller = fleet.caller(0);

    let whole = caller.send_blocking(&Ask::chat("ani", "slip", "two sacks of urea"));
    assert_eq!(whole.status, 200, "{}", whole.text());
    assert_eq!(whole.header("x-model-version"), Some("slip-1"));
    assert!(whole.content().contains("slip-1"), "{}", whole.text());

    let streamed = caller.send_blocking(&Ask::chat("ani", "slip", "one sack").stream(20));
    assert_eq!(streamed.status, 200);
    assert!(streamed.is_whole_stream(), "{}", streamed.text());
    assert_eq!(streamed.content().split_whitespace().count(), 20);

    let plain = caller.send_blocking(&Ask::new(Method::Get, "/coop/members?page=2", "haus"));
    assert_eq!(plain.status, 200, "{}", plain.text());
    assert_eq!(plain.json()["path"], "/coop/members");

    let models = caller.send_blocking(&Ask::new(Method::Get, "/v1/models", "ani"));
    assert!(models.text().contains("\"slip-2\""), "{}", models.text());

    let request = whole.header("x-decision-id").expect("decision id");
    let explained = fleet.ctl(&["explain", request]);
    let explained = String::from_utf8_lossy(&explained.stdout);
    assert!(explained.contains("slip-1 at gpu-1/engine-0"), "{explained}");
}
