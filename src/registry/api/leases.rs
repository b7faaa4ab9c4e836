//! Calls for leases.
//!
//! - `POST /v1/lease/acquire {"name","holder","ttlMs"}` is answered `{"revision","token"}`, or 409 with the holder
//!   where another process holds the lease.
//! - `POST /v1/lease/release {"name","token"}` is answered 409 where that grant was lost.
//! - `POST /v1/lease/keepalive` is a renewal ([`super::renewals`]).

use super::error::RequestError;
use crate::registry::store::Command;
use serde::Deserialize;

/// Path prefix of the calls for leases.
pub(super) const PATH_PREFIX: &str = "/v1/lease/";

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
struct LeaseCall {
    name: String,
    #[serde(default)]
    holder: Option<String>,
    #[serde(default)]
    ttl_ms: Option<u64>,
    #[serde(default)]
    token: Option<u64>,
}

/// Parses the body of the call whose path is [`PATH_PREFIX`] followed by `call`.
pub(super) fn command(call: &str, body: &[u8]) -> Result<Command, RequestError> {
    let LeaseCall { name, holder, ttl_ms, token } = serde_json::from_slice(body)?;
    match call {
        "acquire" => Ok(Command::Acquire {
            name,
            holder: holder.ok_or(RequestError::MissingField("holder"))?,
            ttl_ms: ttl_ms.ok_or(RequestError::MissingField("ttlMs"))?,
            at_ms: 0,
        }),
        "release" => Ok(Command::Release { name, token: token.ok_or(RequestError::MissingField("token"))? }),
        _ => Err(RequestError::UnknownCall(format!("{PATH_PREFIX}{call}"))),
    }
}
