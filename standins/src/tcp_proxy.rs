//! A way to a service that can be cut for one of its users.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use futures_lite::{FutureExt, io};
use smol::Timer;
use smol::net::TcpStream;

const POLL: Duration = Duration::from_millis(5);

/// Passes connections on to one address.
#[derive(Debug)]
pub struct TcpProxy {
    /// Where it listens.
    pub addr: SocketAddr,
    cut: Arc<AtomicBool>,
    _task: smol::Task<()>,
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
        let cut = Arc::new(AtomicBool::new(false));
        let inner = cut.clone();
        let task = smol::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if !inner.load(Ordering::SeqCst) {
                    smol::spawn(pass(stream, to, inner.clone())).detach();
                }
            }
        });
        Ok(Self { addr, cut, _task: task })
    }

    /// Breaks all connections and refuses new ones, or lets them through again.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }
}

async fn pass(near: TcpStream, to: SocketAddr, cut: Arc<AtomicBool>) {
    let Ok(far) = TcpStream::connect(to).await else { return };
    near.set_nodelay(true).ok();
    far.set_nodelay(true).ok();
    let copy = |from: &TcpStream, to: &TcpStream| {
        let (from, to) = (from.clone(), to.clone());
        async move {
            io::copy(from, to).await.ok();
        }
    };
    let is_cut = async {
        while !cut.load(Ordering::SeqCst) {
            Timer::after(POLL).await;
        }
    };
    copy(&near, &far).or(copy(&far, &near)).or(is_cut).await;
}
