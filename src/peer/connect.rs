//! Opens connections to other processes and makes calls on them.

use std::net::{Ipv4Addr, SocketAddr};

use quinn::{ClientConfig, Connection, Endpoint};
use redwingfold_core::Millis;

use crate::clock::with_timeout;
use crate::tls::FLEET_SERVER_NAME;
use crate::wire::{Call, Control, FrameReader, FrameWriter, Hello, PROTOCOL, Reply, WireError};

/// A connection with its control stream.
pub(crate) struct Connected {
    pub(crate) conn: Connection,
    pub(crate) hello: Hello,
    pub(crate) tx: FrameWriter<Control>,
    pub(crate) rx: FrameReader<Control>,
    /// Owns the socket, so it must live as long as the connection.
    pub(crate) endpoint: Endpoint,
}

/// Opens a connection from a new local port.
///
/// A network device that has lost its state for a connection drops all packets between that pair of
/// ports, so that the peer appears dead although it is not. A new connection from the same port
/// would be dropped too, so each connection gets a new one.
pub(crate) async fn dial(
    config: &ClientConfig,
    addr: SocketAddr,
    timeout: Millis,
) -> Result<(Endpoint, Connection), WireError> {
    let lost = |e: String| WireError::Lost(format!("{addr}: {e}"));
    let endpoint =
        Endpoint::client((Ipv4Addr::UNSPECIFIED, 0).into()).map_err(|e| lost(e.to_string()))?;
    let connecting = endpoint
        .connect_with(config.clone(), addr, FLEET_SERVER_NAME)
        .map_err(|e| lost(e.to_string()))?;
    match with_timeout(timeout, connecting).await {
        Some(Ok(conn)) => Ok((endpoint, conn)),
        Some(Err(e)) => Err(lost(e.to_string())),
        None => Err(lost("connect timeout".to_owned())),
    }
}

/// Opens a connection and its control stream.
pub(crate) async fn connect(
    config: &ClientConfig,
    addr: SocketAddr,
    timeout: Millis,
    own: Hello,
) -> Result<Connected, WireError> {
    let (endpoint, conn) = dial(config, addr, timeout).await?;
    let handshake = async {
        let lost = |e: quinn::ConnectionError| WireError::Lost(e.to_string());
        let (send, recv) = conn.open_bi().await.map_err(lost)?;
        let mut tx = FrameWriter::<Call>::new(send);
        tx.send(&Call::Control(own)).await?;
        let mut rx = FrameReader::<Control>::new(recv);
        match rx.next().await? {
            Some(Control::Hello(hello)) if hello.protocol == PROTOCOL => Ok((tx.into(), rx, hello)),
            Some(Control::Hello(hello)) => {
                Err(WireError::Torn(format!("protocol {}, not {PROTOCOL}", hello.protocol)))
            }
            other => Err(WireError::Torn(format!("no hello: {other:?}"))),
        }
    };
    let timed_out = || Err(WireError::Lost(format!("{addr}: no hello in time")));
    let (tx, rx, hello) = with_timeout(timeout, handshake).await.unwrap_or_else(timed_out)?;
    Ok(Connected { conn, hello, tx, rx, endpoint })
}

/// Makes one call and waits for its single reply.
pub(crate) async fn call(
    conn: &Connection,
    call: &Call,
    timeout: Millis,
) -> Result<Reply, WireError> {
    let exchange = async {
        let lost = |e: quinn::ConnectionError| WireError::Lost(e.to_string());
        let (send, recv) = conn.open_bi().await.map_err(lost)?;
        let mut tx = FrameWriter::new(send);
        tx.send(call).await?;
        tx.finish();
        let reply = FrameReader::new(recv).next().await?;
        reply.ok_or_else(|| WireError::Torn("no reply".to_owned()))
    };
    let timed_out = || Err(WireError::Lost("no reply in time".to_owned()));
    with_timeout(timeout, exchange).await.unwrap_or_else(timed_out)
}
