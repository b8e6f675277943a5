//! A TCP proxy that injects faults into the connections of one client of a service.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use smol::Timer;
use smol::future::FutureExt;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;

const POLL: Duration = Duration::from_millis(5);

/// Maximum number of bytes that are forwarded at once.
const BUFFER: usize = 16 * 1024;

/// Fault that a proxy injects.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LinkFault {
    /// No fault.
    #[default]
    None,
    /// Open connections and new ones are closed at once.
    Cut,
    /// Bytes are delayed by this time in each direction.
    Delay(Duration),
    /// Bytes from the service are lost; bytes to it arrive.
    OneWay,
    /// Bytes from the service are limited to this rate, in bytes per second, on each connection.
    Rate(u64),
    /// Bytes are lost in both directions, and connections stay open.
    Silent,
}

/// A proxy that forwards connections to one address.
#[derive(Debug)]
pub struct TcpProxy {
    /// Listening address.
    pub addr: SocketAddr,
    link: Arc<Link>,
    _task: smol::Task<()>,
}

#[derive(Debug, Default)]
struct Link {
    fault: Mutex<LinkFault>,
    /// Current generation of connections; those of earlier generations forward no bytes any more.
    generation: AtomicU64,
    /// Number of bytes from the service that were forwarded.
    passed: AtomicU64,
}

impl Link {
    /// Returns the fault for connections of a generation.
    fn fault(&self, generation: u64) -> LinkFault {
        match *self.fault.lock().unwrap_or_else(PoisonError::into_inner) {
            LinkFault::Cut => LinkFault::Cut,
            _ if generation < self.generation.load(Ordering::SeqCst) => LinkFault::Silent,
            fault => fault,
        }
    }
}

/// Direction in which bytes are forwarded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Direction {
    FromServer,
    ToServer,
}

impl TcpProxy {
    /// Starts a proxy that forwards to an address.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
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

    /// Sets the fault from now on.
    pub fn set_fault(&self, fault: LinkFault) {
        *self.link.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Closes all connections and new ones, or accepts them again.
    pub fn set_cut(&self, cut: bool) {
        self.set_fault(if cut { LinkFault::Cut } else { LinkFault::None });
    }

    /// Returns the number of bytes from the service that it has forwarded.
    pub fn passed(&self) -> u64 {
        self.link.passed.load(Ordering::SeqCst)
    }

    /// Drops all further bytes of the connections that exist now, which stay open, as a firewall does that has lost its
    /// connection state. New connections work.
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

/// Forwards bytes until one end closes the connection.
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
