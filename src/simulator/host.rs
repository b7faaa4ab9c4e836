//! The host of the simulator's instances: it processes batches of events and writes one reply for each.

#[cfg(test)]
mod tests;

use super::error::WireError;
use super::settings::{InstanceNames, NameIndex};
use super::wire::{self, LIST_COUNT, Line, UpdateKind};
use crate::balancer::Balancer;
use crate::balancer::types::{EndpointEntry, EndpointUpdate, Event, Time};
use std::any::Any;
use std::collections::HashMap;
use std::io::{self, BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use thiserror::Error;

/// Why a host stopped before the end of its input.
#[derive(Debug, Error)]
pub enum HostError {
    /// The input could not be read.
    #[error("cannot read: {0}")]
    Read(#[source] io::Error),
    /// A reply could not be written.
    #[error("cannot write: {0}")]
    Write(#[source] io::Error),
    /// An invalid line in a batch.
    #[error("batch {batch}, line {line}: {source}")]
    InvalidLine {
        /// The number of the batch.
        batch: u64,
        /// The number of the line, from 1.
        line: u64,
        /// The error in it.
        source: WireError,
    },
    /// A line between batches that does not start a valid batch.
    #[error("between batches, line {line}: {source}")]
    InvalidStart {
        /// The number of the line, from 1.
        line: u64,
        /// The error in it.
        source: WireError,
    },
    /// The input ended within a batch.
    #[error("batch {batch}, line {line}: expected GO, got end of input")]
    IncompleteBatch {
        /// The number of the batch.
        batch: u64,
        /// The number of the last line, from 1.
        line: u64,
    },
}

/// Processes all batches of `input` and writes their replies to `output`.
///
/// # Errors
/// At the first invalid line, and if reading or writing fails.
pub fn run(input: impl BufRead, mut output: impl Write) -> Result<(), HostError> {
    let mut host = Host::default();
    let mut batch = None;
    let mut line = 0;
    for text in input.lines() {
        let text = text.map_err(HostError::Read)?;
        line += 1;
        let Some(number) = batch else {
            let started = host.start_batch(&text);
            batch = Some(started.map_err(|source| HostError::InvalidStart { line, source })?);
            continue;
        };
        let processed = host.process_line(&text);
        let is_complete =
            processed.map_err(|source| HostError::InvalidLine { batch: number, line, source })?;
        if is_complete {
            host.reply.push_str(&format!("END {number}\n"));
            output.write_all(host.reply.as_bytes()).map_err(HostError::Write)?;
            output.flush().map_err(HostError::Write)?;
            batch = None;
        }
    }
    batch.map_or(Ok(()), |batch| Err(HostError::IncompleteBatch { batch, line }))
}

/// An instance of the simulated fleet.
struct Instance {
    name: String,
    running: Option<RunningInstance>,
}

struct RunningInstance {
    balancer: Balancer,
    names: InstanceNames,
}

/// An endpoint list whose entries are being read.
#[derive(Clone, Copy)]
struct OpenList {
    list: usize,
    /// The number of entries still to be read, at least 1.
    remaining: usize,
}

#[derive(Default)]
struct Host {
    instances: Vec<Instance>,
    by_name: HashMap<String, usize>,
    zones: NameIndex,
    lists: [Vec<EndpointEntry>; LIST_COUNT],
    open_list: Option<OpenList>,
    selected: Option<usize>,
    now: Time,
    reply: String,
    /// The instance whose actions were written to the reply last.
    reply_instance: Option<usize>,
}

impl Host {
    /// Starts a batch and returns its number.
    fn start_batch(&mut self, text: &str) -> Result<u64, WireError> {
        let Line::BatchStarted { now, number } = wire::parse(text, &mut self.zones, None)? else {
            return Err(WireError::out_of_order("BATCH", text));
        };
        self.now = now;
        (self.selected, self.reply_instance, self.open_list) = (None, None, None);
        self.reply.clear();
        Ok(number)
    }

    /// Processes a line of a batch; returns whether the batch is complete.
    fn process_line(&mut self, text: &str) -> Result<bool, WireError> {
        let running = self.selected.and_then(|selected| self.instances[selected].running.as_ref());
        let line = wire::parse(text, &mut self.zones, running.map(|running| &running.names))?;
        if let Some(OpenList { list, remaining }) = self.open_list.take() {
            let Line::ListEntry(entry) = line else {
                return Err(WireError::out_of_order("an ITEM line", text));
            };
            self.lists[list].push(entry);
            self.open_list = (remaining > 1).then_some(OpenList { list, remaining: remaining - 1 });
            return Ok(false);
        }
        match line {
            Line::BatchStarted { .. } => {
                return Err(WireError::out_of_order("GO before the next BATCH", text));
            }
            Line::ListEntry(_) => return Err(WireError::out_of_order("a ROSTER before its entries", text)),
            Line::BatchComplete => return Ok(true),
            Line::InstanceSelected(name) => self.select(name),
            Line::ListStarted { list, entries } => {
                self.lists[list].clear();
                self.open_list = (entries > 0).then_some(OpenList { list, remaining: entries });
            }
            Line::InstanceStarted { seed, settings, names } => {
                let balancer = Balancer::new(self.now, seed, *settings);
                self.selected_instance(text)?.running = Some(RunningInstance { balancer, names });
            }
            Line::InstanceStopped => self.selected_instance(text)?.running = None,
            Line::Ignored => {
                self.selected_instance(text)?;
            }
            Line::Update { kind, list } => self.update_endpoints(text, kind, list)?,
            Line::Event(event) => self.handle(text, event)?,
        }
        Ok(false)
    }

    fn select(&mut self, name: &str) {
        let existing = self.by_name.get(name).copied();
        self.selected = Some(existing.unwrap_or_else(|| {
            self.by_name.insert(name.to_string(), self.instances.len());
            self.instances.push(Instance { name: name.to_string(), running: None });
            self.instances.len() - 1
        }));
    }

    fn selected_instance(&mut self, text: &str) -> Result<&mut Instance, WireError> {
        let selected = self.selected.ok_or_else(|| WireError::out_of_order("SELECT first", text))?;
        Ok(&mut self.instances[selected])
    }

    fn update_endpoints(&mut self, text: &str, kind: UpdateKind, list: usize) -> Result<(), WireError> {
        let entries = std::mem::take(&mut self.lists[list]);
        let update = match kind {
            UpdateKind::Changes => EndpointUpdate::Changes(&entries),
            UpdateKind::Snapshot => EndpointUpdate::Snapshot(&entries),
            UpdateKind::Cached => EndpointUpdate::Cached(&entries),
            UpdateKind::PollFailed => EndpointUpdate::PollFailed,
        };
        let handled = self.handle(text, Event::Endpoints(update));
        self.lists[list] = entries;
        handled
    }

    /// Passes an event to the selected instance and writes its actions, or the message of a panic.
    fn handle(&mut self, text: &str, event: Event<'_>) -> Result<(), WireError> {
        let now = self.now;
        let running = self.selected_instance(text)?.running.as_mut();
        let running = running.ok_or_else(|| WireError::out_of_order("HELLO first", text))?;
        let mut actions = Vec::new();
        let handled = catch_unwind(AssertUnwindSafe(|| running.balancer.handle(now, event, &mut actions)));
        if handled.is_ok() && actions.is_empty() {
            return Ok(());
        }
        if self.reply_instance != self.selected {
            let line = format!("BY {}\n", self.selected_instance(text)?.name);
            self.reply.push_str(&line);
            self.reply_instance = self.selected;
        }
        if let Err(panic) = handled {
            // The actions returned up to the panic are discarded as unreliable.
            self.reply.push_str(&format!("DIE {}\n", panic_message(panic.as_ref())));
            return Ok(());
        }
        for action in &actions {
            wire::write_action(&mut self.reply, action);
        }
        Ok(())
    }
}

/// The message of a panic, on one line.
fn panic_message(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    let text = text.or(panic.downcast_ref::<&str>().copied()).unwrap_or("no message");
    format!("panic: {}", text.replace(['\n', '\r'], " "))
}
