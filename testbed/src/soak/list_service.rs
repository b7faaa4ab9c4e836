//! Registrations at a list-service node whose disk fails: it must keep what it acknowledged, and recover without
//! intervention.

use super::ledger::{SharedLedger, lock_ledger};
use crate::calls::{call_async, registration};
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How soon after its disk has recovered a node must acknowledge writes.
const RECOVERY_TIMEOUT: Duration = Duration::from_millis(1500);

/// Registers backends at a node, and records which registrations the node acknowledged.
pub struct RegistrationWriter {
    /// The address of the node; it changes when the node is killed and started again.
    pub address: Cell<SocketAddr>,
    /// When its disk recovered, once it has.
    pub disk_recovered_at: Cell<Option<Instant>>,
    /// Whether to make no more registrations.
    pub is_stopped: Cell<bool>,
    acknowledged: RefCell<BTreeSet<String>>,
    ledger: SharedLedger,
}

impl RegistrationWriter {
    /// A writer to the node at `address`.
    pub fn new(address: SocketAddr, ledger: SharedLedger) -> Rc<Self> {
        Rc::new(Self {
            address: Cell::new(address),
            disk_recovered_at: Cell::new(None),
            is_stopped: Cell::new(false),
            acknowledged: RefCell::default(),
            ledger,
        })
    }

    /// Registers one backend after another until stopped.
    pub async fn run(self: Rc<Self>) {
        for n in 0.. {
            if self.is_stopped.get() {
                return;
            }
            let id = format!("w-{n}");
            let body = registration(&id, SocketAddr::from(([127, 0, 0, 1], 1)), 300_000);
            let started_at = Instant::now();
            let answer = call_async(self.address.get(), "POST", "/v1/register", &body).await;
            if matches!(answer, Some((200, _))) {
                self.acknowledged.borrow_mut().insert(id);
            } else if self.disk_recovered_at.get().is_some_and(|at| started_at > at + RECOVERY_TIMEOUT) {
                lock_ledger(&self.ledger).violations.push(format!(
                    "list service: a write failed {:.1} s after the disk had recovered: {answer:?}",
                    self.disk_recovered_at
                        .get()
                        .map_or(0.0, |at| started_at.duration_since(at).as_secs_f64())
                ));
            }
            tokio::time::sleep(Duration::from_millis(25)).await;
        }
    }

    /// The ids that were acknowledged and are not listed.
    pub async fn lost_registrations(&self) -> Vec<String> {
        let Some((200, list)) = call_async(self.address.get(), "GET", "/api/targets", &Value::Null).await
        else {
            return vec!["(the list could not be read)".into()];
        };
        let entries = list["instances"].as_array().cloned().unwrap_or_default();
        let listed: BTreeSet<&str> = entries.iter().filter_map(|e| e["instanceId"].as_str()).collect();
        self.acknowledged.borrow().iter().filter(|id| !listed.contains(id.as_str())).cloned().collect()
    }
}
