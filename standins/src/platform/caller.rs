//! Callers that send raw bytes and receive responses as they arrive.

use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use super::http::{Head, read_body, read_head};

/// Maximum time that a read waits for bytes.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// A response as a caller received it.
#[derive(Clone, Debug)]
pub struct Got {
    /// Head of the response; empty if the connection was closed without one.
    pub head: Head,
    /// The body; empty if it is incomplete.
    pub body: Vec<u8>,
    /// Whether the response was complete.
    pub is_whole: bool,
}

impl Got {
    /// Returns the status; 0 if there was no response.
    pub fn status(&self) -> u16 {
        self.head.status()
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection of a caller.
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
    /// If the connection is refused.
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
    /// If the connection is closed.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.out.write_all(bytes)
    }

    /// Reads the head of a response; empty if the connection was closed without one.
    pub fn read_head(&mut self) -> Head {
        read_head(&mut self.stream).ok().flatten().unwrap_or_default()
    }

    /// Reads a response.
    pub fn read_response(&mut self) -> Got {
        let head = self.read_head();
        match read_body(&mut self.stream, &head, true) {
            Ok(body) => Got { is_whole: !head.line.is_empty(), head, body },
            Err(_) => Got { head, body: Vec::new(), is_whole: false },
        }
    }

    /// Reads the next available bytes of a body; none if the connection is closed or the read times out.
    pub fn read_some(&mut self) -> Vec<u8> {
        let mut buf = [0; 4096];
        let n = self.stream.read(&mut buf).unwrap_or(0);
        buf[..n].to_vec()
    }

    /// Waits until the peer closes its half of the connection in order.
    ///
    /// # Errors
    ///
    /// If bytes arrive, the connection is reset or the read times out instead.
    pub fn wait_end(&mut self) -> io::Result<()> {
        match self.stream.read(&mut [0])? {
            0 => Ok(()),
            _ => Err(io::ErrorKind::InvalidData.into()),
        }
    }

    /// Waits until the peer closes the connection; returns `false` if bytes arrive or the read times out instead.
    pub fn wait_closed(&mut self) -> bool {
        match self.stream.read(&mut [0]) {
            Ok(n) => n == 0,
            Err(e) => e.kind() == io::ErrorKind::ConnectionReset,
        }
    }
}

/// Sends a request on a new connection and reads the response.
pub fn request(addr: SocketAddr, bytes: &[u8]) -> Got {
    let no_response = Got { head: Head::default(), body: Vec::new(), is_whole: false };
    let Ok(mut conn) = Conn::open(addr) else { return no_response };
    match conn.write(bytes) {
        Ok(()) => conn.read_response(),
        Err(_) => no_response,
    }
}

/// Sends a GET request and reads the response.
pub fn get(addr: SocketAddr, path: &str) -> Got {
    request(addr, format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").as_bytes())
}
