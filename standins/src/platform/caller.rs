//! Callers that see the very bytes.

use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use super::http::{Head, read_body, read_head};

/// Longest wait for anything in a test.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// What a caller got.
#[derive(Clone, Debug)]
pub struct Got {
    /// The answer's head; empty if the connection ended without one.
    pub head: Head,
    /// The body, as far as it came.
    pub body: Vec<u8>,
    /// Whether the answer was complete.
    pub is_whole: bool,
}

impl Got {
    /// Returns the status; 0 if there was no answer.
    pub fn status(&self) -> u16 {
        self.head.status()
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A caller's connection.
#[derive(Debug)]
pub struct Conn {
    out: TcpStream,
    stream: BufReader<TcpStream>,
}

impl Conn {
    /// Connects.
    ///
    /// # Errors
    ///
    /// If nobody listens.
    pub fn open(addr: SocketAddr) -> io::Result<Self> {
        let out = TcpStream::connect(addr)?;
        out.set_nodelay(true)?;
        out.set_read_timeout(Some(READ_TIMEOUT))?;
        Ok(Self { stream: BufReader::new(out.try_clone()?), out })
    }

    /// Writes bytes.
    ///
    /// # Errors
    ///
    /// If the connection has ended.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.out.write_all(bytes)
    }

    /// Reads the head of an answer; empty if the connection ended without one.
    pub fn read_head(&mut self) -> Head {
        read_head(&mut self.stream).ok().flatten().unwrap_or_default()
    }

    /// Reads an answer.
    pub fn read_response(&mut self) -> Got {
        let head = self.read_head();
        match read_body(&mut self.stream, &head, true) {
            Ok(body) => Got { is_whole: !head.line.is_empty(), head, body },
            Err(_) => Got { head, body: Vec::new(), is_whole: false },
        }
    }

    /// Reads some bytes of a body; none if the connection has ended.
    pub fn read_some(&mut self) -> Vec<u8> {
        let mut buf = [0; 4096];
        let n = self.stream.read(&mut buf).unwrap_or(0);
        buf[..n].to_vec()
    }

    /// Says whether the other end has closed, and waits for it; one that only says nothing has not.
    pub fn wait_closed(&mut self) -> bool {
        match self.stream.read(&mut [0]) {
            Ok(n) => n == 0,
            Err(e) => e.kind() == io::ErrorKind::ConnectionReset,
        }
    }
}

/// Sends a request on a connection of its own and reads the answer.
pub fn request(addr: SocketAddr, bytes: &[u8]) -> Got {
    let no_response = Got { head: Head::default(), body: Vec::new(), is_whole: false };
    let Ok(mut conn) = Conn::open(addr) else { return no_response };
    match conn.write(bytes) {
        Ok(()) => conn.read_response(),
        Err(_) => no_response,
    }
}

/// Gets a page.
pub fn get(addr: SocketAddr, path: &str) -> Got {
    request(addr, format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").as_bytes())
}
