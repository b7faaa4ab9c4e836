//! Raft's parameters.

use super::NodeError;
use crate::registry::RegistryConfig;
use crate::registry::raft::network::SNAPSHOT_CHUNK_BYTES;
use openraft::SnapshotPolicy;

/// Number of log entries after which a snapshot is taken.
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 5_000;
/// Number of log entries before a snapshot that are retained for nodes that lag.
const RETAINED_ENTRIES: u64 = 1_000;
/// Maximum number of entries in one call: this many of the largest records fit into the largest body of a call.
const MAX_ENTRIES_PER_CALL: u64 = 100;
/// Timeout of the installation of one chunk of a snapshot, in milliseconds.
const INSTALL_SNAPSHOT_TIMEOUT_MS: u64 = 2_000;

/// Derives Raft's configuration from that of a node.
///
/// # Errors
/// `Config` where Raft rejects it.
pub(super) fn raft_config(config: &RegistryConfig) -> Result<openraft::Config, NodeError> {
    // A node without peers need not wait for others before it leads.
    let [election_timeout_min, election_timeout_max] = match config.peers.is_empty() {
        true => [config.heartbeat_ms + 1, config.heartbeat_ms + 20],
        false => config.election_ms,
    };
    let raft_config = openraft::Config {
        cluster_name: "linkhatch".into(),
        heartbeat_interval: config.heartbeat_ms,
        election_timeout_min,
        election_timeout_max,
        install_snapshot_timeout: INSTALL_SNAPSHOT_TIMEOUT_MS,
        snapshot_max_chunk_size: SNAPSHOT_CHUNK_BYTES,
        snapshot_policy: SnapshotPolicy::LogsSinceLast(SNAPSHOT_INTERVAL_ENTRIES),
        max_payload_entries: MAX_ENTRIES_PER_CALL,
        // `Node::bootstrap` enables elections.
        enable_elect: false,
        max_in_snapshot_log_to_keep: RETAINED_ENTRIES,
        purge_batch_size: RETAINED_ENTRIES,
        ..Default::default()
    };
    raft_config.validate().map_err(|error| NodeError::Config(Box::new(error)))
}
