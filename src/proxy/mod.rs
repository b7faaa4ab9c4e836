//! The networked proxy: connects clients, backends and discovery to the [`Balancer`](crate::Balancer), which makes
//! every decision.

pub mod clock;
pub mod config;
pub mod discovery;
pub mod endpoint_list;
pub mod engine;
pub mod fleet_settings;
pub mod forwarded_request;
pub mod list_cache;
pub mod memory;
pub mod server;
pub mod settings;
pub mod shared_stream;
pub mod upstream;
pub mod watch_event;
