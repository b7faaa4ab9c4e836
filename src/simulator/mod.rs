//! The simulator adapter: balancers driven by the simulator's text protocol.
//!
//! [`host`] processes batches of events from an input and writes the replies; [`wire`] translates lines to events
//! and actions to lines; [`settings`] maps the protocol's settings to the balancer's. The protocol's own
//! terms are used in these modules only.

mod error;
mod fields;
pub mod host;
pub mod settings;
pub mod wire;

pub use error::WireError;
pub use host::{HostError, run};
