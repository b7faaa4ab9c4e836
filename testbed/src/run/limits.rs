//! Checks that the machine has the descriptors and ports that a run needs, before anything starts.

use super::RunError;
use crate::spec::Experiment;
use nix::sys::resource::{Resource, getrlimit, setrlimit};

/// Descriptors of the testbed itself, beside those that grow with the experiment.
const OWN_DESCRIPTORS: u64 = 256;
/// Descriptors of a proxy's process and its log, and of the connections that it is expected to have.
const DESCRIPTORS_PER_PROXY: u64 = 11;
/// The maximum number of backends that one proxy is expected to have connections to.
const MAX_BACKENDS_PER_PROXY: u64 = 24;
/// The minimum soft limit on descriptors that a run sets.
const MIN_SOFT_LIMIT: u64 = 4_096;
/// The number of ephemeral ports where the system does not report it: the default range of Linux.
const DEFAULT_PORT_COUNT: u64 = 28_232;
const PORT_RANGE_FILE: &str = "/proc/sys/net/ipv4/ip_local_port_range";

/// Checks descriptors and ports for an experiment whose backends have `sidecars` proxies of their own, and raises the
/// soft limit on descriptors.
///
/// # Errors
/// [`RunError::Descriptors`] or [`RunError::Ports`] where the machine allows fewer than are needed.
pub(super) fn check(experiment: &Experiment, sidecars: usize) -> Result<(), RunError> {
    let proxies = (experiment.proxies.count + experiment.proxies.reserve + sidecars) as u64;
    let backends: u64 = experiment.backends.iter().map(|kind| kind.count as u64).sum();
    let nodes = experiment.list.nodes as u64;
    let upstream = proxies * backends.min(MAX_BACKENDS_PER_PROXY);
    let in_flight = experiment.load.rate as u64 / 4;
    let links = proxies * (DESCRIPTORS_PER_PROXY + 2 * nodes);
    raise_descriptor_limit(OWN_DESCRIPTORS + links + backends + upstream + in_flight)?;
    let needed = proxies * (2 + 2 * nodes) + backends + upstream;
    let limit = port_count();
    if needed > limit {
        return Err(RunError::Ports { needed, limit });
    }
    Ok(())
}

fn raise_descriptor_limit(needed: u64) -> Result<(), RunError> {
    let (soft, hard) = getrlimit(Resource::RLIMIT_NOFILE).map_err(std::io::Error::from)?;
    if needed > hard {
        return Err(RunError::Descriptors { needed, limit: hard });
    }
    let wanted = needed.max(MIN_SOFT_LIMIT).min(hard);
    if soft < wanted {
        setrlimit(Resource::RLIMIT_NOFILE, wanted, hard).map_err(std::io::Error::from)?;
    }
    Ok(())
}

/// The number of ephemeral ports.
fn port_count() -> u64 {
    let text = std::fs::read_to_string(PORT_RANGE_FILE).unwrap_or_default();
    let bounds: Vec<u64> = text.split_whitespace().filter_map(|port| port.parse().ok()).collect();
    match bounds[..] {
        [first, last] => last.saturating_sub(first) + 1,
        _ => DEFAULT_PORT_COUNT,
    }
}
