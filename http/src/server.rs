//! HTTP/1.1 server with connection limits, head timeouts and graceful shutdown.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use async_h1::server::{ConnectionStatus, Server};
use futures_lite::{AsyncWriteExt, FutureExt};
use http_types::{Request, Response, StatusCode, headers};
use redwingfold_core::ConnectionPhase;
use smol::Timer;
use smol::net::{TcpListener, TcpStream};

use crate::conn::{Conn, ConnState, MAX_HEAD_BYTES, Peer};
use crate::places::{Place, Places};

/// Limits on connections.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum time to receive a request's head, including the idle time before the request.
    pub head_timeout: Duration,
}

/// Maximum number of connections without a place that are refused at the same time. Further ones are closed at once, as a
/// refusal waits for its caller to read it.
const MAX_REFUSALS: usize = 64;

/// Why a request or connection was refused before the handler was called.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The head isn't valid HTTP/1.1.
    BadRequest,
    /// The head is too large.
    HeadTooLarge,
    /// The head was not received within the timeout.
    SlowSender,
    /// Too many open connections.
    TooManyOpen,
}

/// Graceful shutdown: counts requests in flight and open connections, and closes connections after
/// their next response.
#[derive(Clone, Debug, Default)]
pub struct Drain(Arc<DrainState>);

#[derive(Debug, Default)]
struct DrainState {
    is_draining: AtomicBool,
    open_connections: AtomicUsize,
    in_flight: AtomicUsize,
    /// Set when the server starts.
    places: OnceLock<Arc<Places>>,
}

impl Drain {
    /// Starts the drain: from now on each response closes its connection.
    pub fn begin(&self) {
        self.0.is_draining.store(true, Ordering::SeqCst);
    }

    /// Returns whether the drain has started.
    pub fn is_draining(&self) -> bool {
        self.0.is_draining.load(Ordering::SeqCst)
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.0.in_flight.load(Ordering::SeqCst)
    }

    /// Returns the number of connections without a request, or idle ones, that were closed for new ones.
    pub fn closed_for_new(&self) -> u64 {
        self.0.places.get().map_or(0, |places| places.closed_for_new())
    }

    /// Returns the number of connections that were refused, as all others were in use.
    pub fn refused(&self) -> u64 {
        self.0.places.get().map_or(0, |places| places.refused())
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.0.open_connections.load(Ordering::SeqCst)
    }
}

struct CountGuard<'a>(&'a AtomicUsize);

impl<'a> CountGuard<'a> {
    fn new(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::SeqCst);
        Self(count)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Creates a response without a body for a refusal, the default `refuse` function for [`serve`].
pub fn refusal_response(kind: Refusal) -> Response {
    let status = match kind {
        Refusal::BadRequest => StatusCode::BadRequest,
        Refusal::HeadTooLarge => StatusCode::RequestHeaderFieldsTooLarge,
        Refusal::SlowSender => StatusCode::RequestTimeout,
        Refusal::TooManyOpen => StatusCode::ServiceUnavailable,
    };
    Response::new(status)
}

/// Accepts and serves connections. Never returns; drop the future to stop accepting.
///
/// `refuse` creates the responses to requests that are refused before `handler` is called.
pub async fn serve<F, Fut, R>(
    listener: TcpListener,
    limits: Limits,
    drain: Drain,
    refuse: R,
    handler: F,
) where
    F: Fn(Request, Peer) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Response> + Send + 'static,
    R: Fn(Refusal) -> Response + Clone + Send + Sync + 'static,
{
    let places = Places::new(limits.connections);
    let places = drain.0.places.get_or_init(|| Arc::new(places)).clone();
    let refusing = Arc::new(AtomicUsize::new(0));
    loop {
        let Ok((stream, addr)) = listener.accept().await else {
            // Most likely out of file descriptors: wait for some to be closed instead of
            // busy-looping.
            Timer::after(Duration::from_millis(10)).await;
            continue;
        };
        // With Nagle's algorithm, small writes wait for the peer's delayed ACK, about 40 ms a
        // request.
        stream.set_nodelay(true).ok();
        let (drain, handler, refuse) = (drain.clone(), handler.clone(), refuse.clone());
        let (place, refusing) = (places.open(), refusing.clone());
        smol::spawn(async move {
            let _open_guard = CountGuard::new(&drain.0.open_connections);
            match place {
                Some(place) => {
                    let serving =
                        serve_connection(stream, addr, limits, &place, &drain, refuse, handler);
                    serving.or(place.wait_close()).await;
                }
                None => {
                    let _refusing_guard = CountGuard::new(&refusing);
                    if refusing.load(Ordering::SeqCst) <= MAX_REFUSALS {
                        write_refusal(stream, refuse(Refusal::TooManyOpen)).await;
                    }
                }
            }
        })
        .detach();
    }
}

async fn serve_connection<F, Fut, R>(
    stream: TcpStream,
    addr: SocketAddr,
    limits: Limits,
    place: &Place,
    drain: &Drain,
    refuse: R,
    handler: F,
) where
    F: Fn(Request, Peer) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Response> + Send + 'static,
    R: Fn(Refusal) -> Response,
{
    let conn = Conn { stream, state: Arc::new(ConnState::default()) };
    loop {
        let state = conn.state.clone();
        state.bytes_read.store(0, Ordering::Relaxed);
        state.is_head_read.store(false, Ordering::Relaxed);
        place.set_phase(ConnectionPhase::Idle);
        let peer = Peer { conn: conn.clone(), addr };
        let endpoint = |req: Request| {
            state.is_head_read.store(true, Ordering::Relaxed);
            place.set_phase(ConnectionPhase::Busy);
            // Boxed because a future is copied into each future that awaits it. An unboxed handler
            // future of tens of kilobytes took half a megabyte per connection and overflowed the
            // thread's stack.
            let answer = Box::pin(handler(req, peer.clone()));
            let (state, drain) = (state.clone(), drain.clone());
            async move {
                let mut res = answer.await;
                if drain.is_draining() || state.skip_body.load(Ordering::Relaxed) {
                    res.insert_header(headers::CONNECTION, "close");
                }
                Ok(res)
            }
        };
        let mut server = Server::new(conn.clone(), endpoint);
        let serving = count_in_flight(server.accept_one(), &state, drain);
        let timed_out = async {
            head_timeout(&state, limits.head_timeout).await;
            None
        };
        let outcome = async { Some(serving.await) }.or(timed_out).await;
        let is_head_read = state.is_head_read.load(Ordering::Relaxed);
        let bytes_read = state.bytes_read.load(Ordering::Relaxed);
        let refusal = match outcome {
            Some(Ok(ConnectionStatus::KeepAlive)) => continue,
            _ if is_head_read && state.skip_body.load(Ordering::Relaxed) => {
                place.set_phase(ConnectionPhase::Closing);
                close_gracefully(conn.stream.clone()).await;
                break;
            }
            _ if is_head_read || bytes_read == 0 => break,
            Some(Ok(ConnectionStatus::Close)) => break,
            Some(Err(_)) if bytes_read >= MAX_HEAD_BYTES => Refusal::HeadTooLarge,
            Some(Err(_)) => Refusal::BadRequest,
            None => Refusal::SlowSender,
        };
        write_refusal(conn.stream.clone(), refuse(refusal)).await;
        break;
    }
}

/// Counts a request as in flight from its first byte until its response is written.
async fn count_in_flight<T>(
    serving: impl Future<Output = T>,
    state: &ConnState,
    drain: &Drain,
) -> T {
    let mut serving = std::pin::pin!(serving);
    let mut guard = None;
    std::future::poll_fn(|cx| {
        let polled = serving.as_mut().poll(cx);
        if guard.is_none() && state.bytes_read.load(Ordering::Relaxed) > 0 {
            guard = Some(CountGuard::new(&drain.0.in_flight));
        }
        polled
    })
    .await
}

/// Completes if the head isn't read within the timeout; never completes once it has been read.
async fn head_timeout(state: &ConnState, timeout: Duration) {
    Timer::after(timeout).await;
    if state.is_head_read.load(Ordering::Relaxed) {
        std::future::pending::<()>().await;
    }
}

async fn write_refusal(mut stream: TcpStream, mut res: Response) {
    res.insert_header(headers::CONNECTION, "close");
    let mut encoder = async_h1::server::Encoder::new(res, http_types::Method::Get);
    if futures_lite::io::copy(&mut encoder, &mut stream).await.is_ok() {
        close_gracefully(stream).await;
    }
}

/// Maximum time to read and discard what the caller still sends before its connection is closed.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// Closes the sending half of a connection, and reads on for a while before closing it.
///
/// Closing with unread bytes resets the connection: a caller that was still sending a refused body
/// got a reset instead of its response.
async fn close_gracefully(mut stream: TcpStream) {
    stream.close().await.ok();
    let mut discard_buf = [0; 16 * 1024];
    let discarded = async {
        while matches!(futures_lite::AsyncReadExt::read(&mut stream, &mut discard_buf).await, Ok(n) if n > 0)
        {
        }
    };
    discarded
        .or(async {
            Timer::after(LINGER_TIMEOUT).await;
        })
        .await;
}
