//! Crowds of callers that misbehave.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use super::fleet::wait_for;

/// Time after which a caller gives up connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which a caller that cannot write stops sending, and keeps its connection open.
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval at which a caller looks for a response, and for the end of its crowd.
const READ_POLL: Duration = Duration::from_millis(50);

/// Stack of a caller's thread, in bytes.
const STACK_BYTES: usize = 256 * 1024;

/// What one caller of a crowd sends. It keeps its connection open afterwards, until its crowd leaves.
#[derive(Clone, Debug, Default)]
pub struct Script {
    /// Pieces that it writes, in order.
    pub pieces: Vec<Vec<u8>>,
    /// Times that the last piece is written.
    pub repeats: usize,
    /// Pause before each piece but the first, so that each arrives by itself.
    pub pause: Duration,
    /// Whether it leaves everything that it receives unread.
    pub is_deaf: bool,
}

impl Script {
    /// Returns a script that writes all bytes at once.
    pub fn whole(bytes: Vec<u8>) -> Self {
        Self { pieces: vec![bytes], repeats: 1, ..Self::default() }
    }
}

/// Returns a request with an announced length, and its body in pieces; the last byte of the body is missing.
pub fn unfinished_body(head: &str, body_bytes: usize, piece_bytes: usize) -> Vec<Vec<u8>> {
    let head = format!("{head}Content-Length: {body_bytes}\r\n\r\n");
    let body = vec![b'x'; body_bytes - 1];
    let pieces = body.chunks(piece_bytes).map(<[u8]>::to_vec);
    std::iter::once(head.into_bytes()).chain(pieces).collect()
}

/// Returns a request with a chunked body, one chunk a piece; the chunk that would end the body is missing.
pub fn unfinished_chunks(head: &str, chunks: usize, chunk_bytes: usize) -> Vec<Vec<u8>> {
    let head = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
    let chunk = format!("{chunk_bytes:x}\r\n{}\r\n", "x".repeat(chunk_bytes)).into_bytes();
    std::iter::once(head.into_bytes()).chain(std::iter::repeat_n(chunk, chunks)).collect()
}

/// Callers that run their scripts at the same time. Dropping the crowd closes their connections.
#[derive(Debug)]
pub struct Crowd {
    callers: Vec<JoinHandle<()>>,
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    is_over: AtomicBool,
    settled: AtomicUsize,
    /// What each caller has received so far; `None` once its connection was reset.
    received: Mutex<Vec<Option<Vec<u8>>>>,
}

impl Crowd {
    /// Starts `count` callers of `addr`, each with its script.
    ///
    /// # Panics
    ///
    /// If no thread can be started.
    pub fn start(addr: SocketAddr, count: usize, script: impl Fn(usize) -> Script) -> Self {
        let shared = Arc::new(Shared {
            received: Mutex::new(vec![Some(Vec::new()); count]),
            ..Shared::default()
        });
        let callers = (0..count).map(|n| {
            let (script, shared) = (script(n), shared.clone());
            let caller = std::thread::Builder::new().stack_size(STACK_BYTES);
            caller.spawn(move || run(addr, n, &script, &shared)).expect("a thread")
        });
        Self { callers: callers.collect(), shared }
    }

    /// Waits until each caller has written its script, or cannot write any more.
    pub fn wait_settled(&self) {
        wait_for("the crowd has sent what it can", || self.settled() == self.callers.len());
    }

    /// Returns the number of callers that write no more.
    pub fn settled(&self) -> usize {
        self.shared.settled.load(Ordering::SeqCst)
    }

    /// Returns the status that each caller has received; 0 for those without one.
    pub fn statuses(&self) -> Vec<u16> {
        let received = self.shared.received.lock().unwrap_or_else(PoisonError::into_inner);
        received.iter().map(|bytes| bytes.as_deref().map_or(0, status)).collect()
    }

    /// Closes all connections.
    pub fn leave(self) {}
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.shared.is_over.store(true, Ordering::SeqCst);
        self.callers.drain(..).for_each(|caller| {
            caller.join().ok();
        });
    }
}

/// Returns the status of a response; 0 if its first line is incomplete.
fn status(bytes: &[u8]) -> u16 {
    let line = String::from_utf8_lossy(&bytes[..bytes.len().min(16)]).into_owned();
    line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
}

fn run(addr: SocketAddr, n: usize, script: &Script, shared: &Shared) {
    let stream = TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT);
    if let Ok(stream) = &stream {
        stream.set_nodelay(true).ok();
        stream.set_write_timeout(Some(WRITE_TIMEOUT)).ok();
        stream.set_read_timeout(Some(READ_POLL)).ok();
        write_pieces(stream, script, shared);
    }
    shared.settled.fetch_add(1, Ordering::SeqCst);
    let mut is_open = stream.is_ok() && !script.is_deaf;
    while !shared.is_over.load(Ordering::SeqCst) {
        match &stream {
            Ok(stream) if is_open => is_open = read_some(stream, n, shared),
            _ => std::thread::sleep(READ_POLL),
        }
    }
    if let Ok(stream) = stream {
        stream.shutdown(Shutdown::Both).ok();
    }
}

fn write_pieces(mut stream: &TcpStream, script: &Script, shared: &Shared) {
    let last = script.pieces.last().into_iter();
    let repeated = last.flat_map(|piece| std::iter::repeat_n(piece, script.repeats.max(1) - 1));
    for (n, piece) in script.pieces.iter().chain(repeated).enumerate() {
        if n > 0 && !script.pause.is_zero() {
            std::thread::sleep(script.pause);
        }
        if shared.is_over.load(Ordering::SeqCst) || stream.write_all(piece).is_err() {
            return;
        }
    }
}

/// Reads what has arrived; returns `false` once the connection is closed.
fn read_some(mut stream: &TcpStream, n: usize, shared: &Shared) -> bool {
    let mut buf = [0; 4096];
    let read = stream.read(&mut buf);
    let mut received = shared.received.lock().unwrap_or_else(PoisonError::into_inner);
    match read {
        Ok(0) => false,
        Ok(len) => {
            received[n].iter_mut().for_each(|bytes| bytes.extend_from_slice(&buf[..len]));
            true
        }
        Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => true,
        Err(_) => {
            received[n] = None;
            false
        }
    }
}
