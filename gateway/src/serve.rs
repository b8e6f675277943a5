//! Accepting callers, and the pages that a process shows of itself.

use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use http::{Request, Response, StatusCode, Uri};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use redwingfold_core::{CallLimits, Millis};
use smol::net::{TcpListener, TcpStream};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::answer::{GatewayResponse, text_response};
use crate::clock::sleep;
use crate::gateway::{Gateway, Lifecycle};
use crate::head_watch::HeadWatch;
use crate::net::with_timeouts;
use crate::pipeline::handle;

/// Pause after a failed accept: out of descriptors, most likely, until some are closed.
const ACCEPT_PAUSE: Millis = Millis(10);

/// Time for which a connection may be idle beyond what callers are told: one that sends at the
/// last moment must not meet a closed connection.
const IDLE_SLACK: Millis = Millis(1_000);

/// Smallest buffer for heads that the HTTP library takes.
const MIN_HEAD_BUFFER: usize = 8 * 1024;

/// Serves callers until the caller drops the future.
pub async fn serve_callers(gw: Rc<Gateway>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if gw.connections.get() >= gw.settings.max_connections {
            gw.telemetry.count("connection.refused", 1);
            continue;
        }
        let of_connection = gw.clone();
        gw.spawn(async move {
            of_connection.connections.set(of_connection.connections.get() + 1);
            serve_caller(&of_connection, stream).await;
            of_connection.connections.set(of_connection.connections.get() - 1);
        });
    }
}

async fn serve_caller(gw: &Rc<Gateway>, stream: TcpStream) {
    if let Err(e) = with_timeouts(&stream) {
        gw.telemetry.warn("connection_options", &[("why", &e)]);
        return;
    }
    let limits = gw.catalog().map_or_else(CallLimits::default, |c| c.limits);
    let idle = limits.idle_timeout.max(limits.head_timeout).after(IDLE_SLACK);
    let watch = HeadWatch::default();
    let service = service_fn(|req: Request<Incoming>| {
        let (gw, watch) = (gw.clone(), watch.clone());
        watch.is_whole();
        async move {
            let (head, body) = handle(gw, req).await.into_parts();
            Ok::<_, Infallible>(Response::from_parts(head, watch.answer(body)))
        }
    });
    let is_ending = gw.lifecycle() == Lifecycle::Stopping;
    let conn = http1::Builder::new()
        .keep_alive(!is_ending)
        .timer(SmolTimer::new())
        .header_read_timeout(Duration::from_millis(idle.0))
        .max_buf_size(limits.head_bytes.max(MIN_HEAD_BUFFER))
        .serve_connection(FuturesIo::new(watch.stream(stream)), service);
    let mut conn = pin!(conn);
    let ending = async {
        // A connection that came while the process ends is for one request, and stays for it.
        if is_ending {
            std::future::pending::<()>().await;
        }
        gw.wait_until_stopping().await;
        None
    };
    let late = async {
        watch.is_late(limits.head_timeout).await;
        gw.telemetry.count("connection.slow_head", 1);
        gw.telemetry.debug("connection_closed", &[("why", &"a head took too long")]);
    };
    let served = async {
        match smol::future::or(async { Some(conn.as_mut().await) }, ending).await {
            Some(ended) => ended,
            None => {
                conn.as_mut().graceful_shutdown();
                conn.as_mut().await
            }
        }
    };
    let ended = smol::future::or(served, async {
        late.await;
        Ok(())
    });
    let ended = ended.await;
    if let Err(e) = ended {
        gw.telemetry.count("connection.broken", 1);
        gw.telemetry.debug("connection_broken", &[("why", &crate::upstream::error_chain(&e))]);
    }
}

/// Serves pages on at most `max` connections at a time: `page` makes the answer to a target, or says that there
/// is none. One connection more is closed at once.
pub async fn serve_pages(
    gw: Rc<Gateway>,
    listener: TcpListener,
    max: usize,
    page: impl Fn(&Uri) -> Option<GatewayResponse> + Clone + 'static,
) {
    let open = Rc::new(());
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if Rc::strong_count(&open) > max {
            gw.telemetry.count("pages.refused", 1);
            continue;
        }
        let (page, is_open) = (page.clone(), open.clone());
        let of_connection = gw.clone();
        gw.spawn(async move {
            if let Err(e) = with_timeouts(&stream) {
                of_connection.telemetry.warn("connection_options", &[("why", &e)]);
                return;
            }
            let service = service_fn(|req: Request<Incoming>| {
                let none = || text_response(StatusCode::NOT_FOUND, "");
                let res = page(req.uri()).unwrap_or_else(none);
                std::future::ready(Ok::<_, Infallible>(res))
            });
            let conn = http1::Builder::new().serve_connection(FuturesIo::new(stream), service);
            // Whoever asked for the page sees that it did not come.
            conn.await.ok();
            drop(is_open);
        });
    }
}
