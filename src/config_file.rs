//! Reads the TOML configuration files of the fleet's services (a list-service node, a lease holder), and defines their
//! common errors.

use serde::de::DeserializeOwned;
use thiserror::Error;

/// Why the configuration of a fleet service (a list-service node, a lease holder) can't be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file can't be read.
    #[error("cannot read {path}: {error}")]
    Read {
        /// The file.
        path: String,
        /// The system's error.
        #[source]
        error: std::io::Error,
    },
    /// The TOML is malformed, lacks a value or has an unknown key.
    #[error("{path}: {error}")]
    Toml {
        /// The file.
        path: String,
        /// The error and its position.
        #[source]
        error: toml::de::Error,
    },
    /// A value is out of its range.
    #[error("{0}")]
    Value(&'static str),
}

/// Reads a TOML file of the fleet's services into `T`; the caller must check its values.
///
/// # Errors
/// `Read` if the file can't be read, `Toml` if it is malformed, lacks a value or has an unknown key.
pub fn read_toml<T: DeserializeOwned>(path: &str) -> Result<T, ConfigError> {
    let text =
        std::fs::read_to_string(path).map_err(|error| ConfigError::Read { path: path.into(), error })?;
    toml::from_str(&text).map_err(|error| ConfigError::Toml { path: path.into(), error })
}
