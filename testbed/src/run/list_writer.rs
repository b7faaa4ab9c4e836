//! Writes to the endpoint lists of a run: registrations, drains, removals and heartbeats.
//!
//! Writes are made in order on a thread of their own, so that a list service that does not answer delays nothing else.

use crate::calls::{self, call};
use crate::record::Record;
use crate::rt::Loop;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// A registered backend; its heartbeats are sent while it is in [`Registrations`].
#[derive(Clone)]
pub(super) struct Registration {
    /// The tier whose list it is on.
    pub tier: usize,
    /// The backend's id.
    pub id: String,
    /// The body of the registration.
    pub body: Value,
}

/// The registrations of a run.
#[derive(Clone, Default)]
pub(super) struct Registrations(Arc<Mutex<Vec<Registration>>>);

impl Registrations {
    fn lock(&self) -> MutexGuard<'_, Vec<Registration>> {
        self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

type Write = Box<dyn FnOnce(&ListWriter) + Send>;

/// Makes the writes, trying each at all nodes of a list.
pub(super) struct ListWriter {
    /// The nodes of each tier's list.
    nodes: Vec<Vec<SocketAddr>>,
    registrations: Registrations,
    record: Arc<Record>,
}

impl ListWriter {
    /// Starts the thread that makes the writes.
    pub fn start(
        nodes: Vec<Vec<SocketAddr>>,
        registrations: Registrations,
        record: Arc<Record>,
    ) -> WriteQueue {
        let (writes, queue) = channel::<Write>();
        let writer = Self { nodes, registrations, record };
        std::thread::spawn(move || queue.into_iter().for_each(|write| write(&writer)));
        WriteQueue(writes)
    }

    /// Makes a write at the first node that accepts it, and returns the revision that was acknowledged.
    pub fn write(&self, tier: usize, path: &str, body: &Value) -> Option<u64> {
        for node in self.nodes[tier].iter().cycle().take(2 * self.nodes[tier].len()) {
            if let Some((200, answer)) = call(*node, "POST", path, body) {
                let revision = answer["revision"].as_u64()?;
                if tier == 0 {
                    self.record.acknowledge(revision);
                }
                return Some(revision);
            }
        }
        None
    }

    /// Registers a backend and starts its heartbeats.
    pub fn register(&self, registration: Registration) -> Option<u64> {
        let revision = self.write(registration.tier, "/v1/register", &registration.body);
        self.stop_heartbeats(&registration.id);
        self.registrations.lock().push(registration);
        revision
    }

    /// Stops the heartbeats of a backend.
    pub fn stop_heartbeats(&self, id: &str) {
        self.registrations.lock().retain(|registration| registration.id != id);
    }
}

/// The queue of pending writes.
pub(super) struct WriteQueue(Sender<Write>);

impl WriteQueue {
    /// Appends a write to the queue.
    pub fn push(&self, write: impl FnOnce(&ListWriter) + Send + 'static) {
        let _ = self.0.send(Box::new(write)); // the writer ends only with this queue
    }

    /// Waits until all queued writes are made; returns the last revision of the first tier's list.
    pub fn wait_until_written(&self) -> u64 {
        let (sender, receiver) = channel();
        self.push(move |writer| {
            let last = writer.record.acknowledged().last_key_value().map_or(0, |(revision, _)| *revision);
            let _ = sender.send(last); // if it fails, nothing waits for the result any more
        });
        receiver.recv().unwrap_or(0)
    }
}

/// Sends a heartbeat for each registration in every `interval`, until `ended` is set. A registration that has expired
/// while its list was down is made again.
pub(super) fn send_heartbeats(
    nodes: Vec<Vec<SocketAddr>>,
    registrations: Registrations,
    interval: Duration,
    ended: Arc<AtomicBool>,
) {
    Loop::shared().spawn(move || async move {
        while !ended.load(Ordering::SeqCst) {
            let all = registrations.lock().clone();
            let gap = interval / (all.len() as u32 + 1);
            for (number, registration) in all.into_iter().enumerate() {
                let tier_nodes = &nodes[registration.tier];
                let node = tier_nodes[number % tier_nodes.len()];
                tokio::task::spawn_local(heartbeat(node, registration));
                tokio::time::sleep(gap).await;
            }
            tokio::time::sleep(gap).await;
        }
    });
}

async fn heartbeat(node: SocketAddr, registration: Registration) {
    let body = json!({"instanceId": registration.id});
    if let Some((404, _)) = calls::call_async(node, "POST", "/v1/heartbeat", &body).await {
        calls::call_async(node, "POST", "/v1/register", &registration.body).await;
    }
}
