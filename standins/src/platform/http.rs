//! A minimal HTTP/1.1 parser for messages that tests read and write as bytes.

use std::io::{self, BufRead, BufReader, Read};
use std::net::TcpStream;

/// Maximum number of headers in a head.
const MAX_HEADERS: usize = 100;

/// The head of a request or a response.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Head {
    /// The first line.
    pub line: String,
    /// Header names in lowercase, and their values.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a header.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// Returns the `n`th space-separated part of the first line, counted from 0; empty if there is none.
    pub fn line_part(&self, n: usize) -> &str {
        self.line.split(' ').nth(n).unwrap_or_default()
    }

    /// Returns the status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.line_part(1).parse().unwrap_or(0)
    }
}

/// Reads a head; `None` if the connection was closed before the first line.
pub(crate) fn read_head(stream: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line)? == 0 {
            return match head.line.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
        let line = line.trim_end();
        match line.split_once(':') {
            _ if line.is_empty() && head.line.is_empty() => {}
            _ if line.is_empty() => return Ok(Some(head)),
            _ if head.line.is_empty() => head.line = line.to_owned(),
            Some((name, value)) if head.headers.len() < MAX_HEADERS => {
                head.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
            _ => return Err(io::ErrorKind::InvalidData.into()),
        }
    }
}

/// Reads a body with the framing that its head declares. Without framing, reads until the connection is closed if
/// `to_end` is set, and otherwise nothing.
pub(crate) fn read_body(
    stream: &mut BufReader<TcpStream>,
    head: &Head,
    to_end: bool,
) -> io::Result<Vec<u8>> {
    if head.get("transfer-encoding").is_some() {
        return read_chunks(stream);
    }
    let mut body = Vec::new();
    match head.get("content-length").map(str::parse::<usize>) {
        Some(Ok(len)) => {
            body.resize(len, 0);
            stream.read_exact(&mut body)?;
        }
        _ if to_end => {
            stream.read_to_end(&mut body)?;
        }
        _ => {}
    }
    Ok(body)
}

fn read_chunks(stream: &mut BufReader<TcpStream>) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let len = usize::from_str_radix(line.trim_end(), 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let from = body.len();
        body.resize(from + len, 0);
        stream.read_exact(&mut body[from..])?;
        let mut end = [0; 2];
        stream.read_exact(&mut end)?;
        if len == 0 {
            return Ok(body);
        }
    }
}
