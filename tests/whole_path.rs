//! Requests through a fleet of separate processes.

mod common;

use std::net::UdpSocket;
use std::time::Duration;

use common::{builder, engine, objects};
use redwingfold_http::Method;
use redwingfold_standins::fleet::{Ask, key_of};
use serde_json::json;

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
    assert!(streamed.is_complete_stream(), "{}", streamed.text());
    assert_eq!(streamed.content().split_whitespace().count(), 20);

    let plain = caller.send_blocking(&Ask::new(Method::Get, "/coop/members?page=2", "haus"));
    assert_eq!(plain.status, 200, "{}", plain.text());
    assert_eq!(plain.json()["path"], "/coop/members");

    let models = caller.send_blocking(&Ask::new(Method::Get, "/v1/models", "ani"));
    assert!(models.text().contains("\"slip-2\""), "{}", models.text());

    for host in ["entry-0", "gpu-1", "svc-1"] {
        assert_eq!(fleet.process(host).count(&key_of("ani")), 0, "{host} logged a customer's key");
    }
    let request = whole.header("x-decision-id").expect("decision id");
    let explained = fleet.ctl(&["explain", request]);
    let explained = String::from_utf8_lossy(&explained.stdout);
    assert!(explained.contains("slip-1 at gpu-1/engine-0"), "{explained}");
}

/// Metrics are sent as StatsD datagrams to the address in the settings.
#[test]
fn metrics_arrive() {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    socket.set_read_timeout(Some(Duration::from_secs(30))).expect("a timeout above zero");
    let statsd = socket.local_addr().expect("bound").to_string();
    let fleet = builder()
        .engine("gpu-1", engine(&["slip-1"]))
        .settings("entry", "metrics", json!({"statsd": statsd}))
        .start(&objects());
    let mut buf = [0; 2048];
    let found = (0..200).any(|n| {
        fleet.caller(0).send_blocking(&Ask::chat("ani", "slip", &format!("slip {n}")));
        socket.set_nonblocking(true).expect("a socket");
        std::iter::from_fn(|| socket.recv(&mut buf).ok().map(|n| buf[..n].to_vec())).any(
            |datagram| String::from_utf8_lossy(&datagram).contains("redwingfold.request.count:1|c"),
        )
    });
    assert!(found, "no datagram counted a request");
}
