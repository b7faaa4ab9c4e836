//! Many watchers of the list in one thread. Each watches one node, as proxies do, and moves on to the next node after a
//! failed call and a jittered backoff. They record when each revision arrived and each that was below an earlier one.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use linkhatch_proxy::http_client::HttpClient;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The time after which a watch without a change is answered.
const WATCH_TIMEOUT_MS: u64 = 2_000;

/// The answers that one watcher received.
#[derive(Clone, Debug, Default)]
pub struct WatcherRecord {
    /// The revision of each answer and its time, in order.
    pub revisions: Vec<(u64, Instant)>,
    /// The entries of the list, by id, after the last answer.
    pub list: BTreeMap<String, Value>,
    /// Answers with a revision below an earlier one.
    pub regressions: usize,
    /// Calls that failed.
    pub failed: usize,
}

/// Running watchers; they stop on `end` or on drop.
pub struct Watchers {
    records: Arc<Mutex<Vec<WatcherRecord>>>,
    stop: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Watchers {
    /// Starts `count` watchers of these nodes; watcher `w` starts at node `w` modulo their number.
    pub fn start(nodes: &[SocketAddr], count: usize) -> Self {
        let records = Arc::new(Mutex::new(vec![WatcherRecord::default(); count]));
        let stop = Arc::new(AtomicBool::new(false));
        let (shared, stopped, nodes) = (records.clone(), stop.clone(), nodes.to_vec());
        let thread = std::thread::spawn(move || {
            let runtime =
                tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
            let watch_all = async {
                let tasks: Vec<_> = (0..count)
                    .map(|w| {
                        tokio::task::spawn_local(watch(w, nodes.clone(), shared.clone(), stopped.clone()))
                    })
                    .collect();
                for task in tasks {
                    task.await.expect("a watcher panicked");
                }
            };
            tokio::task::LocalSet::new().block_on(&runtime, watch_all);
        });
        Self { records, stop, thread: Some(thread) }
    }

    /// Waits until every watcher has reached `revision`; panics if one has not within `timeout`.
    pub fn wait_for_revision(&self, revision: u64, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        loop {
            let behind = {
                let records = self.records.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
                records.iter().filter(|s| s.revisions.last().is_none_or(|(r, _)| *r < revision)).count()
            };
            if behind == 0 {
                return;
            }
            assert!(Instant::now() < deadline, "{behind} watchers have not reached revision {revision}");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// For each watcher, the time from `start` until it first received `revision` or a later one.
    pub fn delays(&self, revision: u64, start: Instant) -> Vec<Duration> {
        let records = self.records.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let first = |s: &WatcherRecord| s.revisions.iter().find(|(r, _)| *r >= revision).map(|(_, t)| *t);
        records.iter().filter_map(first).map(|t| t.saturating_duration_since(start)).collect()
    }

    /// Stops the watchers; returns the record of each.
    pub fn end(mut self) -> Vec<WatcherRecord> {
        self.stop.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            thread.join().expect("the thread of the watchers panicked");
        }
        std::mem::take(&mut *self.records.lock().unwrap_or_else(std::sync::PoisonError::into_inner))
    }
}

impl Drop for Watchers {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
    }
}

async fn watch(w: usize, nodes: Vec<SocketAddr>, all: Arc<Mutex<Vec<WatcherRecord>>>, stop: Arc<AtomicBool>) {
    let mut rng = SmallRng::seed_from_u64(w as u64);
    let (mut node, mut since, mut backoff) = (w % nodes.len(), 0u64, 50u64);
    let mut peer = HttpClient::new(nodes[node]);
    while !stop.load(Ordering::SeqCst) {
        let path = format!("/api/targets?since={since}&timeout_ms={WATCH_TIMEOUT_MS}");
        let request =
            Request::get(path).header("host", "r").body(Full::new(Bytes::new())).expect("a request");
        let answer = tokio::select! {
            answer = peer.call(request, Duration::from_millis(WATCH_TIMEOUT_MS + 500)) => answer,
            () = wait_for_stop(&stop) => return,
        };
        let list: Option<Value> =
            answer.ok().filter(|a| a.status() == 200).and_then(|a| serde_json::from_slice(a.body()).ok());
        let Some(list) = list else {
            all.lock().unwrap_or_else(std::sync::PoisonError::into_inner)[w].failed += 1;
            tokio::time::sleep(Duration::from_millis(rng.random_range(backoff / 2..=backoff))).await;
            backoff = (2 * backoff).min(1_000);
            node = (node + 1) % nodes.len();
            peer = HttpClient::new(nodes[node]);
            continue;
        };
        backoff = 50;
        let revision = list["generation"].as_u64().unwrap_or(0);
        let mut all = all.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let record = &mut all[w];
        if revision < since {
            record.regressions += 1;
        }
        since = revision.max(since);
        if list["reset"] == true {
            record.list.clear();
        }
        for entry in list["instances"].as_array().into_iter().flatten() {
            let id = entry["instanceId"].as_str().unwrap_or_default().to_string();
            match entry["lifecycle"] == "DELETED" {
                true => drop(record.list.remove(&id)),
                false => drop(record.list.insert(id, entry.clone())),
            }
        }
        record.revisions.push((revision, Instant::now()));
    }
}

async fn wait_for_stop(stop: &AtomicBool) {
    while !stop.load(Ordering::SeqCst) {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
