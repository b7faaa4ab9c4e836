//! Parses the values of a line into the types of their fields.

use super::error::{Result, WireError};
use crate::balancer::types::{Outcome, RequestId};
use std::str::FromStr;

/// The number of hex digits of a request's id.
const REQUEST_ID_DIGITS: usize = 16;

/// Splits a line into its values; there must be exactly `N`.
pub(super) fn values<'a, const N: usize>(event: &'static str, text: &'a str) -> Result<[&'a str; N]> {
    let mut found = [""; N];
    let mut got = 0;
    if !text.is_empty() {
        for value in text.split(' ') {
            if got < N {
                found[got] = value;
            }
            got += 1;
        }
    }
    match got == N {
        true => Ok(found),
        false => Err(WireError::ValueCount { event, expected: N, got }),
    }
}

/// Parses a finite number.
pub(super) fn number(field: &str, text: &str) -> Result<f64> {
    match text.parse::<f64>() {
        Ok(number) if number.is_finite() => Ok(number),
        _ => Err(WireError::invalid_value(field, "a number", text)),
    }
}

/// Parses a finite number of at least 0.
pub(super) fn non_negative(field: &str, text: &str) -> Result<f64> {
    match number(field, text)? {
        number if number >= 0.0 => Ok(number),
        _ => Err(WireError::invalid_value(field, "a number not below 0", text)),
    }
}

pub(super) fn integer<T: FromStr>(field: &str, text: &str) -> Result<T> {
    text.parse().map_err(|_| WireError::invalid_value(field, "a whole number", text))
}

pub(super) fn flag(field: &str, text: &str) -> Result<bool> {
    match text {
        "1" => Ok(true),
        "0" => Ok(false),
        _ => Err(WireError::invalid_value(field, "1 or 0", text)),
    }
}

/// Parses an optional value; `-` means that it is absent.
pub(super) fn optional<T>(text: &str, parse: impl FnOnce(&str) -> Result<T>) -> Result<Option<T>> {
    if text == "-" { Ok(None) } else { parse(text).map(Some) }
}

pub(super) fn request_id(text: &str) -> Result<RequestId> {
    match u64::from_str_radix(text, 16) {
        Ok(id) if text.len() == REQUEST_ID_DIGITS => Ok(RequestId(id)),
        _ => Err(WireError::invalid_value("the request", "16 hex digits", text)),
    }
}

pub(super) fn outcome(text: &str) -> Result<Outcome> {
    Ok(match text {
        "S" => Outcome::Served,
        "E" => Outcome::Error,
        "F" => Outcome::Rejected,
        "T" => Outcome::Timeout,
        "C" => Outcome::ConnectFailed,
        "R" => Outcome::Reset,
        "X" => Outcome::Cancelled,
        "N" => Outcome::NotSent,
        _ => return Err(WireError::invalid_value("the completion code", "one of S E F T C R X N", text)),
    })
}

/// Checks the syntax of a load report. The balancer does not use load reports.
pub(super) fn load_report(text: &str) -> Result<()> {
    text.split(',').filter(|v| *v != "-").try_for_each(|value| number("the load report", value).map(drop))
}
