//! A randomized fault soak: real proxies and list-service nodes among backends, clients and a discovery that misbehave,
//! with two or three faults at a time, judged from outside by what clients, backends and discovery have seen.
//!
//! A plan is drawn from a seed and holds all that happens; a plan that fails is shrunk to the faults that it takes.

pub mod backend;
pub mod client;
pub mod discovery;
mod inject;
pub mod ledger;
pub mod list_service;
pub mod oracle;
pub mod plan;
pub mod play;
pub mod shrink;
mod signals;
mod stage;
mod world;
