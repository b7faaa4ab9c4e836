//! Grants of leases: which process holds each lease, under which fencing token, and until when.

use super::StoreError;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The maximum number of leases held at once: duties are few, and a faulty client must not grow the store without
/// bound.
pub const MAX_LEASES: usize = 1_024;

/// A grant of a lease, by its name and token.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GrantId {
    /// The lease's name.
    pub name: String,
    /// The token of the grant.
    pub token: u64,
}

/// One grant of a lease, as it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The process that holds it.
    pub holder: String,
    /// Its fencing token: the revision at which it was granted.
    pub token: u64,
    /// Its TTL in milliseconds.
    pub ttl_ms: u64,
    /// When it expires unless renewed, on the log's clock in milliseconds.
    pub expires_at_ms: u64,
}

/// When an entry expires unless it is renewed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Expiry {
    /// Its TTL in milliseconds.
    pub ttl_ms: u64,
    /// When it expires according to the log alone, on the log's clock in milliseconds: one TTL after it was created.
    pub expires_at_ms: u64,
}

impl Grant {
    /// When it expires unless it is renewed.
    pub fn expiry(&self) -> Expiry {
        Expiry { ttl_ms: self.ttl_ms, expires_at_ms: self.expires_at_ms }
    }
}

/// The grants by the lease's name; an expired one stays until it is ended, granted again or released.
pub(super) type Leases = BTreeMap<String, Grant>;

/// One attempt to acquire a lease.
pub(super) struct Request<'a> {
    pub(super) name: &'a str,
    pub(super) holder: &'a str,
    pub(super) ttl_ms: u64,
    pub(super) now_ms: u64,
    /// Whether a grant expires by its own time, without a command.
    pub(super) can_expire: bool,
}

/// Grants a lease, or rejects the request if another process holds the lease.
pub(super) fn acquire(leases: &mut Leases, request: &Request, revision: &mut u64) -> Result<(), StoreError> {
    let Request { name, holder, ttl_ms, now_ms, can_expire } = *request;
    match leases.get(name) {
        Some(current) if current.holder != holder && is_live(current, now_ms, can_expire) => {
            return Err(StoreError::Held {
                name: name.to_string(),
                holder: current.holder.clone(),
                token: current.token,
                expires_at_ms: current.expires_at_ms,
            });
        }
        // The same holder gets a new grant too: a release of its old grant may still be in transit, and must not end
        // the new one.
        Some(_) => {}
        None if leases.len() >= MAX_LEASES => return Err(StoreError::TooManyLeases),
        None => {}
    }
    *revision += 1;
    let grant =
        Grant { holder: holder.to_string(), token: *revision, ttl_ms, expires_at_ms: now_ms + ttl_ms };
    leases.insert(name.to_string(), grant);
    Ok(())
}

/// Renews the grant with `token`, if it is still live.
pub(super) fn keep_alive(
    leases: &mut Leases,
    name: &str,
    token: u64,
    now_ms: u64,
    can_expire: bool,
) -> Result<(), StoreError> {
    match leases.get_mut(name) {
        Some(grant) if grant.token == token && is_live(grant, now_ms, can_expire) => {
            grant.expires_at_ms = grant.expires_at_ms.max(now_ms + grant.ttl_ms);
            Ok(())
        }
        _ => Err(StoreError::Lost(name.to_string())),
    }
}

/// Removes the grant with `token`; returns whether there was one.
pub(super) fn remove(leases: &mut Leases, name: &str, token: u64) -> bool {
    let is_held = leases.get(name).is_some_and(|grant| grant.token == token);
    if is_held {
        leases.remove(name);
    }
    is_held
}

fn is_live(grant: &Grant, now_ms: u64, can_expire: bool) -> bool {
    !can_expire || grant.expires_at_ms > now_ms
}
