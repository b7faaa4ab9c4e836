//! The list service: the fleet's discovery, with a write API for backends and operators, replicated on 3 or 5 nodes
//! (or running on a single one).
//!
//! From the bottom up: [`store`] is the pure state machine, [`clock`] the log's time, [`liveness`] the renewals in the
//! leader's memory, [`raft`] the replicated log, [`node`] one node with its watches, [`api`] the HTTP calls, and
//! `server` the process with its [`connections`]. [`RegistryConfig`] is the configuration file.

pub mod api;
pub mod clock;
mod config;
pub mod connections;
pub mod liveness;
pub mod node;
pub mod raft;
mod server;
pub mod store;

pub use config::{FaultConfig, PeerConfig, RegistryConfig};
pub use server::serve;
