//! Open-loop load: a thread that waits for each call's due time, and an event loop that runs the calls.

use super::backend::{SIDE_HEADER, side_name};
use super::fixture::Fixture;
use super::plan::Side;
use super::pool::{CallFailure, Pool};
use crate::rt::Loop;
use hdrhistogram::Histogram;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::mpsc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::JoinSet;

/// Maximum number of calls in flight; calls that are due beyond it are counted as not sent.
const MAX_IN_FLIGHT: usize = 2_000;
/// How long before a due time the thread stops sleeping and spins: more than the lateness of the system's timers.
const SPIN_DURATION: Duration = Duration::from_micros(120);
/// Upper bound of the histograms, in nanoseconds.
const MAX_RECORDED_NS: u64 = 60_000_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
const STATUS_SERVED: u16 = 200;
const STATUS_REJECTED: u16 = 503;

/// An empty histogram of durations in nanoseconds.
pub fn empty_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_RECORDED_NS, SIGNIFICANT_DIGITS).expect("constant bounds in order")
}

/// Outcomes of the calls of a block.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Answered 200.
    pub served: u64,
    /// Answered 503.
    pub rejected: u64,
    /// Answered with another status, or not at all.
    pub failed: u64,
    /// Not sent, because too many were in flight.
    pub unsent: u64,
    /// Latency of the served calls, from the due time to the complete answer, in nanoseconds.
    pub latency: Histogram<u64>,
    /// Latency of the served calls, from the write to the complete answer, without the testbed's lateness, in
    /// nanoseconds.
    pub from_write: Histogram<u64>,
    /// The testbed's lateness for all sent calls, from the due time to the write, in nanoseconds.
    pub lateness: Histogram<u64>,
}

impl Default for Outcome {
    fn default() -> Self {
        let [latency, from_write, lateness] = std::array::from_fn(|_| empty_histogram());
        Self { served: 0, rejected: 0, failed: 0, unsent: 0, latency, from_write, lateness }
    }
}

impl Outcome {
    /// Counts the outcome of one call that has just ended.
    fn count(&mut self, due: Instant, result: Result<CallResponse, CallFailure>) {
        match result {
            Ok(CallResponse { status: STATUS_SERVED, written }) => {
                self.served += 1;
                record(&mut self.latency, due.elapsed());
                record(&mut self.from_write, written.elapsed());
            }
            Ok(CallResponse { status: STATUS_REJECTED, .. }) => self.rejected += 1,
            Ok(_) | Err(_) => self.failed += 1,
        }
    }
}

/// The response to a call.
struct CallResponse {
    status: u16,
    /// When the request was written.
    written: Instant,
}

/// Records a duration; one above the histogram's upper bound counts as that bound.
fn record(histogram: &mut Histogram<u64>, duration: Duration) {
    histogram.saturating_record((duration.as_nanos() as u64).max(1));
}

/// The calls of one block, each sent to `due` when it is due, and the channel for their outcome.
struct Job {
    side: Side,
    due: UnboundedReceiver<Instant>,
    done: mpsc::Sender<Outcome>,
}

/// Sends calls; its connections stay open until it is dropped.
pub struct Generator {
    jobs: UnboundedSender<Job>,
    /// Keeps the event loop running.
    _event_loop: Loop,
}

impl Generator {
    /// A generator that calls the fixture's backends, directly and through its proxies.
    ///
    /// # Errors
    /// If its event loop can't be started.
    pub fn start(fixture: &Fixture) -> std::io::Result<Self> {
        let event_loop = Loop::start("clients")?;
        let (backends, proxy) = (fixture.backends().to_vec(), fixture.proxy());
        let (jobs, queue) = unbounded_channel();
        event_loop.spawn(move || async move {
            let clients = Clients {
                direct: Pool::new(&backends),
                through: Pool::new(&[proxy]),
                next_id: Cell::new(0),
                in_flight: Cell::new(0),
            };
            Rc::new(clients).run_jobs(queue).await;
        });
        Ok(Self { jobs, _event_loop: event_loop })
    }

    /// Runs one block, with its calls due at these times from now, and waits for all of them to end.
    pub fn run_block(&self, side: Side, due_times: &[Duration]) -> Outcome {
        let (due_sender, due) = unbounded_channel();
        let (done, outcome) = mpsc::channel();
        if self.jobs.send(Job { side, due, done }).is_err() {
            return Outcome::default();
        }
        let start = Instant::now();
        for due_time in due_times {
            let due = start + *due_time;
            wait_until(due);
            if due_sender.send(due).is_err() {
                break;
            }
        }
        drop(due_sender);
        outcome.recv().unwrap_or_default()
    }
}

/// Sleeps until shortly before `due`, then spins.
fn wait_until(due: Instant) {
    let remaining = due.saturating_duration_since(Instant::now());
    if remaining > SPIN_DURATION {
        std::thread::sleep(remaining - SPIN_DURATION);
    }
    while Instant::now() < due {
        std::hint::spin_loop();
    }
}

/// The clients, which run on the generator's event loop.
struct Clients {
    direct: Pool,
    through: Pool,
    /// Id of the next call.
    next_id: Cell<u64>,
    in_flight: Cell<usize>,
}

impl Clients {
    /// Runs one job after the other until the generator is dropped.
    async fn run_jobs(self: Rc<Self>, mut queue: UnboundedReceiver<Job>) {
        while let Some(Job { side, mut due, done }) = queue.recv().await {
            let outcome = Rc::new(RefCell::new(Outcome::default()));
            let mut calls = JoinSet::new();
            while let Some(due) = due.recv().await {
                self.start_call(side, due, &outcome, &mut calls);
            }
            while calls.join_next().await.is_some() {}
            let _ = done.send(outcome.take()); // the generator may have been dropped
        }
    }

    /// Starts one call that is due now.
    fn start_call(
        self: &Rc<Self>,
        side: Side,
        due: Instant,
        outcome: &Rc<RefCell<Outcome>>,
        calls: &mut JoinSet<()>,
    ) {
        if self.in_flight.get() >= MAX_IN_FLIGHT {
            outcome.borrow_mut().unsent += 1;
            return;
        }
        self.in_flight.set(self.in_flight.get() + 1);
        let (clients, outcome) = (self.clone(), outcome.clone());
        calls.spawn_local(async move {
            let result = clients.call(side, due, &outcome).await;
            outcome.borrow_mut().count(due, result);
            clients.in_flight.set(clients.in_flight.get() - 1);
        });
        // Removes finished calls, so that the set contains only calls in flight.
        while calls.try_join_next().is_some() {}
    }

    async fn call(
        &self,
        side: Side,
        due: Instant,
        outcome: &RefCell<Outcome>,
    ) -> Result<CallResponse, CallFailure> {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let pool = match side {
            Side::Direct => &self.direct,
            Side::Through => &self.through,
        };
        let connection = pool.connection().await?;
        let request = request(id, side);
        let written = Instant::now();
        record(&mut outcome.borrow_mut().lateness, written.saturating_duration_since(due));
        let answer = connection.call(&request).await?;
        Ok(CallResponse { status: answer.status(), written })
    }
}

/// Builds a request of the sample configuration's safe class.
fn request(id: u64, side: Side) -> Vec<u8> {
    let side = side_name(side);
    format!(
        "GET /v1/messages/{id} HTTP/1.1\r\nHost: sms\r\nX-Txn: {id:016x}\r\nX-Lane: status-check\r\n\
         X-Org: default\r\nX-Remaining-Ms: 2000\r\n{SIDE_HEADER}: {side}\r\n\r\n"
    )
    .into_bytes()
}
