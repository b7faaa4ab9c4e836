//! Parses the headers of a request (its id, class, tenant and deadline), and selects those that are forwarded.

use crate::proxy::settings::ProxySettings;
use crate::{Class, Idempotency, Request, RequestId, Settings, Time};
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HOST, HeaderMap, HeaderName, TE, TRAILER, TRANSFER_ENCODING,
};
use hyper::header::{COOKIE, UPGRADE};
use thiserror::Error;

const REQUEST_ID: &str = "x-txn";
const CLASS: &str = "x-lane";
const TENANT: &str = "x-org";
const REMAINING_MS: &str = "x-remaining-ms";
const IDEMPOTENCY_KEY: &str = "idempotency-key";
const WORK_ESTIMATE_US: &str = "x-estimate";
/// The cookie with the ordering key.
const ORDERING_KEY_COOKIE: &str = "sid";
/// The length of a request's id, in hexadecimal digits.
const REQUEST_ID_DIGITS: usize = 16;
/// Further headers that are not forwarded; [`forwarded`] names the others by hyper's constants.
const OTHER_HOP_BY_HOP_HEADERS: [&str; 3] = ["keep-alive", "proxy-connection", "expect"];

/// What is wrong with the headers of a request. The text is sent to the client.
#[derive(Debug, Error)]
pub(super) enum HeadError {
    #[error("X-Txn: expected 16 hex digits")]
    RequestId,
    #[error("X-Txn: has been used")]
    UsedRequestId,
    #[error("X-Lane: expected a known class")]
    Class,
    #[error("X-Org: expected a known tenant")]
    Tenant,
    #[error("X-Remaining-Ms: expected whole milliseconds")]
    Remaining,
    #[error("Idempotency-Key: expected for this class")]
    NoIdempotencyKey,
}

/// Parses the headers that the balancer needs.
///
/// # Errors
/// Names the first header that is missing or malformed.
pub(super) fn parse(
    headers: &HeaderMap,
    proxy_settings: &ProxySettings,
    settings: &Settings,
) -> Result<Request, HeadError> {
    let id = header(headers, REQUEST_ID).filter(|id| id.len() == REQUEST_ID_DIGITS);
    let id = id.and_then(|id| u64::from_str_radix(id, 16).ok()).ok_or(HeadError::RequestId)?;
    let class = header(headers, CLASS).and_then(|name| index_of(&proxy_settings.classes, name));
    let class = class.ok_or(HeadError::Class)?;
    let tenant = match header(headers, TENANT) {
        Some(name) if !proxy_settings.tenants.is_empty() => {
            Some(index_of(&proxy_settings.tenants, name).ok_or(HeadError::Tenant)?)
        }
        _ => None,
    };
    let class_settings = &settings.classes[class];
    let timeout = remaining(headers, class_settings)?;
    if matches!(class_settings.idempotency, Idempotency::IdempotencyKey { .. })
        && !headers.contains_key(IDEMPOTENCY_KEY)
    {
        return Err(HeadError::NoIdempotencyKey);
    }
    // The estimate is a hint: a malformed one is ignored.
    let work_us = header(headers, WORK_ESTIMATE_US).and_then(|us| us.parse::<u32>().ok());
    let work_estimate = work_us.map(|us| Time::from(us) / 1e6);
    Ok(Request { id: RequestId(id), class, tenant, key: ordering_key(headers), timeout, work_estimate })
}

/// How long the client waits for the answer, in seconds.
fn remaining(headers: &HeaderMap, class: &Class) -> Result<Time, HeadError> {
    if !headers.contains_key(REMAINING_MS) {
        return Ok(class.deadline);
    }
    let remaining_ms = header(headers, REMAINING_MS).and_then(|ms| ms.parse::<u32>().ok());
    remaining_ms.map(|ms| Time::from(ms) / 1000.0).ok_or(HeadError::Remaining)
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(str::trim)
}

fn index_of(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

/// The ordering key: the value of the cookie `sid` if it is a hexadecimal number, otherwise its hash.
fn ordering_key(headers: &HeaderMap) -> Option<u64> {
    let cookies = headers.get_all(COOKIE).into_iter().filter_map(|value| value.to_str().ok());
    let pairs = cookies.flat_map(|value| value.split(';'));
    let mut pairs = pairs.filter_map(|pair| pair.trim().split_once('='));
    let (_, session) = pairs.find(|(name, _)| *name == ORDERING_KEY_COOKIE)?;
    Some(u64::from_str_radix(session, 16).unwrap_or_else(|_| fnv1a(session)))
}

/// The 64-bit FNV-1a hash of a text.
fn fnv1a(text: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x100_0000_01b3;
    text.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}

/// The headers that are forwarded to backends: all but the hop-by-hop headers (RFC 9110, section 7.6.1).
pub(super) fn forwarded(mut headers: HeaderMap) -> HeaderMap {
    let listed_in_connection: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .into_iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| *name != HOST)
        .collect();
    let hop_by_hop = [CONNECTION, CONTENT_LENGTH, TE, TRAILER, TRANSFER_ENCODING, UPGRADE];
    for name in listed_in_connection.iter().chain(&hop_by_hop) {
        headers.remove(name);
    }
    for name in OTHER_HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
    headers
}
