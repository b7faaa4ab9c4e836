//! Records how much memory and how many descriptors the proxies' processes use during a run.

use super::ledger::{ResourcePeak, lock_ledger};
use super::stage::{Harness, lock};
use crate::usage;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;

/// How often the processes are sampled. The memory between two samples counts too, as the system keeps its peak.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Samples the processes, in a thread of its own, until the run has finished.
pub(super) fn start_monitor(harness: &Arc<Harness>) -> JoinHandle<()> {
    let harness = harness.clone();
    std::thread::spawn(move || {
        while !harness.is_finished.load(Ordering::SeqCst) {
            harness.sample_resources();
            std::thread::sleep(SAMPLE_INTERVAL);
        }
    })
}

impl Harness {
    fn sample_resources(&self) {
        let processes: Vec<(usize, u32)> = {
            let proxies = lock(&self.proxies);
            let with_id = |(proxy, process): (usize, &Option<crate::process::Process>)| {
                Some((proxy, process.as_ref()?.id()?))
            };
            proxies.iter().enumerate().filter_map(with_id).collect()
        };
        for (proxy, pid) in processes {
            // A process that has ended since cannot be read.
            let (Ok(used), Ok(descriptors)) = (usage::of_process(pid), usage::open_descriptors(pid)) else {
                continue;
            };
            let mut ledger = lock_ledger(&self.ledger);
            let peak: &mut ResourcePeak = ledger.resources.entry((proxy, pid)).or_default();
            peak.memory_kb = peak.memory_kb.max(used.peak_kb);
            peak.descriptors = peak.descriptors.max(descriptors);
        }
    }
}
