//! Calls of a server whose answer has neither a length nor chunks, and ends with its connection.

mod common;

use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use common::serve_one;
use redwingfold_http::{BufferedResponse, CallError, CallTimeout, Client, Method};

/// Starts a server that answers one call with these bytes and closes the connection.
fn server(answer: &'static str) -> SocketAddr {
    serve_one(|mut stream| stream.write_all(answer.as_bytes()).unwrap())
}

fn call(answer: &'static str) -> Result<BufferedResponse, CallError> {
    let timeout = CallTimeout::Total(Duration::from_secs(5));
    let client = Client::default();
    smol::block_on(client.call(Method::Get, server(answer), "/records", None, timeout, 1024))
}

/// Guards against an answer whose body is taken for empty, as its head does not tell where the body ends.
#[test]
fn answer_without_a_length_is_not_taken_for_empty() {
    let got = call("HTTP/1.1 200 OK\r\n\r\nright");
    assert!(matches!(got, Err(CallError::Unknown(_))), "{got:?}");
    let body = |got: Result<BufferedResponse, CallError>| got.map(|response| response.body);
    assert_eq!(body(call("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")), Ok(Vec::new()));
    assert_eq!(body(call("HTTP/1.1 204 No Content\r\n\r\n")), Ok(Vec::new()));
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nright\r\n0\r\n\r\n";
    assert_eq!(body(call(chunked)), Ok(b"right".to_vec()));
}
