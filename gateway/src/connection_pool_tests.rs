//! Removal of idle connections when their server gets no new requests.

use std::net::SocketAddr;
use std::rc::Rc;

use http::{HeaderMap, Request, Response, StatusCode, Version};
use redwingfold_core::{
    BackendServer, ConnectionReusePolicy, Fault, Incarnation, KeepAlive, Millis, ServerState,
};
use redwingfold_telemetry::Telemetry;
use smol::LocalExecutor;
use smol::net::TcpListener;

use crate::connection_pool::reusable_for;
use crate::gateway::{Gateway, StoreCopy};
use crate::metadata::{AttemptMetadata, HeaderCodec, RequestMetadata, ResponseMetadata};
use crate::segments::SegmentedBody;
use crate::settings::GatewaySettings;
use crate::upstream::{HttpConnection, SendError};

const CONNECT_TIMEOUT: Millis = Millis(5_000);

fn server(id: &str, addr: SocketAddr) -> BackendServer {
    BackendServer {
        id: id.into(),
        service: "plain".into(),
        addr,
        domain: "hall-1".parse().expect("a domain"),
        version: "v1".parse().expect("a version"),
        slots: 8,
        state: ServerState::Ready,
        models: Vec::new(),
        incarnation: Some(Incarnation(1)),
        cold_left: Millis(0),
    }
}

fn gateway(is_enabled: bool, executor: &Rc<LocalExecutor<'static>>) -> Rc<Gateway> {
    let connection_reuse = ConnectionReusePolicy { is_enabled, ..ConnectionReusePolicy::default() };
    let header_codec = HeaderCodec {
        decode_request: |_: &HeaderMap| Ok(RequestMetadata::default()),
        encode_attempt: |_: &mut HeaderMap, _: &AttemptMetadata| {},
        decode_response: |_: StatusCode, _: &HeaderMap| ResponseMetadata::default(),
    };
    Rc::new(Gateway::new(
        GatewaySettings { connection_reuse, ..GatewaySettings::default() },
        header_codec,
        Telemetry::disabled().expect("a sink"),
        executor.clone(),
    ))
}

/// Guards against a call that is lost, or takes a retry from the budget, because the server closed the kept connection and
/// the gateway has not noticed it by the time of the send. Nothing is written then.
#[test]
fn request_is_not_written_to_a_connection_that_was_closed_unnoticed() {
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.run(async {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let connected = HttpConnection::connect(&executor, addr, CONNECT_TIMEOUT).await;
        let mut connection = connected.expect("a connection");
        let (accepted, _) = listener.accept().await.expect("a connection");
        assert!(connection.ready().await);
        drop(accepted);
        assert!(connection.is_ready(), "the closed connection has not been noticed");
        let sent = connection.try_send(Request::new(SegmentedBody::default())).await;
        assert!(matches!(sent, Err(SendError::NotWritten(_))), "{sent:?}");
    }));
}

/// Guards against a connection that is kept although its server closes it after the response, or the end of the response is
/// not marked. The HTTP library closes most of these itself.
#[test]
fn connection_that_ends_with_its_response_is_not_reusable() {
    type Case<'a> = (&'a [(&'static str, &'static str)], Version, u16, Option<u64>, bool);
    let cases: [Case<'_>; 10] = [
        (&[], Version::HTTP_11, 200, Some(5), true),
        (&[("transfer-encoding", "Chunked")], Version::HTTP_11, 200, None, true),
        (&[("connection", "x-any, keep-alive")], Version::HTTP_11, 200, Some(5), true),
        (&[], Version::HTTP_11, 200, None, false),
        (&[("transfer-encoding", "chunked, gzip")], Version::HTTP_11, 200, None, false),
        (&[("connection", "close")], Version::HTTP_11, 200, Some(5), false),
        (&[("connection", "x-any, Close")], Version::HTTP_11, 200, Some(5), false),
        (
            &[("connection", "x-any"), ("connection", "close")],
            Version::HTTP_11,
            200,
            Some(5),
            false,
        ),
        (&[("connection", "keep-alive")], Version::HTTP_10, 200, Some(5), false),
        (&[], Version::HTTP_11, 101, Some(0), false),
    ];
    for (headers, version, status, length, is_reusable) in cases {
        let mut response = Response::builder().version(version).status(status);
        for (name, value) in headers {
            response = response.header(*name, *value);
        }
        let (head, ()) = response.body(()).expect("a response").into_parts();
        assert_eq!(reusable_for(&head, length).is_some(), is_reusable, "{head:?}");
    }
}

/// Returns whether a connection that was released before `event` is still available to the next request after it.
fn is_kept_after(is_enabled: bool, event: impl Fn(&Gateway, &BackendServer)) -> bool {
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.run(async {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
        let server = server("p1", listener.local_addr().expect("an address"));
        let gw = gateway(is_enabled, &executor);
        gw.put_server(server.clone());
        let connected = HttpConnection::connect(&executor, server.addr, CONNECT_TIMEOUT).await;
        let _accepted = listener.accept().await.expect("a connection");
        gw.keep_connection(&server, connected.expect("a connection"), KeepAlive::default());
        // The task that keeps the connection has ended or waits for expiry once the executor has nothing left to run.
        while executor.try_tick() {}
        event(&gw, &server);
        gw.take_idle_connection(&server).is_some()
    }))
}

/// The other tests of this file mean something only if the connection is kept without an event.
#[test]
fn connection_to_an_unchanged_server_is_kept() {
    assert!(is_kept_after(true, |_, _| {}));
    assert!(is_kept_after(true, |gw, server| gw.put_server(server.clone())));
    assert!(!is_kept_after(false, |_, _| {}), "reuse is off");
}

/// Guards against connections that stay open to a server that is gone, leaving, draining or ejected, or to the earlier
/// process of one that has restarted. Another server may have its address by then.
#[test]
fn connections_to_unusable_servers_are_closed() {
    type Event = fn(&Gateway, &BackendServer);
    let events: [(&str, Event); 8] = [
        ("draining", |gw, server| {
            gw.put_server(BackendServer { state: ServerState::Draining, ..server.clone() });
        }),
        ("restarted", |gw, server| {
            gw.put_server(BackendServer { incarnation: Some(Incarnation(2)), ..server.clone() });
        }),
        ("moved", |gw, server| {
            let addr = ([127, 0, 0, 1], 9).into();
            gw.put_server(BackendServer { addr, ..server.clone() });
        }),
        ("removed", |gw, server| gw.remove_server(&server.id)),
        ("unlisted", |gw, _| gw.replace_servers(Vec::new(), StoreCopy::Current)),
        ("refuses connections", |gw, server| gw.record_server_gone(&server.id)),
        ("leaving", |gw, server| gw.record_leaving(server)),
        ("ejected", |gw, server| {
            let policy = gw.settings.health;
            while !gw.loads.record_failure(server, Fault::Lost, &policy, gw.now()) {}
            gw.close_unusable_connections();
        }),
    ];
    for (what, event) in events {
        assert!(!is_kept_after(true, event), "{what}");
    }
}
