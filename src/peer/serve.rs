//! Accepts connections and dispatches their calls.

use std::net::SocketAddr;
use std::sync::Arc;

use quinn::{Connection, Endpoint, RecvStream, SendStream, ServerConfig};

use crate::wire::{Call, FrameReader, FrameWriter, Reply};
use redwingfold_telemetry::Telemetry;

/// Binds a server endpoint to an address.
///
/// # Errors
///
/// If the address cannot be bound.
pub(crate) fn bind(config: ServerConfig, addr: SocketAddr) -> std::io::Result<Endpoint> {
    Endpoint::server(config, addr)
}

/// Accepts connections and passes each call to `handler`, until the endpoint is closed.
///
/// A peer without a certificate of the fleet fails the TLS handshake, so its calls never reach the
/// handler.
pub(crate) async fn serve<F, Fut>(endpoint: Endpoint, telemetry: Telemetry, handler: F)
where
    F: Fn(Connection, Call, FrameWriter<Reply>, FrameReader<Call>) -> Fut
        + Clone
        + Send
        + Sync
        + 'static,
    Fut: Future<Output = ()> + Send + 'static,
{
    while let Some(incoming) = endpoint.accept().await {
        let (telemetry, handler) = (telemetry.clone(), handler.clone());
        let peer = incoming.remote_address();
        smol::spawn(async move {
            match incoming.await {
                Ok(conn) => serve_connection(conn, telemetry, handler).await,
                Err(e) => telemetry.warn("peer_refused", &[("peer", &peer), ("why", &e)]),
            }
        })
        .detach();
    }
}

async fn serve_connection<F, Fut>(conn: Connection, telemetry: Telemetry, handler: F)
where
    F: Fn(Connection, Call, FrameWriter<Reply>, FrameReader<Call>) -> Fut
        + Clone
        + Send
        + Sync
        + 'static,
    Fut: Future<Output = ()> + Send + 'static,
{
    let conn = Arc::new(conn);
    while let Ok((send, recv)) = conn.accept_bi().await {
        let (telemetry, handler, conn) = (telemetry.clone(), handler.clone(), conn.clone());
        smol::spawn(async move {
            serve_stream((*conn).clone(), send, recv, &telemetry, handler).await;
        })
        .detach();
    }
}

async fn serve_stream<F, Fut>(
    conn: Connection,
    send: SendStream,
    recv: RecvStream,
    telemetry: &Telemetry,
    handler: F,
) where
    F: Fn(Connection, Call, FrameWriter<Reply>, FrameReader<Call>) -> Fut,
    Fut: Future<Output = ()>,
{
    let peer = conn.remote_address();
    let mut rx = FrameReader::<Call>::new(recv);
    match rx.next().await {
        Ok(Some(call)) => handler(conn, call, FrameWriter::new(send), rx).await,
        Ok(None) => {}
        Err(e) => telemetry.warn("bad_frame", &[("peer", &peer), ("why", &e)]),
    }
}
