//! Operating system calls, and the meaning of their failures:
//!
//! - [`sockets`]: TCP connections that survive interrupted calls and temporary shortages.
//! - [`signals`]: the signals that stop or reload the process.
//! - [`descriptors`]: the limit of open file descriptors.
//! - [`files`]: files that are replaced atomically.

pub mod descriptors;
pub mod files;
pub mod signals;
pub mod sockets;
