//! Overrides of keys in an experiment file.

use super::SpecError;

/// Sets the value at a dotted path; list elements are addressed by number and must exist, missing tables are created.
pub(super) fn set_at_path(table: &mut toml::Value, path: &str, value: toml::Value) -> Result<(), SpecError> {
    let bad_path = || SpecError::Value(format!("--set {path}: no such key or element"));
    let (parents, last) = path.rsplit_once('.').unwrap_or(("", path));
    let mut current = table;
    for step in parents.split('.').filter(|s| !s.is_empty()) {
        current = match current {
            toml::Value::Array(list) => step.parse().ok().and_then(|n: usize| list.get_mut(n)),
            _ => current.as_table_mut().map(|t| t.entry(step).or_insert_with(|| toml::Table::new().into())),
        }
        .ok_or_else(bad_path)?;
    }
    current.as_table_mut().ok_or_else(bad_path)?.insert(last.into(), value);
    Ok(())
}

/// Parses `key=value` of `--set`; a value that is not valid TOML is a string.
///
/// # Errors
/// If there is no `=`.
pub fn setting(text: &str) -> Result<(String, toml::Value), String> {
    let (key, value) = text.split_once('=').ok_or_else(|| format!("{text}: expected key=value"))?;
    let parsed = toml::from_str::<toml::Table>(&format!("v = {value}")).ok().and_then(|mut t| t.remove("v"));
    Ok((key.trim().into(), parsed.unwrap_or_else(|| toml::Value::String(value.into()))))
}
