//! Frames: a big-endian length of four bytes, then a message encoded with postcard.

use std::fmt;
use std::marker::PhantomData;

use quinn::{ReadExactError, RecvStream, SendStream};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Longest frame in bytes, without the length prefix. A longer one is rejected as an attack or a
/// fault.
pub(crate) const MAX_FRAME: usize = 24 * 1024 * 1024;

const LENGTH_BYTES: usize = 4;

/// Why a frame could not be read or written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum WireError {
    /// The stream or its connection was lost.
    Lost(String),
    /// The frame is malformed: truncated, too long or not decodable.
    Torn(String),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Lost(why) => write!(f, "stream lost: {why}"),
            Self::Torn(why) => write!(f, "torn frame: {why}"),
        }
    }
}

/// Encodes a message with its length prefix.
pub(crate) fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, WireError> {
    let malformed = |e: String| WireError::Torn(e);
    let mut buf = postcard::to_extend(message, vec![0; LENGTH_BYTES])
        .map_err(|e| malformed(e.to_string()))?;
    let len = buf.len() - LENGTH_BYTES;
    if len > MAX_FRAME {
        return Err(malformed(format!("frame of {len} bytes")));
    }
    buf[..LENGTH_BYTES].copy_from_slice(&(len as u32).to_be_bytes());
    Ok(buf)
}

/// Decodes a message without its length prefix. Trailing bytes are an error.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, WireError> {
    match postcard::take_from_bytes(bytes) {
        Ok((message, [])) => Ok(message),
        Ok((_, rest)) => Err(WireError::Torn(format!("{} bytes too many", rest.len()))),
        Err(e) => Err(WireError::Torn(e.to_string())),
    }
}

/// Writes messages of one type.
pub(crate) struct FrameWriter<T> {
    stream: SendStream,
    marker: PhantomData<fn(T)>,
}

impl<T: Serialize> FrameWriter<T> {
    pub(crate) fn new(stream: SendStream) -> Self {
        Self { stream, marker: PhantomData }
    }

    pub(crate) async fn send(&mut self, message: &T) -> Result<usize, WireError> {
        let buf = encode(message)?;
        self.stream.write_all(&buf).await.map_err(|e| WireError::Lost(e.to_string()))?;
        Ok(buf.len())
    }

    /// Finishes the stream. Messages already sent are still delivered.
    pub(crate) fn finish(&mut self) {
        self.stream.finish().ok();
    }

    /// Waits until the peer stops reading the stream.
    pub(crate) async fn stopped(&self) {
        self.stream.stopped().await.ok();
    }

    /// Continues the stream with messages of another type.
    pub(crate) fn into<U: Serialize>(self) -> FrameWriter<U> {
        FrameWriter::new(self.stream)
    }
}

/// Reads messages of one type.
pub(crate) struct FrameReader<T> {
    stream: RecvStream,
    marker: PhantomData<fn() -> T>,
}

impl<T: DeserializeOwned> FrameReader<T> {
    pub(crate) fn new(stream: RecvStream) -> Self {
        Self { stream, marker: PhantomData }
    }

    /// Reads the next message, or `None` at a clean end.
    pub(crate) async fn next(&mut self) -> Result<Option<T>, WireError> {
        let mut length = [0; LENGTH_BYTES];
        match self.stream.read_exact(&mut length).await {
            Ok(()) => {}
            Err(ReadExactError::FinishedEarly(0)) => return Ok(None),
            Err(ReadExactError::FinishedEarly(_)) => {
                return Err(WireError::Torn("cut within a length".to_owned()));
            }
            Err(e) => return Err(WireError::Lost(e.to_string())),
        }
        let len = u32::from_be_bytes(length) as usize;
        if len > MAX_FRAME {
            return Err(WireError::Torn(format!("frame of {len} bytes")));
        }
        let mut buf = vec![0; len];
        match self.stream.read_exact(&mut buf).await {
            Ok(()) => decode(&buf).map(Some),
            Err(ReadExactError::FinishedEarly(n)) => {
                Err(WireError::Torn(format!("cut after {n} of {len} bytes")))
            }
            Err(e) => Err(WireError::Lost(e.to_string())),
        }
    }

    /// Continues the stream with messages of another type.
    pub(crate) fn into<U: DeserializeOwned>(self) -> FrameReader<U> {
        FrameReader::new(self.stream)
    }
}
