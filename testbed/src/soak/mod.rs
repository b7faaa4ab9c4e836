//! A randomized fault soak: real proxies and list-service nodes run among simulated backends, clients and a discovery
//! that misbehave, with two or three faults at a time. An oracle checks what clients, backends and discovery observed.
//!
//! A plan is drawn from a seed and lists all faults of a run. A plan that fails is shrunk to the faults that it needs.

pub mod backend;
pub mod client;
pub mod discovery;
mod inject;
pub mod ledger;
pub mod list_service;
pub mod oracle;
pub mod plan;
pub mod play;
mod resources;
pub mod shrink;
mod signals;
mod stage;
mod world;
