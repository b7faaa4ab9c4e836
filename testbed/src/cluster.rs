//! A list service of several nodes, each a process. Every link between two nodes has a fault relay in each direction,
//! and every node has one in front of it for its clients, which keeps its address while the node restarts.

use crate::calls::call;
use crate::links::{Fault, Relay};
use crate::process::{Fleet, Process, StartError};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// An address without a listener, the target of relays whose node does not run.
const UNUSED_ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1);

/// The timing of heartbeats and elections.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// The interval of the leader's heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// The range of the election timeout, in milliseconds.
    pub election_ms: [u64; 2],
}

/// Shorter than the program's defaults, so that tests with elections are short.
const TEST_TIMING: Timing = Timing { heartbeat_ms: 60, election_ms: [250, 500] };

/// The nodes, their links and their directories; dropping it stops the nodes and removes the directories.
pub struct Cluster {
    nodes: Vec<Option<Process>>,
    /// `links[i][j]`: the relay through which node i reaches node j.
    links: Vec<Vec<Option<Relay>>>,
    fronts: Vec<Relay>,
    dir: PathBuf,
    extra_config: String,
    timing: Timing,
}

impl Cluster {
    /// Starts `size` nodes on empty directories, with `extra_config` in the configuration of each.
    ///
    /// # Panics
    /// If a node does not start, or a relay can't bind a port.
    pub fn start(fleet: &mut Fleet, size: usize, extra_config: &str) -> Self {
        Self::try_start(fleet, size, extra_config).expect("the nodes start")
    }

    /// Does the same, and returns an error if a node does not start.
    ///
    /// # Errors
    /// The error of the node that does not start.
    ///
    /// # Panics
    /// If a relay can't bind a port.
    pub fn try_start(fleet: &mut Fleet, size: usize, extra_config: &str) -> Result<Self, StartError> {
        Self::try_start_timed(fleet, size, extra_config, TEST_TIMING)
    }

    /// Does the same with the given timing.
    ///
    /// # Errors
    /// The error of the node that does not start.
    ///
    /// # Panics
    /// If a relay can't bind a port.
    pub fn try_start_timed(
        fleet: &mut Fleet,
        size: usize,
        extra_config: &str,
        timing: Timing,
    ) -> Result<Self, StartError> {
        let dir = fleet.scratch("cluster");
        let relay = || Relay::start(UNUSED_ADDRESS).expect("a relay binds a loopback port");
        let links = (0..size)
            .map(|i| (0..size).map(|j| (i != j).then(relay)).collect::<Vec<_>>())
            .collect::<Vec<_>>();
        let mut cluster = Self {
            nodes: (0..size).map(|_| None).collect(),
            links,
            fronts: (0..size).map(|_| relay()).collect(),
            dir,
            extra_config: extra_config.into(),
            timing,
        };
        for n in 0..size {
            cluster.start_node(fleet, n, "")?;
        }
        Ok(cluster)
    }

    /// The data directory of node `n`.
    pub fn data_dir(&self, n: usize) -> PathBuf {
        self.dir.join(format!("node-{n}"))
    }

    /// Starts or restarts node `n` with `more_config` in its configuration; its relays keep their addresses.
    ///
    /// # Errors
    /// If the process does not start or does not report its listening address.
    pub fn start_node(&mut self, fleet: &mut Fleet, n: usize, more_config: &str) -> Result<(), StartError> {
        let Timing { heartbeat_ms, election_ms: [min_ms, max_ms] } = self.timing;
        let mut config = format!(
            "listen = \"127.0.0.1:0\"\nnode = {}\ndata_dir = \"{}\"\nheartbeat_ms = {heartbeat_ms}\n\
             election_ms = [{min_ms}, {max_ms}]\n{}\n{more_config}\n",
            n + 1,
            self.data_dir(n).display(),
            self.extra_config
        );
        // `peers` comes first: `more_config` may contain a table, to which later keys would belong.
        let peers: Vec<String> = self.links[n]
            .iter()
            .enumerate()
            .filter_map(|(j, link)| Some((j, link.as_ref()?)))
            .map(|(j, link)| format!("{{ node = {}, address = \"{}\" }}", j + 1, link.address()))
            .collect();
        config = format!("peers = [{}]\n{config}", peers.join(", "));
        let node = fleet.registry(&config)?;
        for i in 0..self.nodes.len() {
            if let Some(link) = &self.links[i][n] {
                link.retarget(node.address());
            }
        }
        self.fronts[n].retarget(node.address());
        self.nodes[n] = Some(node);
        Ok(())
    }

    /// The number of nodes, running or not.
    pub fn size(&self) -> usize {
        self.nodes.len()
    }

    /// The process of node `n`, if it runs.
    pub fn node(&mut self, n: usize) -> Option<&mut Process> {
        self.nodes[n].as_mut()
    }

    /// SIGKILLs node `n`: the system resets its connections and refuses new ones.
    pub fn kill(&mut self, n: usize) {
        self.nodes[n] = None;
    }

    /// The address at which clients reach node `n`, independent of the node's own port.
    pub fn front(&self, n: usize) -> SocketAddr {
        self.fronts[n].address()
    }

    /// The relay in front of node `n` for its clients.
    pub fn front_relay(&self, n: usize) -> &Relay {
        &self.fronts[n]
    }

    /// The addresses at which clients reach the nodes.
    pub fn fronts(&self) -> Vec<SocketAddr> {
        self.fronts.iter().map(Relay::address).collect()
    }

    /// The relays between nodes.
    pub fn links(&self) -> impl Iterator<Item = &Relay> {
        self.links.iter().flatten().flatten()
    }

    /// Sets the fault of the link by which node `from` reaches node `to`.
    pub fn link(&self, from: usize, to: usize, fault: Fault) {
        if let Some(link) = &self.links[from][to] {
            link.set(fault);
        }
    }

    /// Sets the fault of all links between node `n` and the others, in both directions; `Fault::Pass` heals them.
    pub fn isolate(&self, n: usize, fault: Fault) {
        for other in (0..self.size()).filter(|other| *other != n) {
            self.link(n, other, fault);
            self.link(other, n, fault);
        }
    }

    /// The status that node `n` reports, if it answers.
    pub fn status(&self, n: usize) -> Option<Value> {
        self.nodes[n].as_ref()?;
        call(self.front(n), "GET", "/v1/status", &Value::Null).filter(|(s, _)| *s == 200).map(|(_, v)| v)
    }

    /// Waits until a node among `candidates` reports itself as the leader, and returns it.
    ///
    /// # Panics
    /// If none does `within` this time.
    pub fn leader_of(&self, candidates: &[usize], within: Duration) -> usize {
        let deadline = Instant::now() + within;
        loop {
            for n in candidates {
                if self
                    .status(*n)
                    .is_some_and(|s| s["leader"] == s["node"] && s["age_ms"].as_u64() < Some(500))
                {
                    return *n;
                }
            }
            assert!(Instant::now() < deadline, "no leader among {candidates:?} within {within:?}");
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Waits for a leader among all nodes, and returns it.
    pub fn leader(&self) -> usize {
        self.leader_of(&(0..self.size()).collect::<Vec<_>>(), Duration::from_secs(10))
    }

    /// Waits until all nodes are at the same revision of at least `revision`, and returns it.
    ///
    /// # Panics
    /// If they are not `within` this time.
    pub fn agreed(&self, revision: u64, within: Duration) -> u64 {
        let deadline = Instant::now() + within;
        loop {
            let revisions: Vec<Option<u64>> =
                (0..self.size()).map(|n| self.status(n).and_then(|s| s["revision"].as_u64())).collect();
            if let Some(common) =
                revisions[0].filter(|r| *r >= revision && revisions.iter().all(|a| *a == Some(*r)))
            {
                return common;
            }
            assert!(
                Instant::now() < deadline,
                "revisions {revisions:?}, expected all equal and at least {revision}"
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.nodes.clear();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}
