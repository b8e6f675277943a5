//! A way to a service that can be disturbed for one of its users.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use smol::Timer;
use smol::future::FutureExt;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;

const POLL: Duration = Duration::from_millis(5);

/// Bytes that are passed on at a time.
const BUFFER: usize = 16 * 1024;

/// How a way is disturbed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LinkFault {
    /// Not at all.
    #[default]
    None,
    /// Open connections are reset, and new ones closed at once.
    Cut,
    /// Bytes take so much longer, each way.
    Delay(Duration),
    /// What the service sends is lost; what is sent to it arrives.
    OneWay,
    /// What the service sends passes at so many bytes a second, on each connection.
    Rate(u64),
    /// Nothing arrives either way, and connections stay open.
    Silent,
}

/// Passes connections on to one address.
#[derive(Debug)]
pub struct TcpProxy {
    /// Where it listens.
    pub addr: SocketAddr,
    link: Arc<Link>,
    _task: smol::Task<()>,
}

#[derive(Debug, Default)]
struct Link {
    fault: Mutex<LinkFault>,
    /// Connections made before the newest of these stay silent for good.
    generation: AtomicU64,
    /// Bytes of the service that have passed.
    passed: AtomicU64,
}

impl Link {
    /// Returns what happens to a connection that was made in a generation.
    fn fault(&self, generation: u64) -> LinkFault {
        match *self.fault.lock().unwrap_or_else(PoisonError::into_inner) {
            LinkFault::Cut => LinkFault::Cut,
            _ if generation < self.generation.load(Ordering::SeqCst) => LinkFault::Silent,
            fault => fault,
        }
    }
}

/// Which way bytes go.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Direction {
    FromServer,
    ToServer,
}

impl TcpProxy {
    /// Starts it before an address.
    ///
    /// # Errors
    ///
    /// If no port can be opened.
    pub fn start(to: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let addr = listener.local_addr()?;
        let listener = smol::net::TcpListener::try_from(listener)?;
        let link = Arc::new(Link::default());
        let inner = link.clone();
        let task = smol::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if inner.fault(u64::MAX) != LinkFault::Cut {
                    smol::spawn(forward(stream, to, inner.clone())).detach();
                }
            }
        });
        Ok(Self { addr, link, _task: task })
    }

    /// Disturbs the way from now on, or no longer.
    pub fn set_fault(&self, fault: LinkFault) {
        *self.link.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Breaks all connections and refuses new ones, or lets them through again.
    pub fn set_cut(&self, cut: bool) {
        self.set_fault(if cut { LinkFault::Cut } else { LinkFault::None });
    }

    /// Returns the bytes that the service has sent through it.
    pub fn passed(&self) -> u64 {
        self.link.passed.load(Ordering::SeqCst)
    }

    /// Loses track of the connections that exist now: they stay open and say nothing more, for good. New
    /// ones work.
    pub fn silence_connections(&self) {
        self.link.generation.fetch_add(1, Ordering::SeqCst);
    }
}

async fn forward(client: TcpStream, to: SocketAddr, link: Arc<Link>) {
    let generation = link.generation.load(Ordering::SeqCst);
    let Ok(server) = TcpStream::connect(to).await else { return };
    client.set_nodelay(true).ok();
    server.set_nodelay(true).ok();
    let to_server =
        copy_bytes(client.clone(), server.clone(), &link, generation, Direction::ToServer);
    let from_server =
        copy_bytes(server.clone(), client.clone(), &link, generation, Direction::FromServer);
    let is_cut = async {
        while link.fault(generation) != LinkFault::Cut {
            Timer::after(POLL).await;
        }
    };
    to_server.or(from_server).or(is_cut).await;
}

/// Passes bytes on until one end closes.
async fn copy_bytes(
    mut from: TcpStream,
    mut to: TcpStream,
    link: &Link,
    generation: u64,
    direction: Direction,
) {
    let mut buf = vec![0; BUFFER];
    while let Ok(len @ 1..) = from.read(&mut buf).await {
        match link.fault(generation) {
            LinkFault::Delay(delay) => {
                Timer::after(delay).await;
            }
            LinkFault::OneWay if direction == Direction::FromServer => continue,
            LinkFault::Silent => continue,
            LinkFault::Rate(rate) if direction == Direction::FromServer => {
                Timer::after(Duration::from_secs_f64(len as f64 / rate as f64)).await;
            }
            LinkFault::None | LinkFault::Cut | LinkFault::OneWay | LinkFault::Rate(_) => {}
        }
        if direction == Direction::FromServer {
            link.passed.fetch_add(len as u64, Ordering::SeqCst);
        }
        if to.write_all(&buf[..len]).await.is_err() {
            return;
        }
    }
}
