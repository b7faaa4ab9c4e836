//! Why the store rejects a command. The texts are part of the HTTP API, and the `serde` names are part of the calls
//! between nodes.

use super::endpoint::{MAX_ENTRIES, MAX_LIST_BYTES};
use super::lease::MAX_LEASES;
use super::{MAX_NAME_LEN, TTL_RANGE_MS};
use crate::agreement::state::AgreementError;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Why a command was rejected. A rejected command changes nothing.
#[derive(Clone, Debug, PartialEq, Error, Serialize, Deserialize)]
pub enum StoreError {
    /// No backend with that id is listed.
    #[error("no instance {0} is listed")]
    Unknown(String),
    /// The TTL is outside [`TTL_RANGE_MS`].
    #[error("ttl_ms {0} is outside {min} to {max}", min = TTL_RANGE_MS.start(), max = TTL_RANGE_MS.end())]
    #[serde(rename = "Ttl")]
    InvalidTtl(u64),
    /// The weight is not a number in (0, 1000].
    #[error("weight {0} is not in (0, 1000]")]
    #[serde(rename = "Weight")]
    InvalidWeight(f64),
    /// The registration has lifecycle `DELETED` or port 0.
    #[error("a registration needs a lifecycle of SERVING or DRAINING and a port")]
    #[serde(rename = "Registration")]
    InvalidRegistration,
    /// A name is empty but required, too long, or not visible ASCII.
    #[error("{0}: from {min} to {MAX_NAME_LEN} visible ASCII characters", min = usize::from(!matches!(.0.as_str(), "zone" | "machineType")))]
    #[serde(rename = "Name")]
    InvalidName(String),
    /// The list would exceed [`MAX_ENTRIES`] or [`MAX_LIST_BYTES`].
    #[error("the list is full ({MAX_ENTRIES} entries or {MAX_LIST_BYTES} bytes)")]
    Full,
    /// Another process holds the lease, and it has not expired.
    #[error("lease {name} is held by {holder} until {expires_at_ms} (token {token})")]
    Held {
        /// The lease's name.
        name: String,
        /// The process that holds it.
        holder: String,
        /// Its token.
        token: u64,
        /// When it expires unless renewed, on the log's clock in milliseconds.
        expires_at_ms: u64,
    },
    /// The lease is no longer held under that token: it expired, was released or was granted again.
    #[error("lease {0} is not held under that token")]
    Lost(String),
    /// Another log of that node already takes part in the cluster.
    #[error("another log of node {0} has taken part in this cluster")]
    #[serde(rename = "Joined")]
    OtherLogJoined(u64),
    /// A change of sessions or settings was rejected.
    #[error(transparent)]
    #[serde(rename = "Agree")]
    Agreement(#[from] AgreementError),
    /// [`MAX_LEASES`] leases are held already.
    #[error("too many leases ({MAX_LEASES})")]
    TooManyLeases,
}
