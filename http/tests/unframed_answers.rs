//! Calls of a server whose answer has neither a length nor chunks, and ends with its connection.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::Duration;

use redwingfold_http::{BufferedResponse, CallError, CallTimeout, Client, Method};

/// Starts a server that answers one call with these bytes and closes the connection.
fn server(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") {
            stream.read_exact(&mut byte).unwrap();
            head.extend(byte);
        }
        stream.write_all(answer.as_bytes()).unwrap();
    });
    addr
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
