//! HTTP servers for callers and for internal pages.

use std::convert::Infallible;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use http::{Request, Response, StatusCode, Uri};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use redwingfold_core::{CallLimits, Millis};
use smol::Async;
use smol::net::{TcpListener, TcpStream};
use smol_hyper::rt::SmolTimer;

use crate::accept::{ACCEPT_RETRY_DELAY, NewConnection, NewConnections};
use crate::caller_connection::{CallerConnection, OpenConnections};
use crate::caller_stream::{CallerBody, CallerStream};
use crate::clock::sleep;
use crate::gateway::{Gateway, Lifecycle};
use crate::hyper_io::HyperIo;
use crate::net::{discard_rest, limit_unread_bytes, set_socket_options};
use crate::pipeline::handle_request;
use crate::response::{GatewayResponse, text_response};

/// Time added to the documented idle timeout, so that a caller that sends at the last moment does not reach a closed
/// connection.
const IDLE_TIMEOUT_MARGIN: Millis = Millis(1_000);

/// Minimum size of the header buffer that the HTTP library accepts.
const MIN_HEADER_BUFFER_BYTES: usize = 8 * 1024;

/// Time within which the head of a request for a page must arrive.
const PAGE_HEAD_TIMEOUT: Millis = Millis(5_000);

/// Accepts callers' connections until the returned future is dropped. Those that were accepted are served nevertheless.
///
/// # Errors
///
/// If no socket pair can be created.
pub fn serve_callers(
    gw: Rc<Gateway>,
    listener: TcpListener,
) -> io::Result<impl Future<Output = ()>> {
    let (settings, telemetry) = (&gw.settings, gw.telemetry.clone());
    set_listener_options(&gw, &listener);
    let accepted =
        NewConnections::new(settings.accept, telemetry, gw.connections.clone(), gw.memory.clone())?;
    let accepted = Rc::new(accepted);
    let logging = accepted.clone();
    gw.spawn(async move { logging.log_overload().await });
    gw.spawn(serve_new_connections(gw.clone(), accepted.clone()));
    Ok(async move { accepted.accept(listener.into()).await })
}

fn set_listener_options(gw: &Gateway, listener: &TcpListener) {
    if let Err(e) = limit_unread_bytes(listener) {
        gw.telemetry.warn("listener_options", &[("why", &e)]);
    }
}

async fn serve_new_connections(gw: Rc<Gateway>, accepted: Rc<NewConnections>) {
    loop {
        let NewConnection { stream, connection } = accepted.next().await;
        let gateway = gw.clone();
        gw.spawn(async move {
            match Async::new(stream) {
                Ok(stream) => serve_connection(&gateway, stream.into(), connection).await,
                Err(e) => gateway.telemetry.warn("connection_options", &[("why", &e)]),
            }
        });
    }
}

async fn serve_connection(gw: &Rc<Gateway>, stream: TcpStream, connection: CallerConnection) {
    if let Err(e) = set_socket_options(&stream) {
        gw.telemetry.warn("connection_options", &[("why", &e)]);
        return;
    }
    let connection = Rc::new(connection);
    connection.record_start();
    let limits = gw.catalog().map_or_else(CallLimits::default, |c| c.limits);
    let served = async {
        let ended = serve_requests(gw, stream.clone(), &connection, &limits).await;
        let is_refused = |e: &hyper::Error| e.is_parse() || e.is_parse_too_large();
        if connection.has_unread_body() || ended.as_ref().is_err_and(is_refused) {
            connection.record_closing();
            // Boxed, as its buffer would enlarge the state of every connection.
            if !Box::pin(discard_rest(stream)).await {
                connection.record_limit("discard_timeout");
            }
        }
        if let Err(e) = ended {
            let why = crate::upstream::error_chain(&e);
            gw.telemetry.count("connection.broken", 1);
            gw.telemetry.debug("connection_broken", &[("why", &why)]);
        }
    };
    let head_timeout = async {
        connection.wait_for_head_timeout(limits.head_timeout).await;
        connection.record_limit("slow_head");
    };
    smol::future::or(connection.wait_close(), smol::future::or(served, head_timeout)).await;
}

/// Serves the requests on a connection until it ends, or the gateway stops.
async fn serve_requests(
    gw: &Rc<Gateway>,
    stream: TcpStream,
    connection: &Rc<CallerConnection>,
    limits: &CallLimits,
) -> Result<(), hyper::Error> {
    let idle = limits.idle_timeout.max(limits.head_timeout).after(IDLE_TIMEOUT_MARGIN);
    let service = service_fn(|req: Request<Incoming>| {
        let (gw, connection) = (gw.clone(), connection.clone());
        connection.record_request();
        async move {
            let (head, inner) = handle_request(gw, &connection, req).await.into_parts();
            Ok::<_, Infallible>(Response::from_parts(head, CallerBody { inner, connection }))
        }
    });
    let is_shutting_down = gw.lifecycle() == Lifecycle::Stopping;
    let stream = CallerStream { inner: stream, connection: connection.clone() };
    let conn = http1::Builder::new()
        .keep_alive(!is_shutting_down)
        .timer(SmolTimer::new())
        .header_read_timeout(Duration::from_millis(idle.0))
        .max_buf_size(limits.head_bytes.max(MIN_HEADER_BUFFER_BYTES))
        .serve_connection(HyperIo(stream), service);
    let mut conn = pin!(conn);
    let shutdown = async {
        // A connection accepted during shutdown has no keep-alive, and stays open for its only request.
        if is_shutting_down {
            std::future::pending::<()>().await;
        }
        gw.wait_until_stopping().await;
        None
    };
    match smol::future::or(async { Some(conn.as_mut().await) }, shutdown).await {
        Some(ended) => ended,
        None => {
            conn.as_mut().graceful_shutdown();
            conn.as_mut().await
        }
    }
}

/// Limits of a listener for pages.
#[derive(Clone, Copy, Debug)]
pub struct PageLimits {
    /// Maximum number of open connections. If all are taken, one without a request is closed for a new one.
    pub connections: usize,
    /// Maximum number of responses that are written at the same time. Further requests are refused.
    pub responses: usize,
}

/// Serves pages. `page` returns the response for a URI, or `None` for status 404.
pub async fn serve_pages(
    gw: Rc<Gateway>,
    listener: TcpListener,
    limits: PageLimits,
    page: impl Fn(&Uri) -> Option<GatewayResponse> + Clone + 'static,
) {
    set_listener_options(&gw, &listener);
    let open = OpenConnections::new("pages", limits.connections, gw.telemetry.clone());
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if let Some(connection) = open.open() {
            let (gateway, open, page) = (gw.clone(), open.clone(), page.clone());
            gw.spawn(async move {
                let page = |uri: &Uri| match open.busy() <= limits.responses {
                    true => page(uri),
                    false => {
                        open.record_limit("busy");
                        Some(text_response(StatusCode::SERVICE_UNAVAILABLE, "busy\n"))
                    }
                };
                serve_page_requests(&gateway, stream, connection, page).await;
            });
        }
        // Each connection is read before the next one may take its place.
        smol::future::yield_now().await;
    }
}

async fn serve_page_requests(
    gw: &Gateway,
    stream: TcpStream,
    connection: CallerConnection,
    page: impl Fn(&Uri) -> Option<GatewayResponse>,
) {
    if let Err(e) = set_socket_options(&stream) {
        gw.telemetry.warn("connection_options", &[("why", &e)]);
        return;
    }
    let connection = Rc::new(connection);
    connection.record_start();
    let service = service_fn(|req: Request<Incoming>| {
        connection.record_request();
        let not_found = || text_response(StatusCode::NOT_FOUND, "");
        let (head, inner) = page(req.uri()).unwrap_or_else(not_found).into_parts();
        let res = Response::from_parts(head, CallerBody { inner, connection: connection.clone() });
        std::future::ready(Ok::<_, Infallible>(res))
    });
    let stream = CallerStream { inner: stream, connection: connection.clone() };
    let conn = http1::Builder::new()
        .max_buf_size(MIN_HEADER_BUFFER_BYTES)
        .serve_connection(HyperIo(stream), service);
    let served = async {
        // An error needs no handling here, as the client notices that its request failed.
        conn.await.ok();
    };
    let slow_head = async {
        connection.wait_for_head_timeout(PAGE_HEAD_TIMEOUT).await;
        connection.record_limit("slow_head");
    };
    let closed = smol::future::or(connection.wait_close(), slow_head);
    smol::future::or(closed, served).await;
}
