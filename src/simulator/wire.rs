//! The lines of the simulator's protocol: parses input lines into [`Line`]s and writes actions as reply lines.
//!
//! The names of classes, tenants and zones are replaced by indexes here.

use super::error::{Result, WireError};
use super::fields::{
    flag, integer, load_report, non_negative, number, optional, outcome, request_id, values,
};
use super::settings::{self, InstanceNames, NameIndex};
use crate::balancer::types::{
    Action, AttemptEnded, BackendId, EndpointEntry, EndpointStatus, Event, Request, Settings, Time, name_hash,
};
use std::fmt::Write;

/// The number of endpoint lists that a batch can hold.
pub const LIST_COUNT: usize = 16;

/// An input line.
#[derive(Debug)]
pub enum Line<'a> {
    /// A batch begins.
    BatchStarted {
        /// The time of its events, in seconds.
        now: Time,
        /// Its number.
        number: u64,
    },
    /// The batch is complete.
    BatchComplete,
    /// The lines that follow are for this instance.
    InstanceSelected(&'a str),
    /// The instance starts.
    InstanceStarted {
        /// The seed of its random draws.
        seed: u64,
        /// Its settings.
        settings: Box<Settings>,
        /// The names in its requests.
        names: InstanceNames,
    },
    /// The instance stops.
    InstanceStopped,
    /// An endpoint list follows.
    ListStarted {
        /// Its number, below [`LIST_COUNT`].
        list: usize,
        /// The number of its entries.
        entries: usize,
    },
    /// An entry of an endpoint list.
    ListEntry(EndpointEntry),
    /// The instance's endpoint list changed.
    Update {
        /// The meaning of the list.
        kind: UpdateKind,
        /// The number of the list.
        list: usize,
    },
    /// Any other event for the instance.
    Event(Event<'static>),
    /// An event that the balancer does not use.
    Ignored,
}

/// The meaning of the list of an `UPDATE`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateKind {
    /// The entries that changed.
    Changes,
    /// The complete list.
    Snapshot,
    /// The complete list from the cache.
    Cached,
    /// There is no list, as a poll failed.
    PollFailed,
}

/// Parses a line. `names` are those of the selected instance, if it has started.
///
/// # Errors
/// If the line is unknown, or has values that cannot be parsed.
pub fn parse<'a>(line: &'a str, zones: &mut NameIndex, names: Option<&InstanceNames>) -> Result<Line<'a>> {
    let (name, rest) = line.split_once(' ').unwrap_or((line, ""));
    match name {
        "BATCH" => {
            let [now, batch] = values("BATCH", rest)?;
            Ok(Line::BatchStarted {
                now: number("the clock", now)?,
                number: integer("the batch number", batch)?,
            })
        }
        "GO" => values("GO", rest).map(|[]| Line::BatchComplete),
        "SELECT" => values("SELECT", rest).map(|[instance]| Line::InstanceSelected(instance)),
        "HELLO" => instance_started(rest, zones),
        "TEARDOWN" => values("TEARDOWN", rest).map(|[]| Line::InstanceStopped),
        "ROSTER" => {
            let [list, entries] = values("ROSTER", rest)?;
            Ok(Line::ListStarted {
                list: list_number(list)?,
                entries: integer("the number of entries", entries)?,
            })
        }
        "ITEM" => endpoint_entry(rest, zones).map(Line::ListEntry),
        "UPDATE" => update(rest),
        "QUERY" => request(rest, names).map(Event::Request).map(Line::Event),
        "BEGUN" => response_started(rest).map(Line::Event),
        "RESULT" => attempt_ended(rest).map(Event::AttemptEnded).map(Line::Event),
        "CLIENT_LEFT" => {
            let [id] = values("CLIENT_LEFT", rest)?;
            Ok(Line::Event(Event::ClientDisconnected(request_id(id)?)))
        }
        "TICK_DUE" => {
            let [token] = values("TICK_DUE", rest)?;
            Ok(Line::Event(Event::Timer(integer("the token", token)?)))
        }
        "HEALTH" => check_probe_result(rest).map(|()| Line::Ignored),
        "PEER" => check_peer_message(rest).map(|()| Line::Ignored),
        _ => Err(WireError::UnknownEvent(name.to_string())),
    }
}

fn instance_started(rest: &str, zones: &mut NameIndex) -> Result<Line<'static>> {
    let (seed, pairs) = rest.split_once(' ').unwrap_or((rest, ""));
    let (settings, names) = settings::parse(pairs, zones)?;
    let settings = Box::new(settings);
    Ok(Line::InstanceStarted { seed: integer("the seed", seed)?, settings, names })
}

fn endpoint_entry(rest: &str, zones: &mut NameIndex) -> Result<EndpointEntry> {
    let [machine_type, failure_domain, id, weight, zone, status, started_at] = values("ITEM", rest)?;
    Ok(EndpointEntry {
        // 0 means a start in the distant past.
        started_at: optional(started_at, |text| number("the start", text))?.filter(|at| *at != 0.0),
        id: BackendId(integer("the backend", id)?),
        machine_type: name_hash(machine_type),
        failure_domain: integer("the cell", failure_domain)?,
        zone: zones.index(zone),
        weight: optional(weight, |text| non_negative("the weight", text))?.unwrap_or(1.0),
        status: match status {
            "in_service" => EndpointStatus::InService,
            "terminating" => EndpointStatus::Draining,
            "terminated" => EndpointStatus::Removed,
            _ => {
                let expected = "in_service, terminating or terminated";
                return Err(WireError::invalid_value("the status", expected, status));
            }
        },
    })
}

fn list_number(text: &str) -> Result<usize> {
    match integer::<usize>("the list number", text)? {
        number if number < LIST_COUNT => Ok(number),
        _ => Err(WireError::invalid_value("the list number", "a number from 0 to 15", text)),
    }
}

fn update(rest: &str) -> Result<Line<'static>> {
    let [version, kind, list] = values("UPDATE", rest)?;
    integer::<u64>("the version", version)?;
    let kind = match kind {
        "changes" => UpdateKind::Changes,
        "all" => UpdateKind::Snapshot,
        "remembered" => UpdateKind::Cached,
        "refused" => UpdateKind::PollFailed,
        _ => {
            let expected = "changes, all, remembered or refused";
            return Err(WireError::invalid_value("the kind", expected, kind));
        }
    };
    let list = if kind == UpdateKind::PollFailed { 0 } else { list_number(list)? };
    Ok(Line::Update { kind, list })
}

fn request(rest: &str, names: Option<&InstanceNames>) -> Result<Request> {
    let [id, is_write, key, timeout, is_retry, tenant, class, work] = values("QUERY", rest)?;
    flag("the write flag", is_write)?;
    let key = optional(key, |text| {
        request_id(text).map_err(|_| WireError::invalid_value("the key", "16 hex digits or -", text))
    })?;
    optional(is_retry, |text| flag("the retry flag", text))?;
    let work_estimate = optional(work, |text| non_negative("the predicted work", text))?;
    let names = names.ok_or_else(|| WireError::out_of_order("HELLO before any request", "QUERY"))?;
    let class = names.class(class);
    let class =
        class.ok_or_else(|| WireError::invalid_value("the class", "a class of the settings", rest))?;
    Ok(Request {
        timeout: number("the remaining time", timeout)?,
        id: request_id(id)?,
        class,
        tenant: names.tenant(tenant),
        key: key.map(|key| key.0),
        work_estimate,
    })
}

fn response_started(rest: &str) -> Result<Event<'static>> {
    let [id, elapsed, attempt, backend] = values("BEGUN", rest)?;
    non_negative("the duration", elapsed)?;
    integer::<u32>("the backend", backend)?;
    Ok(Event::ResponseStarted { attempt: integer("the attempt", attempt)?, id: request_id(id)? })
}

fn attempt_ended(rest: &str) -> Result<AttemptEnded> {
    let [id, backend, attempt, code, elapsed, request_done, report] = values("RESULT", rest)?;
    load_report(report)?;
    Ok(AttemptEnded {
        id: request_id(id)?,
        backend: BackendId(integer("the backend", backend)?),
        attempt: integer("the attempt", attempt)?,
        outcome: outcome(code)?,
        elapsed: non_negative("the duration", elapsed)?,
        request_done: flag("the completion flag", request_done)?,
    })
}

fn check_probe_result(rest: &str) -> Result<()> {
    let [elapsed, backend, code, report] = values("HEALTH", rest)?;
    non_negative("the duration", elapsed)?;
    load_report(report)?;
    integer::<u32>("the backend", backend)?;
    outcome(code).map(drop)
}

fn check_peer_message(rest: &str) -> Result<()> {
    let [sender, message] = values("PEER", rest)?;
    integer::<u64>("the sender", sender)?;
    if message != "-" && !message.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(WireError::invalid_value("the message", "hex digits", message));
    }
    Ok(())
}

/// Writes an action as a line of the reply.
pub fn write_action(reply: &mut String, action: &Action) {
    // Writing to a string cannot fail.
    let _ = match action {
        Action::Send { id, backend, timeout, .. } => {
            writeln!(reply, "PLACE {:016x} {:.6} {}", id.0, timeout, backend.0)
        }
        Action::Cancel { id, attempt } => writeln!(reply, "REVOKE {:016x} {attempt}", id.0),
        Action::Reject { id, retry_after: Some(retry_after), .. } => {
            writeln!(reply, "REJECT {:016x} {retry_after:.6}", id.0)
        }
        Action::Reject { id, retry_after: None, .. } => writeln!(reply, "REJECT {:016x} -", id.0),
        Action::Fail { id } => writeln!(reply, "ERROR {:016x}", id.0),
        Action::SetTimer { at, token } => writeln!(reply, "SLEEP {at:.6} {token}"),
        Action::CloseIdleConnections(backend) => writeln!(reply, "RELEASE {}", backend.0),
        Action::PollDiscovery => writeln!(reply, "STREAM_CHANGES 1"),
        Action::Log(text) => writeln!(reply, "EMIT {}", text.replace(['\n', '\r'], " ")),
    };
}
