//! TCP sockets with the timeouts used for all connections.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use redwingfold_core::Millis;
use smol::io::AsyncReadExt;
use smol::net::{TcpListener, TcpStream};
use socket2::{SockRef, TcpKeepalive};

use crate::clock::within;

/// Time after which a connection is closed if sent data is not acknowledged.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Idle time before the first keepalive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);

/// Interval of keepalive probes.
const KEEPALIVE_EVERY: Duration = Duration::from_secs(1);

/// Size of the receive buffer of an accepted connection, which the kernel doubles for its own use.
const RECEIVE_BUFFER_BYTES: usize = 16 * 1024;

/// Size of the receive buffer of a connection to a server, the store or another gateway. What a response takes there until
/// its caller reads on is memory of the process as well.
const SERVER_RECEIVE_BUFFER_BYTES: usize = 32 * 1024;

/// Longest time for which a caller's bytes are discarded after the last response on its connection.
const LINGER_TIMEOUT: Millis = Millis(1_000);

/// Number of bytes discarded at once.
const DISCARD_BYTES: usize = 4 * 1024;

/// Sets the timeouts of a connection and disables Nagle's algorithm.
///
/// A middlebox may drop a connection's state, or a host may lose power, without any notice to the other end. A request
/// would then wait until its deadline; keepalive probes detect the loss in about three seconds.
///
/// # Errors
///
/// If the operating system rejects an option.
pub fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    // With Nagle's algorithm, small writes would wait for the peer's delayed acknowledgement, about 40 ms per event.
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_EVERY)
        .with_retries(2);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}

/// Discards what the peer still sends, until it closes the connection or [`LINGER_TIMEOUT`] has passed; returns `false` in
/// the latter case.
///
/// A socket that is closed with unread bytes resets its connection, and a peer that gets a reset may lose what it has not
/// read yet: a caller that was still sending a refused body would not learn why.
pub(crate) async fn discard_rest(mut stream: TcpStream) -> bool {
    let discarded = async {
        let mut buf = [0; DISCARD_BYTES];
        while stream.read(&mut buf).await.is_ok_and(|len| len > 0) {}
    };
    within(LINGER_TIMEOUT, discarded).await.is_some()
}

/// Connects to an address within `limit`.
///
/// # Errors
///
/// If connecting fails or times out; nothing was sent.
pub async fn connect(addr: SocketAddr, limit: Millis) -> io::Result<TcpStream> {
    let timed_out = || io::Error::new(io::ErrorKind::TimedOut, "no connection in time");
    let stream = within(limit, TcpStream::connect(addr)).await.ok_or_else(timed_out)??;
    set_socket_options(&stream)?;
    SockRef::from(&stream).set_recv_buffer_size(SERVER_RECEIVE_BUFFER_BYTES)?;
    Ok(stream)
}

/// Limits the bytes that connections accepted from now on hold unread. Otherwise the kernel holds up to megabytes for each,
/// as it fits the buffer to the speed of the sender.
///
/// # Errors
///
/// If the operating system rejects the option.
pub(crate) fn limit_unread_bytes(listener: &TcpListener) -> io::Result<()> {
    SockRef::from(listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
}

/// Listens on an address.
///
/// # Errors
///
/// If the address is in use or does not belong to this host.
pub async fn bind(addr: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(addr).await
}
