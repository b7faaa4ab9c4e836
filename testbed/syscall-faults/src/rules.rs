//! Rules: which operations are changed, how, how often and when.

use std::str::FromStr;

/// Maximum number of rules; further ones are ignored.
pub const MAX_RULES: usize = 32;

/// A kind of system call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Reading from a socket.
    Recv,
    /// Peeking at the received bytes of a socket.
    Peek,
    /// Writing to a socket.
    Send,
    /// Accepting a connection.
    Accept,
    /// Connecting a socket.
    Connect,
    /// Creating a socket.
    Socket,
    /// Waiting for events.
    Wait,
    /// Reading the wall clock.
    Clock,
    /// Opening a file.
    Open,
    /// Writing to a regular file.
    Write,
    /// Syncing a regular file.
    Sync,
}

/// How a call is changed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// It fails with this error number.
    Fails(i32),
    /// It transfers fewer bytes than requested.
    Short,
    /// The clock is ahead by this many seconds.
    Shifted(i64),
    /// Only a part of the bytes is written, then the process is killed.
    Torn,
    /// It takes longer, by a random time within these limits.
    Delayed {
        /// The shortest, in milliseconds.
        min_ms: u64,
        /// The longest, in milliseconds.
        max_ms: u64,
    },
}

/// One rule.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rule {
    /// The calls that it applies to.
    pub operation: Operation,
    /// How they are changed.
    pub outcome: Outcome,
    /// The probability that a call is changed, from 0 to 1.
    pub probability: f64,
    /// When it begins to apply, in milliseconds since the epoch.
    pub from_ms: u64,
    /// When it ceases to apply, in milliseconds since the epoch.
    pub to_ms: u64,
}

/// Error numbers by name.
const ERRORS: [(&str, i32); 13] = [
    ("EINTR", libc::EINTR),
    ("ECONNABORTED", libc::ECONNABORTED),
    ("EMFILE", libc::EMFILE),
    ("ENFILE", libc::ENFILE),
    ("ENOBUFS", libc::ENOBUFS),
    ("ENOMEM", libc::ENOMEM),
    ("EADDRNOTAVAIL", libc::EADDRNOTAVAIL),
    ("ENETUNREACH", libc::ENETUNREACH),
    ("EHOSTUNREACH", libc::EHOSTUNREACH),
    ("ETIMEDOUT", libc::ETIMEDOUT),
    ("ENOSPC", libc::ENOSPC),
    ("EIO", libc::EIO),
    ("EPROTO", libc::EPROTO),
];

impl FromStr for Operation {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        Ok(match text {
            "recv" => Self::Recv,
            "peek" => Self::Peek,
            "send" => Self::Send,
            "accept" => Self::Accept,
            "connect" => Self::Connect,
            "socket" => Self::Socket,
            "wait" => Self::Wait,
            "clock" => Self::Clock,
            "open" => Self::Open,
            "write" => Self::Write,
            "sync" => Self::Sync,
            _ => return Err(()),
        })
    }
}

/// Parses a delay, such as `20..40ms`.
fn parse_delay(text: &str) -> Option<Outcome> {
    let (min, max) = text.strip_suffix("ms")?.split_once("..")?;
    let (min_ms, max_ms) = (min.parse().ok()?, max.parse().ok()?);
    (min_ms <= max_ms).then_some(Outcome::Delayed { min_ms, max_ms })
}

impl FromStr for Outcome {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        if let Some(delay) = parse_delay(text) {
            return Ok(delay);
        }
        let error = ERRORS.iter().find(|(name, _)| *name == text);
        match (text, error) {
            (_, Some((_, number))) => Ok(Self::Fails(*number)),
            ("short", _) => Ok(Self::Short),
            ("torn", _) => Ok(Self::Torn),
            _ => text.parse().map(Self::Shifted).map_err(|_| ()),
        }
    }
}

impl FromStr for Rule {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let (operation, rest) = text.split_once('=').ok_or(())?;
        let (outcome, rest) = rest.split_once('@').ok_or(())?;
        let (probability, span) = rest.split_once(':').ok_or(())?;
        let (from, to) = span.split_once('-').ok_or(())?;
        Ok(Self {
            operation: operation.parse()?,
            outcome: outcome.parse()?,
            probability: probability.parse().map_err(|_| ())?,
            from_ms: from.parse().map_err(|_| ())?,
            to_ms: to.parse().map_err(|_| ())?,
        })
    }
}

/// Parses the rules of a text; returns them and the number of invalid or excess ones, which are left out.
pub fn parse(text: &str) -> (Vec<Rule>, usize) {
    let texts = text.split(';').map(str::trim).filter(|rule| !rule.is_empty());
    let (mut rules, mut invalid) = (Vec::new(), 0);
    for text in texts {
        match text.parse() {
            Ok(rule) if rules.len() < MAX_RULES => rules.push(rule),
            _ => invalid += 1,
        }
    }
    (rules, invalid)
}
