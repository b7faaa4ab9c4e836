//! Samples the resources used by each role, and computes the use between two samples.

use super::backends::{self, Backends};
use super::meter::{Meter, TrafficTotals, relay_totals, sum};
use super::proxies;
use super::result::{Heartbeats, NodeUsage, Phase, Traffic};
use crate::cluster::Cluster;
use crate::process::Process;
use crate::usage::{self, Usage};
use hdrhistogram::Histogram;
use std::time::{Duration, Instant};

/// Name of the testbed's own thread that runs the relays.
const RELAY_THREAD_NAME: &str = "links";

/// Sources of the samples.
pub struct SampleSources<'a> {
    /// The list service.
    pub cluster: &'a Cluster,
    /// Process IDs of the list service's nodes.
    pub node_pids: &'a [u32],
    /// Real proxies without traffic.
    pub real_proxies: &'a [Process],
    /// Hollow backends.
    pub backends: &'a Backends,
    /// Relays of the metered proxies.
    pub proxy_meter: &'a Meter,
    /// Relays of the metered backends.
    pub backend_meter: &'a Meter,
    /// Number of hollow proxies.
    pub proxies: usize,
    /// Number of metered proxies, and also of metered backends.
    pub metered: usize,
}

/// Totals used up to one moment.
struct Sample {
    at: Instant,
    nodes: Vec<Usage>,
    real_proxies: Vec<Usage>,
    proxy_threads: Duration,
    backend_threads: Duration,
    relay_thread: Duration,
    machine: Duration,
    proxy_traffic: TrafficTotals,
    backend_traffic: TrafficTotals,
    between_nodes: TrafficTotals,
}

/// A phase in progress.
pub struct RunningPhase {
    name: &'static str,
    from: Sample,
    leaders: Vec<u64>,
    min_entries: Option<u64>,
}

impl SampleSources<'_> {
    fn sample(&self) -> std::io::Result<Sample> {
        let nodes = self.node_pids.iter().map(|pid| usage::of_process(*pid)).collect::<Result<_, _>>()?;
        let real_proxy_pids = self.real_proxies.iter().filter_map(Process::id);
        Ok(Sample {
            at: Instant::now(),
            nodes,
            real_proxies: real_proxy_pids.map(usage::of_process).collect::<Result<_, _>>()?,
            proxy_threads: usage::of_threads(proxies::THREAD_NAME_PREFIX)?,
            backend_threads: usage::of_threads(backends::THREAD_NAME_PREFIX)?,
            relay_thread: usage::of_threads(RELAY_THREAD_NAME)?,
            machine: usage::of_machine()?,
            proxy_traffic: self.proxy_meter.totals(),
            backend_traffic: self.backend_meter.totals(),
            between_nodes: sum(self.cluster.links().map(relay_totals)),
        })
    }

    /// Begins a phase; earlier use is not counted.
    ///
    /// # Errors
    /// If a sampled process has ended.
    pub fn begin(&self, name: &'static str) -> std::io::Result<RunningPhase> {
        self.backends.take_counts();
        let from = self.sample()?;
        let mut running = RunningPhase { name, from, leaders: Vec::new(), min_entries: None };
        running.observe(self.cluster);
        Ok(running)
    }

    /// Ends a phase and computes its figures.
    ///
    /// # Errors
    /// If a sampled process has ended.
    pub fn end(&self, mut running: RunningPhase) -> std::io::Result<Phase> {
        running.observe(self.cluster);
        let (from, to) = (running.from, self.sample()?);
        let seconds = to.at.duration_since(from.at).as_secs_f64();
        let cores = |from: Duration, to: Duration| to.saturating_sub(from).as_secs_f64() / seconds;
        let leader = running.leaders.last().copied();
        let node = |(number, (from, to)): (usize, (&Usage, &Usage))| NodeUsage {
            is_leader: leader == Some(number as u64 + 1),
            cores: cores(from.processor, to.processor),
            memory_mb: to.peak_kb as f64 / 1e3,
            disk_bytes_per_s: (to.disk_bytes - from.disk_bytes) as f64 / seconds,
        };
        let process_cores = |(from, to): (&Usage, &Usage)| cores(from.processor, to.processor);
        let real_proxy_cores: Vec<f64> =
            from.real_proxies.iter().zip(&to.real_proxies).map(process_cores).collect();
        let rates = |totals: TrafficTotals, count: usize| Traffic {
            bytes_per_s: totals.bytes as f64 / seconds / count.max(1) as f64,
            requests_per_s: totals.requests as f64 / seconds / count.max(1) as f64,
        };
        let proxy_thread_cores = cores(from.proxy_threads, to.proxy_threads);
        Ok(Phase {
            name: running.name.into(),
            seconds,
            nodes: from.nodes.iter().zip(&to.nodes).enumerate().map(node).collect(),
            hollow_proxy_cores: proxy_thread_cores / self.proxies.max(1) as f64,
            real_proxy_cores: mean(&real_proxy_cores),
            proxy_traffic: rates(to.proxy_traffic - from.proxy_traffic, self.metered),
            backend_traffic: rates(to.backend_traffic - from.backend_traffic, self.metered),
            between_nodes: rates(to.between_nodes - from.between_nodes, 1),
            leader_changes: running.leaders.windows(2).filter(|pair| pair[0] != pair[1]).count(),
            min_entries: running.min_entries,
            heartbeats: heartbeats(&self.backends.take_counts()),
            machine_cores: cores(from.machine, to.machine),
            testbed_cores: [
                proxy_thread_cores,
                cores(from.backend_threads, to.backend_threads),
                cores(from.relay_thread, to.relay_thread),
            ],
        })
    }
}

impl RunningPhase {
    /// Records the current leader and the number of listed entries, as reported by the first node that answers.
    pub fn observe(&mut self, cluster: &Cluster) {
        for node in 0..cluster.size() {
            let Some(status) = cluster.status(node) else { continue };
            self.leaders.extend(status["leader"].as_u64());
            let entries = status["entries"].as_u64();
            self.min_entries = self.min_entries.into_iter().chain(entries).min();
            return;
        }
    }
}

fn mean(values: &[f64]) -> Option<f64> {
    (!values.is_empty()).then(|| values.iter().sum::<f64>() / values.len() as f64)
}

fn heartbeats(counts: &backends::Counts) -> Heartbeats {
    let ms = |histogram: &Histogram<u64>, quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1e3;
    Heartbeats {
        answered: counts.answered,
        over_1_s: counts.late,
        not_listed: counts.not_listed,
        rejected: counts.rejected,
        unanswered: counts.unanswered,
        skipped: counts.skipped,
        p50_ms: ms(&counts.latency, 0.5),
        p99_ms: ms(&counts.latency, 0.99),
        max_ms: counts.latency.max() as f64 / 1e3,
        lateness_p99_ms: ms(&counts.lateness, 0.99),
        lateness_max_ms: counts.lateness.max() as f64 / 1e3,
    }
}
