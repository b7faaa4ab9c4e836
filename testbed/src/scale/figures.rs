//! The named figures that are fitted over the sizes.

use super::result::{Changes, NodeUsage, Phase, SizeResult};

/// One figure of one size.
#[derive(Clone, Debug, PartialEq)]
pub struct Figure {
    /// Its name, beginning with the phase, such as `rest.node.busiest.cores`.
    pub name: String,
    /// Its unit.
    pub unit: &'static str,
    /// Its value.
    pub value: f64,
}

fn figure(name: impl Into<String>, unit: &'static str, value: f64) -> Figure {
    Figure { name: name.into(), unit, value }
}

/// All figures of one size.
pub fn of_size(result: &SizeResult) -> Vec<Figure> {
    let mut all = vec![
        figure("start.registered", "s", result.registered_s),
        figure("start.ready", "s", result.ready_s),
        figure("start.bytes_per_proxy", "B", result.start_bytes_per_proxy),
        figure("list.bytes", "B", result.list_bytes as f64),
        figure("proxy.hollow.memory", "MB", result.hollow_proxy_mb),
    ];
    all.extend(result.real_proxy_mb.map(|memory| figure("proxy.real.peak_memory", "MB", memory)));
    all.extend(phase_figures("rest", &result.rest));
    all.extend(change_figures("list_changes", &result.list_changes));
    if let Some(changes) = &result.settings_changes {
        all.extend(change_figures("settings_changes", changes));
    }
    all
}

fn phase_figures(name: &str, phase: &Phase) -> Vec<Figure> {
    let named = |suffix: &str, unit, value| figure(format!("{name}.{suffix}"), unit, value);
    let heartbeats = &phase.heartbeats;
    let over_nodes = |field: fn(&NodeUsage) -> f64| phase.nodes.iter().map(field);
    let busiest = |field| over_nodes(field).fold(0.0, f64::max);
    let mean = |field| over_nodes(field).sum::<f64>() / phase.nodes.len().max(1) as f64;
    let mut all = vec![
        named("node.busiest.cores", "cores", busiest(|node| node.cores)),
        named("node.mean.cores", "cores", mean(|node| node.cores)),
        named("node.busiest.peak_memory", "MB", busiest(|node| node.memory_mb)),
        named("node.busiest.disk", "B/s", busiest(|node| node.disk_bytes_per_s)),
        named("nodes.between.bytes", "B/s", phase.between_nodes.bytes_per_s),
        named("nodes.between.requests", "1/s", phase.between_nodes.requests_per_s),
        named("proxy.hollow.cores", "cores", phase.hollow_proxy_cores),
        named("proxy.bytes", "B/s", phase.proxy_traffic.bytes_per_s),
        named("proxy.requests", "1/s", phase.proxy_traffic.requests_per_s),
        named("backend.bytes", "B/s", phase.backend_traffic.bytes_per_s),
        named("backend.requests", "1/s", phase.backend_traffic.requests_per_s),
        named(
            "heartbeats.answered",
            "1/s",
            heartbeats.answered as f64 / phase.seconds.max(f64::MIN_POSITIVE),
        ),
        named("heartbeats.failed", "", heartbeats.failed() as f64),
        named("heartbeats.over_1_s", "", heartbeats.over_1_s as f64),
        named("heartbeats.p50", "ms", heartbeats.p50_ms),
        named("heartbeats.p99", "ms", heartbeats.p99_ms),
    ];
    all.extend(phase.real_proxy_cores.map(|cores| named("proxy.real.cores", "cores", cores)));
    all
}

fn change_figures(name: &str, changes: &Changes) -> Vec<Figure> {
    let named = |suffix: &str, unit, value| figure(format!("{name}.{suffix}"), unit, value);
    let mut all = vec![
        named("p50", "ms", changes.p50_ms),
        named("p99", "ms", changes.p99_ms),
        named("max", "ms", changes.max_ms),
        named("mean_to_all", "ms", changes.mean_to_all_ms),
        named("missed", "", changes.missed as f64),
        named("unacknowledged", "", changes.unacknowledged as f64),
    ];
    all.extend(phase_figures(name, &changes.phase));
    all
}
