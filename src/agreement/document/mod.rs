//! The settings document: what may change on a running fleet, what may not, and what a detached proxy applies.
//!
//! This module has the document's type; `validation` decides which documents may enter the history, `initial` makes
//! the first one from a proxy's configuration, and `differences` compares two.
//!
//! **What may change**, and how two proxies with different versions contradict each other:
//! - `projects.*.quota-per-s`: together they may admit more inside a tenant's quota than it allows;
//! - `max-attempts`: one may send a request more often than the other's version allows;
//! - `max-retry-after`: one may ask a rejected client to wait for longer than the other's version allows;
//! - `classes.*.on-time`, `hard-limit`: one may work on a request for longer than the other's version allows;
//! - `classes.*.worth`, `late-worth`, `over-share-worth`, `shed`: they shed load in different orders.
//!
//! **What needs a restart**, and why: a class's name and a tenant's name (requests are classified by them), a class's
//! `effect`, `group`, `window` and `fifo-by-key` (they decide which requests may run twice: if two proxies differ, one
//! would break the other's guarantee), and `floor` (below). Settings that are not in the document (zones, tier, socket
//! timeouts, the capacity of backends in slow start) describe one site and are not shared by the fleet.
//!
//! **The fallback settings** (key `floor`) are what a proxy applies while it is detached and can't know which version
//! is committed: for each kind at most what any version may allow, which [`Document::check`] enforces for every version
//! that enters the history. A detached proxy sheds load without regard to priority. So it contradicts no version, even
//! one published in the meantime: it does less than any version allows, never more. A tenant's fallback quota is
//! divided by the maximum number of proxies in the fleet, and attached proxies divide only the part of the quota above
//! it, so that attached and detached proxies together never exceed the quota ([`crate::Balancer`] computes each proxy's
//! part).

mod differences;
mod initial;
mod validation;

pub use differences::{Difference, differences};
pub use initial::initial_document;

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use thiserror::Error;

/// The maximum size of a document as JSON, in bytes; it fits easily in a record of the log.
pub const MAX_DOCUMENT_BYTES: usize = 48 << 10;

/// An invalid key of a document, and the reason.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
#[error("{key}: {reason}")]
pub struct DocumentError {
    /// The key, such as `classes.send-sms.hard-limit`.
    pub key: String,
    /// The range that its value must be in, or the rule that it breaks.
    #[serde(rename = "why")]
    pub reason: String,
}

impl DocumentError {
    /// Makes an error of `key`.
    pub fn new(key: impl Into<String>, reason: impl Into<String>) -> Self {
        Self { key: key.into(), reason: reason.into() }
    }
}

/// Whether a class's requests may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Idempotency {
    /// A repeated request has no further effect.
    #[serde(rename = "free")]
    Idempotent,
    /// A repeated request is dropped by the group of backends that has seen its idempotency key.
    #[serde(rename = "guarded")]
    IdempotencyKey,
    /// A repeated request would take effect again.
    #[serde(rename = "single_shot")]
    NonIdempotent,
}

/// Which backends drop each other's repeated requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DeduplicationScope {
    /// All backends.
    All,
    /// The backends of one zone.
    Zone,
    /// The backends of one failure domain.
    #[serde(rename = "cell")]
    FailureDomain,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Class {
    /// Its name; needs a restart.
    pub name: String,
    /// Whether its requests may be sent again; needs a restart.
    #[serde(rename = "effect")]
    pub idempotency: Idempotency,
    /// Which backends drop repeated requests with an idempotency key; needs a restart.
    #[serde(rename = "group", default, skip_serializing_if = "Option::is_none")]
    pub deduplication_scope: Option<DeduplicationScope>,
    /// How long an idempotency key is remembered, in seconds; needs a restart.
    #[serde(rename = "window", default, skip_serializing_if = "Option::is_none")]
    pub deduplication_window: Option<f64>,
    /// Whether requests with the same ordering key are executed one at a time, in order of arrival; needs a restart.
    #[serde(rename = "fifo-by-key", default, skip_serializing_if = "std::ops::Not::not")]
    pub ordered: bool,
    /// The time within which a response has the full weight, in seconds.
    #[serde(rename = "on-time")]
    pub latency_objective: f64,
    /// The longest time that a client waits, in seconds.
    #[serde(rename = "hard-limit")]
    pub deadline: f64,
    /// The fraction of the priority weight that a response after the latency objective has.
    #[serde(rename = "late-worth", default)]
    pub late_weight: f64,
    /// The weight of a response within the latency objective, relative to other classes.
    #[serde(rename = "worth", default = "default_weight")]
    pub priority_weight: f64,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Project")]
pub struct Tenant {
    /// Its name; needs a restart.
    pub name: String,
    /// Its quota over the whole fleet, in requests per second.
    #[serde(rename = "quota-per-s")]
    pub quota: f64,
}

/// A class's part of the fallback settings.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, expecting = "struct ClassFloor")]
pub struct FallbackClass {
    /// The time within which a response has the full weight, in seconds.
    #[serde(rename = "on-time")]
    pub latency_objective: f64,
    /// The longest time that a client waits, in seconds.
    #[serde(rename = "hard-limit")]
    pub deadline: f64,
}

/// The settings that a detached proxy applies; a change needs a restart.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, expecting = "struct Floor")]
pub struct FallbackSettings {
    /// The settings of each class.
    pub classes: BTreeMap<String, FallbackClass>,
    /// The quota of each tenant over the whole fleet, in requests per second.
    #[serde(rename = "projects")]
    pub tenants: BTreeMap<String, f64>,
    /// The maximum number of attempts of a request.
    pub max_attempts: u32,
    /// The longest time that a rejected client is asked to wait, in seconds.
    pub max_retry_after: f64,
}

/// A version of the fleet's settings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Document {
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Tenants.
    #[serde(rename = "projects", default)]
    pub tenants: Vec<Tenant>,
    /// The maximum number of attempts of a request.
    pub max_attempts: u32,
    /// The longest time that a rejected client is asked to wait, in seconds; 0 if it is not asked to wait.
    #[serde(default)]
    pub max_retry_after: f64,
    /// The priority weight of a request beyond its tenant's quota, as a fraction of the class's.
    #[serde(rename = "over-share-worth", default = "default_weight")]
    pub over_quota_weight: f64,
    /// Whether load is shed by priority weight under overload.
    #[serde(default = "default_shed")]
    pub shed: bool,
    /// The settings that a detached proxy applies.
    #[serde(rename = "floor")]
    pub fallback: FallbackSettings,
}

fn default_weight() -> f64 {
    1.0
}

fn default_shed() -> bool {
    true
}

impl Document {
    /// Reads a document from JSON and checks it.
    ///
    /// # Errors
    /// The key that is unknown, missing or of another type, or an error of [`Document::check`].
    pub fn parse(json: &[u8]) -> Result<Self, DocumentError> {
        validation::check_size(json.len())?;
        let mut reader = serde_json::Deserializer::from_slice(json);
        let document: Self = serde_path_to_error::deserialize(&mut reader)
            .map_err(|error| DocumentError::new(error.path().to_string(), error.inner().to_string()))?;
        document.check()?;
        Ok(document)
    }

    /// Its size as JSON, in bytes.
    pub fn size(&self) -> usize {
        // A checked document always serializes; if serialization failed, the document would count as too large.
        serde_json::to_vec(self).map_or(MAX_DOCUMENT_BYTES + 1, |json| json.len())
    }
}

#[cfg(test)]
pub(super) mod tests;
