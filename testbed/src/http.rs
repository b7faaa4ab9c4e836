//! The subset of HTTP/1.1 that emulated clients and servers use: complete messages with the time of their first
//! byte, and answers written at once. Bodies have a `Content-Length`, never chunks, as `PROTOCOL` allows.

use std::io::{BufRead, Read};
use std::time::Instant;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;

/// Maximum body length: the longest list that a proxy accepts has 1 MiB, and request bodies have at most 64 KiB.
pub const MAX_BODY_BYTES: usize = 1 << 20;
/// Maximum length of a head (request or status line and headers).
pub const MAX_HEAD_BYTES: usize = 16 << 10;

/// Why no message was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ReadError {
    /// The connection ended cleanly before the first byte.
    #[error("closed")]
    Closed,
    /// The connection failed, or ended inside a message.
    #[error("broken")]
    Broken,
    /// The bytes are not a valid message, or the message is too long.
    #[error("malformed")]
    Malformed,
}

/// A request or an answer.
#[derive(Clone, Debug)]
pub struct Message {
    /// The request line or the status line, without its line end.
    pub first: String,
    /// Headers in the order received, with lower-case names.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// When its first byte was read; checks of draining use this time.
    pub started_at: Instant,
}

impl Message {
    /// The value of the first header with this (lower-case) name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// The status of an answer; 0 for a request or a malformed line.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// The method and target of a request.
    pub fn method_target(&self) -> (&str, &str) {
        let mut parts = self.first.split(' ');
        (parts.next().unwrap_or(""), parts.next().unwrap_or(""))
    }

    /// Whether its sender closes the connection after it.
    pub fn closes_connection(&self) -> bool {
        self.header("connection").is_some_and(|c| c.eq_ignore_ascii_case("close"))
    }
}

/// A parsed head: its first line, its headers and the length of the body that follows.
type Head = (String, Vec<(String, String)>, usize);

fn parse_head(head: &[u8]) -> Result<Head, ReadError> {
    let head = std::str::from_utf8(head).map_err(|_| ReadError::Malformed)?;
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or("").to_string();
    let header = |line: &str| {
        let (name, value) = line.split_once(':')?;
        Some((name.trim().to_ascii_lowercase(), value.trim().to_string()))
    };
    let headers: Option<Vec<_>> = lines.map(header).collect();
    let headers = headers.ok_or(ReadError::Malformed)?;
    let length = headers.iter().find(|(n, _)| n == "content-length").map_or(Ok(0), |(_, v)| v.parse());
    let length: usize = length.map_err(|_| ReadError::Malformed)?;
    if first.split(' ').count() < 2 || length > MAX_BODY_BYTES {
        return Err(ReadError::Malformed);
    }
    Ok((first, headers, length))
}

/// Reads one complete message, blocking the thread. A read timeout of the socket bounds each wait.
///
/// # Errors
/// See [`ReadError`].
pub fn read(stream: &mut impl BufRead) -> Result<Message, ReadError> {
    if stream.fill_buf().map_err(|_| ReadError::Broken)?.is_empty() {
        return Err(ReadError::Closed);
    }
    let (started_at, mut head) = (Instant::now(), Vec::new());
    while !head.ends_with(b"\r\n\r\n") {
        let remaining = (MAX_HEAD_BYTES - head.len()) as u64;
        match stream.by_ref().take(remaining).read_until(b'\n', &mut head) {
            Ok(_) if head.len() >= MAX_HEAD_BYTES => return Err(ReadError::Malformed),
            Ok(0) | Err(_) => return Err(ReadError::Broken),
            Ok(_) => {}
        }
    }
    let (first, headers, length) = parse_head(&head[..head.len() - 4])?;
    let mut body = vec![0; length];
    stream.read_exact(&mut body).map_err(|_| ReadError::Broken)?;
    Ok(Message { first, headers, body, started_at })
}

/// A connection and the bytes already read of the next message.
pub struct Conn<S = TcpStream> {
    stream: S,
    buffer: Vec<u8>,
    message_started_at: Option<Instant>,
}

impl<S: AsyncRead + AsyncWrite + Unpin> Conn<S> {
    /// Creates one from a connected stream.
    pub fn new(stream: S) -> Self {
        Self { stream, buffer: Vec::new(), message_started_at: None }
    }

    /// The underlying stream.
    pub fn stream(&self) -> &S {
        &self.stream
    }

    /// Whether no byte of a next message has been read.
    pub fn is_clean(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Reads the next complete message. Cancelling it loses nothing: bytes already read stay for the next call.
    ///
    /// # Errors
    /// See [`ReadError`].
    pub async fn read(&mut self) -> Result<Message, ReadError> {
        loop {
            if let Some(message) = self.parse()? {
                return Ok(message);
            }
            let mut chunk = [0u8; 4096];
            match self.stream.read(&mut chunk).await {
                Ok(0) if self.buffer.is_empty() => return Err(ReadError::Closed),
                Ok(0) | Err(_) => return Err(ReadError::Broken),
                Ok(n) => {
                    self.message_started_at.get_or_insert_with(Instant::now);
                    self.buffer.extend_from_slice(&chunk[..n]);
                }
            }
        }
    }

    /// Removes a complete message from the buffer, if there is one.
    fn parse(&mut self) -> Result<Option<Message>, ReadError> {
        let end = self.buffer.windows(4).position(|w| w == b"\r\n\r\n");
        let Some(end) = end else {
            return if self.buffer.len() > MAX_HEAD_BYTES { Err(ReadError::Malformed) } else { Ok(None) };
        };
        let (first, headers, length) = parse_head(&self.buffer[..end])?;
        let message_end = end + 4 + length;
        if self.buffer.len() < message_end {
            return Ok(None);
        }
        let body = self.buffer[end + 4..message_end].to_vec();
        self.buffer.drain(..message_end);
        let started_at = self.message_started_at.take().unwrap_or_else(Instant::now);
        self.message_started_at = (!self.buffer.is_empty()).then(Instant::now);
        Ok(Some(Message { first, headers, body, started_at }))
    }

    /// Writes all bytes.
    ///
    /// # Errors
    /// The error of the system.
    pub async fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes).await
    }
}

/// The bytes of an answer; `more_headers` contains further header lines, each ended by `\r\n`.
pub fn answer(status: u16, reason: &str, more_headers: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes =
        format!("HTTP/1.1 {status} {reason}\r\nContent-Length: {}\r\n{more_headers}\r\n", body.len())
            .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

#[cfg(test)]
mod tests;
