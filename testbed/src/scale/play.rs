//! Runs one size of an experiment, from the start of its processes to their end.

use super::backends::{self, Backends};
use super::experiment::{ScaleExperiment, millis};
use super::ledger::{Delivery, DeliveryLog};
use super::meter::Meter;
use super::proxies::{Proxies, attached_revision};
use super::result::{Changes, DiskProbe, Phase, SizeResult};
use super::sample::{RunningPhase, SampleSources};
use super::{ScaleError, sizes};
use crate::calls::call;
use crate::cluster::{Cluster, Timing};
use crate::process::{Fleet, Process};
use crate::scratch::Scratch;
use crate::usage;
use linkhatch_proxy::agreement::document::Document;
use nix::sys::resource::{Resource, getrlimit, setrlimit};
use serde_json::{Value, json};
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Interval between observations of the cluster, and between attempts to publish the first settings.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(500);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// While hollow proxies start, memory is checked once per this many proxies.
const PROXIES_PER_MEMORY_CHECK: usize = 20;
const LEADER_TIMEOUT: Duration = Duration::from_secs(20);
/// How long the processes may run beyond the planned time.
const LIFETIME_MARGIN: Duration = Duration::from_secs(600);
/// Maximum number of attempts of a write that is not acknowledged.
const MAX_WRITE_ATTEMPTS: usize = 3;
/// How long publishing the first settings is retried until they are acknowledged.
const FIRST_SETTINGS_TIMEOUT: Duration = Duration::from_secs(20);
/// Number and size of the writes that probe the disk.
const PROBE_WRITES: usize = 200;
const PROBE_BYTES: usize = 4 << 10;

/// The run of one size.
struct SizeRun<'a> {
    experiment: &'a ScaleExperiment,
    size: usize,
    stop: &'a AtomicBool,
    cluster: Cluster,
    /// The nodes' own addresses, not those of the relays.
    nodes: Vec<SocketAddr>,
    node_pids: Vec<u32>,
    backends: Backends,
    proxies: Proxies,
    proxy_meter: Meter,
    backend_meter: Meter,
    real_proxies: Vec<Process>,
}

/// Runs one size. The environment names the proxies' configuration (`RELAY_CONFIG`) and sets unused addresses.
///
/// # Errors
/// See [`ScaleError`]; no process is left running.
pub fn run_size(
    experiment: &ScaleExperiment,
    size: usize,
    program: &Path,
    stop: &AtomicBool,
) -> Result<SizeResult, ScaleError> {
    raise_descriptor_limit()?;
    let scratch = Scratch::new("fleet-testbed-scale")?;
    let mut fleet = Fleet::new(program, scratch.path(), deadline(experiment, size));
    let disk = probe_disk(scratch.path())?;
    let mut run = SizeRun::start(experiment, size, &mut fleet, stop)?;
    let mut result = SizeResult { size, disk, ..SizeResult::default() };
    run.register(&mut result);
    run.start_proxies(&mut fleet, &mut result)?;
    run.publish_first_settings(&mut result)?;
    result.rest = run.rest()?;
    result.list_changes = run.list_changes()?;
    if experiment.proxies.sessions {
        result.settings_changes = Some(run.settings_changes()?);
    }
    run.record_final_state(&mut result);
    Ok(result)
}

fn deadline(experiment: &ScaleExperiment, size: usize) -> Duration {
    let phases = &experiment.phases;
    let startup_s =
        size as f64 / experiment.backends.register_per_s + size as f64 / experiment.proxies.start_per_s;
    let changes = (phases.list_changes + phases.settings_changes) as f64
        * (phases.deliver_within_s + phases.change_every_ms as f64 / 1e3);
    Duration::from_secs_f64(startup_s + 2.0 * phases.settle_s + phases.rest_s + changes) + LIFETIME_MARGIN
}

/// Measures writes of small blocks, each synced to the disk that the nodes will use.
fn probe_disk(directory: &Path) -> std::io::Result<DiskProbe> {
    let mut file = std::fs::File::create(directory.join("probe"))?;
    let mut writes = Vec::new();
    for _ in 0..PROBE_WRITES {
        let started_at = Instant::now();
        file.write_all(&[0; PROBE_BYTES])?;
        file.sync_data()?;
        writes.push(started_at.elapsed());
    }
    Ok(DiskProbe::new(writes))
}

/// Raises the limit for this process and, by inheritance, for the nodes: both need a descriptor per connection.
fn raise_descriptor_limit() -> Result<(), ScaleError> {
    let (soft, hard) = getrlimit(Resource::RLIMIT_NOFILE).map_err(std::io::Error::from)?;
    if soft < hard {
        setrlimit(Resource::RLIMIT_NOFILE, hard, hard).map_err(std::io::Error::from)?;
    }
    Ok(())
}

/// Waits at most `timeout` until `condition` is true, and returns whether it became true.
fn wait_until(timeout: Duration, poll_interval: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + timeout;
    while !condition() {
        if Instant::now() >= deadline {
            return false;
        }
        std::thread::sleep(poll_interval);
    }
    true
}

impl<'a> SizeRun<'a> {
    /// Starts the list service and the backends, which begin to register.
    fn start(
        experiment: &'a ScaleExperiment,
        size: usize,
        fleet: &mut Fleet,
        stop: &'a AtomicBool,
    ) -> Result<Self, ScaleError> {
        let list = &experiment.list;
        let timing = Timing { heartbeat_ms: list.heartbeat_ms, election_ms: list.election_ms };
        let mut cluster = Cluster::try_start_timed(fleet, list.nodes, "", timing)
            .map_err(|error| ScaleError::Start("list service", error))?;
        cluster.leader_of(&(0..list.nodes).collect::<Vec<_>>(), LEADER_TIMEOUT);
        let processes =
            (0..list.nodes).filter_map(|n| cluster.node(n).map(|node| (node.address(), node.id())));
        let (nodes, node_pids): (Vec<_>, Vec<_>) = processes.unzip();
        let (proxy_meter, backend_meter) = (Meter::start(&nodes)?, Meter::start(&nodes)?);
        let metered = experiment.proxies.metered.min(size);
        let settings = &experiment.backends;
        let backends = Backends::start(size, settings, &nodes, &backend_meter.addresses(), metered)?;
        let proxies = Proxies::new(size, &experiment.proxies, &nodes, &proxy_meter.addresses())?;
        let node_pids = node_pids.into_iter().flatten().collect();
        let real_proxies = Vec::new();
        Ok(Self {
            experiment,
            size,
            stop,
            cluster,
            nodes,
            node_pids,
            backends,
            proxies,
            proxy_meter,
            backend_meter,
            real_proxies,
        })
    }

    fn sample_sources(&self) -> SampleSources<'_> {
        SampleSources {
            cluster: &self.cluster,
            node_pids: &self.node_pids,
            real_proxies: &self.real_proxies,
            backends: &self.backends,
            proxy_meter: &self.proxy_meter,
            backend_meter: &self.backend_meter,
            proxies: self.size,
            metered: self.experiment.proxies.metered.min(self.size),
        }
    }

    fn settle_timeout(&self) -> Duration {
        Duration::from_secs_f64(self.experiment.phases.settle_s)
    }

    fn stopped(&self) -> bool {
        self.stop.load(Ordering::SeqCst)
    }

    /// Waits until all backends are registered, and records how long that took.
    fn register(&self, result: &mut SizeResult) {
        let started_at = Instant::now();
        let registration_duration =
            Duration::from_secs_f64(self.size as f64 / self.experiment.backends.register_per_s);
        let done = || self.stopped() || self.backends.registered() >= self.size;
        if !wait_until(registration_duration + self.settle_timeout(), POLL_INTERVAL, done) {
            result.mark_partial(&format!("{} backends registered", self.backends.registered()));
        }
        result.registered_s = started_at.elapsed().as_secs_f64();
    }

    /// Starts the hollow proxies, waits until all have the list and a session, and starts the real proxies.
    fn start_proxies(&mut self, fleet: &mut Fleet, result: &mut SizeResult) -> Result<(), ScaleError> {
        let resident_before = usage::of_self()?.resident_kb;
        let traffic_before = self.proxy_meter.totals();
        let list = self.fetch_list()?;
        let started_at = Instant::now();
        result.proxies = self.start_hollow(started_at, result)?;
        let ready = || self.stopped() || self.ready(list.revision) >= result.proxies;
        if !wait_until(self.settle_timeout(), POLL_INTERVAL, ready) {
            let ready = self.ready(list.revision);
            result.mark_partial(&format!(
                "{ready} of {} proxies had the list and a session in time",
                result.proxies
            ));
        }
        result.ready_s = started_at.elapsed().as_secs_f64();
        result.list_bytes = list.bytes;
        let grown_kb = usage::of_self()?.resident_kb.saturating_sub(resident_before);
        result.hollow_proxy_mb = grown_kb as f64 / 1e3 / result.proxies.max(1) as f64;
        let metered = self.experiment.proxies.metered.min(self.size).max(1);
        let traffic = self.proxy_meter.totals() - traffic_before;
        result.start_bytes_per_proxy = traffic.bytes as f64 / metered as f64;
        self.start_real(fleet)
    }

    /// Starts hollow proxies one after the other until all are started or memory runs out; returns their number.
    fn start_hollow(&self, started_at: Instant, result: &mut SizeResult) -> Result<usize, ScaleError> {
        let settings = &self.experiment.proxies;
        for number in 0..self.size {
            let due = started_at + Duration::from_secs_f64(number as f64 / settings.start_per_s);
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            let checks_memory = number % PROXIES_PER_MEMORY_CHECK == 0;
            if checks_memory && usage::of_self()?.resident_kb > settings.memory_limit_mb * 1_000 {
                result.mark_partial(&format!("memory limit reached after {number} proxies"));
                return Ok(number);
            }
            if self.stopped() {
                result.mark_partial("interrupted");
                return Ok(number);
            }
            self.proxies.start_one(number)?;
        }
        Ok(self.size)
    }

    /// Number of proxies that have the list of `revision` or later and, if the experiment has sessions, a session.
    fn ready(&self, revision: u64) -> usize {
        let listed = self.proxies.observed.lists.count_reached(revision);
        match self.experiment.proxies.sessions {
            true => listed.min(self.proxies.observed.settings.count_reached(attached_revision(0))),
            false => listed,
        }
    }

    fn start_real(&mut self, fleet: &mut Fleet) -> Result<(), ScaleError> {
        let config = sizes::proxy_config(&self.experiment.proxies)?;
        for _ in 0..self.experiment.proxies.real {
            let proxy = fleet.proxy_of(&config, &self.nodes);
            self.real_proxies.push(proxy.map_err(|error| ScaleError::Start("proxy", error))?);
        }
        Ok(())
    }

    /// Fetches the list as a proxy first receives it.
    fn fetch_list(&self) -> Result<FetchedList, ScaleError> {
        let (_, list) = call(self.nodes[0], "GET", "/api/targets", &Value::Null)
            .filter(|(status, _)| *status == 200)
            .ok_or_else(|| ScaleError::Timeout("node 1 did not return the list".into()))?;
        let revision = list["generation"].as_u64().unwrap_or(0);
        Ok(FetchedList { revision, bytes: list.to_string().len() })
    }

    /// If the proxies follow the settings, publishes their own as the first version and waits until it is in force.
    fn publish_first_settings(&self, result: &mut SizeResult) -> Result<(), ScaleError> {
        let state = &self.proxies.observed;
        if self.experiment.proxies.sessions && !self.stopped() {
            let sent = Instant::now();
            let document = Proxies::own_document()?;
            let mut version = None;
            wait_until(FIRST_SETTINGS_TIMEOUT, OBSERVE_INTERVAL, || {
                version = self.publish(&document);
                version.is_some() || self.stopped()
            });
            match version {
                Some(version) => drop(self.await_delivery(&state.settings, attached_revision(version), sent)),
                None => result.mark_partial("the first settings were not acknowledged"),
            }
        }
        state.polling_enabled.store(false, Ordering::Relaxed);
        Ok(())
    }

    /// Runs the phase without changes.
    fn rest(&self) -> Result<Phase, ScaleError> {
        let sources = self.sample_sources();
        let mut running = sources.begin("rest")?;
        let deadline = Instant::now() + Duration::from_secs_f64(self.experiment.phases.rest_s);
        while Instant::now() < deadline && !self.stopped() {
            std::thread::sleep(OBSERVE_INTERVAL.min(deadline.saturating_duration_since(Instant::now())));
            running.observe(&self.cluster);
        }
        Ok(sources.end(running)?)
    }

    /// Changes the weight of one backend after the other.
    fn list_changes(&self) -> Result<Changes, ScaleError> {
        let change = |number: usize| {
            let weight = 1.0 + (number + 1) as f64 / 100.0;
            let body = json!({"instanceId": backends::instance_id(number % self.size), "weight": weight});
            self.write(number, "/v1/weight", &body)?["revision"].as_u64()
        };
        self.apply_changes(
            "list changes",
            self.experiment.phases.list_changes,
            &self.proxies.observed.lists,
            change,
        )
    }

    /// Publishes one version of the settings after the other.
    fn settings_changes(&self) -> Result<Changes, ScaleError> {
        let document = Proxies::own_document()?;
        self.proxies.observed.polling_enabled.store(true, Ordering::Relaxed);
        let change = |number: usize| {
            let over_quota_weight = 0.5 + (number + 1) as f64 / 1_000.0;
            let changed = Document { over_quota_weight, ..document.clone() };
            self.publish(&changed).map(attached_revision)
        };
        let requested = self.experiment.phases.settings_changes;
        let changes =
            self.apply_changes("settings changes", requested, &self.proxies.observed.settings, change);
        self.proxies.observed.polling_enabled.store(false, Ordering::Relaxed);
        changes
    }

    /// Makes changes one after the other, each after the wait for the previous one's delivery; `change` returns the
    /// revision that the proxies have to reach.
    fn apply_changes(
        &self,
        name: &'static str,
        requested: usize,
        log: &DeliveryLog,
        change: impl Fn(usize) -> Option<u64>,
    ) -> Result<Changes, ScaleError> {
        let sources = self.sample_sources();
        let mut running: RunningPhase = sources.begin(name)?;
        let mut deliveries = Vec::new();
        for number in 0..requested {
            if self.stopped() {
                break;
            }
            log.clear_arrivals();
            let sent = Instant::now();
            if let Some(revision) = change(number) {
                deliveries.push(self.await_delivery(log, revision, sent));
            }
            running.observe(&self.cluster);
            let next = sent + millis(self.experiment.phases.change_every_ms);
            std::thread::sleep(next.saturating_duration_since(Instant::now()));
        }
        Ok(Changes::new(requested, &deliveries, sources.end(running)?))
    }

    /// Waits until all proxies have reached `revision` or the time is up, and returns its delivery.
    fn await_delivery(&self, log: &DeliveryLog, revision: u64, sent: Instant) -> Delivery {
        let timeout = Duration::from_secs_f64(self.experiment.phases.deliver_within_s);
        wait_until(timeout, POLL_INTERVAL, || self.stopped() || log.count_reached(revision) >= self.size);
        log.delivery(revision, sent)
    }

    /// Sends an operator's write to one node after the other, beginning with `first_node`, until one acknowledges it.
    fn write(&self, first_node: usize, path: &str, body: &Value) -> Option<Value> {
        let nodes = self.nodes.iter().cycle().skip(first_node % self.nodes.len()).take(MAX_WRITE_ATTEMPTS);
        nodes
            .filter_map(|node| call(*node, "POST", path, body))
            .find(|(status, _)| *status == 200)
            .map(|(_, reply)| reply)
    }

    /// Publishes a document as the successor of the latest version and returns its version, if acknowledged.
    fn publish(&self, document: &Document) -> Option<u64> {
        let (_, settings) = call(self.nodes[0], "GET", "/v1/settings", &Value::Null)?;
        let parent = settings["head"]["version"].as_u64().unwrap_or(0);
        let body = json!({"parent": parent, "by": "fleet-testbed", "document": document});
        self.write(0, "/v1/settings", &body)?["version"].as_u64()
    }

    fn record_final_state(&self, result: &mut SizeResult) {
        let observed = &self.proxies.observed;
        result.listed = observed.lists.count_reached(1);
        result.attached = observed.settings.count_reached(attached_revision(0));
        let peaks =
            self.real_proxies.iter().filter_map(Process::id).filter_map(|pid| usage::of_process(pid).ok());
        result.real_proxy_mb = peaks.map(|usage| usage.peak_kb as f64 / 1e3).reduce(f64::max);
        if self.stopped() {
            result.mark_partial("interrupted");
        }
    }
}

/// Revision and size of the whole list, as returned by one node.
struct FetchedList {
    revision: u64,
    bytes: usize,
}
