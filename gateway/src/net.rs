//! TCP sockets with the timeouts used for all connections.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use redwingfold_core::Millis;
use smol::net::{TcpListener, TcpStream};
use socket2::{SockRef, TcpKeepalive};

use crate::clock::within;

/// Time after which a connection is closed if sent data is not acknowledged.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Idle time before the first keepalive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);

/// Interval of keepalive probes.
const KEEPALIVE_EVERY: Duration = Duration::from_secs(1);

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

/// Connects to an address within `limit`.
///
/// # Errors
///
/// If connecting fails or times out; nothing was sent.
pub async fn connect(addr: SocketAddr, limit: Millis) -> io::Result<TcpStream> {
    let timed_out = || io::Error::new(io::ErrorKind::TimedOut, "no connection in time");
    let stream = within(limit, TcpStream::connect(addr)).await.ok_or_else(timed_out)??;
    set_socket_options(&stream)?;
    Ok(stream)
}

/// Listens on an address.
///
/// # Errors
///
/// If the address is in use or does not belong to this host.
pub async fn bind(addr: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(addr).await
}
