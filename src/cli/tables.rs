//! The text output of the commands.

use super::replies::{EndedReply, FleetReply, HistoryReply, SessionReply, VersionReply};
use linkhatch_proxy::agreement::document::Difference;
use serde_json::{Value, json};

/// A number, or `null`.
fn number(number: Option<u64>) -> String {
    json!(number).to_string()
}

/// One line for each version of the history.
pub fn history(history: &HistoryReply) -> String {
    history.versions.iter().map(version).collect()
}

fn version(version: &VersionReply) -> String {
    format!(
        "{:>8}  after {:>8}  {:<10}  {}  {} {}\n",
        number(version.version),
        number(version.parent),
        version.status,
        version.by.as_deref().unwrap_or_default(),
        version.note.as_deref().unwrap_or_default(),
        version.reason.as_deref().unwrap_or_default()
    )
}

/// One line for each key that differs.
pub fn differences(differences: &[Difference]) -> String {
    let value = |value: &Option<Value>| value.as_ref().map_or("(none)".to_string(), Value::to_string);
    let line = |d: &Difference| format!("{}: {} -> {}\n", d.key, value(&d.from), value(&d.to));
    differences.iter().map(line).collect()
}

/// The fleet's status: one line for the fleet, and one for each session.
pub fn fleet(fleet: &FleetReply) -> String {
    let offered = fleet.offered_version.map_or(String::new(), |version| format!(", {version} offered"));
    let mut text = format!(
        "revision {}, list {}, settings {}{offered}, slots {}\n",
        number(fleet.revision),
        fleet.list_revision,
        fleet.committed_version,
        fleet.members.slots
    );
    text += &format!(
        "{:<20} {:>5} {:>9} {:<9} {:>9} {:>9} {:>9} {:>8} {:>8}\n",
        "proxy", "slot", "session", "state", "holds", "in force", "members", "list lag", "left ms"
    );
    text.extend(fleet.sessions.iter().map(|live| session(live, fleet)));
    text.extend(fleet.ended.iter().map(ended));
    text
}

fn session(session: &SessionReply, fleet: &FleetReply) -> String {
    let renewal = &session.last_renewal;
    let state = if renewal.active_version == fleet.committed_version { "attached" } else { "behind" };
    format!(
        "{:<20} {:>5} {:>9} {state:<9} {:>9} {:>9} {:>9} {:>8} {:>8}\n",
        session.name,
        session.slot,
        session.session,
        renewal.held_version,
        renewal.active_version,
        renewal.members_revision,
        fleet.list_revision.saturating_sub(renewal.list_revision),
        session.remaining_ms.unwrap_or(0)
    )
}

fn ended(ended: &EndedReply) -> String {
    format!(
        "{:<20} {:>5} {:>9} detached  {}, {} ms ago\n",
        ended.name, ended.slot, ended.session, ended.reason, ended.ago_ms
    )
}
