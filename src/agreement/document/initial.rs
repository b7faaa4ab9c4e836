//! The first document of a fleet, made from a proxy's own configuration.

use super::{Document, DocumentError, FallbackSettings};
use serde_json::{Map, Value, json};

/// The keys of a configured class that are copied to the document.
const CLASS_KEYS: [&str; 9] =
    ["name", "effect", "group", "window", "fifo-by-key", "on-time", "hard-limit", "late-worth", "worth"];
/// The keys of a configured tenant that are copied to the document.
const TENANT_KEYS: [&str; 2] = ["name", "quota-per-s"];
/// The maximum number of attempts in derived fallback settings.
const MAX_FALLBACK_ATTEMPTS: u64 = 2;
/// The fraction of each quota in derived fallback settings.
const FALLBACK_QUOTA_FRACTION: f64 = 0.5;

/// Makes a document from the key `settings` of a proxy's configuration, with `fallback` or with fallback settings
/// derived from the configuration: half of each quota, at most two attempts, no `Retry-After`, and unchanged times.
///
/// # Errors
/// The key that is invalid or missing.
pub fn initial_document(
    settings: &Value,
    fallback: Option<FallbackSettings>,
) -> Result<Document, DocumentError> {
    let limits = &settings["caps"];
    let max_retry_after = match limits["retry-after"] == true {
        true => value_or(&limits["max-retry-after"], 0.0),
        false => json!(0.0),
    };
    let classes: Vec<Value> =
        elements(settings, "classes").map(|class| select_keys(class, &CLASS_KEYS)).collect();
    let tenants: Vec<Value> =
        elements(settings, "projects").map(|tenant| select_keys(tenant, &TENANT_KEYS)).collect();
    let document = json!({
        "classes": classes,
        "projects": tenants,
        "max-attempts": limits["max-attempts"],
        "max-retry-after": max_retry_after,
        "over-share-worth": value_or(&settings["over-share-worth"], 1.0),
        "floor": fallback.map_or_else(|| derived_fallback(settings), |fallback| json!(fallback))
    });
    Document::parse(document.to_string().as_bytes())
}

/// Derives fallback settings from a proxy's configuration.
fn derived_fallback(settings: &Value) -> Value {
    let named = |element: &Value, value: Value| Some((element["name"].as_str()?.to_string(), value));
    let times = |class: &Value| json!({"on-time": class["on-time"], "hard-limit": class["hard-limit"]});
    let quota =
        |tenant: &Value| json!(tenant["quota-per-s"].as_f64().unwrap_or(0.0) * FALLBACK_QUOTA_FRACTION);
    let classes: Map<String, Value> =
        elements(settings, "classes").filter_map(|class| named(class, times(class))).collect();
    let tenants: Map<String, Value> =
        elements(settings, "projects").filter_map(|tenant| named(tenant, quota(tenant))).collect();
    let max_attempts = settings["caps"]["max-attempts"].as_u64().unwrap_or(1).min(MAX_FALLBACK_ATTEMPTS);
    json!({"classes": classes, "projects": tenants, "max-attempts": max_attempts, "max-retry-after": 0.0})
}

/// The elements of the list under `key`; none if there is no list.
fn elements<'a>(settings: &'a Value, key: &str) -> impl Iterator<Item = &'a Value> {
    settings[key].as_array().into_iter().flatten()
}

fn value_or(value: &Value, default: f64) -> Value {
    if value.is_null() { json!(default) } else { value.clone() }
}

/// The object reduced to those of `keys` that have a value. A class without an idempotency key may still have a group
/// and a window, which then have no effect.
fn select_keys(object: &Value, keys: &[&str]) -> Value {
    let selected = object.as_object().into_iter().flatten();
    let selected = selected.filter(|(key, value)| keys.contains(&key.as_str()) && !value.is_null());
    Value::Object(selected.map(|(key, value)| (key.clone(), value.clone())).collect())
}
