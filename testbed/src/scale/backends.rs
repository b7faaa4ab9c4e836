//! Hollow backends: they are listed and send heartbeats with the program's own client, but serve no requests.

use super::experiment::{self, millis};
use crate::calls::registration;
use crate::rt::Loop;
use hdrhistogram::Histogram;
use linkhatch_proxy::http_client::{CallError, HttpClient, post_json};
use serde_json::{Value, json};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::time::Instant;

/// Prefix of the names of their threads.
pub const THREAD_NAME_PREFIX: &str = "hollow-b";
/// A heartbeat answered later than this after its due time counts as late.
const LATE_THRESHOLD: Duration = Duration::from_secs(1);
/// Wait before a failed registration is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Upper bound of the histograms, in microseconds.
const MAX_RECORDED_US: u64 = 60_000_000;
/// Nothing listens on this port: hollow backends get no traffic.
const UNUSED_PORT: u16 = 9;

/// Outcomes of heartbeats since the counts were last taken.
#[derive(Clone, Debug)]
pub struct Counts {
    /// Answered 200.
    pub answered: u64,
    /// Answered 200, but more than a second after they were due.
    pub late: u64,
    /// Answered 404: the entry was not listed although the backend is alive.
    pub not_listed: u64,
    /// Answered with another status (503).
    pub rejected: u64,
    /// Not answered before the timeout, or the connection broke.
    pub unanswered: u64,
    /// Not sent, because the previous one ended more than an interval after this one was due.
    pub skipped: u64,
    /// Latency of those answered 200, from their due time, in microseconds.
    pub latency: Histogram<u64>,
    /// The testbed's own lateness: from the due time, or the end of the previous heartbeat if that is later, to the
    /// sending, in microseconds.
    pub lateness: Histogram<u64>,
}

impl Default for Counts {
    fn default() -> Self {
        let histogram =
            || Histogram::new_with_bounds(1, MAX_RECORDED_US, 3).expect("constant bounds in order");
        let (latency, lateness) = (histogram(), histogram());
        Self {
            answered: 0,
            late: 0,
            not_listed: 0,
            rejected: 0,
            unanswered: 0,
            skipped: 0,
            latency,
            lateness,
        }
    }
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    histogram.saturating_record((time.as_micros() as u64).max(1));
}

/// All hollow backends. They end with the process.
pub struct Backends {
    counts: Arc<Mutex<Counts>>,
    registered: Arc<AtomicUsize>,
    _threads: Vec<Loop>,
}

/// One hollow backend.
struct Backend {
    number: usize,
    nodes: Vec<SocketAddr>,
    settings: experiment::Backends,
    counts: Arc<Mutex<Counts>>,
    registered: Arc<AtomicUsize>,
}

/// The instance ID of backend `number`.
pub fn instance_id(number: usize) -> String {
    format!("hollow-{number:05}")
}

impl Backends {
    /// Starts `count` hollow backends; the first `metered` ones reach the nodes through `meter`.
    ///
    /// # Errors
    /// If a thread can't be started.
    pub fn start(
        count: usize,
        settings: &experiment::Backends,
        nodes: &[SocketAddr],
        meter: &[SocketAddr],
        metered: usize,
    ) -> std::io::Result<Self> {
        let threads = (0..settings.threads)
            .map(|n| Loop::start(&format!("{THREAD_NAME_PREFIX}{n}")))
            .collect::<Result<Vec<_>, _>>()?;
        let (counts, registered): (Arc<Mutex<Counts>>, Arc<AtomicUsize>) = Default::default();
        for number in 0..count {
            let backend = Backend {
                number,
                nodes: if number < metered { meter } else { nodes }.to_vec(),
                settings: settings.clone(),
                counts: counts.clone(),
                registered: registered.clone(),
            };
            threads[number % threads.len()].spawn(move || backend.run());
        }
        Ok(Self { counts, registered, _threads: threads })
    }

    /// Number of backends that have been registered at least once.
    pub fn registered(&self) -> usize {
        self.registered.load(Ordering::Relaxed)
    }

    /// Returns the outcomes of heartbeats since the last call, and resets the counts.
    pub fn take_counts(&self) -> Counts {
        std::mem::take(&mut lock(&self.counts))
    }
}

fn lock(counts: &Mutex<Counts>) -> MutexGuard<'_, Counts> {
    counts.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

impl Backend {
    async fn run(self) {
        tokio::time::sleep(Duration::from_secs_f64(self.number as f64 / self.settings.register_per_s)).await;
        let mut node = self.number;
        let mut client = self.client_for(node);
        self.register(&mut client, &mut node).await;
        self.registered.fetch_add(1, Ordering::Relaxed);
        let interval = millis(self.settings.heartbeat_every_ms);
        let mut due = Instant::now() + interval;
        loop {
            let previous_ended_at = Instant::now();
            tokio::time::sleep_until(due).await;
            record(&mut lock(&self.counts).lateness, due.max(previous_ended_at).elapsed());
            self.heartbeat(&mut client, &mut node, due).await;
            due += interval;
            while due + interval < Instant::now() {
                due += interval;
                lock(&self.counts).skipped += 1;
            }
        }
    }

    fn client_for(&self, node: usize) -> HttpClient {
        HttpClient::new(self.nodes[node % self.nodes.len()])
    }

    /// Switches to the next node.
    fn fail_over(&self, client: &mut HttpClient, node: &mut usize) {
        *node += 1;
        *client = self.client_for(*node);
    }

    /// Retries the registration until it succeeds.
    async fn register(&self, client: &mut HttpClient, node: &mut usize) {
        let [_, _, high, low] = (self.number as u32).to_be_bytes();
        let address = SocketAddr::from((Ipv4Addr::new(127, 1, high, low), UNUSED_PORT));
        let body = registration(&instance_id(self.number), address, self.settings.ttl_ms);
        while !matches!(self.call(client, "/v1/register", &body).await, Ok(200)) {
            self.fail_over(client, node);
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    async fn heartbeat(&self, client: &mut HttpClient, node: &mut usize, due: Instant) {
        let answer =
            self.call(client, "/v1/heartbeat", &json!({"instanceId": instance_id(self.number)})).await;
        self.count_answer(&answer, due.elapsed());
        match answer {
            Ok(200) => {}
            Ok(404) => self.register(client, node).await,
            Ok(_) | Err(_) => self.fail_over(client, node),
        }
    }

    fn count_answer(&self, answer: &Result<u16, CallError>, elapsed: Duration) {
        let mut counts = lock(&self.counts);
        match answer {
            Ok(200) => {
                counts.answered += 1;
                counts.late += u64::from(elapsed > LATE_THRESHOLD);
                record(&mut counts.latency, elapsed);
            }
            Ok(404) => counts.not_listed += 1,
            Ok(_) => counts.rejected += 1,
            Err(_) => counts.unanswered += 1,
        }
    }

    /// Makes one call and returns the answer's status.
    async fn call(&self, client: &mut HttpClient, path: &str, body: &Value) -> Result<u16, CallError> {
        let answer = client.call(post_json(path, body)?, millis(self.settings.timeout_ms)).await?;
        Ok(answer.status().as_u16())
    }
}
