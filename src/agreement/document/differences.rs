//! The keys by which two documents differ.

use super::Document;
use serde::Serialize;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// A key that differs between two documents.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Difference {
    /// The key, as in [`super::DocumentError`].
    pub key: String,
    /// Its value in the first document, if present.
    pub from: Option<Value>,
    /// Its value in the second document, if present.
    pub to: Option<Value>,
}

/// The keys by which two documents differ, sorted.
pub fn differences(from: &Document, to: &Document) -> Vec<Difference> {
    let (from, to) = (values_by_key(from), values_by_key(to));
    let keys: BTreeSet<&String> = from.keys().chain(to.keys()).collect();
    keys.into_iter()
        .filter(|key| from.get(*key) != to.get(*key))
        .map(|key| Difference { key: key.clone(), from: from.get(key).cloned(), to: to.get(key).cloned() })
        .collect()
}

/// A document's values by key; list elements are keyed by their name.
fn values_by_key(document: &Document) -> BTreeMap<String, Value> {
    let mut values = BTreeMap::new();
    flatten(String::new(), serde_json::to_value(document).unwrap_or(Value::Null), &mut values);
    values
}

/// Adds the values in `value` under their keys, each prefixed with `key`.
fn flatten(key: String, value: Value, values: &mut BTreeMap<String, Value>) {
    let nested_key = |name: &str| if key.is_empty() { name.to_string() } else { format!("{key}.{name}") };
    match value {
        Value::Object(members) => {
            for (name, member) in members {
                flatten(nested_key(&name), member, values);
            }
        }
        Value::Array(elements) => {
            for (index, mut element) in elements.into_iter().enumerate() {
                let name = element.as_object_mut().and_then(|members| members.remove("name"));
                let name = name.and_then(|name| name.as_str().map(String::from));
                flatten(nested_key(&name.unwrap_or_else(|| index.to_string())), element, values);
            }
        }
        value => drop(values.insert(key, value)),
    }
}
