//! The settings document: what may change on a running fleet, what may not, and what a detached proxy goes by.
//!
//! **What may change**, and what would contradict what. Two proxies contradict each other where
//! - `projects.*.quota-per-s`: together they may admit more inside a tenant's share than its quota;
//! - `max-attempts`: one may send a request more often than the other's version allows;
//! - `max-retry-after`: one may keep a refused client away for longer than the other's version allows;
//! - `classes.*.on-time`, `hard-limit`: one may work on a request for longer than the other's version allows;
//! - `classes.*.worth`, `late-worth`, `over-share-worth`, `shed`: they shed in different orders.
//!
//! **What needs a restart**, and why: a class's name and a project's name (requests are read by them), a class's
//! `effect`, `group`, `window` and `fifo-by-key` (they decide what may run twice: of two proxies that differ one
//! would break the other's promise), and `floor` (below). All that is not in the document at all (zones, tier,
//! timeouts of sockets, what backends can take while cold) is a fact of the place and not a rule.
//!
//! **The floor** is what a proxy goes by while it is detached, and can't know which version is in force: for each
//! kind at most what any version may say, which [`Document::check`] enforces for every version that enters. A
//! detached proxy sheds blindly to worth, which ranks nothing. So its rules contradict no version, whatever was
//! published meanwhile: it does less than any version allows, never more. A tenant's floor is shared out over the
//! most proxies that the fleet may have, and attached proxies share out only what is above it, so that attached and
//! detached ones together never exceed the quota ([`crate::Balancer`] reckons each one's part).

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use thiserror::Error;

/// Most bytes of a document as JSON: well within a record of the log.
pub const MOST_BYTES: usize = 48 << 10;
/// Most classes and most projects.
pub const MOST_CLASSES: usize = 64;
/// See [`MOST_CLASSES`].
pub const MOST_PROJECTS: usize = 512;
/// Most characters of a name.
const MOST_NAME: usize = 128;
/// Most attempts of a request that a version may allow.
const MOST_ATTEMPTS: u32 = 16;
/// Longest span that a version may name, in seconds.
const MOST_SPAN: f64 = 600.0;
/// Largest quota, in requests a second, and largest worth.
const MOST: f64 = 1e9;

/// What is wrong with a document, by key.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
#[error("{key}: {why}")]
pub struct DocumentError {
    /// The key, as `classes.send-sms.hard-limit`.
    pub key: String,
    /// The range that it has to be in, or the rule that it breaks.
    pub why: String,
}

fn wrong<T>(key: impl Into<String>, why: impl Into<String>) -> Result<T, DocumentError> {
    Err(DocumentError { key: key.into(), why: why.into() })
}

/// What repeating a request of a class would do, as a proxy's settings name it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// Nothing.
    Free,
    /// Dropped by the group that has seen its key.
    Guarded,
    /// It would happen again.
    SingleShot,
}

/// Which backends drop repeats of each other's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Group {
    /// All.
    All,
    /// Those of a zone.
    Zone,
    /// Those of a cell.
    Cell,
}

/// A class of requests, as a proxy's settings write it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Class {
    /// Its name (restart only).
    pub name: String,
    /// Restart only.
    pub effect: Effect,
    /// Restart only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub group: Option<Group>,
    /// Seconds; restart only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub window: Option<f64>,
    /// Restart only.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub fifo_by_key: bool,
    /// Seconds within which an answer is worth all.
    pub on_time: f64,
    /// Seconds after which a client has given up.
    pub hard_limit: f64,
    /// The part of the worth that an answer after `on_time` has.
    #[serde(default)]
    pub late_worth: f64,
    /// What a timely answer is worth.
    #[serde(default = "one")]
    pub worth: f64,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Project {
    /// Its name (restart only).
    pub name: String,
    /// Requests a second inside its share, over the whole fleet.
    pub quota_per_s: f64,
}

/// A class's part of the floor.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ClassFloor {
    /// Seconds.
    pub on_time: f64,
    /// Seconds.
    pub hard_limit: f64,
}

/// What a detached proxy goes by (see the module's text); restart only.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Floor {
    /// By class.
    pub classes: BTreeMap<String, ClassFloor>,
    /// Requests a second by project, over the whole fleet.
    pub projects: BTreeMap<String, f64>,
    /// Attempts of a request.
    pub max_attempts: u32,
    /// Seconds.
    pub max_retry_after: f64,
}

/// A version of the fleet's settings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Document {
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Tenants.
    #[serde(default)]
    pub projects: Vec<Project>,
    /// Most attempts of a request.
    pub max_attempts: u32,
    /// Longest time that a refused client is asked to stay away, in seconds; 0: none is told.
    #[serde(default)]
    pub max_retry_after: f64,
    /// Worth of a request beyond its tenant's share, as a part of the class's.
    #[serde(default = "one")]
    pub over_share_worth: f64,
    /// Whether the entry sheds by worth under pressure.
    #[serde(default = "yes")]
    pub shed: bool,
    /// What a detached proxy goes by.
    pub floor: Floor,
}

fn one() -> f64 {
    1.0
}

fn yes() -> bool {
    true
}

fn range(key: impl Into<String>, value: f64, least: f64, most: f64) -> Result<(), DocumentError> {
    match value.is_finite() && value >= least && value <= most {
        true => Ok(()),
        false => wrong(key, format!("from {least} to {most}, got {value}")),
    }
}

fn name(key: &str, name: &str) -> Result<(), DocumentError> {
    match (1..=MOST_NAME).contains(&name.len()) && name.bytes().all(|b| b.is_ascii_graphic()) {
        true => Ok(()),
        false => wrong(key, format!("a name of 1 to {MOST_NAME} visible ASCII characters")),
    }
}

impl Document {
    /// Reads a document from JSON and checks it.
    ///
    /// # Errors
    /// The key and what it has to be: unknown, missing or of another type, or as [`Document::check`] says.
    pub fn parse(json: &[u8]) -> Result<Self, DocumentError> {
        if json.len() > MOST_BYTES {
            return wrong("document", format!("at most {MOST_BYTES} bytes, got {}", json.len()));
        }
        let mut reader = serde_json::Deserializer::from_slice(json);
        let document: Self = serde_path_to_error::deserialize(&mut reader)
            .map_err(|e| DocumentError { key: e.path().to_string(), why: e.inner().to_string() })?;
        document.check()?;
        Ok(document)
    }

    /// Checks types, ranges and references, and that the floor is below: see the module's text.
    ///
    /// # Errors
    /// The first key that is wrong.
    pub fn check(&self) -> Result<(), DocumentError> {
        if self.size() > MOST_BYTES {
            return wrong("document", format!("at most {MOST_BYTES} bytes, got {}", self.size()));
        }
        if !(1..=MOST_CLASSES).contains(&self.classes.len()) {
            return wrong("classes", format!("1 to {MOST_CLASSES} of them"));
        }
        if self.projects.len() > MOST_PROJECTS {
            return wrong("projects", format!("at most {MOST_PROJECTS} of them"));
        }
        let floor = &self.floor;
        range("floor.max-attempts", floor.max_attempts.into(), 1.0, MOST_ATTEMPTS.into())?;
        range("max-attempts", self.max_attempts.into(), floor.max_attempts.into(), MOST_ATTEMPTS.into())?;
        range("floor.max-retry-after", floor.max_retry_after, 0.0, MOST_SPAN)?;
        range("max-retry-after", self.max_retry_after, floor.max_retry_after, MOST_SPAN)?;
        range("over-share-worth", self.over_share_worth, 0.0, 1.0)?;
        for (i, class) in self.classes.iter().enumerate() {
            name("classes", &class.name)?;
            let key = |what: &str| format!("classes.{}.{what}", class.name);
            if self.classes[..i].iter().any(|c| c.name == class.name) {
                return wrong(key("name"), "there are two of this name");
            }
            if class.effect == Effect::Guarded && (class.group.is_none() || class.window.is_none()) {
                return wrong(key("effect"), "guarded needs a group and a window");
            }
            range(key("window"), class.window.unwrap_or(0.0), 0.0, 86_400.0)?;
            let Some(least) = floor.classes.get(&class.name) else {
                return wrong(format!("floor.classes.{}", class.name), "is missing");
            };
            range(format!("floor.classes.{}.on-time", class.name), least.on_time, 0.001, MOST_SPAN)?;
            range(
                format!("floor.classes.{}.hard-limit", class.name),
                least.hard_limit,
                least.on_time,
                MOST_SPAN,
            )?;
            range(key("on-time"), class.on_time, least.on_time, MOST_SPAN)?;
            range(key("hard-limit"), class.hard_limit, least.hard_limit.max(class.on_time), MOST_SPAN)?;
            range(key("late-worth"), class.late_worth, 0.0, 1.0)?;
            range(key("worth"), class.worth, 0.0, MOST)?;
        }
        for (i, project) in self.projects.iter().enumerate() {
            name("projects", &project.name)?;
            let key = |what: &str| format!("projects.{}.{what}", project.name);
            if self.projects[..i].iter().any(|p| p.name == project.name) {
                return wrong(key("name"), "there are two of this name");
            }
            let Some(least) = floor.projects.get(&project.name) else {
                return wrong(format!("floor.projects.{}", project.name), "is missing");
            };
            range(format!("floor.projects.{}", project.name), *least, 0.0, MOST)?;
            range(key("quota-per-s"), project.quota_per_s, *least, MOST)?;
        }
        let unknown = |known: bool, key: String| if known { Ok(()) } else { wrong(key, "is not known") };
        for class in floor.classes.keys() {
            unknown(self.classes.iter().any(|c| c.name == *class), format!("floor.classes.{class}"))?;
        }
        for project in floor.projects.keys() {
            unknown(self.projects.iter().any(|p| p.name == *project), format!("floor.projects.{project}"))?;
        }
        Ok(())
    }

    /// Whether this version may follow `base` on a running fleet.
    ///
    /// # Errors
    /// The first key that differs and needs a restart.
    pub fn may_follow(&self, base: &Document) -> Result<(), DocumentError> {
        let fixed = "may change with a restart of the fleet only";
        for class in &self.classes {
            let Some(known) = base.classes.iter().find(|c| c.name == class.name) else {
                return wrong(format!("classes.{}", class.name), format!("is not known; {fixed}"));
            };
            let key = |what: &str| format!("classes.{}.{what}", class.name);
            for (what, same) in [
                ("effect", class.effect == known.effect),
                ("group", class.group == known.group),
                ("window", class.window == known.window),
                ("fifo-by-key", class.fifo_by_key == known.fifo_by_key),
            ] {
                if !same {
                    return wrong(key(what), fixed);
                }
            }
        }
        for project in &self.projects {
            if !base.projects.iter().any(|p| p.name == project.name) {
                return wrong(format!("projects.{}", project.name), format!("is not known; {fixed}"));
            }
        }
        if let Some(gone) = base.classes.iter().find(|c| !self.classes.iter().any(|o| o.name == c.name)) {
            return wrong(format!("classes.{}", gone.name), format!("is missing; {fixed}"));
        }
        if let Some(gone) = base.projects.iter().find(|p| !self.projects.iter().any(|o| o.name == p.name)) {
            return wrong(format!("projects.{}", gone.name), format!("is missing; {fixed}"));
        }
        match self.floor == base.floor {
            true => Ok(()),
            false => wrong("floor", fixed),
        }
    }

    /// Bytes as JSON.
    pub fn size(&self) -> usize {
        // A checked document always serializes; were it not to, it would count as too large.
        serde_json::to_vec(self).map_or(MOST_BYTES + 1, |json| json.len())
    }
}

/// The document that a proxy's settings come to, with `floor` or one made from them: half of each quota, at most two
/// attempts, no `Retry-After`, and the times as they are.
///
/// # Errors
/// The key that is wrong or missing.
pub fn first_document(settings: &Value, floor: Option<Floor>) -> Result<Document, DocumentError> {
    let or = |value: &Value, other: Value| if value.is_null() { other } else { value.clone() };
    let keep = |value: &Value, keys: &[&str]| -> Value {
        let all = value.as_object().cloned().unwrap_or_default();
        let wanted = |key: &str| keys.contains(&key);
        // A class that is not guarded may carry a group and a window all the same; they mean nothing then.
        Value::Object(all.into_iter().filter(|(k, v)| wanted(k) && !v.is_null()).collect())
    };
    let class = |c: &Value| {
        let all = [
            "name",
            "effect",
            "group",
            "window",
            "fifo-by-key",
            "on-time",
            "hard-limit",
            "late-worth",
            "worth",
        ];
        keep(c, &all)
    };
    let list = |key: &str| settings[key].as_array().cloned().unwrap_or_default();
    let caps = &settings["caps"];
    let told = caps["retry-after"] == true;
    let number = |v: &Value| v.as_f64().unwrap_or(0.0);
    let attempts = caps["max-attempts"].as_u64().unwrap_or(1);
    let floor = floor.map(|floor| json!(floor)).unwrap_or_else(|| {
        json!({
            "classes": list("classes").iter().filter_map(|c| Some((c["name"].as_str()?.to_string(),
                json!({"on-time": c["on-time"], "hard-limit": c["hard-limit"]}))))
                .collect::<serde_json::Map<_, _>>(),
            "projects": list("projects").iter().filter_map(|p| Some((p["name"].as_str()?.to_string(),
                json!(number(&p["quota-per-s"]) / 2.0)))).collect::<serde_json::Map<_, _>>(),
            "max-attempts": attempts.min(2), "max-retry-after": 0.0
        })
    });
    let document = json!({
        "classes": list("classes").iter().map(class).collect::<Vec<_>>(),
        "projects": list("projects").iter().map(|p| keep(p, &["name", "quota-per-s"])).collect::<Vec<_>>(),
        "max-attempts": caps["max-attempts"],
        "max-retry-after": if told { or(&caps["max-retry-after"], json!(0.0)) } else { json!(0.0) },
        "over-share-worth": or(&settings["over-share-worth"], json!(1.0)),
        "floor": floor
    });
    Document::parse(document.to_string().as_bytes())
}

/// One key that differs between two documents.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Difference {
    /// The key, as in [`DocumentError`].
    pub key: String,
    /// Its value in the first, if it is there.
    pub from: Option<Value>,
    /// Its value in the second, if it is there.
    pub to: Option<Value>,
}

/// The keys by which two documents differ, in order.
pub fn differences(from: &Document, to: &Document) -> Vec<Difference> {
    let (from, to) = (flat(from), flat(to));
    let keys: std::collections::BTreeSet<&String> = from.keys().chain(to.keys()).collect();
    keys.into_iter()
        .filter(|key| from.get(*key) != to.get(*key))
        .map(|key| Difference { key: key.clone(), from: from.get(key).cloned(), to: to.get(key).cloned() })
        .collect()
}

/// A document's values by key; those of lists under the names of their elements.
fn flat(document: &Document) -> BTreeMap<String, Value> {
    fn walk(key: String, value: Value, into: &mut BTreeMap<String, Value>) {
        let under = |name: &str| if key.is_empty() { name.to_string() } else { format!("{key}.{name}") };
        match value {
            Value::Object(map) => map.into_iter().for_each(|(k, v)| walk(under(&k), v, into)),
            Value::Array(list) => {
                for (i, mut element) in list.into_iter().enumerate() {
                    let named = element.as_object_mut().and_then(|o| o.remove("name"));
                    let named = named.and_then(|n| n.as_str().map(String::from));
                    walk(under(&named.unwrap_or_else(|| i.to_string())), element, into);
                }
            }
            value => drop(into.insert(key, value)),
        }
    }
    let mut into = BTreeMap::new();
    walk(String::new(), serde_json::to_value(document).unwrap_or(Value::Null), &mut into);
    into
}

#[cfg(test)]
pub(super) mod tests;
