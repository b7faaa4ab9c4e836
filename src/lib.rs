//! A load-balancing HTTP/1.1 proxy for service-to-service calls, and the control services of its fleet.
//!
//! [`Balancer`] makes every routing decision. It is a state machine without I/O: it takes events with the time at which
//! they happened, and returns actions. [`proxy`] runs it on sockets, [`simulator`] on the simulator's protocol.
#![forbid(unsafe_code)]

pub mod agreement;
pub mod balancer;
pub mod calls_in_flight;
pub mod config_file;
pub mod guard;
pub mod http_client;
pub mod lease;
pub mod os;
pub mod proxy;
pub mod registry;
pub mod response_latency;
pub mod simulator;
pub mod telemetry;

pub use balancer::Balancer;
pub use balancer::types::*;

/// The example in the README, run as a test.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
