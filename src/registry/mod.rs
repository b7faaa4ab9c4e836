//! The list service: discovery of the project's own (`PROTOCOL`, "Discovery"), with a write API for
//! backends and operators. `store` is its pure state machine; replication, the HTTP API and the node that
//! wires them are still to come (`docs/ROADMAP.md`).

pub mod store;
