//! A UDP proxy that can lose flows, as a firewall does that has lost its connection state.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

const MAX_DATAGRAM: usize = 65_536;
const READ_TIMEOUT: Duration = Duration::from_millis(50);

/// A proxy that forwards datagrams to one address, with one socket per flow.
#[derive(Debug)]
pub struct UdpProxy {
    /// Listening address.
    pub addr: SocketAddr,
    state: Arc<State>,
}

#[derive(Debug)]
struct State {
    to: SocketAddr,
    flows: Mutex<HashMap<SocketAddr, Flow>>,
    cut: AtomicBool,
    stopped: AtomicBool,
}

#[derive(Debug)]
struct Flow {
    socket: Arc<UdpSocket>,
    silent: Arc<AtomicBool>,
}

impl UdpProxy {
    /// Starts a proxy that forwards to an address.
    ///
    /// # Errors
    ///
    /// If no socket can be bound.
    pub fn start(to: SocketAddr) -> std::io::Result<Self> {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
        socket.set_read_timeout(Some(READ_TIMEOUT))?;
        let addr = socket.local_addr()?;
        let state = Arc::new(State {
            to,
            flows: Mutex::default(),
            cut: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
        });
        let inner = state.clone();
        std::thread::spawn(move || forward(&Arc::new(socket), &inner));
        Ok(Self { addr, state })
    }

    /// Drops all further datagrams of the flows that exist now; new flows work.
    pub fn silence_flows(&self) {
        let flows = self.state.flows.lock().unwrap_or_else(PoisonError::into_inner);
        for flow in flows.values() {
            flow.silent.store(true, Ordering::SeqCst);
        }
    }

    /// Drops all datagrams, or forwards them again.
    pub fn set_cut(&self, cut: bool) {
        self.state.cut.store(cut, Ordering::SeqCst);
    }
}

impl Drop for UdpProxy {
    fn drop(&mut self) {
        self.state.stopped.store(true, Ordering::SeqCst);
    }
}

fn forward(socket: &Arc<UdpSocket>, state: &Arc<State>) {
    let mut buf = vec![0; MAX_DATAGRAM];
    while !state.stopped.load(Ordering::SeqCst) {
        let Ok((n, from)) = socket.recv_from(&mut buf) else { continue };
        let mut flows = state.flows.lock().unwrap_or_else(PoisonError::into_inner);
        let flow = flows.entry(from).or_insert_with(|| open_flow(socket, state, from));
        if !flow.silent.load(Ordering::SeqCst) && !state.cut.load(Ordering::SeqCst) {
            flow.socket.send(&buf[..n]).ok();
        }
    }
}

fn open_flow(socket: &Arc<UdpSocket>, state: &Arc<State>, from: SocketAddr) -> Flow {
    let up = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    up.connect(state.to).expect("loopback");
    up.set_read_timeout(Some(READ_TIMEOUT)).expect("a timeout above zero");
    let flow = Flow { socket: Arc::new(up), silent: Arc::default() };
    let (up, silent) = (flow.socket.clone(), flow.silent.clone());
    let (down, state) = (socket.clone(), state.clone());
    std::thread::spawn(move || {
        let mut buf = vec![0; MAX_DATAGRAM];
        while !state.stopped.load(Ordering::SeqCst) {
            let Ok(n) = up.recv(&mut buf) else { continue };
            if !silent.load(Ordering::SeqCst) && !state.cut.load(Ordering::SeqCst) {
                down.send_to(&buf[..n], from).ok();
            }
        }
    });
    flow
}
