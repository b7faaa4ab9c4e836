//! Checks of the configuration's values. Errors name the key or the environment variable.

use super::ConfigError;
use std::net::SocketAddr;
use std::time::Duration;

/// The maximum number of discovery addresses: the 3 or 5 nodes of one list service, and some more while it moves.
pub const MAX_DISCOVERY_ADDRESSES: usize = 7;

/// The error for an invalid value.
pub(super) fn invalid(name: &str, expected: &'static str, got: impl ToString) -> ConfigError {
    ConfigError::Value { name: name.to_string(), expected, got: got.to_string() }
}

/// Checks a finite number that is at least 0.
pub(super) fn non_negative(name: &str, value: f64) -> Result<f64, ConfigError> {
    match value.is_finite() && value >= 0.0 {
        true => Ok(value),
        false => Err(invalid(name, "a number not below 0", value)),
    }
}

/// Checks a count that is at least 1.
pub(super) fn at_least_one(name: &str, value: usize) -> Result<(), ConfigError> {
    match value {
        0 => Err(invalid(name, "at least 1", 0)),
        _ => Ok(()),
    }
}

/// Converts a time in seconds; it must fit into a `Duration`.
pub(super) fn duration(name: &str, seconds: f64) -> Result<Duration, ConfigError> {
    Duration::try_from_secs_f64(seconds).map_err(|_| invalid(name, "seconds, not below 0", seconds))
}

/// Parses one or more `address:port`, separated by commas.
pub(super) fn parse_addresses(name: &str, text: &str) -> Result<Vec<SocketAddr>, ConfigError> {
    let parsed: Result<Vec<SocketAddr>, _> = text.split(',').map(|address| address.trim().parse()).collect();
    match parsed {
        Ok(addresses) if !addresses.is_empty() && addresses.len() <= MAX_DISCOVERY_ADDRESSES => Ok(addresses),
        _ => Err(invalid(name, "address:port, or up to 7 of them separated by commas", text)),
    }
}
