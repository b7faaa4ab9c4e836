//! One run of an experiment: starts the fleet, runs the load and the timeline of faults, and reports what was recorded.
//!
//! [`run`] is the entry point. `fleet` owns the processes, `timeline` the scheduled steps; `faults` and `link_faults`
//! apply the faults, and `list_writer` makes the writes to the endpoint lists.

mod faults;
mod fleet;
mod limits;
mod link_faults;
mod list_writer;
mod proxy_config;
mod revision_tap;
mod timeline;

use crate::client::{Arrival, Direct, arrivals, shares};
use crate::cluster::Cluster;
use crate::groups::GroupError;
use crate::plots;
use crate::process::{Fleet, StartError};
use crate::record::{End, Record};
use crate::report::{MAX_LATENESS_MS, Report, Revisions, TestbedStatus, by_window, lags};
use crate::scratch::Scratch;
use crate::spec::{BalancingPolicy, Experiment};
use crate::stage::{BackendLoop, ClientLoop, Machine};
use crate::usage;
use fleet::{BackendSlot, Placement, Run, backend_slots};
use hdrhistogram::Histogram;
use indicatif::ProgressBar;
use list_writer::{ListWriter, Registrations, send_heartbeats};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};
use thiserror::Error;
use timeline::{Step, Timeline};

/// How soon after the start all processes must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// How long after the last arrival's deadline the last request may end, in seconds.
const END_TIMEOUT_S: f64 = 3.0;
/// How long the fleet's processes may live beyond the experiment and its start.
const CLEANUP_TIMEOUT: Duration = Duration::from_secs(60);
/// The time that a start is expected to take: a fixed part, and more for each proxy and each backend.
const EXPECTED_START: Duration = Duration::from_millis(1_500);
const EXPECTED_START_PER_PROXY: Duration = Duration::from_millis(40);
const EXPECTED_START_PER_BACKEND: Duration = Duration::from_millis(5);
/// The longest wait between two checks of the timeline.
const MAX_TIMELINE_WAIT: Duration = Duration::from_millis(50);
/// Steps of the progress bar.
const PROGRESS_STEPS: u64 = 1_000;
/// Distinguishes the random choices of the run from those of the load, which have the same seed.
const RUN_SEED: u64 = 0x1ab;
/// The configuration of the list-service nodes of a run: how often they check for expired entries.
const LIST_CONFIG: &str = "expire_every_ms = 50";

/// The options of a run.
#[derive(Clone)]
pub struct Options {
    /// The proxy's program.
    pub program: PathBuf,
    /// The seed of every random choice.
    pub seed: u64,
    /// The directory that the report and the plots are written to, if any.
    pub out: Option<PathBuf>,
    /// Whether to show a progress bar.
    pub progress: bool,
    /// Ends the run early when it is set.
    pub stop: Arc<AtomicBool>,
}

/// Why a run failed.
#[derive(Debug, Error)]
pub enum RunError {
    /// The run needs more descriptors than the process may open.
    #[error(
        "{needed} file descriptors are needed, but the limit is {limit} (ulimit -Hn); make the fleet smaller"
    )]
    Descriptors {
        /// The number needed.
        needed: u64,
        /// The hard limit.
        limit: u64,
    },
    /// The run needs more ephemeral ports than the system has.
    #[error(
        "{needed} ports are needed, but the limit is {limit} (ip_local_port_range); make the fleet smaller"
    )]
    Ports {
        /// The number needed.
        needed: u64,
        /// The length of the range.
        limit: u64,
    },
    /// A process did not start.
    #[error("{0}: {1}")]
    Start(String, StartError),
    /// The fleet was not ready in time.
    #[error("not ready within 60 s: {0}")]
    NotReady(String),
    /// A system call failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// A group of the experiment is unknown.
    #[error(transparent)]
    Group(#[from] GroupError),
}

/// How the load ended.
struct LoadEnd {
    /// How late requests were sent, in microseconds; none where the load did not end in time.
    lateness: Option<Histogram<u64>>,
    /// Whether the run was ended early.
    is_partial: bool,
    /// The time up to which figures count, in seconds of the run.
    counted_until: f64,
}

/// What the testbed itself used during the load.
struct OwnUsage {
    startup_s: f64,
    cpu_share: f64,
}

/// Runs an experiment once.
///
/// # Errors
/// Those of [`RunError`]; no process is left running.
pub fn run(experiment: &Experiment, options: &Options) -> Result<Report, RunError> {
    let mut rng = SmallRng::seed_from_u64(options.seed ^ RUN_SEED);
    let slots = backend_slots(experiment, &mut rng);
    let last_tier = experiment.tiers.len();
    let sidecar_slots: Vec<usize> = (0..slots.len()).filter(|slot| slots[*slot].tier < last_tier).collect();
    limits::check(experiment, sidecar_slots.len())?;
    let client_proxy_count = experiment.proxies.count + experiment.proxies.reserve;
    let proxy_count = client_proxy_count + sidecar_slots.len();
    let started_at = Instant::now();
    // Time 0 of the record is the first arrival; times before it count as negative.
    let setup = EXPECTED_START
        + EXPECTED_START_PER_PROXY * proxy_count as u32
        + EXPECTED_START_PER_BACKEND * slots.len() as u32;
    let scratch = Scratch::create(std::env::temp_dir().join(format!(
        "fleet-testbed-{}-{}-{:x}",
        std::process::id(),
        options.seed,
        rng.random::<u32>()
    )))?;
    let record = Record::new(started_at + setup, proxy_count);
    let lifetime = Duration::from_secs_f64(experiment.seconds) + setup + READY_TIMEOUT + CLEANUP_TIMEOUT;
    let fleet = Fleet::new(&options.program, scratch.path(), lifetime)
        .with_max_processes(process_count(experiment, proxy_count));
    let (mut run, heartbeats) = start_fleet(experiment, options, record.clone(), fleet, slots, rng)?;
    let listed = run.writes.wait_until_written();
    heartbeats.start(&run);
    let bar = options.progress.then(|| ProgressBar::new(PROGRESS_STEPS));
    if experiment.proxies.policy == BalancingPolicy::Proxy {
        run.make_proxies(&sidecar_slots, client_proxy_count)?;
        if let Some(bar) = &bar {
            bar.set_message("starting");
        }
        run.wait_until_ready(listed)?;
    }
    let startup = started_at.elapsed();
    if startup > setup {
        let seconds = startup.as_secs_f64();
        return Err(RunError::NotReady(format!("the start took {seconds:.1} s, longer than expected")));
    }
    run.schedule_faults();
    let cpu_before = cpu_seconds();
    let load_end = run.run_load(arrivals(experiment, options.seed), bar.as_ref());
    let cpu_share = (cpu_seconds() - cpu_before) / record.now().max(0.1);
    if let Some(bar) = bar {
        bar.finish_and_clear();
    }
    drop(heartbeats);
    let machines = run.backends.machines();
    let ends = record.ends(experiment.oracle.one_end);
    let own_usage = OwnUsage { startup_s: startup.as_secs_f64(), cpu_share };
    let mut report = run.report(&load_end, &ends, &machines, client_proxy_count, &own_usage);
    drop(run);
    drop(scratch);
    if !load_end.is_partial {
        report.check_bounds(experiment);
    }
    if let Some(out) = &options.out {
        write_report(out, &report, &ends, &machines, &record)?;
    }
    Ok(report)
}

/// The maximum number of processes that a run starts, including those that faults restart.
fn process_count(experiment: &Experiment, proxy_count: usize) -> usize {
    let faults: usize = experiment.faults.iter().map(|fault| fault.times).sum();
    (proxy_count + 5 * (1 + experiment.tiers.len())) * (2 + faults)
}

/// Starts the list nodes, the backends and the clients, but no proxies.
fn start_fleet<'a>(
    experiment: &'a Experiment,
    options: &'a Options,
    record: Arc<Record>,
    mut fleet: Fleet,
    slots: Vec<BackendSlot>,
    rng: SmallRng,
) -> Result<(Run<'a>, Heartbeats), RunError> {
    let in_flight: Arc<Vec<AtomicUsize>> = Arc::new(slots.iter().map(|_| AtomicUsize::new(0)).collect());
    let backends = BackendLoop::start(record.clone(), experiment, in_flight.clone())?;
    let lists = (0..=experiment.tiers.len())
        .map(|_| Cluster::try_start(&mut fleet, experiment.list.nodes, LIST_CONFIG))
        .collect::<Result<Vec<_>, _>>()
        .map_err(|error| RunError::Start("a list-service node".into(), error))?;
    let nodes: Vec<Vec<SocketAddr>> = lists.iter().map(Cluster::fronts).collect();
    for list in &lists {
        list.leader(); // waits for an election
    }
    let registrations = Registrations::default();
    let writes = ListWriter::start(nodes.clone(), registrations.clone(), record.clone());
    let heartbeats = Heartbeats { nodes, registrations, ended: Arc::new(AtomicBool::new(false)) };
    let direct = (experiment.proxies.policy != BalancingPolicy::Proxy).then(|| Direct {
        policy: experiment.proxies.policy,
        backends: Arc::new(
            slots
                .iter()
                .map(|slot| (AtomicU64::new(0), slot.kind.weight, slot.speed * slot.kind.cores as f64))
                .collect(),
        ),
        in_flight,
    });
    let client_proxy_count = experiment.proxies.count + experiment.proxies.reserve;
    let balancer_shares = shares(client_proxy_count, experiment.proxies.uneven, options.seed);
    let clients = ClientLoop::start(record.clone(), vec![None; client_proxy_count], balancer_shares)?;
    let mut run = Run {
        experiment,
        options,
        record,
        fleet,
        lists,
        writes,
        proxies: Vec::new(),
        slots,
        backends,
        clients,
        direct,
        timeline: Timeline::default(),
        fault_log: Vec::new(),
        rng,
    };
    for slot in 0..run.slots.len() {
        run.place_backend(slot, Placement::Initial)?;
    }
    Ok((run, heartbeats))
}

/// The heartbeats of the backends; they end when this is dropped.
struct Heartbeats {
    nodes: Vec<Vec<SocketAddr>>,
    registrations: Registrations,
    ended: Arc<AtomicBool>,
}

impl Heartbeats {
    fn start(&self, run: &Run<'_>) {
        let interval = Duration::from_millis(run.experiment.list.ttl_ms / 3);
        send_heartbeats(self.nodes.clone(), self.registrations.clone(), interval, self.ended.clone());
    }
}

impl Drop for Heartbeats {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::SeqCst);
    }
}

impl Run<'_> {
    fn schedule_faults(&mut self) {
        for (index, fault) in self.experiment.faults.iter().enumerate() {
            for time in 0..fault.times {
                let at = fault.at + time as f64 * fault.every;
                self.timeline.schedule(at, Step::ApplyFault(index, None));
            }
        }
    }

    /// Runs the arrivals and the timeline until all requests have ended.
    fn run_load(&mut self, arrivals: Vec<Arrival>, bar: Option<&ProgressBar>) -> LoadEnd {
        let experiment = self.experiment;
        let lateness = self.clients.send_arrivals(
            self.record.clone(),
            experiment.clone(),
            self.direct.clone(),
            arrivals,
        );
        let longest_deadline = experiment.classes.iter().map(|class| class.hard_limit).fold(0.0, f64::max);
        let last_end = experiment.seconds + longest_deadline + END_TIMEOUT_S;
        let mut end = LoadEnd { lateness: None, is_partial: false, counted_until: experiment.seconds };
        loop {
            let now = self.record.now();
            if self.options.stop.load(Ordering::SeqCst) && !end.is_partial {
                end.is_partial = true;
                end.counted_until = now.clamp(experiment.warmup, experiment.seconds);
                self.clients.stop();
            }
            while let Some(step) = self.timeline.pop_due(now) {
                if !end.is_partial {
                    self.perform(step);
                }
            }
            if let Some(bar) = bar {
                bar.set_position((PROGRESS_STEPS as f64 * now.max(0.0) / experiment.seconds) as u64);
            }
            match self.wait_for_load(&lateness) {
                Ok(histogram) => return LoadEnd { lateness: Some(histogram), ..end },
                Err(RecvTimeoutError::Timeout) if self.record.now() <= last_end => {}
                Err(_) => return LoadEnd { is_partial: true, ..end },
            }
        }
    }

    /// Waits for the end of the load, up to the next step of the timeline.
    fn wait_for_load(&self, lateness: &Receiver<Histogram<u64>>) -> Result<Histogram<u64>, RecvTimeoutError> {
        let wait = (self.timeline.next_at() - self.record.now()).clamp(0.0, MAX_TIMELINE_WAIT.as_secs_f64());
        lateness.recv_timeout(Duration::from_secs_f64(wait))
    }

    fn report(
        &mut self,
        load_end: &LoadEnd,
        ends: &[End],
        machines: &[Machine],
        client_proxy_count: usize,
        own_usage: &OwnUsage,
    ) -> Report {
        let experiment = self.experiment;
        let (total, windows) = by_window(ends, machines, experiment, load_end.counted_until);
        let (violations_count, violations) = self.record.violations();
        let lateness_ms =
            load_end.lateness.as_ref().map_or(f64::INFINITY, |h| h.value_at_quantile(0.99) as f64 / 1e3);
        Report {
            name: experiment.name.clone(),
            seed: self.options.seed,
            program: self.options.program.display().to_string(),
            partial: load_end.is_partial,
            proxies: client_proxy_count,
            total,
            windows,
            revisions: self.revisions(),
            violations,
            violations_count,
            testbed: TestbedStatus {
                lateness_ms,
                cpu_share: own_usage.cpu_share,
                startup_s: own_usage.startup_s,
                memory_mb: peak_memory_mb(),
                trusted: lateness_ms <= MAX_LATENESS_MS,
            },
            faults: std::mem::take(&mut self.fault_log),
        }
    }

    /// How far proxies lagged behind the revisions of the list.
    fn revisions(&self) -> Revisions {
        let is_proxied = self.experiment.proxies.policy == BalancingPolicy::Proxy;
        let (lag, never) = lags(&self.record, if is_proxied { self.experiment.proxies.count } else { 0 });
        let p99 = ((lag.len() as f64 * 0.99) as usize).min(lag.len().saturating_sub(1));
        Revisions {
            counted: lag.len(),
            max_lag_ms: lag.last().copied().unwrap_or(0.0) * 1e3,
            p99_lag_ms: lag.get(p99).copied().unwrap_or(0.0) * 1e3,
            never,
        }
    }
}

fn write_report(
    out: &Path,
    report: &Report,
    ends: &[End],
    machines: &[Machine],
    record: &Record,
) -> Result<(), RunError> {
    std::fs::create_dir_all(out)?;
    let json = serde_json::to_string_pretty(report).map_err(std::io::Error::other)?;
    std::fs::write(out.join("report.json"), json)?;
    std::fs::write(out.join("summary.txt"), report.text())?;
    let drawn = plots::draw(out, report, ends, machines, record);
    drawn.map_err(|error| RunError::Io(std::io::Error::other(error.to_string())))
}

/// The processor time of this process, in seconds; 0 where the system does not report it.
fn cpu_seconds() -> f64 {
    usage::of_self().map_or(0.0, |usage| usage.processor.as_secs_f64())
}

/// The peak memory of this process, in MB; 0 where the system does not report it.
fn peak_memory_mb() -> f64 {
    usage::of_self().map_or(0.0, |usage| usage.peak_kb as f64 / 1e3)
}

/// The proxy's program in the directory of this program, or else that of cargo's release build.
pub fn default_program() -> PathBuf {
    let executable = std::env::current_exe().ok();
    let sibling = executable.and_then(|path| Some(path.parent()?.join("linkhatch-proxy")));
    sibling.filter(|path| path.exists()).unwrap_or_else(|| Path::new("target/release/linkhatch-proxy").into())
}
