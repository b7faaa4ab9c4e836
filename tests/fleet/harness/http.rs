//! The little HTTP/1.1 that the fakes and the client speak: one message read whole, with the time of its
//! first byte, and answers written in one piece. Bodies go by `Content-Length` only, as `PROTOCOL` allows.

use std::io::{BufRead, BufReader, Read};
use std::net::TcpStream;
use std::time::Instant;

/// Largest body taken in; `PROTOCOL` allows 64 KiB, discovery lists of the harness stay far below.
const MOST_BODY: usize = 1 << 20;
/// Largest head (request or status line and headers).
const MOST_HEAD: usize = 16 << 10;

/// A request or an answer as read.
#[derive(Clone, Debug)]
pub struct Message {
    /// The request line or the status line, without its line end.
    pub first: String,
    /// Headers with lower-case names, in their order.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// When its first byte was read: the time that a drain counts from.
    pub began: Instant,
}

impl Message {
    /// The first header of that (lower-case) name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// The status of an answer; 0 for a request or a malformed line.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Method and target of a request.
    pub fn method_target(&self) -> (&str, &str) {
        let mut parts = self.first.split(' ');
        (parts.next().unwrap_or(""), parts.next().unwrap_or(""))
    }
}

/// How a read ended without a message.
#[derive(Debug, PartialEq, Eq)]
pub enum ReadError {
    /// The peer closed before any byte of a message: a clean end between messages.
    Closed,
    /// The connection broke, timed out or closed inside a message.
    Broken,
    /// The bytes are not HTTP/1.1 as spoken here, or too large.
    Malformed,
}

/// Reads one whole message. A read time-out of the socket bounds each wait.
pub fn read(stream: &mut BufReader<TcpStream>) -> Result<Message, ReadError> {
    let waiting = stream.fill_buf().map_err(|_| ReadError::Broken)?;
    if waiting.is_empty() {
        return Err(ReadError::Closed);
    }
    let began = Instant::now();
    let mut first = String::new();
    let mut head = 0;
    let mut line = |text: &mut String| -> Result<(), ReadError> {
        let n = stream.by_ref().take(MOST_HEAD as u64).read_line(text).map_err(|_| ReadError::Broken)?;
        head += n;
        match (n, text.ends_with('\n'), head > MOST_HEAD) {
            (_, _, true) => Err(ReadError::Malformed),
            (0, _, _) | (_, false, _) => Err(ReadError::Broken),
            _ => Ok(()),
        }
    };
    line(&mut first)?;
    let mut headers = Vec::new();
    loop {
        let mut text = String::new();
        line(&mut text)?;
        let text = text.trim_end();
        if text.is_empty() {
            break;
        }
        let (name, value) = text.split_once(':').ok_or(ReadError::Malformed)?;
        headers.push((name.trim().to_ascii_lowercase(), value.trim().to_string()));
    }
    let length = match headers.iter().find(|(n, _)| n == "content-length") {
        Some((_, v)) => v.parse::<usize>().map_err(|_| ReadError::Malformed)?,
        None => 0,
    };
    if length > MOST_BODY {
        return Err(ReadError::Malformed);
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).map_err(|_| ReadError::Broken)?;
    Ok(Message { first: first.trim_end().to_string(), headers, body, began })
}

/// An answer with a body, kept alive.
pub fn answer(status: u16, reason: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes =
        format!("HTTP/1.1 {status} {reason}\r\n{headers}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
