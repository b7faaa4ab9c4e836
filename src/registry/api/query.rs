//! Query parameters of calls, and the parameters that all watches share.

use super::error::RequestError;
use std::time::Duration;

/// Maximum wait of a watch, in milliseconds.
const MAX_WATCH_WAIT_MS: u64 = 60_000;

/// A query parameter, if it is present.
pub(super) fn text<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

/// A query parameter as a number, if it is present.
///
/// # Errors
/// `Parameter` where it is not a whole number.
pub(super) fn number(query: &str, name: &'static str) -> Result<Option<u64>, RequestError> {
    let Some(value) = text(query, name) else { return Ok(None) };
    let invalid = |_| RequestError::Parameter { name, value: value.to_string() };
    value.parse().map(Some).map_err(invalid)
}

/// The parameters of a watch: the revision after which it waits for a change, and how long it waits.
pub(super) struct Watch {
    /// The revision that the watcher has; `None` for a read, which does not wait.
    pub(super) since: Option<u64>,
    pub(super) max_wait: Duration,
}

impl Watch {
    /// Reads `since` and `timeout_ms`.
    ///
    /// # Errors
    /// `Parameter` where one of them is not a whole number.
    pub(super) fn from_query(query: &str) -> Result<Self, RequestError> {
        let since = number(query, "since")?;
        let wait_ms = number(query, "timeout_ms")?.unwrap_or(0).min(MAX_WATCH_WAIT_MS);
        Ok(Self { since, max_wait: Duration::from_millis(wait_ms) })
    }
}
