//! The agreement as watchers see it: the JSON of `GET /v1/agreed`.

use super::document::Document;
use super::state::{MAX_SESSIONS, Members};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::sync::Arc;

/// A settings version, without its document if the watcher already has that.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SettingsView {
    /// The version.
    pub version: u64,
    /// Its document.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub document: Option<Arc<Document>>,
}

/// The membership, in ranges: `0-89,91` is the slots 0 to 89 and 91.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct MembersView {
    /// The revision at which it was computed.
    pub revision: u64,
    /// The slots of live sessions.
    pub slots: String,
}

/// The agreement.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AgreementView {
    /// The revision of its latest change.
    #[serde(rename = "at")]
    pub revision: u64,
    /// The membership.
    pub members: MembersView,
    /// The committed version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub committed: Option<SettingsView>,
    /// The offered version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub offered: Option<SettingsView>,
}

impl From<&Members> for MembersView {
    fn from(members: &Members) -> Self {
        let mut ranges: Vec<[u32; 2]> = Vec::new();
        for slot in &members.slots {
            match ranges.last_mut() {
                Some([_, last]) if *last + 1 == *slot => *last = *slot,
                _ => ranges.push([*slot, *slot]),
            }
        }
        let text = |[first, last]: &[u32; 2]| match first == last {
            true => first.to_string(),
            false => format!("{first}-{last}"),
        };
        let slots = ranges.iter().map(text).collect::<Vec<_>>().join(",");
        Self { revision: members.revision, slots }
    }
}

impl From<MembersView> for Members {
    fn from(view: MembersView) -> Self {
        let slots: BTreeSet<u32> = view.slots.split(',').filter_map(slot_range).flatten().collect();
        Self { revision: view.revision, slots: slots.into_iter().collect() }
    }
}

/// The slots of one range; `None` if the text is not a range of slots.
fn slot_range(text: &str) -> Option<std::ops::RangeInclusive<u32>> {
    let (first, last) = text.split_once('-').unwrap_or((text, text));
    Some(slot(first)?..=slot(last)?)
}

/// Parses a slot. It must be below [`MAX_SESSIONS`], so that a malformed text does not make a huge membership.
fn slot(text: &str) -> Option<u32> {
    text.parse().ok().filter(|slot| (*slot as usize) < MAX_SESSIONS)
}

#[cfg(test)]
mod tests;
