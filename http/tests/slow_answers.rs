//! Calls whose responses take longer than the idle timeout.

mod common;

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::time::Duration;

use common::serve_one;
use redwingfold_http::{CallError, CallTimeout, Client, Method};

const MAX_BODY_BYTES: usize = 1024 * 1024;
const IDLE_TIMEOUT: Duration = Duration::from_millis(400);
const CHUNK: [u8; 1024] = [b'x'; 1024];

/// Starts a server that answers one call with `chunk_count` chunks of the `total_chunks` in `Content-Length`, with a
/// pause before each, and then sends nothing until the client closes the connection.
fn server(chunk_count: usize, total_chunks: usize, pause: Duration) -> SocketAddr {
    serve_one(move |mut stream| {
        write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", total_chunks * CHUNK.len())
            .unwrap();
        for _ in 0..chunk_count {
            std::thread::sleep(pause);
            if stream.write_all(&CHUNK).is_err() {
                return;
            }
        }
        stream.read_exact(&mut [0]).ok();
    })
}

fn read(addr: SocketAddr, timeout: CallTimeout) -> Result<usize, CallError> {
    let client = Client::default();
    let call = client.call(Method::Get, addr, "/records", None, timeout, MAX_BODY_BYTES);
    smol::block_on(call).map(|response| response.body.len())
}

/// A page of the log takes longer than the timeout to arrive over a slow link. With a timeout on the whole call, the
/// page would be requested again from its start each time, and an entry behind that link would never get it.
#[test]
fn page_that_takes_longer_than_the_timeout_is_read() {
    let addr = server(30, 30, Duration::from_millis(40));
    assert_eq!(read(addr, CallTimeout::Idle(IDLE_TIMEOUT)), Ok(30 * CHUNK.len()));
}

/// A call with an idle timeout fails if the log stops sending in the middle of a page. A call with a total timeout,
/// such as one that a caller waits for, fails even while bytes still arrive.
#[test]
fn silent_server_is_given_up() {
    let unknown = |read: Result<usize, CallError>| matches!(read, Err(CallError::Unknown(_)));
    assert!(unknown(read(server(3, 30, Duration::ZERO), CallTimeout::Idle(IDLE_TIMEOUT))));
    assert!(unknown(read(
        server(300, 300, Duration::from_millis(40)),
        CallTimeout::Total(IDLE_TIMEOUT)
    )));
}
