//! Errors in the lines of the simulator's protocol.

use thiserror::Error;

/// An invalid line.
#[derive(Debug, Error, PartialEq)]
pub enum WireError {
    /// The first word is not a known event.
    #[error("unknown event '{0}'")]
    UnknownEvent(String),
    /// Too few or too many values.
    #[error("{event} takes {expected} values, got {got}")]
    ValueCount {
        /// The event.
        event: &'static str,
        /// The number of values that it takes.
        expected: usize,
        /// The number of values found.
        got: usize,
    },
    /// A value that cannot be parsed.
    #[error("expected {expected} for {field}, got '{got}'")]
    InvalidValue {
        /// The field.
        field: String,
        /// A description of the valid values.
        expected: &'static str,
        /// The value found.
        got: String,
    },
    /// A required setting is absent.
    #[error("missing setting {0}")]
    MissingSetting(String),
    /// A line of another kind than the protocol requires here.
    #[error("expected {expected}, got '{got}'")]
    OutOfOrder {
        /// The required line.
        expected: &'static str,
        /// The line found.
        got: String,
    },
}

impl WireError {
    /// The error for a value of `field` that cannot be parsed.
    pub(super) fn invalid_value(field: &str, expected: &'static str, got: &str) -> Self {
        Self::InvalidValue { field: field.to_string(), expected, got: got.to_string() }
    }

    /// The error for a line that is not allowed here.
    pub(super) fn out_of_order(expected: &'static str, got: &str) -> Self {
        Self::OutOfOrder { expected, got: got.to_string() }
    }
}

/// The result of parsing a line, or a part of one.
pub(super) type Result<T> = std::result::Result<T, WireError>;
