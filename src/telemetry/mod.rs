//! Logs and metrics: structured log lines with typed reasons, and metrics on a separate listener.
//!
//! Both are off by default, except for violations of the invariants of [`crate::guard`], which are always logged.
//! `LINKHATCH_LOG` (`error`, `warn`, `info`, `debug` or `trace`) writes JSON lines of that level and above to standard
//! error.
//! `LINKHATCH_METRICS` (an address) serves `GET /metrics` in the OpenMetrics text format.

pub mod metrics;
pub mod reason;

use std::str::FromStr;
use thiserror::Error;
use tracing::Level;
use tracing_subscriber::filter::{LevelFilter, Targets};
use tracing_subscriber::prelude::*;

/// The environment variable that sets the level of the log.
pub const LOG_VARIABLE: &str = "LINKHATCH_LOG";
/// The environment variable with the address where metrics are served.
pub const METRICS_VARIABLE: &str = "LINKHATCH_METRICS";
/// The environment variable that makes a violation of an invariant abort the process.
pub const STRICT_VARIABLE: &str = "LINKHATCH_STRICT";

/// The log target of violations, which are logged at every level.
pub const VIOLATION_TARGET: &str = "violation";

/// Why the log can't be started.
#[derive(Debug, Error)]
pub enum LogError {
    /// The environment variable does not name a level.
    #[error("{LOG_VARIABLE}: expected a level, got '{0}'")]
    UnknownLevel(String),
}

/// Starts the log at the level in the environment variable [`LOG_VARIABLE`].
///
/// # Errors
/// [`LogError::UnknownLevel`] if the variable does not name a level.
pub fn start_log() -> Result<(), LogError> {
    let level = match std::env::var(LOG_VARIABLE) {
        Err(_) => LevelFilter::OFF,
        Ok(text) => {
            let level = Level::from_str(&text);
            LevelFilter::from(level.map_err(|_| LogError::UnknownLevel(text))?)
        }
    };
    let filter = Targets::new().with_default(level).with_target(VIOLATION_TARGET, LevelFilter::ERROR);
    let lines = tracing_subscriber::fmt::layer().json().flatten_event(true).with_writer(std::io::stderr);
    // A log that was started before, for example by a test, is kept.
    let _ = tracing_subscriber::registry().with(lines.with_filter(filter)).try_init();
    Ok(())
}

/// Whether a violation of an invariant aborts the process.
pub fn is_strict() -> bool {
    std::env::var_os(STRICT_VARIABLE).is_some()
}
