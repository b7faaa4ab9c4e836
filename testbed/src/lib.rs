//! The fleet testbed: emulated backends, clients, links and faults around real processes of the program, and the
//! experiments that run on them. The fleet tests use its modules as a library.
#![forbid(unsafe_code)]

pub mod backend;
pub mod calls;
pub mod client;
pub mod cluster;
pub mod compare;
pub mod fake;
pub mod groups;
pub mod http;
pub mod links;
pub mod model;
pub mod overhead;
pub mod plots;
pub mod process;
pub mod proxy_pool;
pub mod record;
pub mod report;
pub mod rt;
pub mod run;
pub mod scale;
mod scratch;
pub mod soak;
pub mod spec;
pub mod stage;
pub mod syscall_faults;
pub mod usage;
