//! The result of one size: plain numbers, written as JSON by the process that runs the size and read by the one that
//! fits the figures.

use super::ledger::Delivery;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The result of one size.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct SizeResult {
    /// Hollow proxies, and also hollow backends, requested.
    pub size: usize,
    /// Why the run is incomplete, if it is.
    pub partial: Option<String>,
    /// How long a write of 4 KiB to the nodes' disk took before anything ran.
    pub disk: DiskProbe,
    /// Seconds until all backends were registered.
    pub registered_s: f64,
    /// Hollow proxies started.
    pub proxies: usize,
    /// Hollow proxies that received the whole list.
    pub listed: usize,
    /// Hollow proxies that became attached.
    pub attached: usize,
    /// Seconds from the start of the first proxy until all had the list and were attached.
    pub ready_s: f64,
    /// Memory of one hollow proxy, in MB.
    pub hollow_proxy_mb: f64,
    /// Peak memory of a real proxy at rest, in MB.
    pub real_proxy_mb: Option<f64>,
    /// Bytes that one proxy exchanged from its start until all were ready.
    pub start_bytes_per_proxy: f64,
    /// Size of the whole list, as a proxy first receives it, in bytes.
    pub list_bytes: usize,
    /// The phase without changes.
    pub rest: Phase,
    /// Changes of backends' weights.
    pub list_changes: Changes,
    /// Changes of the settings; none if the proxies don't follow the settings.
    pub settings_changes: Option<Changes>,
}

impl SizeResult {
    /// Records why the run is incomplete, after any earlier reason.
    pub fn mark_partial(&mut self, reason: &str) {
        let earlier = self.partial.take().map_or(String::new(), |earlier| format!("{earlier}; "));
        self.partial = Some(earlier + reason);
    }
}

/// Duration of a small write to the nodes' disk, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct DiskProbe {
    /// The median.
    pub p50_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
}

impl DiskProbe {
    /// The quantiles of these writes' durations.
    pub fn new(mut writes: Vec<Duration>) -> Self {
        writes.sort_unstable();
        Self { p50_ms: quantile(&writes, 0.5), p99_ms: quantile(&writes, 0.99) }
    }
}

/// Resources used in one phase.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Phase {
    /// Its name.
    pub name: String,
    /// Duration in seconds.
    pub seconds: f64,
    /// Use of each list-service node.
    pub nodes: Vec<NodeUsage>,
    /// Mean processor use of a hollow proxy, in cores.
    pub hollow_proxy_cores: f64,
    /// Mean processor use of a real proxy without traffic, in cores.
    pub real_proxy_cores: Option<f64>,
    /// Traffic between one proxy and the list service, in both directions.
    pub proxy_traffic: Traffic,
    /// Traffic between one backend and the list service, in both directions.
    pub backend_traffic: Traffic,
    /// Traffic between all nodes of the list service.
    pub between_nodes: Traffic,
    /// How often the leader was another node than in the previous observation (every half second).
    pub leader_changes: usize,
    /// Minimum number of listed entries in any observation.
    #[serde(rename = "fewest_entries")]
    pub min_entries: Option<u64>,
    /// Outcomes of heartbeats.
    pub heartbeats: Heartbeats,
    /// Cores that the whole machine used, including unrelated programs.
    pub machine_cores: f64,
    /// Cores that the testbed's own threads used: hollow proxies, hollow backends, relays.
    #[serde(rename = "lab_cores")]
    pub testbed_cores: [f64; 3],
}

/// Resources used by one list-service node.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct NodeUsage {
    /// Whether it was the leader at the end of the phase.
    #[serde(rename = "leads")]
    pub is_leader: bool,
    /// Processor use, in cores.
    pub cores: f64,
    /// Peak memory since the node's start, in MB.
    pub memory_mb: f64,
    /// Bytes per second written to disk.
    pub disk_bytes_per_s: f64,
}

/// Bytes and requests per second.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Traffic {
    /// Bytes per second, in both directions.
    pub bytes_per_s: f64,
    /// Requests per second.
    pub requests_per_s: f64,
}

/// Outcomes of heartbeats.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Heartbeats {
    /// Answered 200.
    pub answered: u64,
    /// Answered 200 more than a second after they were due.
    pub over_1_s: u64,
    /// Answered 404: the entry was not listed although the backend is alive.
    #[serde(rename = "off_the_list")]
    pub not_listed: u64,
    /// Answered with another status (503).
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Not answered before the timeout, or the connection broke.
    pub unanswered: u64,
    /// Not sent, because the backend was still waiting for the answer to the previous one.
    pub skipped: u64,
    /// Median latency of the answered ones, from their due time.
    pub p50_ms: f64,
    /// 99th percentile of that latency.
    pub p99_ms: f64,
    /// Maximum of that latency.
    pub max_ms: f64,
    /// The testbed's own lateness at sending, 99th percentile.
    pub lateness_p99_ms: f64,
    /// The testbed's own lateness at sending, maximum.
    pub lateness_max_ms: f64,
}

impl Heartbeats {
    /// Number of heartbeats sent that were not answered 200.
    pub fn failed(&self) -> u64 {
        self.not_listed + self.rejected + self.unanswered
    }
}

/// Changes made one after the other, and their delivery to the proxies.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Changes {
    /// Changes requested.
    #[serde(rename = "asked")]
    pub requested: usize,
    /// Requested changes that the list service did not acknowledge.
    pub unacknowledged: usize,
    /// Deliveries of an acknowledged change to a proxy that did not complete in time.
    pub missed: usize,
    /// Median time from sending the write to its delivery at a proxy, over all changes and proxies.
    pub p50_ms: f64,
    /// 99th percentile of that time.
    pub p99_ms: f64,
    /// Maximum of that time.
    pub max_ms: f64,
    /// Mean over the changes of the time until the last proxy was reached.
    pub mean_to_all_ms: f64,
    /// Resources used meanwhile.
    pub phase: Phase,
}

impl Changes {
    /// Computes the figures of these deliveries.
    pub fn new(requested: usize, deliveries: &[Delivery], phase: Phase) -> Self {
        let mut delays: Vec<Duration> =
            deliveries.iter().flat_map(|delivery| delivery.delays.clone()).collect();
        delays.sort_unstable();
        let slowest: Vec<f64> =
            deliveries.iter().filter_map(|delivery| delivery.delays.iter().max()).map(ms).collect();
        Self {
            requested,
            unacknowledged: requested - deliveries.len(),
            missed: deliveries.iter().map(|delivery| delivery.missed).sum(),
            p50_ms: quantile(&delays, 0.5),
            p99_ms: quantile(&delays, 0.99),
            max_ms: quantile(&delays, 1.0),
            mean_to_all_ms: slowest.iter().fold(0.0, |sum, slowest| sum + slowest)
                / slowest.len().max(1) as f64,
            phase,
        }
    }
}

fn ms(time: &Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

/// The smallest value, in milliseconds, such that at least this fraction of the sorted values is at most that value; 0
/// if there are no values.
fn quantile(sorted: &[Duration], fraction: f64) -> f64 {
    let rank = (sorted.len() as f64 * fraction).ceil() as usize;
    sorted.get(rank.saturating_sub(1)).map_or(0.0, ms)
}
