//! The settings of an instance: `path=value` pairs in the protocol's terms, mapped to the balancer's
//! [`Settings`].

use super::error::{Result, WireError};
use super::fields::{integer, non_negative};
use crate::balancer::types::{Class, DeduplicationScope, Idempotency, Settings};
use std::collections::HashMap;
use std::str::FromStr;

/// Numbers names in the order in which they first occur.
#[derive(Debug, Default)]
pub struct NameIndex(HashMap<String, u32>);

impl NameIndex {
    /// The number of a name; a new name gets the next number.
    pub fn index(&mut self, name: &str) -> u32 {
        if let Some(&index) = self.0.get(name) {
            return index;
        }
        let index = self.0.len() as u32;
        self.0.insert(name.to_string(), index);
        index
    }
}

/// The names that an instance's requests use; the balancer sees their indexes only.
#[derive(Clone, Debug, Default)]
pub struct InstanceNames {
    classes: Vec<String>,
    tenants: Vec<String>,
}

impl InstanceNames {
    /// The index of a class.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|class| class == name)
    }

    /// The index of a tenant.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.tenants.iter().position(|tenant| tenant == name)
    }
}

/// Reads the settings of an instance. Settings that the balancer does not use are ignored.
///
/// # Errors
/// If a required setting is missing, or a value cannot be parsed.
pub fn parse(pairs: &str, zones: &mut NameIndex) -> Result<(Settings, InstanceNames)> {
    let source = SettingsSource::new(pairs)?;
    let (classes, class_names) = classes(&source)?;
    let (quotas, tenants) = quotas(&source)?;
    let settings = Settings {
        classes,
        quotas,
        over_quota_weight: source.number_or("over-share-worth", 1.0)?,
        proxy_count: source.integer("n-instances")?,
        proxy_index: source.integer("me")?,
        tier: if source.has("tier") { source.integer("tier")? } else { 0 },
        zone: zones.index(source.get("zone").unwrap_or("")),
        cross_zone_cost: source.number_or("costs.cross-zone", 0.0)?,
        costly_connections: source.number_or("costs.connection", 0.0)?
            + source.number_or("costs.handshake", 0.0)?
            > 0.0,
        can_cancel: source.boolean("caps.cancel")?,
        hedged_requests: source.boolean("caps.second-copies")?,
        max_attempts: source.integer("caps.max-attempts")?,
        max_retry_after: max_retry_after(&source)?,
        polls_discovery: match source.required("registry-mode")? {
            "automatic" => false,
            "subscribe" => true,
            other => {
                return Err(WireError::invalid_value("registry-mode", "automatic or subscribe", other));
            }
        },
        poll_timeout: source.number("rules.ask-within")?,
        slow_start_min_capacity: source.number("rules.cold-share")?,
        slow_start_duration: source.number("rules.cold")?,
        overload_factor: source.number("rules.fall-multiple")?,
        overload_duration: source.number("rules.tip-after")?,
        ordering_quiet_period: source.number_or("rules.settle-after-doubt", 0.0)?,
        idle_release_timeout: match source.has("rules.release-within") {
            true => Some(source.number("rules.release-within")?),
            false => None,
        },
        min_time_step: source.number("quantum")?,
    };
    Ok((settings, InstanceNames { classes: class_names, tenants }))
}

/// The classes and their names.
fn classes(source: &SettingsSource<'_>) -> Result<(Vec<Class>, Vec<String>)> {
    let (mut classes, mut names) = (Vec::new(), Vec::new());
    for index in 0..source.integer("classes.count")? {
        let path = |key: &str| format!("classes.{index}.{key}");
        let ordered = path("fifo-by-key");
        classes.push(Class {
            idempotency: idempotency(source, index)?,
            latency_objective: source.number(&path("on-time"))?,
            deadline: source.number(&path("hard-limit"))?,
            late_weight: source.number_or(&path("late-worth"), 0.0)?,
            priority_weight: source.number_or(&path("worth"), 1.0)?,
            ordered: source.has(&ordered) && source.boolean(&ordered)?,
        });
        names.push(source.required(&path("name"))?.to_string());
    }
    Ok((classes, names))
}

fn idempotency(source: &SettingsSource<'_>, class: usize) -> Result<Idempotency> {
    let path = |key: &str| format!("classes.{class}.{key}");
    match source.required(&path("effect"))? {
        "free" => Ok(Idempotency::Idempotent),
        "single_shot" => Ok(Idempotency::NonIdempotent),
        "guarded" => {
            let group = path("group");
            let scope = match source.required(&group)? {
                "all" => DeduplicationScope::All,
                "zone" => DeduplicationScope::Zone,
                "cell" => DeduplicationScope::FailureDomain,
                other => return Err(WireError::invalid_value(&group, "all, zone or cell", other)),
            };
            Ok(Idempotency::IdempotencyKey { scope, window: source.number(&path("window"))? })
        }
        other => Err(WireError::invalid_value(&path("effect"), "free, guarded or single_shot", other)),
    }
}

/// The quotas of the tenants, and the tenants' names.
fn quotas(source: &SettingsSource<'_>) -> Result<(Vec<f64>, Vec<String>)> {
    let (mut quotas, mut tenants) = (Vec::new(), Vec::new());
    let count: usize = if source.has("projects.count") { source.integer("projects.count")? } else { 0 };
    for index in 0..count {
        quotas.push(source.number(&format!("projects.{index}.quota-per-s"))?);
        tenants.push(source.required(&format!("projects.{index}.name"))?.to_string());
    }
    Ok((quotas, tenants))
}

fn max_retry_after(source: &SettingsSource<'_>) -> Result<f64> {
    if source.has("caps.retry-after") && source.boolean("caps.retry-after")? {
        return source.number_or("caps.max-retry-after", 0.0);
    }
    Ok(0.0)
}

/// The values of the settings by path.
struct SettingsSource<'a>(HashMap<&'a str, &'a str>);

impl<'a> SettingsSource<'a> {
    fn new(pairs: &'a str) -> Result<Self> {
        let mut values = HashMap::new();
        for pair in pairs.split(' ').filter(|pair| !pair.is_empty()) {
            let split = pair.split_once('=');
            let (path, value) =
                split.ok_or_else(|| WireError::invalid_value("a setting", "path=value", pair))?;
            values.insert(path, value);
        }
        Ok(Self(values))
    }

    fn has(&self, path: &str) -> bool {
        self.0.contains_key(path)
    }

    fn get(&self, path: &str) -> Option<&'a str> {
        self.0.get(path).copied()
    }

    fn required(&self, path: &str) -> Result<&'a str> {
        self.get(path).ok_or_else(|| WireError::MissingSetting(path.to_string()))
    }

    fn number(&self, path: &str) -> Result<f64> {
        non_negative(path, self.required(path)?)
    }

    fn number_or(&self, path: &str, default: f64) -> Result<f64> {
        self.get(path).map_or(Ok(default), |value| non_negative(path, value))
    }

    fn integer<T: FromStr>(&self, path: &str) -> Result<T> {
        integer(path, self.required(path)?)
    }

    fn boolean(&self, path: &str) -> Result<bool> {
        match self.required(path)? {
            "true" | "1" => Ok(true),
            "false" | "0" => Ok(false),
            other => Err(WireError::invalid_value(path, "true or false", other)),
        }
    }
}
