//! Calls of a server whose answer never ends.

mod common;

use std::io::Write;
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

use common::serve_one;
use redwingfold_http::{CallError, CallTimeout, Client, Method};

const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Bytes that a server can write to a client that reads no more than the limit: the rest is in the buffers of the
/// kernel, which hold about 10 MB.
const MAX_WRITTEN_BYTES: usize = 32 * 1024 * 1024;

/// Bytes after which a server stops all the same.
const ENDLESS_BYTES: usize = 1024 * 1024 * 1024;

/// Starts a server that answers one call with `first`, and then with `rest` again and again until the connection is
/// closed. The receiver gets the number of bytes that it wrote.
fn server(first: &'static str, rest: &'static str) -> (SocketAddr, Receiver<usize>) {
    let (tx, rx) = channel();
    let addr = serve_one(move |mut stream| {
        let block = rest.repeat(16 * 1024 / rest.len());
        let mut written = 0;
        let mut is_open = stream.write_all(first.as_bytes()).is_ok();
        while is_open && written < ENDLESS_BYTES {
            is_open = stream.write_all(block.as_bytes()).is_ok();
            written += block.len();
        }
        tx.send(written).ok();
    });
    (addr, rx)
}

/// Guards against an answer without end that is read until the timeout, and kept in memory meanwhile.
#[test]
fn answer_without_end_is_given_up() {
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (what, first, rest) in [
        ("no head", "", "x"),
        ("status line", "HTTP/1.1 200 ", "x"),
        ("header", "HTTP/1.1 200 OK\r\nX-Fill: ", "x"),
        ("headers", "HTTP/1.1 200 OK\r\n", "X-Fill: yes\r\n"),
        ("empty lines", "", "\r\n"),
        ("interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"),
        ("length", "HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n", "x"),
        ("no length", "HTTP/1.1 200 OK\r\n\r\n", "x"),
        ("chunks", chunked, "4\r\nxxxx\r\n"),
        ("chunk size", chunked, "1"),
        ("trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "T: x\r\n"),
    ] {
        let (addr, written) = server(first, rest);
        let got = {
            let client = Client::default();
            let timeout = CallTimeout::Idle(Duration::from_secs(5));
            let call = client.call(Method::Get, addr, "/records", None, timeout, MAX_BODY_BYTES);
            smol::block_on(call)
        };
        let is_given_up = matches!(got, Err(CallError::TooLarge | CallError::Unknown(_)));
        assert!(is_given_up, "{what}: {got:?}");
        let written = written.recv().unwrap();
        assert!(written < MAX_WRITTEN_BYTES, "{what}: {written} bytes written");
    }
}
