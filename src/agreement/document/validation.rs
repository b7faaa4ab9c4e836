//! Decides which documents may enter the history: checks types, ranges and references, that no version is below its
//! fallback settings, and which keys may change without a restart of the fleet.

use super::{Class, Document, DocumentError, FallbackSettings, Idempotency, MAX_DOCUMENT_BYTES, Tenant};
use std::ops::RangeInclusive;

/// The maximum number of classes.
const MAX_CLASSES: usize = 64;
/// The maximum number of tenants.
const MAX_TENANTS: usize = 512;
/// The maximum length of a name, in characters.
const MAX_NAME_LENGTH: usize = 128;
/// The maximum number of attempts of a request that a version may allow.
const MAX_ATTEMPTS: u32 = 16;
/// The shortest latency objective, in seconds.
const MIN_LATENCY_OBJECTIVE_S: f64 = 0.001;
/// The longest time that a version may contain, in seconds.
const MAX_DURATION_S: f64 = 600.0;
/// The longest time for which idempotency keys are remembered, in seconds.
const MAX_DEDUPLICATION_WINDOW_S: f64 = 86_400.0;
/// The largest quota, in requests per second.
const MAX_QUOTA_PER_S: f64 = 1e9;
/// The largest priority weight.
const MAX_PRIORITY_WEIGHT: f64 = 1e9;

const RESTART_ONLY: &str = "may change with a restart of the fleet only";

fn error<T>(key: impl Into<String>, reason: impl Into<String>) -> Result<T, DocumentError> {
    Err(DocumentError::new(key, reason))
}

/// Checks the size of a document as JSON.
pub(super) fn check_size(bytes: usize) -> Result<(), DocumentError> {
    match bytes <= MAX_DOCUMENT_BYTES {
        true => Ok(()),
        false => error("document", format!("at most {MAX_DOCUMENT_BYTES} bytes, got {bytes}")),
    }
}

fn check_range(key: impl Into<String>, value: f64, range: RangeInclusive<f64>) -> Result<(), DocumentError> {
    match value.is_finite() && range.contains(&value) {
        true => Ok(()),
        false => error(key, format!("from {} to {}, got {value}", range.start(), range.end())),
    }
}

fn check_name(key: &str, name: &str) -> Result<(), DocumentError> {
    let is_visible = name.bytes().all(|byte| byte.is_ascii_graphic());
    match (1..=MAX_NAME_LENGTH).contains(&name.len()) && is_visible {
        true => Ok(()),
        false => error(key, format!("a name of 1 to {MAX_NAME_LENGTH} visible ASCII characters")),
    }
}

fn check_unique<'a>(
    key: String,
    name: &str,
    mut others: impl Iterator<Item = &'a str>,
) -> Result<(), DocumentError> {
    match others.any(|other| other == name) {
        true => error(key, "there are two of this name"),
        false => Ok(()),
    }
}

fn class_key(class: &Class, key: &str) -> String {
    format!("classes.{}.{key}", class.name)
}

fn tenant_key(tenant: &Tenant, key: &str) -> String {
    format!("projects.{}.{key}", tenant.name)
}

impl Document {
    /// Checks types, ranges and references, and that no value is below the fallback settings.
    ///
    /// # Errors
    /// The first invalid key.
    pub fn check(&self) -> Result<(), DocumentError> {
        check_size(self.size())?;
        if !(1..=MAX_CLASSES).contains(&self.classes.len()) {
            return error("classes", format!("1 to {MAX_CLASSES} of them"));
        }
        if self.tenants.len() > MAX_TENANTS {
            return error("projects", format!("at most {MAX_TENANTS} of them"));
        }
        self.check_limits()?;
        for (index, class) in self.classes.iter().enumerate() {
            self.check_class(index, class)?;
        }
        for (index, tenant) in self.tenants.iter().enumerate() {
            self.check_tenant(index, tenant)?;
        }
        self.check_fallback_names()
    }

    fn check_limits(&self) -> Result<(), DocumentError> {
        let fallback = &self.fallback;
        let (limit, fallback_attempts) = (f64::from(MAX_ATTEMPTS), f64::from(fallback.max_attempts));
        check_range("floor.max-attempts", fallback_attempts, 1.0..=limit)?;
        check_range("max-attempts", self.max_attempts.into(), fallback_attempts..=limit)?;
        check_range("floor.max-retry-after", fallback.max_retry_after, 0.0..=MAX_DURATION_S)?;
        check_range("max-retry-after", self.max_retry_after, fallback.max_retry_after..=MAX_DURATION_S)?;
        check_range("over-share-worth", self.over_quota_weight, 0.0..=1.0)
    }

    fn check_class(&self, index: usize, class: &Class) -> Result<(), DocumentError> {
        let key = |key: &str| class_key(class, key);
        check_name("classes", &class.name)?;
        check_unique(key("name"), &class.name, self.classes[..index].iter().map(|c| c.name.as_str()))?;
        let is_complete = class.deduplication_scope.is_some() && class.deduplication_window.is_some();
        if class.idempotency == Idempotency::IdempotencyKey && !is_complete {
            return error(key("effect"), "guarded needs a group and a window");
        }
        let window = class.deduplication_window.unwrap_or(0.0);
        check_range(key("window"), window, 0.0..=MAX_DEDUPLICATION_WINDOW_S)?;
        let fallback_key = format!("floor.classes.{}", class.name);
        let Some(fallback) = self.fallback.classes.get(&class.name) else {
            return error(fallback_key, "is missing");
        };
        check_range(
            format!("{fallback_key}.on-time"),
            fallback.latency_objective,
            MIN_LATENCY_OBJECTIVE_S..=MAX_DURATION_S,
        )?;
        check_range(
            format!("{fallback_key}.hard-limit"),
            fallback.deadline,
            fallback.latency_objective..=MAX_DURATION_S,
        )?;
        check_range(key("on-time"), class.latency_objective, fallback.latency_objective..=MAX_DURATION_S)?;
        let min_deadline = fallback.deadline.max(class.latency_objective);
        check_range(key("hard-limit"), class.deadline, min_deadline..=MAX_DURATION_S)?;
        check_range(key("late-worth"), class.late_weight, 0.0..=1.0)?;
        check_range(key("worth"), class.priority_weight, 0.0..=MAX_PRIORITY_WEIGHT)
    }

    fn check_tenant(&self, index: usize, tenant: &Tenant) -> Result<(), DocumentError> {
        let key = |key: &str| tenant_key(tenant, key);
        check_name("projects", &tenant.name)?;
        check_unique(key("name"), &tenant.name, self.tenants[..index].iter().map(|p| p.name.as_str()))?;
        let fallback_key = format!("floor.projects.{}", tenant.name);
        let Some(min_quota) = self.fallback.tenants.get(&tenant.name) else {
            return error(fallback_key, "is missing");
        };
        check_range(fallback_key, *min_quota, 0.0..=MAX_QUOTA_PER_S)?;
        check_range(key("quota-per-s"), tenant.quota, *min_quota..=MAX_QUOTA_PER_S)
    }

    fn class(&self, name: &str) -> Option<&Class> {
        self.classes.iter().find(|class| class.name == name)
    }

    fn has_tenant(&self, name: &str) -> bool {
        self.tenants.iter().any(|tenant| tenant.name == name)
    }

    fn check_fallback_names(&self) -> Result<(), DocumentError> {
        let FallbackSettings { classes, tenants, .. } = &self.fallback;
        if let Some(name) = classes.keys().find(|name| self.class(name).is_none()) {
            return error(format!("floor.classes.{name}"), "is not known");
        }
        if let Some(name) = tenants.keys().find(|name| !self.has_tenant(name)) {
            return error(format!("floor.projects.{name}"), "is not known");
        }
        Ok(())
    }

    /// Checks that this version may follow `base` on a running fleet.
    ///
    /// # Errors
    /// The first key that differs and needs a restart.
    pub fn may_follow(&self, base: &Document) -> Result<(), DocumentError> {
        for class in &self.classes {
            let Some(base_class) = base.class(&class.name) else {
                return error(format!("classes.{}", class.name), format!("is not known; {RESTART_ONLY}"));
            };
            check_class_unchanged(class, base_class)?;
        }
        if let Some(added) = self.tenants.iter().find(|tenant| !base.has_tenant(&tenant.name)) {
            return error(format!("projects.{}", added.name), format!("is not known; {RESTART_ONLY}"));
        }
        if let Some(removed) = base.classes.iter().find(|class| self.class(&class.name).is_none()) {
            return error(format!("classes.{}", removed.name), format!("is missing; {RESTART_ONLY}"));
        }
        if let Some(removed) = base.tenants.iter().find(|tenant| !self.has_tenant(&tenant.name)) {
            return error(format!("projects.{}", removed.name), format!("is missing; {RESTART_ONLY}"));
        }
        match self.fallback == base.fallback {
            true => Ok(()),
            false => error("floor", RESTART_ONLY),
        }
    }
}

/// Checks that the keys of a class that need a restart are the same in `base`.
fn check_class_unchanged(class: &Class, base: &Class) -> Result<(), DocumentError> {
    let unchanged = [
        ("effect", class.idempotency == base.idempotency),
        ("group", class.deduplication_scope == base.deduplication_scope),
        ("window", class.deduplication_window == base.deduplication_window),
        ("fifo-by-key", class.ordered == base.ordered),
    ];
    match unchanged.into_iter().find(|(_, is_same)| !is_same) {
        Some((key, _)) => error(class_key(class, key), RESTART_ONLY),
        None => Ok(()),
    }
}
