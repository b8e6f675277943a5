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
use crate::caller_connection::CallerConnection;
use crate::clock::sleep;
use crate::gateway::{Gateway, Lifecycle};
use crate::header_timer::HeaderTimer;
use crate::hyper_io::HyperIo;
use crate::net::{discard_rest, set_socket_options};
use crate::pipeline::handle_request;
use crate::response::{GatewayResponse, text_response};

/// Time added to the documented idle timeout, so that a caller that sends at the last moment does not reach a closed
/// connection.
const IDLE_TIMEOUT_MARGIN: Millis = Millis(1_000);

/// Minimum size of the header buffer that the HTTP library accepts.
const MIN_HEADER_BUFFER_BYTES: usize = 8 * 1024;

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
    let max_open = settings.max_connections;
    let accepted = NewConnections::new(settings.accept, telemetry, gw.connections.clone())?;
    let accepted = Rc::new(accepted);
    let logging = accepted.clone();
    gw.spawn(async move { logging.log_overload().await });
    gw.spawn(serve_new_connections(gw.clone(), accepted.clone()));
    Ok(async move { accepted.accept(listener.into(), max_open).await })
}

async fn serve_new_connections(gw: Rc<Gateway>, accepted: Rc<NewConnections>) {
    loop {
        let NewConnection { stream, guard } = accepted.next().await;
        let gateway = gw.clone();
        gw.spawn(async move {
            match Async::new(stream) {
                Ok(stream) => serve_connection(&gateway, stream.into()).await,
                Err(e) => gateway.telemetry.warn("connection_options", &[("why", &e)]),
            }
            drop(guard);
        });
    }
}

async fn serve_connection(gw: &Rc<Gateway>, stream: TcpStream) {
    if let Err(e) = set_socket_options(&stream) {
        gw.telemetry.warn("connection_options", &[("why", &e)]);
        return;
    }
    let limits = gw.catalog().map_or_else(CallLimits::default, |c| c.limits);
    let idle = limits.idle_timeout.max(limits.head_timeout).after(IDLE_TIMEOUT_MARGIN);
    let timer = HeaderTimer::default();
    let connection = Rc::new(CallerConnection::default());
    let lingering = stream.clone();
    let service = service_fn(|req: Request<Incoming>| {
        let (gw, timer, connection) = (gw.clone(), timer.clone(), connection.clone());
        timer.record_complete();
        async move {
            let (head, body) = handle_request(gw, &connection, req).await.into_parts();
            Ok::<_, Infallible>(Response::from_parts(head, timer.wrap_body(body)))
        }
    });
    let is_shutting_down = gw.lifecycle() == Lifecycle::Stopping;
    let conn = http1::Builder::new()
        .keep_alive(!is_shutting_down)
        .timer(SmolTimer::new())
        .header_read_timeout(Duration::from_millis(idle.0))
        .max_buf_size(limits.head_bytes.max(MIN_HEADER_BUFFER_BYTES))
        .serve_connection(HyperIo(timer.wrap_stream(stream)), service);
    let mut conn = pin!(conn);
    let shutdown = async {
        // A connection accepted during shutdown has no keep-alive, and stays open for its only request.
        if is_shutting_down {
            std::future::pending::<()>().await;
        }
        gw.wait_until_stopping().await;
        None
    };
    let header_timeout = async {
        timer.wait_for_timeout(limits.head_timeout).await;
        gw.telemetry.count("connection.slow_head", 1);
        gw.telemetry
            .debug("connection_closed", &[("why", &"timeout while receiving a request head")]);
    };
    let served = async {
        match smol::future::or(async { Some(conn.as_mut().await) }, shutdown).await {
            Some(ended) => ended,
            None => {
                conn.as_mut().graceful_shutdown();
                conn.as_mut().await
            }
        }
    };
    let ended = smol::future::or(served, async {
        header_timeout.await;
        Ok(())
    });
    let ended = ended.await;
    let is_refused = |e: &hyper::Error| e.is_parse() || e.is_parse_too_large();
    if connection.has_unread_body() || ended.as_ref().is_err_and(is_refused) {
        discard_rest(lingering).await;
    }
    if let Err(e) = ended {
        gw.telemetry.count("connection.broken", 1);
        gw.telemetry.debug("connection_broken", &[("why", &crate::upstream::error_chain(&e))]);
    }
}

/// Serves pages on at most `max` concurrent connections; further ones are closed immediately. `page` returns the response
/// for a URI, or `None` for status 404.
pub async fn serve_pages(
    gw: Rc<Gateway>,
    listener: TcpListener,
    max: usize,
    page: impl Fn(&Uri) -> Option<GatewayResponse> + Clone + 'static,
) {
    let open = Rc::new(());
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if Rc::strong_count(&open) > max {
            gw.telemetry.count("pages.refused", 1);
            continue;
        }
        let (page, open_guard) = (page.clone(), open.clone());
        let gateway = gw.clone();
        gw.spawn(async move {
            if let Err(e) = set_socket_options(&stream) {
                gateway.telemetry.warn("connection_options", &[("why", &e)]);
                return;
            }
            let service = service_fn(|req: Request<Incoming>| {
                let not_found = || text_response(StatusCode::NOT_FOUND, "");
                let res = page(req.uri()).unwrap_or_else(not_found);
                std::future::ready(Ok::<_, Infallible>(res))
            });
            let conn = http1::Builder::new().serve_connection(HyperIo(stream), service);
            // An error needs no handling here, as the client notices that its request failed.
            conn.await.ok();
            drop(open_guard);
        });
    }
}
